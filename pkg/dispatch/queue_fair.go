package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// queuedRequest is a request that waits for a grant.
type queuedRequest struct {
	request Request
	// latestStart is the latest time of a grant that can still meet the first-token
	// target.
	latestStart time.Time
	// blockedSince is the first time at which the request was next in the order but did not
	// fit.
	blockedSince time.Time
	// deadlineIndex is the index in the deadline heap, -1 if the request is not in it.
	deadlineIndex int
	// isRetry is true for a caller retry. retryAt is the time at which the caller was to
	// retry, and retryIndex the index in the heap of caller retries.
	isRetry    bool
	retryAt    time.Time
	retryIndex int
}

// callerQueue contains the queued requests of one caller in order of arrival.
type callerQueue struct {
	caller string
	// startTag is the start tag of the caller's next request, in prompt tokens of work.
	// fairQueue describes its use.
	startTag float64
	entries  []*queuedRequest
	// activeIndex is the index in the heap of active callers, -1 for an idle caller.
	activeIndex int
}

// fairQueue orders callers by start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time Fair Queueing", 1996). The caller with the lowest start tag, which is the
// one with the least work granted so far, is next. A caller that was idle gets at least
// the current virtual time as its start tag, so that it gains nothing from being idle.
type fairQueue struct {
	active      callerHeap
	callers     map[string]*callerQueue
	virtualTime float64
	length      int
	// removeAtIdle is the number of idle callers at which they are searched for those to remove.
	removeAtIdle int
}

const (
	// idleCallerLimit is the number by which idle callers may exceed active ones. Beyond it,
	// idle callers whose start tag is not ahead of the virtual time are removed.
	idleCallerLimit = 64
	// aheadCallerLimit is the number of idle callers that are kept because their start tag is
	// ahead of the virtual time. With one request of each of 35,000 teams, the virtual time does
	// not advance, so that all of them would be kept.
	aheadCallerLimit = 1024
)

func newFairQueue() *fairQueue {
	return &fairQueue{callers: map[string]*callerQueue{}}
}

func (q *fairQueue) push(w *queuedRequest) {
	c, ok := q.callers[w.request.Caller]
	if !ok {
		q.removeIdleCallers()
		c = &callerQueue{caller: w.request.Caller, startTag: q.virtualTime, activeIndex: -1}
		q.callers[w.request.Caller] = c
	}
	c.entries = append(c.entries, w)
	q.length++
	if c.activeIndex < 0 {
		c.startTag = max(c.startTag, q.virtualTime)
		heap.Push(&q.active, c)
	}
}

// removeIdleCallers removes idle callers whose start tag is not ahead of the virtual
// time, once there are many idle callers. Of the others it keeps the aheadCallerLimit that are
// furthest ahead. It searches again only when the number of idle callers has doubled, so that a
// search of all callers does not follow each new one.
func (q *fairQueue) removeIdleCallers() {
	if len(q.callers)-len(q.active) < max(len(q.active)+idleCallerLimit, q.removeAtIdle) {
		return
	}
	var ahead []*callerQueue
	for name, c := range q.callers {
		switch {
		case c.activeIndex >= 0:
		case c.startTag <= q.virtualTime:
			delete(q.callers, name)
		default:
			ahead = append(ahead, c)
		}
	}
	if excess := len(ahead) - aheadCallerLimit; excess > 0 {
		slices.SortFunc(ahead, func(a, b *callerQueue) int {
			return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.caller, b.caller))
		})
		for _, c := range ahead[:excess] {
			delete(q.callers, c.caller)
		}
		ahead = ahead[excess:]
	}
	q.removeAtIdle = 2 * len(ahead)
}

// longest returns the caller with the most queued requests, nil if there is none.
func (q *fairQueue) longest() *callerQueue {
	var result *callerQueue
	for _, c := range q.active {
		if result == nil || len(c.entries) > len(result.entries) {
			result = c
		}
	}
	return result
}

// count returns the number of requests that a caller has queued.
func (q *fairQueue) count(caller string) int {
	if c, ok := q.callers[caller]; ok {
		return len(c.entries)
	}
	return 0
}

// dequeue removes and returns the first request of a caller and charges its work.
func (q *fairQueue) dequeue(c *callerQueue, work float64) *queuedRequest {
	w := c.entries[0]
	q.virtualTime = max(q.virtualTime, c.startTag)
	q.charge(c, work)
	q.removeAt(c, 0)
	return w
}

// charge adds work, which may be negative, to the start tag of a caller.
func (q *fairQueue) charge(c *callerQueue, work float64) {
	c.startTag += work
	if c.activeIndex >= 0 {
		heap.Fix(&q.active, c.activeIndex)
	}
}

// adjustCharge adds the difference between actual and charged work to a caller, if the
// caller has not been removed.
func (q *fairQueue) adjustCharge(caller string, work float64) {
	if c, ok := q.callers[caller]; ok {
		q.charge(c, work)
	}
}

// remove removes a request and reports whether it was queued.
func (q *fairQueue) remove(w *queuedRequest) bool {
	c, ok := q.callers[w.request.Caller]
	if !ok {
		return false
	}
	for i, entry := range c.entries {
		if entry == w {
			q.removeAt(c, i)
			return true
		}
	}
	return false
}

func (q *fairQueue) removeAt(c *callerQueue, i int) {
	copy(c.entries[i:], c.entries[i+1:])
	c.entries[len(c.entries)-1] = nil
	c.entries = c.entries[:len(c.entries)-1]
	q.length--
	if len(c.entries) == 0 {
		heap.Remove(&q.active, c.activeIndex)
	}
}

// countAhead returns the number of requests that precede a new request of caller: all that
// the caller has queued, and of every other caller at most as many as the caller has with
// the new request.
func (q *fairQueue) countAhead(caller string) int {
	own := 1 + q.count(caller)
	count := own - 1
	for _, c := range q.active {
		if c.caller != caller {
			count += min(len(c.entries), own)
		}
	}
	return count
}

type callerHeap []*callerQueue

func (h callerHeap) Len() int { return len(h) }

func (h callerHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }

func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].activeIndex = i
	h[j].activeIndex = j
}

// Push appends x, which must be a *callerQueue.
func (h *callerHeap) Push(x any) {
	c := x.(*callerQueue)
	c.activeIndex = len(*h)
	*h = append(*h, c)
}

// Pop removes and returns the last *callerQueue.
func (h *callerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.activeIndex = -1
	*h = old[:len(old)-1]
	return last
}

// deadlineHeap orders queued requests by their latest start times.
type deadlineHeap []*queuedRequest

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push appends x, which must be a *queuedRequest.
func (h *deadlineHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.deadlineIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes and returns the last *queuedRequest.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.deadlineIndex = -1
	*h = old[:len(old)-1]
	return last
}

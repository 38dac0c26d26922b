package dispatch

import (
	"container/heap"
	"time"
)

// waiting is a queued request.
type queuedRequest struct {
	request Request
	// latestStart is the time after which the first-token target is missed.
	latestStart time.Time
	// blockedSince is the first time at which the request was next but did not fit.
	blockedSince time.Time
	// deadlineIndex is the position in the deadline heap, -1 when not in it.
	deadlineIndex int
	// isReturned is true for a caller that was refused and came back, turn when it was
	// told to, and returnedIndex its position in the heap of these.
	isRetry    bool
	retryAt    time.Time
	retryIndex int
}

// callerQueue holds the waiting requests of one caller in order of arrival.
type callerQueue struct {
	caller      string
	startTag    float64
	entries     []*queuedRequest
	activeIndex int
}

// fairQueue orders callers by start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time Fair Queueing", 1996): the caller with the least work granted so
// far is next, and a caller that was idle starts level with the others.
type fairQueue struct {
	active      callerHeap
	callers     map[string]*callerQueue
	virtualTime float64
	length      int
}

// idleCallers is the number of idle callers that are remembered before those
// without debt are removed.
const idleCallerLimit = 64

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

// sweep forgets idle callers that owe nothing.
func (q *fairQueue) removeIdleCallers() {
	if len(q.callers) < 2*len(q.active)+idleCallerLimit {
		return
	}
	for name, c := range q.callers {
		if c.activeIndex < 0 && c.startTag <= q.virtualTime {
			delete(q.callers, name)
		}
	}
}

// take removes the first entry of a caller and charges its work.
func (q *fairQueue) dequeue(c *callerQueue, work float64) *queuedRequest {
	w := c.entries[0]
	q.virtualTime = max(q.virtualTime, c.startTag)
	q.charge(c, work)
	q.removeAt(c, 0)
	return w
}

// charge adds work to what a caller has been granted. It may be negative.
func (q *fairQueue) charge(c *callerQueue, work float64) {
	c.startTag += work
	if c.activeIndex >= 0 {
		heap.Fix(&q.active, c.activeIndex)
	}
}

// correct charges work to a caller after the fact, if it is still known.
func (q *fairQueue) adjustCharge(caller string, work float64) {
	if c, ok := q.callers[caller]; ok {
		q.charge(c, work)
	}
}

// remove takes a request out of the queue and reports whether it was there.
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

// ahead returns the number of requests that go before one more request of
// caller: no caller goes before it with more requests than it has itself.
func (q *fairQueue) countAhead(caller string) int {
	own := 1
	if c, ok := q.callers[caller]; ok {
		own += len(c.entries)
	}
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

// Push appends a *callerQueue.
func (h *callerHeap) Push(x any) {
	c := x.(*callerQueue)
	c.activeIndex = len(*h)
	*h = append(*h, c)
}

// Pop removes the last *callerQueue.
func (h *callerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.activeIndex = -1
	*h = old[:len(old)-1]
	return last
}

// deadlineHeap orders waiting requests by the latest time to start them.
type deadlineHeap []*queuedRequest

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push appends a *waiting.
func (h *deadlineHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.deadlineIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last *waiting.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.deadlineIndex = -1
	*h = old[:len(old)-1]
	return last
}

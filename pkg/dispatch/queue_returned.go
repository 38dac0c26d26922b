package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// Callers that come back.
//
// In a burst beyond what the engines serve, requests that would miss their target are
// refused at once. When their callers come back the target has passed, so a fresh request
// that can still be served in time goes first; but a caller that is refused again is
// lost. The Planner therefore remembers whom it has refused. A request that comes back
// waits, up to a multiple of its target, for what fresh requests leave, and for a small
// part of all work, in the order of the times that callers were told. Who comes early has
// the same turn, and gains nothing.

const (
	// returnedShare is the part of granted work that callers who came back are owed while
	// fresh requests fill the engines.
	retryWorkShare = 0.03
	// returnedLoad is the load of a decode endpoint up to which they are served beyond
	// that, so that fresh requests find room.
	retryLoadLimit = 0.85
	// returnAfter is the least time to come back where turns are kept: the bursts of the
	// users' sites last four to five seconds, and who comes back in the same burst only
	// waits once more. Callers that wait less than they are told keep their turn as well.
	minRecordedRetryAfter = 3 * time.Second
	// maxTurns bounds the refused requests that are remembered, and turnLife the time
	// from which on their callers have given up.
	retryRecordLimit = 8192
	retryRecordTTL   = 15 * time.Second
)

// Fingerprint identifies requests with the same content, 0 for one that is not known.
type Fingerprint uint32

// turns holds the times at which refused callers were told to come back.
type retryTimes struct {
	records map[Fingerprint]retryRecord
	// order holds the fingerprints from the oldest on.
	order []Fingerprint
}

type retryRecord struct {
	retryAt    time.Time
	recordedAt time.Time
}

func newRetryTimes() *retryTimes {
	return &retryTimes{records: map[Fingerprint]retryRecord{}}
}

// note remembers when a caller was told to come back. One that is refused again keeps its
// first turn.
func (t *retryTimes) record(now time.Time, f Fingerprint, retryAt time.Time) {
	for len(t.order) > 0 && (len(t.order) >= retryRecordLimit || now.Sub(t.records[t.order[0]].recordedAt) > retryRecordTTL) {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
	if _, ok := t.records[f]; ok {
		return
	}
	t.records[f] = retryRecord{retryAt: retryAt, recordedAt: now}
	t.order = append(t.order, f)
}

// of returns the turn of a caller that comes back.
func (t *retryTimes) lookup(now time.Time, f Fingerprint) (time.Time, bool) {
	record, ok := t.records[f]
	return record.retryAt, ok && now.Sub(record.recordedAt) <= retryRecordTTL
}

// returnedHeap orders the waiting requests of callers that came back by their turns.
type retryHeap []*queuedRequest

func (h retryHeap) Len() int { return len(h) }

func (h retryHeap) Less(i, j int) bool { return h[i].retryAt.Before(h[j].retryAt) }

func (h retryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].retryIndex = i
	h[j].retryIndex = j
}

// Push appends a *waiting.
func (h *retryHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.retryIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last *waiting.
func (h *retryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.retryIndex = -1
	*h = old[:len(old)-1]
	return last
}

// offerReturned queues a request whose caller was refused before and came back.
func (p *Planner) offerRetry(now time.Time, request Request, retryAt time.Time, decisions []Decision) []Decision {
	target := float64(p.queues.ranks[request.Rank].targets.firstToken)
	latest := request.Arrival.Add(time.Duration(p.service.ReturnTargets*target) - p.minFirstTokenTime(request))
	if cause := p.unservableCause(request, latest); cause != "" {
		return append(decisions, p.reject(now, request, cause))
	}
	if p.predictRetryWait(now) > latest.Sub(now) {
		return append(decisions, p.reject(now, request, CauseTooLate))
	}
	if len(p.queues.queued) >= queuedRequestLimit {
		return append(decisions, p.reject(now, request, CauseQueueFull))
	}
	p.queues.pushRetry(&queuedRequest{request: request, latestStart: latest, deadlineIndex: -1, isRetry: true, retryAt: retryAt})
	return p.schedule(now, decisions)
}

// returnedWait returns the time for which one more caller that came back would wait.
func (p *Planner) predictRetryWait(now time.Time) time.Duration {
	total := p.throughput()
	if len(p.queues.queued) == 0 || math.IsInf(total, 1) {
		return 0
	}
	fresh := 0.0
	for _, r := range p.queues.ranks {
		fresh += r.arrivals.value(now)
	}
	spare := max(total-fresh, total*retryWorkShare)
	return time.Duration(float64(len(p.queues.queued)) / spare * float64(time.Second))
}

// grantReturned grants the request whose turn it is, if it fits and its decode endpoint
// is not fuller than mostLoad with it.
func (p *Planner) grantRetry(now time.Time, loadLimit float64) (Decision, bool) {
	if len(p.queues.retries) == 0 {
		return Decision{}, false
	}
	w := p.queues.retries[0]
	priority := p.retryPriority()
	choice, ok := p.place(now, w, priority)
	if !ok || 1-choice.free > loadLimit {
		return Decision{}, false
	}
	target := float64(p.queues.ranks[w.request.Rank].targets.firstToken)
	if now.Add(choice.firstToken).After(w.request.Arrival.Add(time.Duration(p.service.ReturnTargets * target))) {
		p.queues.remove(w.request.ID)
		return p.reject(now, w.request, CauseTooLate), true
	}
	work := p.workOf(w.request, choice)
	p.queues.remove(w.request.ID)
	p.queues.retryCredit -= work
	return p.book(now, w, priority, work, choice), true
}

// returnedPriority is the priority at the engines of callers that came back, after all
// ranks.
func (p *Planner) retryPriority() int {
	return len(p.queues.ranks)
}

// pushReturned queues a request whose caller came back.
func (q *rankQueues) pushRetry(w *queuedRequest) {
	heap.Push(&q.retries, w)
	q.queued[w.request.ID] = w
	heap.Push(&q.deadlines, w)
}

// creditReturned counts granted work of fresh requests in favour of those that came back.
func (q *rankQueues) creditRetries(work float64) {
	if len(q.retries) == 0 {
		q.retryCredit = 0
		return
	}
	q.retryCredit += retryWorkShare * work
}

// areReturnedOwed reports whether one that came back goes before fresh requests.
func (q *rankQueues) areRetriesOwed() bool {
	return len(q.retries) > 0 && q.retryCredit > 0
}

// fresh returns the number of queued requests of callers that were not refused before.
func (q *rankQueues) countFresh() int {
	return len(q.queued) - len(q.retries)
}

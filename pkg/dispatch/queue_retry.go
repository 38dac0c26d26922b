package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// Caller retries: requests that callers send again after a rejection.
//
// In a burst above the capacity of the engines, requests that would miss their target
// are rejected immediately. When their callers retry, the target has passed, so a fresh
// request that can still meet its target goes first. However, a caller that is rejected
// again gives up. The Planner therefore records the fingerprints of rejected requests. A
// retry may wait for a multiple of its target. Retries get the capacity that fresh requests
// leave, and a small share of all work. They are served in the order of the times at which
// their callers were to retry, so an early retry gains nothing.

const (
	// retryWorkShare is the share of granted work that is owed to retries while fresh
	// requests fill the engines.
	retryWorkShare = 0.03
	// retryLoadLimit is the load of a decode endpoint up to which retries are served
	// beyond that share. The rest of the endpoint is left for fresh requests.
	retryLoadLimit = 0.85
	// minRecordedRetryAfter is the minimum RetryAfter of a service whose retries are
	// recorded. The bursts at the users' sites last four to five seconds, and a retry within
	// the same burst only waits again. A caller that retries earlier also keeps its position
	// in the order.
	minRecordedRetryAfter = 3 * time.Second
	// retryRecordLimit is the maximum number of rejected requests that are recorded.
	// After retryRecordTTL their callers have given up.
	retryRecordLimit = 8192
	retryRecordTTL   = 15 * time.Second
)

// Fingerprint identifies requests with the same content. It is 0 if the content is not
// known.
type Fingerprint uint32

// retryTimes contains the times at which rejected callers are to retry.
type retryTimes struct {
	records map[Fingerprint]retryRecord
	// order contains the fingerprints, the oldest record first.
	order []Fingerprint
}

type retryRecord struct {
	retryAt    time.Time
	recordedAt time.Time
}

func newRetryTimes() *retryTimes {
	return &retryTimes{records: map[Fingerprint]retryRecord{}}
}

// record records the time at which a rejected caller is to retry. A caller that is
// rejected again keeps its first retry time.
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

// lookup returns the recorded retry time of a request, if there is one that has not
// expired.
func (t *retryTimes) lookup(now time.Time, f Fingerprint) (time.Time, bool) {
	record, ok := t.records[f]
	return record.retryAt, ok && now.Sub(record.recordedAt) <= retryRecordTTL
}

// retryHeap orders queued caller retries by their retry times.
type retryHeap []*queuedRequest

func (h retryHeap) Len() int { return len(h) }

func (h retryHeap) Less(i, j int) bool { return h[i].retryAt.Before(h[j].retryAt) }

func (h retryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].retryIndex = i
	h[j].retryIndex = j
}

// Push appends x, which must be a *queuedRequest.
func (h *retryHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.retryIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes and returns the last *queuedRequest.
func (h *retryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.retryIndex = -1
	*h = old[:len(old)-1]
	return last
}

// offerRetry queues or rejects a caller retry, as Offer does with a fresh request.
func (p *Planner) offerRetry(now time.Time, request Request, retryAt time.Time, decisions []Decision) []Decision {
	latest := request.Arrival.Add(p.returnTarget(request) - p.minFirstTokenTime(request))
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

// returnTarget returns the time for which a caller that has come back waits for its next token.
func (p *Planner) returnTarget(request Request) time.Duration {
	return time.Duration(max(p.service.ReturnTargets, 1) * float64(p.queues.ranks[request.Rank].targets.firstToken))
}

// predictRetryWait returns the time for which another caller retry would wait.
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

// grantRetry grants the first caller retry in the order, if it fits and the load of its
// decode endpoint with it is at most loadLimit. It rejects a retry that would miss its
// extended target.
func (p *Planner) grantRetry(now time.Time, loadLimit float64) (Decision, bool) {
	if len(p.queues.retries) == 0 {
		return Decision{}, false
	}
	w := p.queues.retries[0]
	priority := p.retryPriority()
	choice, ok := p.choosePlacement(now, w, priority)
	if !ok || 1-choice.freeShare > loadLimit {
		return Decision{}, false
	}
	if now.Add(choice.firstToken).After(w.request.Arrival.Add(p.returnTarget(w.request))) {
		p.queues.remove(w.request.ID)
		return p.reject(now, w.request, CauseTooLate), true
	}
	work := p.workOf(w.request, choice)
	p.queues.remove(w.request.ID)
	p.queues.retryCredit -= work
	return p.issueGrant(now, w, priority, work, choice), true
}

// retryPriority returns the priority that the engines receive with caller retries. It
// comes after all ranks.
func (p *Planner) retryPriority() int {
	return len(p.queues.ranks)
}

func (q *rankQueues) pushRetry(w *queuedRequest) {
	heap.Push(&q.retries, w)
	q.queued[w.request.ID] = w
	heap.Push(&q.deadlines, w)
}

// creditRetries credits a share of the granted work of fresh requests to the queued caller
// retries.
func (q *rankQueues) creditRetries(work float64) {
	if len(q.retries) == 0 {
		q.retryCredit = 0
		return
	}
	q.retryCredit += retryWorkShare * work
}

// areRetriesOwed reports whether the first caller retry goes before fresh requests.
func (q *rankQueues) areRetriesOwed() bool {
	return len(q.retries) > 0 && q.retryCredit > 0
}

// countFresh returns the number of queued requests that are neither caller retries nor resumed
// streams.
func (q *rankQueues) countFresh() int {
	return len(q.queued) - len(q.retries) - len(q.resumed)
}

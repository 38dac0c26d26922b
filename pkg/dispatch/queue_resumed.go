package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// Resumed streams: requests whose streams broke off and that their callers take up at the version
// that began them. Their callers wait for the next token, for a multiple of the first-token target,
// and the work for the earlier ones is lost if they go on nowhere. There are at most as many as
// streams were in progress. They go before fresh requests, in the order of their offers, and one that
// waits for a place at its version does not delay those of another.

// resumedTryLimit is the number of resumed streams that are tried in one scheduling pass.
const resumedTryLimit = 16

// offerResumed queues or rejects a resumed stream, as Offer does with a fresh request.
func (p *Planner) offerResumed(now time.Time, request Request, decisions []Decision) []Decision {
	latest := request.Arrival.Add(p.returnTarget(request) - p.minFirstTokenTime(request))
	if cause := p.unservableCause(request, latest); cause != "" {
		return append(decisions, p.reject(now, request, cause))
	}
	if p.predictResumedWait() > latest.Sub(now) {
		return append(decisions, p.reject(now, request, CauseTooLate))
	}
	if len(p.queues.queued) >= queuedRequestLimit {
		return append(decisions, p.reject(now, request, CauseQueueFull))
	}
	p.queues.pushResumed(&queuedRequest{request: request, latestStart: latest, deadlineIndex: -1})
	return p.schedule(now, decisions)
}

// predictResumedWait returns the time for which another resumed stream would wait.
func (p *Planner) predictResumedWait() time.Duration {
	total := p.throughput()
	if len(p.queues.resumed) == 0 || total <= 0 || math.IsInf(total, 1) {
		return 0
	}
	return time.Duration(float64(len(p.queues.resumed)) / total * float64(time.Second))
}

// grantResumed grants the first resumed stream that fits. It rejects one that fits and would be too
// late for its caller.
func (p *Planner) grantResumed(now time.Time) (Decision, bool) {
	for _, w := range p.queues.resumed[:min(len(p.queues.resumed), resumedTryLimit)] {
		priority := p.queues.priority(w.request.Rank)
		choice, ok := p.choosePlacement(now, w, priority)
		if !ok {
			p.saveForBlocked(now, w)
			continue
		}
		p.queues.remove(w.request.ID)
		p.releaseSaved(w)
		if now.Add(choice.firstToken).After(w.request.Arrival.Add(p.returnTarget(w.request))) {
			return p.reject(now, w.request, CauseTooLate), true
		}
		return p.issueGrant(now, w, priority, p.workOf(w.request, choice), choice), true
	}
	return Decision{}, false
}

func (q *rankQueues) pushResumed(w *queuedRequest) {
	q.resumed = append(q.resumed, w)
	q.queued[w.request.ID] = w
	heap.Push(&q.deadlines, w)
}

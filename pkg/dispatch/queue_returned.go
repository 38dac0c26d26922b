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
	returnedShare = 0.03
	// returnedLoad is the load of a decode endpoint up to which they are served beyond
	// that, so that fresh requests find room.
	returnedLoad = 0.85
	// returnAfter is the least time to come back where turns are kept: the bursts of the
	// users' sites last four to five seconds, and who comes back in the same burst only
	// waits once more. Callers that wait less than they are told keep their turn as well.
	returnAfter = 3 * time.Second
	// maxTurns bounds the refused requests that are remembered, and turnLife the time
	// from which on their callers have given up.
	maxTurns = 8192
	turnLife = 15 * time.Second
)

// Fingerprint identifies requests with the same content, 0 for one that is not known.
type Fingerprint uint32

// turns holds the times at which refused callers were told to come back.
type turns struct {
	told map[Fingerprint]toldTurn
	// order holds the fingerprints from the oldest on.
	order []Fingerprint
}

type toldTurn struct {
	at      time.Time
	notedAt time.Time
}

func newTurns() *turns {
	return &turns{told: map[Fingerprint]toldTurn{}}
}

// note remembers when a caller was told to come back. One that is refused again keeps its
// first turn.
func (t *turns) note(now time.Time, f Fingerprint, back time.Time) {
	for len(t.order) > 0 && (len(t.order) >= maxTurns || now.Sub(t.told[t.order[0]].notedAt) > turnLife) {
		delete(t.told, t.order[0])
		t.order = t.order[1:]
	}
	if _, ok := t.told[f]; ok {
		return
	}
	t.told[f] = toldTurn{at: back, notedAt: now}
	t.order = append(t.order, f)
}

// of returns the turn of a caller that comes back.
func (t *turns) of(now time.Time, f Fingerprint) (time.Time, bool) {
	told, ok := t.told[f]
	return told.at, ok && now.Sub(told.notedAt) <= turnLife
}

// returnedHeap orders the waiting requests of callers that came back by their turns.
type returnedHeap []*waiting

func (h returnedHeap) Len() int { return len(h) }

func (h returnedHeap) Less(i, j int) bool { return h[i].turn.Before(h[j].turn) }

func (h returnedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].returnedIndex = i
	h[j].returnedIndex = j
}

// Push appends a *waiting.
func (h *returnedHeap) Push(x any) {
	w := x.(*waiting)
	w.returnedIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last *waiting.
func (h *returnedHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.returnedIndex = -1
	*h = old[:len(old)-1]
	return last
}

// offerReturned queues a request whose caller was refused before and came back.
func (p *Planner) offerReturned(now time.Time, request Request, turn time.Time, decisions []Decision) []Decision {
	target := float64(p.queues.ranks[request.Rank].targets.firstToken)
	latest := request.Arrival.Add(time.Duration(p.service.ReturnTargets*target) - p.leastTime(request))
	if cause := p.unfit(request, latest); cause != "" {
		return append(decisions, p.refuse(now, request, cause))
	}
	if p.returnedWait(now) > latest.Sub(now) {
		return append(decisions, p.refuse(now, request, CauseTooLate))
	}
	if len(p.queues.queued) >= maxQueued {
		return append(decisions, p.refuse(now, request, CauseQueueFull))
	}
	p.queues.pushReturned(&waiting{request: request, latestStart: latest, deadlineIndex: -1, isReturned: true, turn: turn})
	return p.schedule(now, decisions)
}

// returnedWait returns the time for which one more caller that came back would wait.
func (p *Planner) returnedWait(now time.Time) time.Duration {
	total := p.throughput()
	if len(p.queues.queued) == 0 || math.IsInf(total, 1) {
		return 0
	}
	fresh := 0.0
	for _, r := range p.queues.ranks {
		fresh += r.arrivals.value(now)
	}
	spare := max(total-fresh, total*returnedShare)
	return time.Duration(float64(len(p.queues.queued)) / spare * float64(time.Second))
}

// grantReturned grants the request whose turn it is, if it fits and its decode endpoint
// is not fuller than mostLoad with it.
func (p *Planner) grantReturned(now time.Time, mostLoad float64) (Decision, bool) {
	if len(p.queues.returned) == 0 {
		return Decision{}, false
	}
	w := p.queues.returned[0]
	priority := p.returnedPriority()
	choice, ok := p.choosePlacement(now, w, priority)
	if !ok || 1-choice.freeShare > mostLoad {
		return Decision{}, false
	}
	target := float64(p.queues.ranks[w.request.Rank].targets.firstToken)
	if now.Add(choice.firstToken).After(w.request.Arrival.Add(time.Duration(p.service.ReturnTargets * target))) {
		p.queues.remove(w.request.ID)
		return p.refuse(now, w.request, CauseTooLate), true
	}
	work := p.workOf(w.request, choice)
	p.queues.remove(w.request.ID)
	p.queues.returnedCredit -= work
	return p.issueGrant(now, w, priority, work, choice), true
}

// returnedPriority is the priority at the engines of callers that came back, after all
// ranks.
func (p *Planner) returnedPriority() int {
	return len(p.queues.ranks)
}

// pushReturned queues a request whose caller came back.
func (q *rankQueues) pushReturned(w *waiting) {
	heap.Push(&q.returned, w)
	q.queued[w.request.ID] = w
	heap.Push(&q.deadlines, w)
}

// creditReturned counts granted work of fresh requests in favour of those that came back.
func (q *rankQueues) creditReturned(work float64) {
	if len(q.returned) == 0 {
		q.returnedCredit = 0
		return
	}
	q.returnedCredit += returnedShare * work
}

// areReturnedOwed reports whether one that came back goes before fresh requests.
func (q *rankQueues) areReturnedOwed() bool {
	return len(q.returned) > 0 && q.returnedCredit > 0
}

// fresh returns the number of queued requests of callers that were not refused before.
func (q *rankQueues) fresh() int {
	return len(q.queued) - len(q.returned)
}

package dispatch

import (
	"container/heap"
	"time"
)

// rankQueue holds the waiting requests of one rank.
type rankQueue struct {
	targets targets
	fair    *fairQueue
	// credit is the work that the rank may still claim for its floor. It grows
	// only while the rank and a more urgent one both wait.
	credit float64
	// arrivals is the rate of offered requests.
	arrivals rate
	// output is the mean number of generated tokens.
	output mean
	// slack is the mean time in seconds for which a request can wait.
	slack mean
}

// rankQueues orders requests by rank: the most urgent first, except that a rank
// which is owed work for its floor goes before. What a rank does not use of its
// floor goes to the others at once, since credit does not grow while it is idle.
type rankQueues struct {
	ranks     []*rankQueue
	deadlines deadlineHeap
	queued    map[RequestID]*queuedRequest
	order     []int
	// returned are those of callers that came back, and returnedCredit is the work that
	// they may claim before fresh requests.
	retries     retryHeap
	retryCredit float64
}

func newRankQueues(all []targets) *rankQueues {
	q := &rankQueues{queued: map[RequestID]*queuedRequest{}}
	for _, t := range all {
		q.ranks = append(q.ranks, &rankQueue{targets: t, fair: newFairQueue()})
	}
	return q
}

func (q *rankQueues) push(w *queuedRequest) {
	q.ranks[w.request.Rank].fair.push(w)
	q.queued[w.request.ID] = w
	heap.Push(&q.deadlines, w)
}

// remove takes a request out and reports whether it was queued.
func (q *rankQueues) remove(id RequestID) bool {
	w, ok := q.queued[id]
	if !ok {
		return false
	}
	if w.isRetry {
		heap.Remove(&q.retries, w.retryIndex)
	} else {
		q.ranks[w.request.Rank].fair.remove(w)
	}
	q.unindex(w)
	return true
}

func (q *rankQueues) unindex(w *queuedRequest) {
	delete(q.queued, w.request.ID)
	if w.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, w.deadlineIndex)
	}
}

// take removes the first request of a caller for a grant of the given work.
func (q *rankQueues) dequeue(rank int, c *callerQueue, work float64) *queuedRequest {
	q.settleCredits(rank, work)
	w := q.ranks[rank].fair.dequeue(c, work)
	q.unindex(w)
	return w
}

// settleCredits shares out granted work among the ranks that are kept waiting.
// The work is negative when less was done than had been charged.
func (q *rankQueues) settleCredits(granted int, work float64) {
	hasMoreUrgent := false
	for i, r := range q.ranks {
		if !hasMoreUrgent || r.fair.length == 0 {
			r.credit = 0
		} else {
			r.credit += r.targets.floorShare * work
			if i == granted {
				r.credit -= work
			}
		}
		hasMoreUrgent = hasMoreUrgent || r.fair.length > 0
	}
}

// isOwed reports whether a rank goes before more urgent ones for its floor.
func (q *rankQueues) isOwed(rank int) bool {
	r := q.ranks[rank]
	return r.fair.length > 0 && r.credit > 0
}

// priority returns the priority at the engines of a rank's next grant.
func (q *rankQueues) priority(rank int) int {
	if q.isOwed(rank) {
		return 0
	}
	return rank
}

// ordered returns the ranks with waiting requests in the order to try them.
func (q *rankQueues) schedulingOrder() []int {
	q.order = q.order[:0]
	for i := range q.ranks {
		if q.isOwed(i) {
			q.order = append(q.order, i)
		}
	}
	for i, r := range q.ranks {
		if r.fair.length > 0 && !q.isOwed(i) {
			q.order = append(q.order, i)
		}
	}
	return q.order
}

// expired removes and returns one request whose latest start has passed.
func (q *rankQueues) popExpired(now time.Time) (*queuedRequest, bool) {
	if len(q.deadlines) == 0 || q.deadlines[0].latestStart.After(now) {
		return nil, false
	}
	w := q.deadlines[0]
	q.remove(w.request.ID)
	return w, true
}

// moreUrgentWaiting returns the number of queued requests of more urgent ranks.
func (q *rankQueues) countMoreUrgent(rank int) int {
	count := 0
	for _, r := range q.ranks[:rank] {
		count += r.fair.length
	}
	return count
}

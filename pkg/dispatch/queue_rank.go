package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// rankQueue contains the queued requests of one rank, without caller retries.
type rankQueue struct {
	// name identifies the rank when the ranks of the service change.
	name    string
	targets targets
	fair    *fairQueue
	// credit is the work that the rank may still claim for its floor, in prompt tokens.
	// It grows only while both the rank and a more urgent one have queued requests.
	credit float64
	// arrivals is the rate of offered requests.
	arrivals rate
	// output is the mean number of generated tokens.
	output mean
	// slack is the mean time for which a request can wait, in seconds.
	slack mean
}

// rankQueues orders requests by rank. The most urgent rank is first, except that a
// rank with credit for its floor goes before it. The part of its floor that a rank does
// not use is immediately available to the others, because credit does not grow while
// the rank is idle.
type rankQueues struct {
	ranks     []*rankQueue
	deadlines deadlineHeap
	queued    map[RequestID]*queuedRequest
	order     []int
	// retries are the queued caller retries. retryCredit is the work, in prompt tokens,
	// that they may claim before fresh requests.
	retries     retryHeap
	retryCredit float64
	// resumed are the queued requests of resumed streams, in the order of their offers.
	resumed []*queuedRequest
}

func newRankQueue(rank ticket.Rank) *rankQueue {
	return &rankQueue{name: rank.Name, targets: targetsOf(rank), fair: newFairQueue()}
}

func newRankQueues(ranks []ticket.Rank) *rankQueues {
	q := &rankQueues{queued: map[RequestID]*queuedRequest{}}
	for _, rank := range ranks {
		q.ranks = append(q.ranks, newRankQueue(rank))
	}
	return q
}

func (q *rankQueues) push(w *queuedRequest) {
	q.ranks[w.request.Rank].fair.push(w)
	q.queued[w.request.ID] = w
	heap.Push(&q.deadlines, w)
}

// remove removes a request and reports whether it was queued.
func (q *rankQueues) remove(id RequestID) bool {
	w, ok := q.queued[id]
	if !ok {
		return false
	}
	switch {
	case w.isRetry:
		heap.Remove(&q.retries, w.retryIndex)
	case w.request.Resumed:
		q.resumed = slices.DeleteFunc(q.resumed, func(other *queuedRequest) bool { return other == w })
	default:
		q.ranks[w.request.Rank].fair.remove(w)
	}
	q.unindex(w)
	return true
}

// unindex removes a request that has left its queue from queued and deadlines.
func (q *rankQueues) unindex(w *queuedRequest) {
	delete(q.queued, w.request.ID)
	if w.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, w.deadlineIndex)
	}
}

// dequeue removes the first request of a caller for a grant of the given work.
func (q *rankQueues) dequeue(rank int, c *callerQueue, work float64) *queuedRequest {
	q.settleCredits(rank, work)
	w := q.ranks[rank].fair.dequeue(c, work)
	q.unindex(w)
	return w
}

// settleCredits credits granted work to the ranks that wait behind more urgent ones,
// by their floor shares, and charges it to the granted rank. The work is negative when
// less work was done than had been charged.
func (q *rankQueues) settleCredits(grantedRank int, work float64) {
	hasMoreUrgent := false
	for i, r := range q.ranks {
		if !hasMoreUrgent || r.fair.length == 0 {
			r.credit = 0
		} else {
			r.credit += r.targets.floorShare * work
			if i == grantedRank {
				r.credit -= work
			}
		}
		hasMoreUrgent = hasMoreUrgent || r.fair.length > 0
	}
}

// isOwed reports whether a rank has queued requests and credit for its floor, so that
// it goes before more urgent ranks.
func (q *rankQueues) isOwed(rank int) bool {
	r := q.ranks[rank]
	return r.fair.length > 0 && r.credit > 0
}

// priority returns the priority that the engines receive with a rank's next grant.
func (q *rankQueues) priority(rank int) int {
	if q.isOwed(rank) {
		return 0
	}
	return rank
}

// schedulingOrder returns the ranks with queued requests in the order in which to try
// them. The result is valid until the next call.
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

// popExpired removes and returns one request whose latest start time has passed.
func (q *rankQueues) popExpired(now time.Time) (*queuedRequest, bool) {
	if len(q.deadlines) == 0 || q.deadlines[0].latestStart.After(now) {
		return nil, false
	}
	w := q.deadlines[0]
	q.remove(w.request.ID)
	return w, true
}

// countMoreUrgent returns the number of queued requests of more urgent ranks.
func (q *rankQueues) countMoreUrgent(rank int) int {
	count := 0
	for _, r := range q.ranks[:rank] {
		count += r.fair.length
	}
	return count
}

package retry

import (
	"sync"
	"time"
)

// Part is what one daemon may repeat by itself in a window.
type Part struct {
	// OfRequests is the part of its own requests.
	OfRequests float64
	// Beyond is the number of repeats beyond that.
	Beyond float64
}

// Share is one daemon's account of a budget for all daemons of a site. A Share that is
// new counts as partly spent, since an earlier life of the daemon may have spent it.
type Share struct {
	mu       sync.Mutex
	start    time.Time
	window   time.Duration
	requests counter
	repeats  counter
	// deposits are what was given to the pool of what the requests allow.
	deposits counter
}

// NewShare returns the account of a daemon that starts now.
func NewShare(now time.Time, window time.Duration) *Share {
	return &Share{
		start: now, window: window,
		requests: newCounter(now, window), repeats: newCounter(now, window), deposits: newCounter(now, window),
	}
}

// Note notes the first sending of a request.
func (s *Share) Note(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests.add(now, 1)
}

// Take reports whether one more repeat is within a part, and takes it.
func (s *Share) Take(now time.Time, part Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	beyond := part.Beyond
	if now.Sub(s.start) < s.window {
		beyond *= firstPart
	}
	if s.left(now, part)+beyond < 1 {
		return false
	}
	s.repeats.add(now, 1)
	return true
}

// left returns what the requests of the window allow and was not used. The caller holds the
// lock.
func (s *Share) left(now time.Time, part Part) float64 {
	return part.OfRequests*s.requests.least(now) - s.repeats.most(now) - s.deposits.most(now)
}

// Deposit gives up what the requests of the window allow and was not used, a part of a
// repeat that this daemon cannot make use of, and returns it for the pool.
func (s *Share) Deposit(now time.Time, part Part) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	amount := max(s.left(now, part), 0)
	if amount > 0 {
		s.deposits.add(now, amount)
	}
	return amount
}

// firstPart is the part of a budget that is used in the first window after a start.
const firstPart = 0.4

// ramp is the part that a new keeper lends, since another one may have lent all of it.
func ramp(now, start time.Time, window time.Duration) float64 {
	age := now.Sub(start)
	if age >= window {
		return 1
	}
	return firstPart * float64(age) / float64(window)
}

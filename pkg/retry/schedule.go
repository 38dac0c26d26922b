package retry

import "time"

// Schedule assigns the times at which rejected requests should be sent again, in the order of their
// rejections, so that they do not all return when the first of them could be served. Nothing is
// reserved for them. The zero value is ready. It is not safe for concurrent use.
type Schedule struct {
	// next is the time that was last assigned.
	next time.Time
}

// Assign returns the time after which a rejected request should be sent again. wait is the time until it
// could be served if it were the only one, interval the time that it adds for those after it. When the
// times up to limit ahead are assigned, it begins again with the first.
func (s *Schedule) Assign(now time.Time, wait, interval, limit time.Duration) time.Duration {
	earliest := now.Add(wait)
	if at := s.next.Add(interval); s.next.After(now) && at.After(earliest) && at.Sub(now) <= limit {
		s.next = at
	} else {
		s.next = earliest
	}
	return s.next.Sub(now)
}

// Continue makes the times after a time follow it.
func (s *Schedule) Continue(after time.Time) {
	s.next = after
}

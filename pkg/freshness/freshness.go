// Package freshness decides whether a daemon's configuration is recent enough to accept the keys
// of callers.
//
// A confirmation is a moment at which the configuration was certainly the current one: the moment
// before the query to the store was sent whose response has been applied. Daemons pass it to each
// other as an age. All moments are measured on a clock that includes suspended time, so that a
// daemon that was suspended does not take an old confirmation for a recent one.
package freshness

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the host booted, including the time in which it was suspended.
type Clock func() time.Duration

// Boottime is the Clock of the host. It panics if the kernel lacks the clock, which all kernels
// since Linux 2.6.39 have.
func Boottime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("freshness: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(at.Nano())
}

// Tracker keeps the latest confirmation. It is safe for concurrent use.
type Tracker struct {
	within time.Duration
	// confirmedAt is the moment of the latest confirmation plus one nanosecond, 0 for none.
	confirmedAt atomic.Int64
	// graceUntil is the time until which a confirmation of an earlier era counts.
	graceUntil atomic.Int64
}

// restoreGrace is the time in which a daemon that hears of a restored store may confirm the new era
// before it counts as stale. It is two intervals between reads of peers. The earlier confirmation is
// of a moment before the restore, unless the store still serves the earlier era to some hosts.
const restoreGrace = time.Second

// NewTracker returns a Tracker without a confirmation. A configuration is fresh for less than
// within after it was confirmed.
func NewTracker(within time.Duration) *Tracker {
	return &Tracker{within: within}
}

// Confirm records that the configuration was current at askedAt, the moment before the query that
// shows it was sent. An earlier moment than the latest one changes nothing.
func (t *Tracker) Confirm(askedAt time.Duration) {
	moment := int64(max(askedAt, 0)) + 1
	for latest := t.confirmedAt.Load(); moment > latest && !t.confirmedAt.CompareAndSwap(latest, moment); latest = t.confirmedAt.Load() {
	}
}

// Reset removes the confirmation. Confirmations from before a restore of the store prove nothing
// about the restored one, and are not passed on. The daemon itself stays fresh for restoreGrace at
// most, and never longer than without the restore.
func (t *Tracker) Reset(now time.Duration) {
	if latest := t.confirmedAt.Load(); latest != 0 {
		t.graceUntil.Store(int64(min(now+restoreGrace, time.Duration(latest-1)+t.within)))
	}
	t.confirmedAt.Store(0)
}

// Age returns the time since the latest confirmation. It returns false if there is none.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	latest := t.confirmedAt.Load()
	if latest == 0 {
		return 0, false
	}
	return now - time.Duration(latest-1), true
}

// IsFresh reports whether the latest confirmation is recent enough.
func (t *Tracker) IsFresh(now time.Duration) bool {
	age, ok := t.Age(now)
	return ok && age < t.within || now < time.Duration(t.graceUntil.Load())
}

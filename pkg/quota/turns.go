package quota

import (
	"math"
	"time"
)

// turnLifetime is how long a host may use each of its turns. All hosts together can use in a window
// the turns that begin in it or up to turnLifetime before.
const turnLifetime = 4 * time.Second

// turns is the allowance of a host for a team without keeper and deputy. It consists of turns at even
// intervals, each for grain tokens. The phase of a host, from 0 to 1, is the offset of its turns. If
// the phases of the hosts are evenly spread, so are the turns of all of them.
type turns struct {
	// position is the number of turns of this host, including the current fraction of an interval.
	position  float64
	updatedAt time.Time
	// last is the number of the last turn that was begun, remaining is what is left of it.
	last      float64
	remaining float64
}

// newTurns returns turns of which the first begins after now. rate is the number of turns a second of
// this host.
func newTurns(now time.Time, rate, phase float64) *turns {
	position := math.Mod(float64(now.UnixMilli())/1000*rate+phase, 1)
	return &turns{position: position, updatedAt: now}
}

// take reports whether this host may use tokens now, and uses them if so.
func (t *turns) take(now time.Time, rate, grain, cost float64) bool {
	t.position += max(now.Sub(t.updatedAt).Seconds(), 0) * rate
	t.updatedAt = now
	if current := math.Floor(t.position); current > t.last {
		t.last, t.remaining = current, grain
	}
	if (t.position-t.last)/rate > turnLifetime.Seconds() {
		t.remaining = 0
	}
	if t.remaining < cost {
		return false
	}
	t.remaining -= cost
	return true
}

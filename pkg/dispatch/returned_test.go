package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

// crowd is a shard of one decode place whose callers come back with their turns.
type crowd struct {
	planner *dispatch.Planner
	now     time.Time
	last    dispatch.RequestID
	running dispatch.RequestID
}

func newCrowd() *crowd {
	s := layout(1, 1, 1, 64, 800*time.Millisecond)
	s.Service.ReturnTargets = 2.5
	return &crowd{planner: newPlanner(s), now: epoch}
}

// offer offers a request of a caller, and returns the decision on it, if there is one.
func (c *crowd) offer(caller dispatch.Fingerprint) (dispatch.RequestID, []dispatch.Decision) {
	c.last++
	decisions := c.planner.Offer(c.now, dispatch.Request{
		ID: c.last, Front: "front", Caller: "caller", PromptTokens: 200, OutputTokens: 200, Arrival: c.now, Fingerprint: caller,
	}, nil)
	c.note(decisions)
	return c.last, decisions
}

func (c *crowd) note(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.IsGrant() {
			c.running = d.Grant.ID
			c.planner.Prefilled(c.now, c.running, nil)
			c.planner.Started(c.now, c.running, nil)
		}
	}
}

// end ends what runs.
func (c *crowd) end() {
	c.now = c.now.Add(500 * time.Millisecond)
	running := c.running
	c.running = 0
	c.note(c.planner.Done(c.now, running, dispatch.Outcome{OutputTokens: 100}, nil))
}

// refuse has a caller refused, because its request waits for too long.
func (c *crowd) refuse(t *testing.T, caller dispatch.Fingerprint) time.Duration {
	t.Helper()
	_, decisions := c.offer(caller)
	if len(decisions) == 0 {
		c.now = c.now.Add(800 * time.Millisecond)
		decisions = c.planner.Tick(c.now, nil)
	}
	require.Len(t, decisions, 1)
	require.False(t, decisions[0].IsGrant())
	return decisions[0].Rejection.RetryAfter
}

func TestCallersComeBackInTheOrderInWhichTheyWereRefused(t *testing.T) {
	c := newCrowd()
	c.offer(1)
	first := c.refuse(t, 2)
	require.GreaterOrEqual(t, first, 3*time.Second)
	c.refuse(t, 3)
	c.now = c.now.Add(first)
	third, _ := c.offer(3)
	second, _ := c.offer(2)
	c.end()
	require.Equal(t, second, c.running, "it was refused first")
	c.end()
	require.Equal(t, third, c.running)
}

func TestFreshRequestGoesBeforeCallersThatCameBack(t *testing.T) {
	c := newCrowd()
	c.offer(1)
	back := c.refuse(t, 2)
	c.now = c.now.Add(back)
	c.offer(2)
	fresh, decisions := c.offer(3)
	require.Empty(t, decisions)
	c.end()
	require.Equal(t, fresh, c.running)
}

func TestCallersThatCameBackAreNotForgottenInAnOverload(t *testing.T) {
	c := newCrowd()
	c.offer(1)
	back := c.refuse(t, 2)
	c.now = c.now.Add(back)
	served := false
	for caller := dispatch.Fingerprint(10); caller < 80 && !served; caller++ {
		returned, _ := c.offer(2)
		c.offer(caller)
		c.end()
		served = c.running == returned
	}
	require.True(t, served)
}

func TestWhoComesBackEarlyGainsNothing(t *testing.T) {
	c := newCrowd()
	c.offer(1)
	first := c.refuse(t, 2)
	c.refuse(t, 3)
	// The second caller comes back at once, the first when it was told.
	c.now = c.now.Add(first - 400*time.Millisecond)
	early, _ := c.offer(3)
	c.now = c.now.Add(400 * time.Millisecond)
	patient, _ := c.offer(2)
	c.end()
	require.Equal(t, patient, c.running)
	c.end()
	require.Equal(t, early, c.running)
}

package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

// crowd is a shard of one decode place whose callers come back with their turns.
type retryFixture struct {
	planner *dispatch.Planner
	now     time.Time
	last    dispatch.RequestID
	running dispatch.RequestID
}

func newRetryFixture() *retryFixture {
	s := newShard(1, 1, 1, 64, 800*time.Millisecond)
	s.Service.ReturnTargets = 2.5
	return &retryFixture{planner: newPlanner(s), now: epoch}
}

// offer offers a request of a caller, and returns the decision on it, if there is one.
func (c *retryFixture) offer(caller dispatch.Fingerprint) (dispatch.RequestID, []dispatch.Decision) {
	c.last++
	decisions := c.planner.Offer(c.now, dispatch.Request{
		ID: c.last, Front: "front", Caller: "caller", PromptTokens: 200, OutputTokens: 200, Arrival: c.now, Fingerprint: caller,
	}, nil)
	c.startGranted(decisions)
	return c.last, decisions
}

func (c *retryFixture) startGranted(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.IsGrant() {
			c.running = d.Grant.ID
			c.planner.Prefilled(c.now, c.running, nil)
			c.planner.Started(c.now, c.running, nil)
		}
	}
}

// end ends what runs.
func (c *retryFixture) finishRunning() {
	c.now = c.now.Add(500 * time.Millisecond)
	running := c.running
	c.running = 0
	c.startGranted(c.planner.Done(c.now, running, dispatch.Outcome{OutputTokens: 100}, nil))
}

// refuse has a caller refused, because its request waits for too long.
func (c *retryFixture) offerRejected(t *testing.T, caller dispatch.Fingerprint) time.Duration {
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

func TestRetriesAreServedInOrderOfRejection(t *testing.T) {
	c := newRetryFixture()
	c.offer(1)
	first := c.offerRejected(t, 2)
	require.GreaterOrEqual(t, first, 3*time.Second)
	c.offerRejected(t, 3)
	c.now = c.now.Add(first)
	third, _ := c.offer(3)
	second, _ := c.offer(2)
	c.finishRunning()
	require.Equal(t, second, c.running, "it was refused first")
	c.finishRunning()
	require.Equal(t, third, c.running)
}

func TestFreshRequestIsServedBeforeRetries(t *testing.T) {
	c := newRetryFixture()
	c.offer(1)
	back := c.offerRejected(t, 2)
	c.now = c.now.Add(back)
	c.offer(2)
	fresh, decisions := c.offer(3)
	require.Empty(t, decisions)
	c.finishRunning()
	require.Equal(t, fresh, c.running)
}

func TestRetriesAreServedDuringOverload(t *testing.T) {
	c := newRetryFixture()
	c.offer(1)
	back := c.offerRejected(t, 2)
	c.now = c.now.Add(back)
	served := false
	for caller := dispatch.Fingerprint(10); caller < 80 && !served; caller++ {
		returned, _ := c.offer(2)
		c.offer(caller)
		c.finishRunning()
		served = c.running == returned
	}
	require.True(t, served)
}

func TestEarlyRetryGainsNoPriority(t *testing.T) {
	c := newRetryFixture()
	c.offer(1)
	first := c.offerRejected(t, 2)
	c.offerRejected(t, 3)
	// The second caller comes back at once, the first when it was told.
	c.now = c.now.Add(first - 400*time.Millisecond)
	early, _ := c.offer(3)
	c.now = c.now.Add(400 * time.Millisecond)
	onTime, _ := c.offer(2)
	c.finishRunning()
	require.Equal(t, onTime, c.running)
	c.finishRunning()
	require.Equal(t, early, c.running)
}

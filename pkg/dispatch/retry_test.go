package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
)

// retryFixture is a shard with one decode place that records the retry times of rejected
// callers.
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

// offer offers a request with a caller's fingerprint, and returns its ID and the
// decisions.
func (f *retryFixture) offer(caller dispatch.Fingerprint) (dispatch.RequestID, []dispatch.Decision) {
	f.last++
	decisions := f.planner.Offer(f.now, dispatch.Request{
		ID: f.last, Front: "front", Caller: "caller", PromptTokens: 200, OutputTokens: 200, Arrival: f.now, Fingerprint: caller,
	}, nil)
	f.startGranted(decisions)
	return f.last, decisions
}

func (f *retryFixture) startGranted(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.IsGrant() {
			f.running = d.Grant.ID
			f.planner.Prefilled(f.now, f.running, nil)
			f.planner.Started(f.now, f.running, nil)
		}
	}
}

// finishRunning finishes the running request 500 ms later.
func (f *retryFixture) finishRunning() {
	f.now = f.now.Add(500 * time.Millisecond)
	running := f.running
	f.running = 0
	f.startGranted(f.planner.Done(f.now, running, dispatch.Outcome{OutputTokens: 100}, nil))
}

// offerRejected offers a request that is rejected because it would miss its target, and
// returns the time after which to retry.
func (f *retryFixture) offerRejected(t *testing.T, caller dispatch.Fingerprint) time.Duration {
	t.Helper()
	_, decisions := f.offer(caller)
	if len(decisions) == 0 {
		f.now = f.now.Add(800 * time.Millisecond)
		decisions = f.planner.Tick(f.now, nil)
	}
	require.Len(t, decisions, 1)
	require.False(t, decisions[0].IsGrant())
	return decisions[0].Rejection.RetryAfter
}

func TestRetriesAreServedInOrderOfRejection(t *testing.T) {
	f := newRetryFixture()
	f.offer(1)
	first := f.offerRejected(t, 2)
	require.GreaterOrEqual(t, first, 3*time.Second)
	f.offerRejected(t, 3)
	f.now = f.now.Add(first)
	third, _ := f.offer(3)
	second, _ := f.offer(2)
	f.finishRunning()
	require.Equal(t, second, f.running, "the caller that was rejected first must be served first")
	f.finishRunning()
	require.Equal(t, third, f.running)
}

func TestFreshRequestIsServedBeforeRetries(t *testing.T) {
	f := newRetryFixture()
	f.offer(1)
	retryAfter := f.offerRejected(t, 2)
	f.now = f.now.Add(retryAfter)
	f.offer(2)
	fresh, decisions := f.offer(3)
	require.Empty(t, decisions)
	f.finishRunning()
	require.Equal(t, fresh, f.running)
}

func TestRetriesAreServedDuringOverload(t *testing.T) {
	f := newRetryFixture()
	f.offer(1)
	retryAfter := f.offerRejected(t, 2)
	f.now = f.now.Add(retryAfter)
	served := false
	for caller := dispatch.Fingerprint(10); caller < 80 && !served; caller++ {
		retry, _ := f.offer(2)
		f.offer(caller)
		f.finishRunning()
		served = f.running == retry
	}
	require.True(t, served)
}

func TestEarlyRetryGainsNoPriority(t *testing.T) {
	f := newRetryFixture()
	f.offer(1)
	first := f.offerRejected(t, 2)
	f.offerRejected(t, 3)
	// Caller 3 retries before its time, 400 ms before caller 2 retries at its time.
	f.now = f.now.Add(first - 400*time.Millisecond)
	early, _ := f.offer(3)
	f.now = f.now.Add(400 * time.Millisecond)
	onTime, _ := f.offer(2)
	f.finishRunning()
	require.Equal(t, onTime, f.running)
	f.finishRunning()
	require.Equal(t, early, f.running)
}

package decision_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/emulator"
)

// burstScenario returns a shard with bursts of about twice its capacity. Each caller retries
// once after a rejection. The fraction impatient of the retries ignores the suggested delay.
func burstScenario(seed uint64, impatient, returnTargets float64) emulator.Scenario {
	s := cairo()
	r := ranks(800*time.Millisecond, 2*time.Second, 50*time.Millisecond, 100*time.Millisecond)
	s.Seed, s.Duration, s.Load, s.RetryLimit, s.ImpatientShare, s.ReturnTargets = seed, 5*time.Minute, 0.75, 1, impatient, returnTargets
	for i := range s.Ranks {
		s.Ranks[i].Rank = r[i]
	}
	for at := 60 * time.Second; at < s.Duration; at += 30 * time.Second {
		for rank := range s.Ranks {
			s.Bursts = append(s.Bursts, emulator.Burst{Rank: rank, From: at, Duration: 5 * time.Second, Factor: 2.2})
		}
	}
	return s
}

// servedShare returns the fraction of the measured requests that were served, in target or
// late.
func servedShare(r emulator.Run) float64 {
	served, all := 0, 0
	for _, request := range r.Requests {
		if request.Measured {
			all++
			if request.Outcome == emulator.Served {
				served++
			}
		}
	}
	return float64(served) / float64(all)
}

// TestReturnTargetsRaiseGoodputAfterBursts compares bursts with and without ReturnTargets,
// which gives callers that retry after a rejection a slot in the scheduling order. With it,
// more requests must be served in target, and at least as many in total.
func TestReturnTargetsRaiseGoodputAfterBursts(t *testing.T) {
	for _, impatient := range []float64{0, 0.3} {
		var served, inTarget [2]float64
		for seed := range uint64(4) {
			for i, targets := range []float64{0, 2.5} {
				run := emulator.Simulate(burstScenario(seed+1, impatient, targets), emulator.Contenders[0])
				require.Zero(t, run.HoldMismatches)
				served[i] += servedShare(run) / 4
				inTarget[i] += run.InTargetShare(nil) / 4
			}
		}
		t.Logf("impatient %.1f: served %.4f -> %.4f, in target %.4f -> %.4f", impatient, served[0], served[1], inTarget[0], inTarget[1])
		require.Greater(t, inTarget[1], inTarget[0]+0.01)
		require.GreaterOrEqual(t, served[1], served[0])
	}
}

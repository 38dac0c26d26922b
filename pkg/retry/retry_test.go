package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/retry"
)

func TestRetriesStayAShareOfTraffic(t *testing.T) {
	budget := retry.NewBudget(0.1)
	const requests = 10000
	spent := 0
	for range requests {
		budget.Earn()
		for range 3 {
			if budget.Spend() {
				spent++
			}
		}
	}
	require.LessOrEqual(t, spent, requests/10+10)
	require.GreaterOrEqual(t, spent, requests/10)
}

func TestBackoffIsBoundedAndRepeatable(t *testing.T) {
	for attempt := 1; attempt < 40; attempt++ {
		first := retry.Backoff(attempt, rand.New(rand.NewPCG(1, uint64(attempt))))
		second := retry.Backoff(attempt, rand.New(rand.NewPCG(1, uint64(attempt))))
		require.Equal(t, first, second)
		require.Positive(t, first)
		require.LessOrEqual(t, first, time.Second)
	}
}

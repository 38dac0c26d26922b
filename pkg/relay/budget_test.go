package relay_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/pkg/relay"
	"github.com/turmerictide/turmerictide/pkg/retry"
)

// TestDaemonsTogetherKeepToTheBudget replays a window in which every request fails
// and is sent again as often as it may be, at daemons of which a third start anew.
func TestDaemonsTogetherKeepToTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := relay.BudgetSettings{Share: 0.2, Slack: float64(rapid.IntRange(5, 200).Draw(rt, "slack"))}
		daemons := rapid.IntRange(1, 40).Draw(rt, "daemons")
		start := func() *retry.Budget {
			share, burst := settings.Part(daemons)
			b := retry.NewBudget(share)
			b.SetBurst(burst)
			return b
		}
		budgets := make([]*retry.Budget, daemons)
		for i := range budgets {
			budgets[i] = start()
		}
		starts, requests, repeats := daemons/3, 0, 0
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		for range rapid.IntRange(1, 4000).Draw(rt, "requests") {
			i := random.IntN(daemons)
			if starts > 0 && random.IntN(8) == 0 {
				starts--
				budgets[i] = start()
			}
			budgets[i].Earn()
			requests++
			for budgets[i].Spend() {
				repeats++
			}
		}
		require.LessOrEqual(rt, float64(repeats), settings.Share*float64(requests)+settings.Slack)
	})
}

package relay_test

import (
	"context"
	"os"
	"testing"

	"github.com/turmerictide/turmerictide/internal/seed"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/retry"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m))
}

// noPool grants no retries.
func denyRetry(context.Context, string, *retry.LocalBudget, retry.Allowance) bool { return false }

// takesConnections is a probe that finds every endpoint reachable.
func probeSucceeds(context.Context, directory.Endpoint) error { return nil }

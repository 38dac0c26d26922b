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

// noPool lends no repeats.
func noPool(context.Context, string, *retry.LocalBudget, retry.Allowance) bool { return false }

// takesConnections is the look at an endpoint that lives.
func takesConnections(context.Context, directory.Endpoint) error { return nil }

package dispatch

import (
	"context"
	"time"
)

// repeat calls act once a period until ctx ends, and returns its error.
func runPeriodically(ctx context.Context, period time.Duration, run func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			run()
		}
	}
}

package dispatch

import (
	"context"
	"time"
)

// runPeriodically calls run once per period until ctx is done, and returns the error of
// ctx.
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

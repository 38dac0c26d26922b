package dispatch_test

import (
	"os"
	"testing"

	"github.com/turmerictide/turmerictide/internal/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m))
}

// allHostsEligible returns all hosts as eligible owners of shards.
func allHostsEligible(hosts []string) []string { return hosts }

// alwaysStartedTogether reports that all hosts started with this one.
func alwaysStartedTogether() bool { return true }

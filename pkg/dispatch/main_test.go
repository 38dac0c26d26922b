package dispatch_test

import (
	"os"
	"testing"

	"github.com/turmerictide/turmerictide/internal/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m))
}

// sameHosts takes all hosts for capable of owning shards.
func allHostsEligible(hosts []string) []string { return hosts }

// startTogether takes all hosts for started with this one.
func alwaysStartedTogether() bool { return true }

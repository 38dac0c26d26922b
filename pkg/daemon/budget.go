package daemon

import (
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// retryKeeper returns the host that keeps the retry pool of a service for this zone. Each
// availability zone has its own pool, so that a partitioned zone still has its part of
// the budget.
func (d *PlatformDaemon) retryKeeper(service string) string {
	zone := d.self.AvailabilityZone
	return shard.Owner("retry/"+service+"/"+zone, d.members.EligibleOwners(d.members.Hosts(zone)))
}

// retryPoolSize returns the number of retries that the pool of this zone grants in a
// window. A partitioned daemon that reaches no other one grants the part of one daemon.
func (d *PlatformDaemon) retryPoolSize() float64 {
	d.settingsMu.Lock()
	budget := budgetSettings(d.settings)
	d.settingsMu.Unlock()
	return budget.PoolTokens(len(d.members.Hosts(d.self.AvailabilityZone)), d.countPeakDaemons())
}

// updateRetryPools opens the retry pools of which this daemon is now the keeper, and drops
// those of which it no longer is.
func (d *PlatformDaemon) updateRetryPools(state *directory.State) {
	if state == nil {
		return
	}
	services := make([]string, 0, len(state.Config.Services))
	for name := range state.Config.Services {
		services = append(services, name)
	}
	d.retries.UpdateServices(services)
}

// countPeakDaemons returns the number of daemons among which the retry budget is divided.
// This is the largest recent number of live or registered daemons: a daemon that is no longer
// reachable, or that this one has not met since its start, may use its part.
func (d *PlatformDaemon) countPeakDaemons() int {
	return d.peakDaemons.update(d.now(), max(d.countDaemons(), int(d.registeredDaemons.Load())))
}

// peakDaemonsPeriod is the time for which lost daemons still count. It is longer than
// the default window of the budget, 10 s, plus the time until the loss of a daemon is
// detected, about 5 s.
const peakDaemonsPeriod = 20 * time.Second

// recentPeak is the largest value of the last one to two periods.
type recentPeak struct {
	mu sync.Mutex
	// current and previous are the largest values of the current and the previous period.
	current, previous int
	periodStart       time.Time
}

// update adds a value and returns the largest value of the last one to two periods.
func (p *recentPeak) update(now time.Time, value int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch age := now.Sub(p.periodStart); {
	case age >= 2*peakDaemonsPeriod:
		p.previous, p.current, p.periodStart = 0, 0, now
	case age >= peakDaemonsPeriod:
		p.previous, p.current, p.periodStart = p.current, 0, now
	}
	p.current = max(p.current, value)
	return max(p.current, p.previous)
}

package daemon

import (
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// keeperOf returns the host that keeps the retry pool of a service for this zone. Each
// availability zone has a pool of its own, so that one which is cut off has its part.
func (d *PlatformDaemon) keeperOf(service string) string {
	zone := d.self.AvailabilityZone
	return shard.Owner("retry/"+service+"/"+zone, d.members.EligibleOwners(d.members.Hosts(zone)))
}

// pooledRetries returns the repeats that the pool of this zone lends in a window. A daemon
// that is cut off alone sees itself only, and lends the part of one.
func (d *PlatformDaemon) pooledRetries() float64 {
	d.reloading.Lock()
	budget := budgetSettings(d.settings)
	d.reloading.Unlock()
	return budget.PoolTokens(len(d.members.Hosts(d.self.AvailabilityZone)), d.countSharers())
}

// keepRetries takes over the retry pools that this daemon is to keep.
func (d *PlatformDaemon) keepRetries(state *directory.State) {
	if state == nil {
		return
	}
	services := make([]string, 0, len(state.Config.Services))
	for name := range state.Config.Services {
		services = append(services, name)
	}
	d.retries.UpdateServices(services)
}

// countSharers returns the number of daemons among which the retry budget is divided: the
// most that lived in the last windows, since those that are cut off go on using their
// part.
func (d *PlatformDaemon) countSharers() int {
	return d.sharers.note(d.now(), d.countDaemons())
}

// sharerMemory is the time for which daemons that are not heard of still count: above a
// window of the budget and the time in which a lost daemon is noticed.
const sharerMemory = 20 * time.Second

// highWater is the largest value of the last time.
type highWater struct {
	mu sync.Mutex
	// present and last are the largest values of the present period and the one before.
	present, last int
	since         time.Time
}

// note takes a value and returns the largest of the last one to two periods.
func (h *highWater) note(now time.Time, value int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch age := now.Sub(h.since); {
	case age >= 2*sharerMemory:
		h.last, h.present, h.since = 0, 0, now
	case age >= sharerMemory:
		h.last, h.present, h.since = h.present, 0, now
	}
	h.present = max(h.present, value)
	return max(h.present, h.last)
}

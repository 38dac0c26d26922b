package daemon

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/capacity"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// buildCapacity builds the exchange of evidence on plain endpoints, if the settings ask for it.
func (d *PlatformDaemon) buildCapacity() {
	if !d.settings.Capacity.Shared {
		return
	}
	d.capacity = capacity.NewAgent(capacity.Config{
		Host: d.self.Host, Publish: d.mesh.Publish, Aggregator: d.capacityAggregator, Hosts: d.countDaemons,
		Endpoints: d.plainEndpoints, Target: d.plainTarget, Now: d.now, Log: d.log.WithName("capacity"),
	})
}

// capacityAggregator returns the host that merges the evidence on the endpoints of a service.
func (d *PlatformDaemon) capacityAggregator(service string) string {
	return shard.Owner("capacity/"+service, d.members.EligibleOwners(d.members.Hosts("")))
}

// plainEndpoints returns the endpoints of a plain service.
func (d *PlatformDaemon) plainEndpoints(service string) []directory.Endpoint {
	state := d.directory.Current()
	if state == nil {
		return nil
	}
	return state.Serving(service)
}

// plainTarget returns the shortest latency target of the routes to a service, 0 if it has none.
func (d *PlatformDaemon) plainTarget(service string) time.Duration {
	state := d.directory.Current()
	if state == nil {
		return 0
	}
	return state.Target(service)
}

// The names of the gauges of what hosts learn together. That of the endpoint follows, or of the service for
// the age.
const (
	nameCapacityWork        = "capacity_work_milliseconds_"
	nameCapacityRate        = "capacity_rate_"
	nameCapacityConcurrency = "capacity_concurrency_"
	nameCapacityAge         = "capacity_age_milliseconds_"
)

// capacityGauges returns the values of the gauges of what hosts learn together.
func capacityGauges(known []capacity.Status) map[string]int64 {
	values := make(map[string]int64, len(known)*4)
	for _, s := range known {
		values[nameCapacityWork+s.Endpoint] = s.Estimate.Work.Milliseconds()
		values[nameCapacityRate+s.Endpoint] = int64(s.Estimate.Rate)
		values[nameCapacityConcurrency+s.Endpoint] = int64(s.Estimate.Concurrency)
		values[nameCapacityAge+s.Service] = s.Age.Milliseconds()
	}
	return values
}

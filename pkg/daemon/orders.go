package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/lease"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/platform"
)

const (
	// orderKeyPrefix is the prefix of the store keys that hold the leases. There is one
	// lease for each engine that is ordered to change its role.
	orderKeyPrefix = "turmerictide/orders/"
	// orderLeaseTTL is the time for which no other daemon may send orders to the
	// engine: twice the 3 s window in which the platform looks for alternating holders.
	orderLeaseTTL = 6 * time.Second
	// roleChangeTimeout is the time in which an engine gets its new role, including a
	// late execution of the order.
	roleChangeTimeout = 14 * time.Second
	// orderTimeout is the time in which the lease must be acquired and the order sent.
	// It is much shorter than the lease.
	orderTimeout = 2 * time.Second
)

// orders sends orders to engines. It holds a lease for each order and sends the lease's
// fencing token with it.
type orders struct {
	host      string
	leases    *lease.Acquirer
	endpoints platform.EndpointClient
}

// send orders one engine to change its role.
func (o *orders) send(move dispatch.Move) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	value, err := link.Encode(wireMove{Host: o.host, Endpoint: move.Endpoint.Name, Role: string(move.Role)})
	if err != nil {
		return errors.Newf("encode move: %w", err)
	}
	fencing, err := o.leases.Acquire(ctx, orderKeyPrefix+move.Endpoint.Name, value)
	if err != nil {
		return errors.Newf("acquire lease: %w", err)
	}
	if err := o.endpoints.SendOrder(ctx, move.Endpoint.Name, move.Endpoint.Address, move.Role, o.host, fencing); err != nil {
		return errors.Newf("send order: %w", err)
	}
	return nil
}

// moveEngine executes a move that the owner of a shard has decided. The engine gets no
// new work until its role has changed, the order has failed or the change has timed out.
func (d *PlatformDaemon) moveEngine(service string, move dispatch.Move) {
	log := d.log.WithName("orders").WithValues("service", service, "endpoint", move.Endpoint.Name, "role", move.Role)
	log.Info("engine is to change its role", "serves_per_second", move.ThroughputBefore, "would_serve_per_second", move.ThroughputAfter)
	if e, ok := d.directory.Current().Endpoints[move.Endpoint.Name]; ok {
		_, isHeldOff := d.holdoffs.Until(d.now(), e.Name, e.Born)
		if isHeldOff || d.limitGate.IsLimited(e.Name, e.Born) {
			log.Info("role change of engine was not ordered", "error", "it has requested a hold-off or names a rate limit")
			d.dispatcher.DropMove(service, move.Endpoint.Name)
			return
		}
	}
	go func() {
		d.dispatcher.SetReportedLeaving(move.Endpoint.Name, true)
		if err := d.orders.send(move); err != nil {
			log.Info("role change of engine was not ordered", "error", err.Error())
			d.dispatcher.SetReportedLeaving(move.Endpoint.Name, false)
			d.dispatcher.DropMove(service, move.Endpoint.Name)
			return
		}
		log.Info("role change of engine was ordered")
		d.awaitRole(move.Endpoint.Name, move.Role)
		d.dispatcher.SetReportedLeaving(move.Endpoint.Name, false)
	}()
}

// updateMovingEngines excludes the engines that another daemon has ordered to change
// their role from new work, until they have changed or the lease of the order expires.
func (d *PlatformDaemon) updateMovingEngines(content store.Content) {
	state := d.directory.Current()
	if state == nil {
		return
	}
	moving := map[string]bool{}
	for _, move := range d.moves.read(d.now(), content) {
		if e, ok := state.Endpoints[move.Endpoint]; ok && e.Role != ticket.Role(move.Role) && move.Host != d.self.Host {
			moving[move.Endpoint] = true
		}
	}
	d.dispatcher.SetMovingEngines(moving)
}

// rolePollInterval is the interval between checks whether an engine has changed its role.
const rolePollInterval = 200 * time.Millisecond

// awaitRole returns when an engine has its new role or was removed, or after
// roleChangeTimeout.
func (d *PlatformDaemon) awaitRole(endpoint string, role ticket.Role) {
	for deadline := d.now().Add(roleChangeTimeout); d.now().Before(deadline); {
		state := d.directory.Current()
		if e, ok := state.Endpoints[endpoint]; !ok || e.Role == role {
			return
		}
		time.Sleep(rolePollInterval)
	}
}

package daemon

import (
	"context"
	"strings"
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
	// orderKeyPrefix begins the store's keys of the leases, one an engine, under which
	// engines are ordered to change their role.
	orderKeyPrefix = "turmerictide/orders/"
	// orderLease is the time for which no other daemon may give orders to the engine:
	// twice the 3 s in which the platform looks for holders that take turns.
	orderLease = 6 * time.Second
	// roleTimeout is the time in which an engine has its new role, also when the
	// order is carried out late.
	roleTimeout = 14 * time.Second
	// orderTimeout is the time from the start of taking the lease in which the
	// order must be sent, far below the lease.
	orderTimeout = 2 * time.Second
)

// orders gives orders to engines, under a lease and with its fencing number.
type orders struct {
	host      string
	leases    *lease.Acquirer
	endpoints platform.EndpointClient
}

// move orders one engine to change its role.
func (o *orders) move(move dispatch.Move) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	value, err := link.Encode(wireMove{Host: o.host, Endpoint: move.Endpoint.Name, Role: string(move.Role)})
	if err != nil {
		return errors.Newf("encode move: %w", err)
	}
	fencing, err := o.leases.Acquire(ctx, orderKeyPrefix+move.Endpoint.Name, value)
	if err != nil {
		return errors.Newf("take lease: %w", err)
	}
	if err := o.endpoints.SendOrder(ctx, move.Endpoint.Name, move.Endpoint.Address, move.Role, o.host, fencing); err != nil {
		return errors.Newf("send order: %w", err)
	}
	return nil
}

// wireMove tells the other daemons which engine changes its role.
type wireMove struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Endpoint string
	Role     string
}

// moveEngine carries out a move that the owner of a shard has decided on. The engine
// gets no new work until it has changed, or will not.
func (d *PlatformDaemon) moveEngine(service string, move dispatch.Move) {
	log := d.log.WithName("orders").WithValues("service", service, "endpoint", move.Endpoint.Name, "role", move.Role)
	log.Info("engine is to change its role", "serves_per_second", move.ThroughputBefore, "would_serve_per_second", move.ThroughputAfter)
	if e, ok := d.directory.Current().Endpoints[move.Endpoint.Name]; ok {
		if _, heldOff := d.holdoffs.Until(d.now(), e.Name, e.Born); heldOff {
			log.Info("engine was not ordered", "error", "it wants no requests now")
			d.dispatcher.RetryMove(service, move.Endpoint.Name)
			return
		}
	}
	go func() {
		d.dispatcher.SetReportedLeaving(move.Endpoint.Name, true)
		if err := d.orders.move(move); err != nil {
			log.Info("engine was not ordered", "error", err.Error())
			d.dispatcher.SetReportedLeaving(move.Endpoint.Name, false)
			d.dispatcher.RetryMove(service, move.Endpoint.Name)
			return
		}
		log.Info("engine was ordered")
		d.awaitRole(move.Endpoint.Name, move.Role)
		d.dispatcher.SetReportedLeaving(move.Endpoint.Name, false)
	}()
}

// movesChanged closes the engines that change their role by the order of any
// daemon, as long as the lease of the order lasts.
func (d *PlatformDaemon) movesChanged(content store.Content) {
	state := d.directory.Current()
	if state == nil {
		return
	}
	moving := map[string]bool{}
	for key, entry := range content.Entries {
		if !strings.HasPrefix(key, orderKeyPrefix) {
			continue
		}
		var wire wireMove
		if err := link.Decode(entry.Value, &wire); err != nil {
			d.log.Info("move of an engine cannot be read", "key", key, "error", err.Error())
			continue
		}
		if e, ok := state.Endpoints[wire.Endpoint]; ok && e.Role != ticket.Role(wire.Role) && wire.Host != d.self.Host {
			moving[wire.Endpoint] = true
		}
	}
	d.dispatcher.SetMovingEngines(moving)
}

// rolePeriod spaces the looks at whether an engine has changed its role.
const rolePeriod = 200 * time.Millisecond

// awaitRole returns when an engine has its new role, or has not in time.
func (d *PlatformDaemon) awaitRole(endpoint string, role ticket.Role) {
	for deadline := d.now().Add(roleTimeout); d.now().Before(deadline); {
		state := d.directory.Current()
		if e, ok := state.Endpoints[endpoint]; !ok || e.Role == role {
			return
		}
		time.Sleep(rolePeriod)
	}
}

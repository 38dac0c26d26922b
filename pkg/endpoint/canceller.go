package endpoint

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// cancelPeriod spaces the orders to one endpoint.
	cancelPeriod = 500 * time.Millisecond
	// cancelCallTimeout bounds one order.
	cancelCallTimeout = time.Second
	// cancelTime bounds all orders for one request. What an endpoint runs after
	// that is found by reconciliation.
	cancelTime = time.Minute
)

// Canceller repeats cancel orders until they are confirmed.
type Canceller struct {
	engine *Engine
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewCanceller returns a Canceller.
func NewCanceller(engine *Engine) *Canceller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Canceller{engine: engine, ctx: ctx, cancel: cancel}
}

// Cancel ends a request at an endpoint in the background and then calls
// confirmed: when the endpoint runs it no more, or after a minute of attempts.
func (c *Canceller) Cancel(address netip.AddrPort, call Call, confirmed func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.insist(address, call)
		confirmed()
	}()
}

func (c *Canceller) insist(address netip.AddrPort, call Call) {
	ctx, cancel := context.WithTimeout(c.ctx, cancelTime)
	defer cancel()
	for ctx.Err() == nil {
		err := c.once(ctx, address, call)
		if err == nil || errors.Is(err, ErrRejected) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(cancelPeriod):
		}
	}
}

func (c *Canceller) once(parent context.Context, address netip.AddrPort, call Call) error {
	ctx, cancel := context.WithTimeout(parent, cancelCallTimeout)
	defer cancel()
	return c.engine.Cancel(ctx, address, call)
}

// Close abandons what is not confirmed.
func (c *Canceller) Close() {
	c.cancel()
	c.wait.Wait()
}

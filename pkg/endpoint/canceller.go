package endpoint

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// cancelInterval is the interval between cancel calls for one request.
	cancelInterval = 500 * time.Millisecond
	// cancelCallTimeout limits one cancel call.
	cancelCallTimeout = time.Second
	// cancelTimeout limits all cancel calls for one request. Reconciliation finds
	// a request that still runs after that.
	cancelTimeout = time.Minute
)

// Canceller retries cancel calls in the background until the endpoint confirms them.
type Canceller struct {
	engine  *EngineClient
	ctx     context.Context
	cancel  context.CancelFunc
	pending sync.WaitGroup
}

func NewCanceller(engine *EngineClient) *Canceller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Canceller{engine: engine, ctx: ctx, cancel: cancel}
}

// Cancel cancels a request at an endpoint in the background. It calls confirmed
// when the endpoint confirms that it no longer runs the request. It also calls
// confirmed if the endpoint rejects the cancel call as invalid, after a minute of
// attempts, and on Close.
func (c *Canceller) Cancel(address netip.AddrPort, call Call, confirmed func()) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		c.cancelUntilConfirmed(address, call)
		confirmed()
	}()
}

func (c *Canceller) cancelUntilConfirmed(address netip.AddrPort, call Call) {
	ctx, cancel := context.WithTimeout(c.ctx, cancelTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := c.cancelOnce(ctx, address, call)
		if err == nil || errors.Is(err, ErrRejected) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(cancelInterval):
		}
	}
}

func (c *Canceller) cancelOnce(parent context.Context, address netip.AddrPort, call Call) error {
	ctx, cancel := context.WithTimeout(parent, cancelCallTimeout)
	defer cancel()
	return c.engine.Cancel(ctx, address, call)
}

// Close aborts the cancel calls that are not confirmed and waits for them to return.
func (c *Canceller) Close() {
	c.cancel()
	c.pending.Wait()
}

package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// observePeriod spaces the readings of one endpoint's report.
	observePeriod = time.Second
	// observeTimeout bounds one reading.
	observeTimeout = 800 * time.Millisecond
	// observeParallel bounds the readings at one time.
	observeParallel = 16
)

// EndpointReport is what an endpoint says of itself.
type EndpointReport struct {
	Running []string
	Leaving bool
}

// Observer reads the reports of the endpoints in the shards that this daemon
// owns, and passes them to its Dispatcher.
type Observer struct {
	dispatcher *Dispatcher
	load       func(ctx context.Context, endpoint ticket.Endpoint) (EndpointReport, error)
	done       chan struct{}
}

// NewObserver returns an Observer that reads with load.
func NewObserver(dispatcher *Dispatcher, load func(ctx context.Context, endpoint ticket.Endpoint) (EndpointReport, error)) *Observer {
	return &Observer{dispatcher: dispatcher, load: load, done: make(chan struct{})}
}

// Done is closed when Serve has returned.
func (o *Observer) Done() <-chan struct{} {
	return o.done
}

// Serve reads reports until ctx ends.
func (o *Observer) Serve(ctx context.Context) error {
	defer close(o.done)
	return runPeriodically(ctx, observePeriod, func() { o.observeAll(ctx) })
}

func (o *Observer) observeAll(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, observeParallel)
	for _, summary := range o.dispatcher.Summaries() {
		if len(summary.Prefill) == 0 {
			continue
		}
		for _, endpoint := range append(summary.Prefill, summary.Decode...) {
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				o.observe(ctx, summary.Key, endpoint)
			})
		}
	}
}

func (o *Observer) observe(parent context.Context, key shard.Key, endpoint ticket.Endpoint) {
	ctx, cancel := context.WithTimeout(parent, observeTimeout)
	defer cancel()
	report, err := o.load(ctx, endpoint)
	if parent.Err() != nil {
		return
	}
	o.dispatcher.SetReportReadable(endpoint.Name, err == nil)
	if err != nil {
		return
	}
	o.dispatcher.SetReportedLeaving(endpoint.Name, report.Leaving)
	o.dispatcher.ReconcileRunning(key, endpoint.Name, report.Running)
}

package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// observeInterval is the interval between reads of an endpoint's report.
	observeInterval = time.Second
	// observeTimeout limits one read.
	observeTimeout = 800 * time.Millisecond
	// observeConcurrencyLimit limits the concurrent reads.
	observeConcurrencyLimit = 16
)

// EndpointReport is the state that an endpoint reports: the requests that it runs, and
// whether it is leaving.
type EndpointReport struct {
	Running []string
	Leaving bool
}

// Observer polls the reports of the endpoints in the shards that this daemon owns and
// passes them to the Dispatcher.
type Observer struct {
	dispatcher *Dispatcher
	readReport func(ctx context.Context, endpoint ticket.Endpoint) (EndpointReport, error)
	done       chan struct{}
}

// NewObserver returns an Observer that reads reports with readReport.
func NewObserver(dispatcher *Dispatcher, readReport func(ctx context.Context, endpoint ticket.Endpoint) (EndpointReport, error)) *Observer {
	return &Observer{dispatcher: dispatcher, readReport: readReport, done: make(chan struct{})}
}

// Done returns a channel that is closed when Serve returns.
func (o *Observer) Done() <-chan struct{} {
	return o.done
}

// Serve polls reports until ctx is done, and returns the error of ctx. It may be called
// once.
func (o *Observer) Serve(ctx context.Context) error {
	defer close(o.done)
	return runPeriodically(ctx, observeInterval, func() { o.observeAll(ctx) })
}

func (o *Observer) observeAll(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, observeConcurrencyLimit)
	for _, summary := range o.dispatcher.Summaries() {
		if summary.Kind == ticket.KindPlain {
			// Plain services have no reports.
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
	report, err := o.readReport(ctx, endpoint)
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

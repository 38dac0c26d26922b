// Package metric collects the metrics of a daemon. Their names are in snake case.
// docs/METRICS.md lists all of them, and a test compares the list with this code.
package metric

import (
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/turmerictide/turmerictide/pkg/front"
)

// histogramSamples is the size of the sample reservoir of each histogram.
const histogramSamples = 1028

// reservoirAlpha weights a reservoir towards the last five minutes.
const reservoirAlpha = 0.015

// Set is the set of metrics of one daemon.
type Set struct {
	registry gometrics.Registry

	mu sync.Mutex
	// named are the names of the gauges that SetGauges has set.
	named map[string]bool
}

// Gauge is a metric whose value is read each time that the metrics are written.
type Gauge struct {
	Name string
	Read func() int64
}

// NewSet returns a Set with the given gauges.
func NewSet(gauges []Gauge) *Set {
	s := &Set{registry: gometrics.NewRegistry()}
	for _, gauge := range gauges {
		gometrics.NewRegisteredFunctionalGauge(gauge.Name, s.registry, gauge.Read)
	}
	return s
}

// SetGauges sets gauges whose names are not known in advance, and removes those of the last call that
// are not among them.
func (s *Set) SetGauges(values map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.named {
		if _, ok := values[name]; !ok {
			s.registry.Unregister(name)
		}
	}
	s.named = make(map[string]bool, len(values))
	for name, value := range values {
		s.named[name] = true
		gometrics.GetOrRegisterGauge(name, s.registry).Update(value)
	}
}

// The names of the metrics that Record updates. A rank or an error code is appended to
// a name that ends in an underscore.
const (
	NameRequests              = "requests"
	NameGoodput               = "goodput"
	NameServedPrefix          = "served_rank_"
	NameGoodputPrefix         = "goodput_rank_"
	NameErrorCodePrefix       = "refused_code_"
	NamePrefillTokens         = "prefill_tokens"
	NameWastedPrefill         = "wasted_prefill_tokens"
	NameOutputTokens          = "output_tokens"
	NameRetries               = "retries"
	NameFirstTokenLatency     = "first_token_milliseconds"
	NameTotalLatency          = "total_milliseconds"
	codeOK                    = "ok"
	nanosecondsPerMillisecond = int64(time.Millisecond)
)

// Record updates the metrics for one request of a caller.
func (s *Set) Record(stats front.RequestStats) {
	s.counter(NameRequests).Inc(1)
	s.counter(NamePrefillTokens).Inc(int64(stats.PrefillTokens))
	s.counter(NameWastedPrefill).Inc(int64(stats.WastedPrefillTokens))
	s.counter(NameOutputTokens).Inc(int64(stats.OutputTokens))
	s.counter(NameRetries).Inc(int64(stats.Retries))
	if stats.Code != codeOK {
		s.counter(NameErrorCodePrefix + stats.Code).Inc(1)
		return
	}
	s.counter(NameServedPrefix + stats.Rank).Inc(1)
	s.histogram(NameFirstTokenLatency).Update(int64(stats.FirstTokenLatency) / nanosecondsPerMillisecond)
	s.histogram(NameTotalLatency).Update(int64(stats.TotalLatency) / nanosecondsPerMillisecond)
	if stats.InTarget {
		s.counter(NameGoodput).Inc(1)
		s.counter(NameGoodputPrefix + stats.Rank).Inc(1)
	}
}

func (s *Set) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, s.registry)
}

func (s *Set) histogram(name string) gometrics.Histogram {
	return s.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(histogramSamples, reservoirAlpha))
	}).(gometrics.Histogram)
}

// ServeHTTP writes all metrics as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(s.registry, w)
}

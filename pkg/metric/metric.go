// Package metric holds everything that a daemon counts, under names in snake
// case. docs/METRICS.md lists them all; a test compares the list with this code.
package metric

import (
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/turmerictide/turmerictide/pkg/front"
)

// histogramSamples is the size of the reservoir behind each histogram.
const histogramSamples = 1028

// reservoirAlpha weights a reservoir towards the last five minutes.
const reservoirAlpha = 0.015

// Set is the metrics of one daemon.
type Set struct {
	registry gometrics.Registry
}

// Gauge is a value that is read when the metrics are.
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

// The names of the metrics that Record counts. A name that ends in an
// underscore is followed by a rank or a code.
const (
	NameRequests        = "requests"
	NameGoodput         = "goodput"
	NameServedPrefix    = "served_rank_"
	NameGoodputPrefix   = "goodput_rank_"
	NameRefusedPrefix   = "refused_code_"
	NamePrefillTokens   = "prefill_tokens"
	NameWastedPrefill   = "wasted_prefill_tokens"
	NameOutputTokens    = "output_tokens"
	NameRetries         = "retries"
	NameFirstTokenTime  = "first_token_milliseconds"
	NameTotalTime       = "total_milliseconds"
	codeOfWholeAnswers  = "ok"
	millisecondsPerUnit = int64(time.Millisecond)
)

// Record counts one request of a caller.
func (s *Set) Record(served front.Served) {
	s.counter(NameRequests).Inc(1)
	s.counter(NamePrefillTokens).Inc(int64(served.PrefillTokens))
	s.counter(NameWastedPrefill).Inc(int64(served.WastedPrefillTokens))
	s.counter(NameOutputTokens).Inc(int64(served.Tokens))
	s.counter(NameRetries).Inc(int64(served.Retries))
	if served.Code != codeOfWholeAnswers {
		s.counter(NameRefusedPrefix + served.Code).Inc(1)
		return
	}
	s.counter(NameServedPrefix + served.Rank).Inc(1)
	s.histogram(NameFirstTokenTime).Update(int64(served.FirstToken) / millisecondsPerUnit)
	s.histogram(NameTotalTime).Update(int64(served.Total) / millisecondsPerUnit)
	if served.InTarget {
		s.counter(NameGoodput).Inc(1)
		s.counter(NameGoodputPrefix + served.Rank).Inc(1)
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

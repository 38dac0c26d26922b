package metric

import (
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/relay"
)

// The names of the metrics that RecordRouted and RecordInterruptedRun update in addition to
// those of Record.
const (
	NameServedKindPrefix   = "served_kind_"
	NameFailureCausePrefix = "failed_cause_"
	NameSends              = "sends"
	NameFirstLatencyPrefix = "first_milliseconds_kind_"
	NameInterruptedPrefix  = "broken_"
)

// RecordRouted updates the metrics for one call that was served by its route.
func (s *Set) RecordRouted(stats relay.CallStats) {
	s.counter(NameRequests).Inc(1)
	s.counter(NameSends).Inc(int64(stats.Sends))
	if stats.Cause != relay.CauseNone {
		s.counter(NameFailureCausePrefix + string(stats.Cause)).Inc(1)
		return
	}
	s.counter(NameServedKindPrefix + string(stats.Kind)).Inc(1)
	s.histogram(NameFirstLatencyPrefix + string(stats.Kind)).Update(int64(stats.FirstLatency) / nanosecondsPerMillisecond)
	s.histogram(NameTotalLatency).Update(int64(stats.TotalLatency) / nanosecondsPerMillisecond)
	if stats.InTarget {
		s.counter(NameGoodput).Inc(1)
	}
}

// RecordInterruptedRun counts a run that ended without a complete response, by its stage and
// by the verdict on its request.
func (s *Set) RecordInterruptedRun(stage relay.Stage, verdict poison.Verdict) {
	s.counter(NameInterruptedPrefix + string(stage) + "_" + verdict.String()).Inc(1)
}

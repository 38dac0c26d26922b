package metric

import (
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/relay"
)

// The names of the metrics that RecordRouted counts beside those of Record.
const (
	NameServedKindPrefix = "served_kind_"
	NameCausePrefix      = "failed_cause_"
	NameSends            = "sends"
	NameFirstTimePrefix  = "first_milliseconds_kind_"
	NameBrokenPrefix     = "broken_"
)

// RecordRouted counts one call that was served by its route.
func (s *Set) RecordRouted(served relay.CallStats) {
	s.counter(NameRequests).Inc(1)
	s.counter(NameSends).Inc(int64(served.Sends))
	if served.Cause != relay.CauseNone {
		s.counter(NameCausePrefix + string(served.Cause)).Inc(1)
		return
	}
	s.counter(NameServedKindPrefix + string(served.Kind)).Inc(1)
	s.histogram(NameFirstTimePrefix + string(served.Kind)).Update(int64(served.FirstLatency) / millisecondsPerUnit)
	s.histogram(NameTotalTime).Update(int64(served.TotalLatency) / millisecondsPerUnit)
	if served.InTarget {
		s.counter(NameGoodput).Inc(1)
	}
}

// RecordBroken counts a run that broke off without a whole answer, by its stage and by what
// was held of its request.
func (s *Set) RecordBroken(stage relay.Stage, verdict poison.Verdict) {
	s.counter(NameBrokenPrefix + string(stage) + "_" + verdict.String()).Inc(1)
}

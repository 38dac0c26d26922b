package emulator

import "time"

// Arrivals returns the requests of a scenario in order of arrival, without an outcome. They
// equal the requests of Simulate as long as no caller retries.
func Arrivals(s Scenario) []Request {
	s.RetryLimit = 0
	sm := newSimulation(s, func(*simulation) policy { return noPolicy{} })
	sm.run()
	requests := make([]Request, len(sm.jobs))
	for i, j := range sm.jobs {
		requests[i] = sm.requestRecord(j)
	}
	return requests
}

// noPolicy makes no decisions.
type noPolicy struct{}

func (noPolicy) arrive(*job)       {}
func (noPolicy) prefilled(*job)    {}
func (noPolicy) started(*job)      {}
func (noPolicy) finished(*job)     {}
func (noPolicy) decodeFailed(*job) {}
func (noPolicy) decodeCrashed(int) {}
func (noPolicy) tick()             {}

// MeetsTargets reports whether a request was served within the targets of its rank.
func (s Scenario) MeetsTargets(r Request) bool {
	target := s.Ranks[r.Rank].Rank
	gap := (r.End - r.FirstToken) / time.Duration(max(r.Output-1, 1))
	return r.Outcome == Served && r.FirstToken-r.Arrival <= time.Duration(target.FirstTokenTarget) && gap <= time.Duration(target.TokenGapTarget)
}

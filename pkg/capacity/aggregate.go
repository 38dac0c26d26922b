package capacity

import (
	"math"
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
)

const (
	// replyInterval is how long a computed reply is used for all hosts.
	replyInterval = 20 * time.Millisecond
	// loggedChange is the factor by which the work of an endpoint changes between two log lines.
	loggedChange = 1.5
	// pushInterval is the least time between two messages to all hosts about changes.
	pushInterval = 200 * time.Millisecond
	// reporterRetention is how long a host gets these messages after its last report.
	reporterRetention = 5 * time.Second
	// defaultTarget is the latency target of a service without a route.
	defaultTarget = 300 * time.Millisecond
)

// merge merges the report of a host as the aggregator of its service, and returns the reply. A
// report on an unknown service gets none.
func (a *Agent) merge(now time.Time, host string, report wireReport) (mergeResult, bool) {
	endpoints := a.config.Endpoints(report.Service)
	if len(endpoints) == 0 {
		return mergeResult{}, false
	}
	target := a.config.Target(report.Service)
	if target <= 0 {
		target = defaultTarget
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.pools[report.Service]
	if !ok {
		g = &aggregate{pool: NewPool(), logged: map[key]time.Duration{}, reporters: map[string]time.Time{}}
		a.pools[report.Service] = g
		a.config.Log.Info("estimates of endpoints are merged here", "service", report.Service)
	}
	byKey := make(map[key]directory.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byKey[keyOf(e)] = e
	}
	for _, prior := range report.Prior {
		if e, ok := byKey[prior.Endpoint]; ok {
			known := Estimate{Work: time.Duration(prior.Work) * wireUnit, Samples: float64(prior.Samples)}
			g.pool.Merge(now, e, known, time.Duration(prior.AgeMilliseconds)*time.Millisecond, endpoints)
		}
	}
	g.reporters[host] = now
	length := time.Duration(report.Milliseconds) * time.Millisecond
	g.pool.AddArrivals(now, min(float64(max(report.Arrivals, 0)), maxSumsCount), length)
	for _, w := range report.Endpoints {
		if e, ok := byKey[w.Endpoint]; ok {
			g.hasChanged = g.pool.Add(now, e, decodeSums(w), length, time.Duration(w.Age)*wireUnit, endpoints) || g.hasChanged
		}
	}
	if g.hasChanged || now.Sub(g.repliedAt) >= replyInterval {
		g.reply = a.computeReply(now, report.Service, g, endpoints, target)
		g.repliedAt = now
	}
	result := mergeResult{reply: g.reply}
	if g.hasChanged && now.Sub(g.pushedAt) >= pushInterval {
		g.hasChanged, g.pushedAt = false, now
		for other, reportedAt := range g.reporters {
			if now.Sub(reportedAt) > reporterRetention {
				delete(g.reporters, other)
			} else if other != host {
				result.push = append(result.push, other)
			}
		}
	}
	return result, true
}

// mergeResult is the reply to a report, and the hosts that get it without having asked.
type mergeResult struct {
	reply wireReply
	push  []string
}

// computeReply returns the present estimates on a service. mu must be held.
func (a *Agent) computeReply(now time.Time, service string, g *aggregate, endpoints []directory.Endpoint, target time.Duration) wireReply {
	reply := wireReply{Service: service}
	for i, e := range g.pool.Estimates(now, endpoints, target) {
		id := keyOf(endpoints[i])
		reply.Endpoints = append(reply.Endpoints, encodeEstimate(id, e))
		a.logChange(service, endpoints[i], e, g, id)
	}
	reply.AdmittedPermille = toWire(g.pool.Admitted(now, endpoints, target), 1.0/permille)
	reply.Offered = toWire(g.pool.Offered(now), 1)
	return reply
}

// logChange logs a noticeable change of an estimate. mu must be held.
func (a *Agent) logChange(service string, endpoint directory.Endpoint, e Estimate, g *aggregate, id key) {
	before, ok := g.logged[id]
	if ok && math.Abs(math.Log(float64(max(e.Work, 1))/float64(max(before, 1)))) < math.Log(loggedChange) {
		return
	}
	g.logged[id] = e.Work
	if ok {
		a.config.Log.Info("speed of endpoint has changed", "service", service, "endpoint", endpoint.Name,
			"work_ms", e.Work.Milliseconds(), "work_before_ms", before.Milliseconds(), "rate", math.Round(e.Rate), "concurrency", math.Round(e.Concurrency),
			"samples", math.Round(e.Samples))
	}
}

// Tick sends the reports that are due although no request arrives or ends, and drops what is known
// of services that this host has neither used nor merged for some time.
func (a *Agent) Tick(now time.Time) {
	for _, report := range a.sweep(now) {
		a.send(now, report)
	}
}

func (a *Agent) sweep(now time.Time) []*outgoing {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []*outgoing
	for name, s := range a.services {
		if s.hasEvidence() {
			if report := a.takeReport(now, s, false); report != nil {
				due = append(due, report)
			}
		}
		if now.Sub(s.arrivedAt) > idleRetention && now.Sub(s.reportedAt) > idleRetention && !s.isBusy() {
			delete(a.services, name)
		}
	}
	for name, g := range a.pools {
		if now.Sub(g.repliedAt) > idleRetention {
			delete(a.pools, name)
		}
	}
	return due
}

// hasEvidence reports whether the next report would contain something on an endpoint.
func (s *serviceState) hasEvidence() bool {
	for _, l := range s.endpoints {
		if l.inFlight > 0 || l.sums != (Sums{}) {
			return true
		}
	}
	return false
}

// idleRetention is how long the state of a service without requests is kept.
const idleRetention = time.Minute

// isBusy reports whether requests of this host are in progress.
func (s *serviceState) isBusy() bool {
	for _, l := range s.endpoints {
		if l.inFlight > 0 {
			return true
		}
	}
	return false
}

// Status is what this host knows of an endpoint.
type Status struct {
	Service  string
	Endpoint string
	Estimate Estimate
	// Age is the time since the last message of the aggregator.
	Age time.Duration
}

// Snapshot returns what this host knows of the endpoints of the services that it uses.
func (a *Agent) Snapshot(now time.Time) []Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	var result []Status
	for name, s := range a.services {
		for _, e := range a.config.Endpoints(name) {
			if known, ok := s.estimates[keyOf(e)]; ok {
				result = append(result, Status{Service: name, Endpoint: e.Name, Estimate: known, Age: now.Sub(s.receivedAt)})
			}
		}
	}
	return result
}

// apply takes over the estimates of an aggregator.
func (a *Agent) apply(now time.Time, reply wireReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[reply.Service]
	if !ok {
		return
	}
	s.receivedAt = now
	s.estimates = make(map[key]Estimate, len(reply.Endpoints))
	s.meanRate = 0
	for _, w := range reply.Endpoints {
		e := decodeEstimate(w)
		s.estimates[w.Endpoint] = e
		s.meanRate += e.Rate / float64(len(reply.Endpoints))
	}
	s.offered = float64(reply.Offered)
	before := s.admitted
	s.admitted = min(float64(reply.AdmittedPermille)/permille, 1)
	if (before < 1) != (s.admitted < 1) {
		a.config.Log.Info("limit on requests to a service has changed", "service", reply.Service, "admitted", s.admitted)
	}
}

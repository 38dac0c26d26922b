// Package capacity learns how much load each endpoint of a plain service handles within the
// latency target.
//
// One daemon, the aggregator of a service, merges the evidence of all hosts: each host that uses
// the service sends it compact sums some times a second, and gets the merged estimates in reply.
// A host alone sees a few requests a second, the aggregator hundreds. It needs no agreement with
// others: an aggregator that starts gets the last estimates from the hosts, and while none
// replies, a host goes on with the last estimates, which converge to the mean of the pool as they
// age. Pool and the functions in estimate.go are pure. Agent exchanges the messages.
package capacity

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/retry"
)

// Topics of the messages between daemons and the aggregator of a service.
const (
	TopicReport   = "capacity_report"
	TopicEstimate = "capacity_estimate"
)

const (
	// minReportInterval is the least time between two reports of a host on a service.
	// hostInterval is the time between the reports of two hosts to one aggregator: it gets at most
	// 250 reports a second.
	minReportInterval = 250 * time.Millisecond
	maxReportInterval = 2 * time.Second
	hostInterval      = 4 * time.Millisecond
	// ageingTime is the time constant with which estimates without a reply converge to the mean of
	// their pool.
	ageingTime = 10 * time.Second
	// retention is how long estimates are used without a reply.
	retention = 30 * time.Second
	// limitLifetime is how many report intervals a limit on the requests of all hosts is valid
	// without a reply. A limit is a fraction of the present arrivals and is soon wrong.
	limitLifetime = 4
	// minAdmittedShare is the least fraction of the requests that are admitted, so that the
	// responses show when there is room again.
	minAdmittedShare = 0.05
)

// Config contains the dependencies of an Agent.
type Config struct {
	Host string
	// Publish sends messages to other daemons.
	Publish func(topic string, messages ...*message.Message) error
	// Aggregator returns the host that merges the evidence on a service, or "" if there is none.
	Aggregator func(service string) string
	// Hosts returns the number of hosts that send reports.
	Hosts func() int
	// Endpoints returns the endpoints of a plain service in a fixed order, nil if it is unknown,
	// and Target the latency target of its requests.
	Endpoints func(service string) []directory.Endpoint
	Target    func(service string) time.Duration
	Now       func() time.Time
	Log       logr.Logger
}

// Agent is the part of one daemon: it collects the evidence of this host, reports it, and merges
// the reports of others on the services whose aggregator it is. It is safe for concurrent use.
type Agent struct {
	config Config

	mu       sync.Mutex
	services map[string]*serviceState
	pools    map[string]*aggregate
}

// aggregate is what an aggregator keeps on one service.
type aggregate struct {
	pool *Pool
	// logged is the work of each endpoint as of its last log line.
	logged map[key]time.Duration
	// reply was computed at repliedAt.
	reply     wireReply
	repliedAt time.Time
	// reporters contains the times of the last reports of the hosts.
	reporters map[string]time.Time
	// hasChanged is true after a change of an endpoint that the hosts have not been told of.
	hasChanged bool
	pushedAt   time.Time
}

// serviceState is what a host knows of one service.
type serviceState struct {
	name       string
	endpoints  map[key]*localState
	arrivals   int
	reportedAt time.Time
	// beganAt is the time of the first event since the last report, zero if there is none.
	beganAt time.Time
	// earlyAt is the time of the last report on an unexpected response.
	earlyAt    time.Time
	aggregator string
	// estimates are those of the last reply, receivedAt its time.
	estimates  map[key]Estimate
	receivedAt time.Time
	meanRate   float64
	// admitted is the fraction of the requests that the endpoints can serve, and credits the part of
	// a request that was admitted too little so far, of the urgent requests in the second place.
	admitted float64
	credits  [2]float64
	// urgentShare is the fraction of urgent requests among the seen ones.
	urgentShare float64
	seen        int
	// offered is the number of arrivals a second at all hosts.
	offered float64
	// retries are the times at which rejected requests should be sent again.
	retries retry.Schedule
	// ownArrivals is the decaying number of own arrivals.
	ownArrivals window
	arrivedAt   time.Time
}

// localState contains the sums of this host on one endpoint since the last report.
type localState struct {
	inFlight  int
	sums      Sums
	updatedAt time.Time
	// respondedAt is the time of the last response, or of the last report without one.
	respondedAt time.Time
}

// integrate adds the time since the last change to the integral of the requests in flight.
func (l *localState) integrate(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.sums.Busy += elapsed.Seconds() * float64(l.inFlight)
		l.updatedAt = now
	}
}

func (l *localState) addResponse(now time.Time, took time.Duration) {
	l.sums.Count++
	l.sums.Seconds += took.Seconds()
	l.respondedAt = now
}

func keyOf(e directory.Endpoint) key {
	return key(xxhash.Sum64String(e.Name + "/" + strconv.FormatInt(e.Born.UnixMilli(), 10)))
}

func NewAgent(config Config) *Agent {
	return &Agent{config: config, services: map[string]*serviceState{}, pools: map[string]*aggregate{}}
}

// service returns the state of a service. mu must be held.
func (a *Agent) service(name string) *serviceState {
	s, ok := a.services[name]
	if !ok {
		s = &serviceState{name: name, endpoints: map[key]*localState{}, admitted: 1}
		a.services[name] = s
	}
	return s
}

// begin records that the next report covers the time since now at least.
func (s *serviceState) begin(now time.Time) {
	if s.beganAt.IsZero() {
		s.beganAt = now
	}
}

func (s *serviceState) local(now time.Time, id key) *localState {
	l, ok := s.endpoints[id]
	if !ok {
		l = &localState{updatedAt: now}
		s.endpoints[id] = l
	}
	return l
}

// Admit decides on a request that arrived. If all endpoints together cannot serve it within the
// target, it returns the time after which this host's part has room. Requests that are not urgent
// are rejected first.
func (a *Agent) Admit(now time.Time, service string, isUrgent bool) (bool, time.Duration) {
	a.mu.Lock()
	s := a.service(service)
	s.arrivals++
	s.begin(now)
	s.recordArrival(now, isUrgent)
	ok, retryAfter := s.admit(now, a.reportInterval(), isUrgent)
	report := a.takeReport(now, s, false)
	a.mu.Unlock()
	a.send(now, report)
	return ok, retryAfter
}

func (s *serviceState) recordArrival(now time.Time, isUrgent bool) {
	if s.arrivedAt.IsZero() {
		s.arrivedAt = now
	}
	s.ownArrivals.decay(max(now.Sub(s.arrivedAt), 0), arrivalTime)
	s.arrivedAt = now
	s.ownArrivals.sums.Count++
	sample := 0.0
	if isUrgent {
		sample = 1
	}
	s.seen++
	s.urgentShare += max(urgentWeight, 1/float64(s.seen)) * (sample - s.urgentShare)
}

// ownRate returns the arrivals a second at this host.
func (s *serviceState) ownRate(now time.Time) float64 {
	w := s.ownArrivals
	w.decay(max(now.Sub(s.arrivedAt), 0), arrivalTime)
	return w.sums.Count / max(w.span, minArrivalSpan)
}

// part returns this host's part of the concurrency of all hosts: its part of the arrivals, with
// room for their variation.
func (s *serviceState) part(now time.Time, concurrency float64, hosts int) float64 {
	share := 1 / float64(max(hosts, 1))
	if s.offered > 0 {
		share += min(s.ownRate(now)/s.offered, 1)
	}
	return max(concurrency*min(partFactor*share, 1), minPart)
}

const (
	// partFactor is the room for variation in a host's part of the concurrency. minPart is the
	// least part: at many hosts the part is a fraction of a request.
	partFactor = 2
	minPart    = 3
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// urgentWeight is the least weight of one request in the fraction of urgent requests.
const urgentWeight = 0.03

// admittedShare returns the fraction of the urgent or of the other requests that are admitted.
func (s *serviceState) admittedShare(isUrgent bool) float64 {
	if isUrgent {
		return min(s.admitted/max(s.urgentShare, urgentWeight), 1)
	}
	return min(max((s.admitted-s.urgentShare)/max(1-s.urgentShare, urgentWeight), 0), 1)
}

// admit admits the fraction admitted of the requests, evenly spread.
func (s *serviceState) admit(now time.Time, interval time.Duration, isUrgent bool) (bool, time.Duration) {
	if s.admitted >= 1 || now.Sub(s.receivedAt) > limitLifetime*interval {
		s.credits = [2]float64{}
		return true, 0
	}
	credit := &s.credits[0]
	if isUrgent {
		credit = &s.credits[1]
	}
	*credit += s.admittedShare(isUrgent)
	if *credit >= 1 {
		*credit--
		return true, 0
	}
	spacing := time.Duration(float64(time.Second) / max(s.admitted*s.ownRate(now), 1))
	return false, min(max(s.retries.Assign(now, spacing, spacing, maxRetryAfter+spacing), minRetryAfter), maxRetryAfter)
}

// RecordStart records that a request is sent to an endpoint. RecordEnd must follow.
func (a *Agent) RecordStart(now time.Time, endpoint directory.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.service(endpoint.Service).local(now, keyOf(endpoint))
	l.integrate(now)
	l.inFlight++
}

// Result is the result of a request at an endpoint.
type Result uint8

// The results.
const (
	// Served requests got a good response.
	Served Result = iota
	// Failed requests got a bad response, or the endpoint could not be reached.
	Failed
	// Ignored requests show nothing about the endpoint, unless they took long.
	Ignored
)

// RecordEnd records the end of a request and how long it took.
func (a *Agent) RecordEnd(now time.Time, endpoint directory.Endpoint, result Result, took time.Duration) {
	a.mu.Lock()
	s := a.service(endpoint.Service)
	s.begin(now)
	l := s.local(now, keyOf(endpoint))
	l.integrate(now)
	l.inFlight = max(l.inFlight-1, 0)
	switch result {
	case Served:
		l.addResponse(now, took)
	case Failed:
		l.sums.Failures++
	case Ignored:
		// A request that was given up late shows how long the endpoint takes at least.
		if took > 0 && s.isLong(keyOf(endpoint), took) {
			l.addResponse(now, took)
		}
	}
	report := a.takeReport(now, s, result != Ignored && s.isUnexpected(keyOf(endpoint), result, took))
	a.mu.Unlock()
	a.send(now, report)
}

// Estimate returns the estimate of an endpoint, which ages to the mean of its pool without
// replies, and false if nothing is known.
func (a *Agent) Estimate(now time.Time, endpoint directory.Endpoint) (Estimate, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[endpoint.Service]
	if !ok || len(s.estimates) == 0 {
		return Estimate{}, false
	}
	age := now.Sub(s.receivedAt)
	if age > retention {
		return Estimate{}, false
	}
	e, ok := s.estimates[keyOf(endpoint)]
	if !ok {
		return Estimate{Rate: s.meanRate}, true
	}
	e.Part = s.part(now, e.Concurrency, a.config.Hosts())
	if age > a.reportInterval()*limitLifetime {
		keep := math.Exp(-age.Seconds() / ageingTime.Seconds())
		e.Rate = s.meanRate + keep*(e.Rate-s.meanRate)
		e.Load *= keep
		e.FailureRate *= math.Exp2(-age.Seconds() / failureHalfLife.Seconds())
	}
	return e, true
}

// Age returns the time since the last estimates of a service, and false if there are none.
func (a *Agent) Age(now time.Time, service string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[service]
	if !ok || s.receivedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.receivedAt), true
}

func (a *Agent) reportInterval() time.Duration {
	return min(max(time.Duration(a.config.Hosts())*hostInterval, minReportInterval), maxReportInterval)
}

// outgoing is a report that is to be sent to an aggregator.
type outgoing struct {
	to     string
	report wireReport
}

// takeReport returns the report of a service and starts new sums, or nil if none is due. mu must be
// held.
func (a *Agent) takeReport(now time.Time, s *serviceState, isUnexpected bool) *outgoing {
	interval := a.reportInterval()
	elapsed := now.Sub(s.reportedAt)
	isEarly := elapsed < interval
	if isEarly && (!isUnexpected || elapsed < minEarlyInterval || now.Sub(s.earlyAt) < earlyPause) {
		return nil
	}
	to := a.config.Aggregator(s.name)
	if to == "" {
		return nil
	}
	if isEarly {
		s.earlyAt = now
	}
	s.reportedAt = now
	report := wireReport{Service: s.name, Arrivals: s.arrivals, Milliseconds: toWire(now.Sub(s.beganAt).Seconds(), time.Millisecond.Seconds())}
	s.beganAt = time.Time{}
	s.arrivals = 0
	for id, l := range s.endpoints {
		l.integrate(now)
		if l.sums != (Sums{}) {
			report.Endpoints = append(report.Endpoints, encodeSums(id, l.sums, now.Sub(l.respondedAt)))
		}
		l.sums, l.respondedAt = Sums{}, now
		if l.inFlight == 0 && !s.isKnown(id) {
			delete(s.endpoints, id)
		}
	}
	slices.SortFunc(report.Endpoints, func(l, r wireSums) int { return int(int64(l.Endpoint) - int64(r.Endpoint)) })
	if to != s.aggregator && !s.receivedAt.IsZero() {
		age := now.Sub(s.receivedAt)
		for id, e := range s.estimates {
			report.Prior = append(report.Prior, encodePrior(id, e, age))
		}
	}
	s.aggregator = to
	return &outgoing{to: to, report: report}
}

const (
	// unexpectedFactor is the factor between a response time and the estimate from which on the
	// response is reported at once, at most once in earlyPause.
	unexpectedFactor = 2.5
	minEarlyInterval = 50 * time.Millisecond
	earlyPause       = time.Second
)

// isLong reports whether a time is much longer than the estimated work of an endpoint.
func (s *serviceState) isLong(id key, took time.Duration) bool {
	e, ok := s.estimates[id]
	return ok && e.Work > 0 && took.Seconds() > unexpectedFactor*e.Work.Seconds()
}

// isUnexpected reports whether a response may show that an endpoint has changed.
func (s *serviceState) isUnexpected(id key, result Result, took time.Duration) bool {
	e, ok := s.estimates[id]
	if !ok || e.Work <= 0 {
		return false
	}
	factor := took.Seconds() / e.Work.Seconds()
	return (result == Failed) != (e.FailureRate > 0.5) || factor > unexpectedFactor || factor < 1/unexpectedFactor
}

func (s *serviceState) isKnown(id key) bool {
	_, ok := s.estimates[id]
	return ok
}

// send sends a report. The aggregator handles its own reports directly.
func (a *Agent) send(now time.Time, out *outgoing) {
	if out == nil {
		return
	}
	if out.to == a.config.Host {
		if result, ok := a.merge(now, out.to, out.report); ok {
			a.apply(now, result.reply)
			a.push(result)
		}
		return
	}
	a.publish(out.to, TopicReport, out.report)
}

// push sends the estimates to the hosts that have not asked for them. This host applies them.
func (a *Agent) push(result mergeResult) {
	for _, host := range result.push {
		if host == a.config.Host {
			a.apply(a.config.Now(), result.reply)
			continue
		}
		a.publish(host, TopicEstimate, result.reply)
	}
}

func (a *Agent) publish(host, topic string, body any) {
	if err := link.Send(a.config.Publish, topic, host, body); err != nil {
		a.config.Log.V(1).Info("message was dropped", "topic", topic, "host", host, "error", err.Error())
	}
}

// Route adds the message handlers to a router, for messages from a subscriber.
func (a *Agent) Route(router *message.Router, subscriber message.Subscriber) {
	router.AddConsumerHandler(TopicReport, TopicReport, subscriber, func(m *message.Message) error { return a.Handle(TopicReport, m) })
	router.AddConsumerHandler(TopicEstimate, TopicEstimate, subscriber, func(m *message.Message) error { return a.Handle(TopicEstimate, m) })
}

// Handle processes a message of one of the two topics.
func (a *Agent) Handle(topic string, m *message.Message) error {
	now := a.config.Now()
	if topic == TopicReport {
		var report wireReport
		if err := link.Decode(m.Payload, &report); err != nil {
			return nil
		}
		if result, ok := a.merge(now, link.Host(m), report); ok {
			a.publish(link.Host(m), TopicEstimate, result.reply)
			a.push(result)
		}
		return nil
	}
	var reply wireReply
	if err := link.Decode(m.Payload, &reply); err != nil {
		return nil
	}
	a.apply(now, reply)
	return nil
}

package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// maxModelSends bounds the calls that one request makes to engines.
	maxModelSends = 6
	// maxRefusals bounds the decode endpoints that are asked: when two that the
	// dispatcher holds for free refuse, the others are likely full as well.
	maxRefusals = 2
	// maxUseless bounds the grants of endpoints that this host may not use: an owner that
	// is told of one grants another the next time.
	maxUseless = 4
	// prefillGrace is added to the predicted time of a prefill before it counts
	// as lost.
	prefillGrace = 500 * time.Millisecond
	// leastPrefillRate is the prompt tokens a millisecond of a slow engine.
	leastPrefillRate = 12
	// handleMargin is taken off the time for which a KV cache is kept.
	handleMargin = 100 * time.Millisecond
	// freeTimeout bounds the call that frees a KV cache.
	freeTimeout = time.Second
	// grantAge is the age after which a grant is not used, because the process
	// was stopped in between.
	grantAge = time.Second
)

// resumedSuffix tells the resumed streams of a caller from its other requests.
const resumedSuffix = "/resumed"

// errNoBudget reports that the retry budget allows no further sending.
var errNoBudget = errors.New("the budget allows no further sending")

// errNotRun reports that an endpoint refused a call and did not run it.
var errNotRun = errors.New("endpoint did not run the call")

// modelRun drives one request through prefill and decode.
type modelRun struct {
	relay  *Relay
	job    *job
	stream stream
	rank   int
	// handle is a KV cache that no endpoint has fetched yet, until handleUntil.
	handle      Handle
	handleUntil time.Time
	// spent counts the runs and further prefills that count as attempts: those at
	// endpoints that have ended or are cut off do not.
	spent int
	// refusals counts the decode endpoints that refused the request, useless the grants
	// of endpoints that take no requests of this host.
	refusals int
	useless  int
	// exclude names the endpoint that has just failed.
	exclude string
}

// serveModel serves a request to model engines.
func (r *Relay) serveModel(ctx context.Context, j *job) error {
	rank, ok := j.state.Rank(j.service.Name, j.route.Priority)
	if !ok {
		return &Fault{Cause: CauseNoEndpoint, RetryAfter: stateRetryAfter}
	}
	m := &modelRun{
		relay: r, job: j, rank: rank,
		stream: stream{job: j, last: j.call.LastEvent},
	}
	defer m.free()
	var failure error
	for {
		err := m.attempt(ctx)
		if err == nil {
			return nil
		}
		var fault *Fault
		if errors.As(err, &fault) {
			if failure != nil && j.answer.Started() {
				return failure
			}
			return fault
		}
		failure = err
		r.config.Log.Info("attempt has failed", "request_id", j.call.ID, "endpoint", j.endpoint, "error", err.Error(),
			"sends", j.sends, "runs", j.runs, "last_event", m.stream.last, "age_ms", r.config.Now().Sub(j.call.Arrival).Milliseconds())
		if ctx.Err() != nil || errors.Is(err, errCallerWrite) || !m.mayRepeat(err) {
			return err
		}
	}
}

// mayRepeat reports whether another endpoint may take the request on.
func (m *modelRun) mayRepeat(err error) bool {
	j := m.job
	if j.sends >= maxModelSends || m.refusals >= maxRefusals || m.useless >= maxUseless || errors.Is(err, errNoBudget) {
		return false
	}
	if errors.IsAny(err, errNotRun, connection.ErrNotSent) && !j.mayHaveRun {
		return true
	}
	return (j.route.Resumable || !j.mayHaveRun) && m.spent < j.route.MaxAttempts
}

// attempt acquires places, uses them and gives them back.
func (m *modelRun) attempt(ctx context.Context) error {
	r, j := m.relay, m.job
	now := r.config.Now()
	verdict, err := r.judgeRequest(j)
	if err != nil {
		return err
	}
	made := m.stream.made(j)
	request := dispatch.Request{
		ID: r.config.Client.NewRequestID(), Front: r.config.Host, Caller: j.call.Caller, Rank: m.rank,
		PromptTokens: j.call.PromptTokens + made, OutputTokens: max(j.call.OutputTokens-made, 1),
		ExpectedTokens: max(j.call.ExpectedTokens-made, 0), Prefixes: j.call.Prefixes,
		Arrival: j.call.Arrival, Exclude: m.exclude, Suspect: verdict == poison.VerdictSuspect,
		Fingerprint: dispatch.Fingerprint(j.fingerprints[0]), DecodeOnly: m.decodeOnly(now), Zone: r.config.AvailabilityZone, Barred: r.barred(now, j.service.Name),
	}
	request.Cached = m.handle.ID != ""
	if request.DecodeOnly && !request.Cached {
		// It may wait for an endpoint that computes no prompt, and must not hold up
		// the other requests of its caller meanwhile.
		request.Caller += resumedSuffix
	}
	if j.sends > 0 {
		// A repeated request is late through no fault of its caller, so it starts anew.
		request.Arrival, request.Fingerprint = now, 0
	}
	reservation, err := r.acquire(ctx, j, request)
	if err != nil {
		return err
	}
	r.config.Log.Info("places are granted", "request_id", j.call.ID, "request", request.ID.String(), "prefill", reservation.Prefill.Name,
		"decode", reservation.Decode.Name, "waited_ms", reservation.GrantedAt.Sub(now).Milliseconds(), "owner", reservation.Owner,
		"prompt_tokens", j.call.PromptTokens, "output_tokens", j.call.OutputTokens, "expected_tokens", j.call.ExpectedTokens)
	outcome, err := m.drive(ctx, reservation, request.Suspect)
	reservation.Done(outcome)
	r.config.Log.Info("places are given back", "request_id", j.call.ID, "failed_endpoint", outcome.FailedEndpoint, "busy", outcome.Busy,
		"events", m.stream.events, "max_gap_ms", m.stream.maxGap.Milliseconds())
	m.exclude = outcome.FailedEndpoint
	return err
}

// decodeOnly reports whether the next attempt needs no prefill endpoint: a KV
// cache waits, or a further prefill would count as an attempt too many.
func (m *modelRun) decodeOnly(now time.Time) bool {
	if m.handle.ID != "" && now.Before(m.handleUntil) {
		return true
	}
	m.free()
	return m.job.prefills > 0 && m.spent+2 > m.job.route.MaxAttempts
}

// acquire waits for places, at most as long as the target allows.
func (r *Relay) acquire(ctx context.Context, j *job, request dispatch.Request) (*dispatch.Reservation, error) {
	ctx, span := startHop(ctx, "relay acquire", "")
	defer span.End()
	// The owner refuses in time; this bounds the wait for one that does not answer.
	left := time.Duration(longestTargets*float64(j.route.Target)) - r.config.Now().Sub(request.Arrival)
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	reservation, err := r.config.Client.Acquire(limited, j.service.Name, request)
	var refused *dispatch.RejectedError
	switch {
	case err == nil:
		return reservation, nil
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	case errors.As(err, &refused):
		r.config.Log.Info("request is refused", "request_id", j.call.ID, "request", refused.Rejection.ID.String(), "cause", refused.Rejection.Cause,
			"rank", request.Rank, "prompt_tokens", request.PromptTokens, "retry_after_ms", refused.Rejection.RetryAfter.Milliseconds(),
			"waited_ms", r.config.Now().Sub(request.Arrival).Milliseconds())
		cause := CauseTooLate
		if refused.Rejection.Cause == dispatch.CauseNoEndpoint {
			cause = CauseNoEndpoint
		}
		return nil, &Fault{Cause: cause, RetryAfter: refused.Rejection.RetryAfter}
	}
	r.config.Log.Info("no dispatcher has decided", "request_id", j.call.ID, "error", err.Error())
	return nil, &Fault{Cause: CauseNoEndpoint, RetryAfter: modelRetryAfter}
}

// longestTargets bounds the wait for places, in first-token targets: callers that come back
// wait longer than those that come first.
const longestTargets = 3

// modelRetryAfter is the time in which a lost dispatcher or pool is replaced.
const modelRetryAfter = 1500 * time.Millisecond

// drive runs prefill and decode.
func (m *modelRun) drive(ctx context.Context, reservation *dispatch.Reservation, suspect bool) (dispatch.Outcome, error) {
	r := m.relay
	if r.config.Now().Sub(reservation.GrantedAt) > grantAge {
		return dispatch.Outcome{}, errors.Newf("grant is too old: %w", errNotRun)
	}
	if _, err := r.judgeRequest(m.job); err != nil {
		return dispatch.Outcome{}, err
	}
	urgency := reservation.Grant.Priority
	if reservation.Prefill.Name != "" {
		if outcome, err := m.prefill(ctx, reservation, urgency, suspect); err != nil {
			return outcome, err
		}
	}
	// More may be known of the request than when it began to wait.
	if _, err := r.judgeRequest(m.job); err != nil {
		return dispatch.Outcome{}, err
	}
	return m.decode(ctx, reservation, urgency, suspect)
}

// endpointOf returns the endpoint of a grant if it still takes new work.
func (m *modelRun) endpointOf(granted ticket.Endpoint) (directory.Endpoint, error) {
	r := m.relay
	e, ok := r.config.State().ServingAt(granted.Name, granted.Address)
	if !ok {
		m.useless++
		return directory.Endpoint{}, errors.Newf("endpoint %s is leaving: %w", granted.Name, errNotRun)
	}
	if _, heldOff := r.config.Holdoffs.Until(r.config.Now(), e.Name, e.Born); heldOff {
		m.useless++
		return directory.Endpoint{}, errors.Newf("endpoint %s wants no requests now: %w", granted.Name, errNotRun)
	}
	return e, nil
}

// refusedBy returns the outcome at an endpoint that has refused the request. One that
// leaves or wants no requests has not failed: the dispatchers are told so, and no KV
// cache is to blame.
func (m *modelRun) refusedBy(endpoint directory.Endpoint, reply *Reply) dispatch.Outcome {
	r := m.relay
	_, heldOff := r.config.Holdoffs.Until(r.config.Now(), endpoint.Name, endpoint.Born)
	if heldOff || !r.config.State().IsServing(endpoint) {
		return dispatch.Outcome{}
	}
	return dispatch.Outcome{FailedEndpoint: endpoint.Name, Busy: reply.NotRun && !reply.Misdirected}
}

// barred returns the endpoints of a service that want no requests from this host now, as
// dispatchers are told of them.
func (r *Relay) barred(now time.Time, service string) []dispatch.EndpointHash {
	if r.config.Holdoffs.IsEmpty() {
		return nil
	}
	var result []dispatch.EndpointHash
	for _, e := range r.config.State().Serving(service) {
		if _, heldOff := r.config.Holdoffs.Until(now, e.Name, e.Born); heldOff {
			result = append(result, dispatch.HashEndpoint(e.Name))
		}
	}
	return result
}

func (m *modelRun) prefill(ctx context.Context, reservation *dispatch.Reservation, urgency int, suspect bool) (dispatch.Outcome, error) {
	ctx, span := startHop(ctx, "relay prefill", reservation.Prefill.Name)
	defer span.End()
	r, j := m.relay, m.job
	failed := dispatch.Outcome{FailedEndpoint: reservation.Prefill.Name}
	endpoint, err := m.endpointOf(reservation.Prefill)
	if err != nil {
		return failed, err
	}
	now := r.config.Now()
	limit := prefillGrace + time.Duration(j.call.PromptTokens/leastPrefillRate)*time.Millisecond
	limited, cancel := context.WithTimeoutCause(ctx, limit, errSilent)
	defer cancel()
	if j.prefills > 0 || j.arrivals > 0 {
		if !r.mayArrive(ctx, j) {
			return dispatch.Outcome{}, errNoBudget
		}
	}
	j.sends++
	j.endpoint = endpoint.Name
	run := r.beginRun(j, endpoint, StagePrefill, suspect)
	handle, reply, err := r.config.Endpoints.Prefill(limited, endpoint, j.call, Order{
		Prefill: true, LastEvent: m.stream.last, Urgency: urgency, Left: j.until.Sub(now),
	})
	if reply != nil {
		_ = reply.Body.Close()
		j.arrivals = max(j.arrivals, 1)
		return m.refusedBy(endpoint, reply), errors.Newf("prefill was answered with %d: %w", reply.Status, errNotRun)
	}
	if err != nil {
		if !errors.Is(err, connection.ErrNotSent) {
			j.prefills++
			j.arrivals = max(j.arrivals, 1)
			looking, cancel := context.WithTimeout(ctx, reachTimeout)
			run.broken(looking, err)
			cancel()
		}
		return failed, errors.Newf("prefill: %w", err)
	}
	if j.prefills > 0 {
		m.spent++
	}
	j.prefills++
	m.handle = handle
	run.completed()
	m.handleUntil = r.config.Now().Add(j.service.Engine.HandleTime - handleMargin)
	reservation.Prefilled()
	return dispatch.Outcome{}, nil
}

func (m *modelRun) decode(ctx context.Context, reservation *dispatch.Reservation, urgency int, suspect bool) (dispatch.Outcome, error) {
	ctx, span := startHop(ctx, "relay decode", reservation.Decode.Name)
	defer span.End()
	r, j := m.relay, m.job
	failed := dispatch.Outcome{FailedEndpoint: reservation.Decode.Name}
	endpoint, err := m.endpointOf(reservation.Decode)
	if err != nil {
		return failed, err
	}
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !r.mayArrive(ctx, j) {
		return dispatch.Outcome{}, errNoBudget
	}
	stopWatch := func() bool { return true }
	if j.route.Resumable {
		stopWatch = time.AfterFunc(firstSilence+j.route.Target/2, silence(cancel)).Stop
	}
	j.sends++
	j.endpoint = endpoint.Name
	order := Order{Source: m.handle, LastEvent: m.stream.last, Urgency: urgency, Left: j.until.Sub(r.config.Now())}
	run := r.beginRun(j, endpoint, StageDecode, suspect)
	reply, err := r.config.Endpoints.Send(sending, endpoint, j.call, order)
	stopWatch()
	if err != nil {
		if !errors.Is(err, connection.ErrNotSent) {
			m.handle = Handle{}
			m.noteRun()
			if run.broken(ctx, err) {
				m.spent--
			}
		}
		return failed, errors.Newf("decode: %w", err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun || reply.Misdirected {
		m.refusals++
		return m.refusedBy(endpoint, reply), errors.Newf("decode was refused with %d, KV cache of %s: %w", reply.Status, order.Source.Address, errNotRun)
	}
	m.handle = Handle{}
	m.noteRun()
	reservation.Started()
	if !isStream(reply) {
		return failed, j.answer.pass(reply)
	}
	before := m.stream.events
	made := func() int { return (m.stream.events - before) * max(j.service.Engine.TokensPerEvent, 1) }
	m.stream.passed = func() { reservation.SetOutputTokens(made()) }
	err = m.stream.relay(reply, r.config.Now, silence(cancel))
	outcome := dispatch.Outcome{OutputTokens: made()}
	if err == nil {
		run.completed()
	}
	if err == nil || errors.Is(err, errCallerWrite) || ctx.Err() != nil {
		if err != nil {
			run.abandoned()
		}
		return outcome, err
	}
	if cause := context.Cause(sending); errors.Is(cause, errSilent) {
		err = errors.Newf("after a silence: %w", errors.Mark(err, errSilent))
		run.silent(err)
	} else {
		_ = reply.Body.Close()
		if run.broken(ctx, err) {
			m.spent--
		}
	}
	outcome.FailedEndpoint = endpoint.Name
	return outcome, err
}

// noteRun notes that an endpoint may have begun to run the request.
func (m *modelRun) noteRun() {
	m.job.mayHaveRun = true
	m.job.runs++
	m.spent++
}

// free tells the endpoint that holds an unused KV cache to drop it.
func (m *modelRun) free() {
	handle := m.handle
	if handle.ID == "" {
		return
	}
	m.handle = Handle{}
	r, id := m.relay, m.job.call.ID
	if e, ok := r.config.State().At(handle.Address); ok {
		if _, heldOff := r.config.Holdoffs.Until(r.config.Now(), e.Name, e.Born); heldOff {
			// The KV cache lapses by itself, soon.
			return
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.config.Endpoints.Free(ctx, handle); err != nil {
			r.config.Log.V(1).Info("KV cache was not freed", "request_id", id, "error", err.Error())
		}
	}()
}

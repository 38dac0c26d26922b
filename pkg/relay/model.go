package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/origin"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// maxModelSends limits the calls to engines for one request.
	maxModelSends = 6
	// maxDecodeRejections limits the decode endpoints that are tried. When two endpoints
	// that the dispatcher considers free reject the request, the others are probably full
	// as well.
	maxDecodeRejections = 2
	// maxUnusableGrants limits the grants of places at endpoints that this host may not
	// use. An owner that is notified of such an endpoint grants another one the next time.
	maxUnusableGrants = 4
	// prefillTimeoutMargin is added to the predicted duration of a prefill. After that time
	// the prefill counts as lost.
	prefillTimeoutMargin = 500 * time.Millisecond
	// minPrefillTokensPerMillisecond is the prefill rate of a slow engine.
	minPrefillTokensPerMillisecond = 12
	// handleExpiryMargin is subtracted from the time for which an endpoint keeps a KV
	// cache.
	handleExpiryMargin = 100 * time.Millisecond
	// freeTimeout limits the call that frees a KV cache.
	freeTimeout = time.Second
	// maxGrantAge is the age above which a grant is not used, because the process was
	// paused in the meantime.
	maxGrantAge = time.Second
)

// resumedCallerSuffix is added to a caller's name for its resumed streams, so that
// dispatchers queue them apart from its other requests. It begins with a control character, which
// no name of a team contains, so that a team cannot be named like the resumed streams of another.
const resumedCallerSuffix = "\x00resumed"

// errRetryBudgetExhausted reports that the retry budget allows no further send.
var errRetryBudgetExhausted = errors.New("retry budget is exhausted")

// errNotRun reports that no endpoint ran a call: an endpoint rejected it, or its grant could
// not be used.
var errNotRun = errors.New("endpoint did not run the call")

// modelRun runs one request through prefill and decode.
type modelRun struct {
	relay  *Relay
	job    *job
	stream stream
	rank   int
	// handle identifies a KV cache that no endpoint has fetched yet. It is valid until
	// handleExpiry.
	handle       Handle
	handleExpiry time.Time
	// attempts counts the runs and the further prefills that count against MaxAttempts.
	// Those at endpoints that have crashed or are cut off do not count.
	attempts int
	// rejections counts the decode endpoints that rejected the request, unusableGrants the
	// grants of places at endpoints that accept no requests from this host.
	rejections     int
	unusableGrants int
	// excludedEndpoint is the name of the endpoint that has just failed.
	excludedEndpoint string
	// held are the places of the next attempt, nil if they must be acquired. retries is the number of
	// retry tokens that the present attempt has left.
	held    *places
	retries int
	// record is the last write of the version that begins the stream, recordedVersion, and records
	// is the number of writes.
	record          *origin.Write
	recordedVersion string
	records         int
}

// serveModel serves a request to model engines.
func (r *Relay) serveModel(ctx context.Context, j *job) error {
	rank, ok := j.state.Rank(j.service.Name, j.priority)
	if !ok {
		return &Fault{Cause: CauseNoEndpoint, RetryAfter: stateRetryAfter}
	}
	m := &modelRun{
		relay: r, job: j, rank: rank,
		stream: stream{job: j, lastEvent: j.call.LastEvent},
	}
	j.stream = &m.stream
	defer m.freeHandle()
	defer func() { m.held.release() }()
	var failure error
	for {
		err := m.attempt(ctx)
		if err == nil {
			return nil
		}
		var fault *Fault
		if errors.As(err, &fault) {
			if failure != nil && j.writer.Started() {
				return failure
			}
			return fault
		}
		failure = err
		r.config.Log.Info("attempt has failed", "request_id", j.call.ID, "endpoint", j.endpoint, "error", err.Error(),
			"sends", j.sends, "runs", j.runs, "last_event", m.stream.lastEvent, "age_ms", r.config.Now().Sub(j.call.Arrival).Milliseconds())
		if ctx.Err() != nil || errors.Is(err, errCallerWrite) || !m.mayRetry(err) {
			return err
		}
	}
}

// mayRetry reports whether the request may be sent to another endpoint.
func (m *modelRun) mayRetry(err error) bool {
	j := m.job
	if j.sends >= maxModelSends || m.rejections >= maxDecodeRejections || m.unusableGrants >= maxUnusableGrants || errors.Is(err, errRetryBudgetExhausted) {
		return false
	}
	if errors.IsAny(err, errNotRun, connection.ErrNotSent) && !j.mayHaveRun {
		return true
	}
	return (j.route.Resumable || !j.mayHaveRun) && m.attempts < j.route.MaxAttempts
}

// attempt acquires places, unless they are held, uses them and releases them.
func (m *modelRun) attempt(ctx context.Context) error {
	r, j := m.relay, m.job
	now := r.config.Now()
	verdict, err := r.checkVerdict(j)
	if err != nil {
		return err
	}
	if j.version != "" && !servesVersion(r.config.State(), j.service.Name, j.version) {
		return &Fault{Cause: CauseVersionGone, RetryAfter: versionRetryAfter}
	}
	taken := m.held
	m.held = nil
	if taken == nil {
		if taken, err = m.acquirePlaces(ctx, now, verdict); err != nil {
			return err
		}
	}
	reservation := taken.reservation
	m.retries = taken.retries
	r.config.Log.Info("places are granted", "request_id", j.call.ID, "request", reservation.Grant.ID.String(), "prefill", reservation.Prefill.Name,
		"decode", reservation.Decode.Name, "waited_ms", reservation.GrantedAt.Sub(now).Milliseconds(), "owner", reservation.Owner,
		"version", j.state.Endpoints[reservation.Decode.Name].Version, "resumes", j.call.Resumes, "last_event", m.stream.lastEvent, "prompt_tokens", j.call.PromptTokens, "output_tokens", j.call.OutputTokens, "expected_tokens", j.call.ExpectedTokens)
	outcome, err := m.runStages(ctx, reservation, taken.suspect)
	reservation.Done(outcome)
	r.config.Log.Info("places are released", "request_id", j.call.ID, "failed_endpoint", outcome.FailedEndpoint, "busy", outcome.Busy,
		"events", m.stream.eventCount, "max_gap_ms", m.stream.maxGap.Milliseconds())
	m.excludedEndpoint = outcome.FailedEndpoint
	return err
}

// newRequest returns the request for places of an attempt after a number of delivered tokens. Its
// prompt must be computed.
func (m *modelRun) newRequest(now time.Time, verdict poison.Verdict, delivered int) dispatch.Request {
	r, j := m.relay, m.job
	return dispatch.Request{
		ID: r.config.Client.NewRequestID(), Front: r.config.Host, Caller: j.caller, Rank: m.rank,
		PromptTokens: j.call.PromptTokens + delivered, OutputTokens: max(j.call.OutputTokens-delivered, 1),
		ExpectedTokens: max(j.call.ExpectedTokens-delivered, 0), Prefixes: j.call.Prefixes,
		Arrival: j.call.Arrival, Suspect: verdict == poison.VerdictSuspect,
		Fingerprint: dispatch.Fingerprint(j.fingerprints[0]), Zone: r.config.AvailabilityZone, Barred: r.closedEndpoints(now, j), Resumed: j.isTakenUp,
	}
}

// acquirePlaces acquires the places of the next attempt.
func (m *modelRun) acquirePlaces(ctx context.Context, now time.Time, verdict poison.Verdict) (*places, error) {
	r, j := m.relay, m.job
	request := m.newRequest(now, verdict, m.stream.deliveredTokens(j, m.stream.eventCount))
	request.Exclude, request.DecodeOnly, request.Version = m.excludedEndpoint, m.isDecodeOnly(now), j.version
	request.Cached = m.handle.ID != ""
	if (request.DecodeOnly && !request.Cached) || request.Version != "" {
		// The request may be queued until a decode endpoint computes no other prompt, or until
		// one of its version has room. It must not delay the other requests of its caller in the
		// meantime.
		request.Caller += resumedCallerSuffix
	}
	if j.sends > 0 {
		// The delay of a retried request is not its caller's fault, so the request gets a
		// new arrival time.
		request.Arrival, request.Fingerprint = now, 0
	}
	reservation, err := r.acquire(ctx, j, request)
	if err != nil {
		return nil, err
	}
	return newPlaces(reservation, request.Suspect), nil
}

// acquireSend reports whether one more send to an endpoint is allowed, and counts it if so. It uses the
// retry tokens that the attempt has left first.
func (m *modelRun) acquireSend(ctx context.Context) bool {
	if m.retries > 0 {
		m.retries--
		m.job.budgetedSends++
		return true
	}
	return m.relay.acquireSend(ctx, m.job)
}

// isDecodeOnly reports whether the next attempt needs no prefill endpoint. That is so when
// a valid KV cache exists, or when a further prefill and its decode, which count as two
// attempts, would exceed the MaxAttempts of the route. It frees an expired KV cache.
func (m *modelRun) isDecodeOnly(now time.Time) bool {
	if m.handle.ID != "" && now.Before(m.handleExpiry) {
		return true
	}
	m.freeHandle()
	return m.job.prefills > 0 && m.attempts+2 > m.job.route.MaxAttempts
}

// acquire requests places and waits for them, until at most placeWaitFactor first-token
// targets after the arrival of the request.
func (r *Relay) acquire(ctx context.Context, j *job, request dispatch.Request) (*dispatch.Reservation, error) {
	ctx, span := startHop(ctx, "relay acquire", "")
	defer span.End()
	// The owner rejects requests in time. The timeout covers an owner that does not reply.
	remaining := time.Duration(placeWaitFactor*float64(j.route.Target)) - r.config.Now().Sub(request.Arrival)
	limitedCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	reservation, err := r.config.Client.Acquire(limitedCtx, j.service.Name, request)
	var rejected *dispatch.RejectedError
	switch {
	case err == nil:
		return reservation, nil
	case ctx.Err() != nil:
		return nil, context.Cause(ctx)
	case errors.As(err, &rejected):
		r.config.Log.Info("request is refused", "request_id", j.call.ID, "request", rejected.Rejection.ID.String(), "cause", rejected.Rejection.Cause,
			"rank", request.Rank, "prompt_tokens", request.PromptTokens, "retry_after_ms", rejected.Rejection.RetryAfter.Milliseconds(),
			"waited_ms", r.config.Now().Sub(request.Arrival).Milliseconds())
		cause := CauseTooLate
		if rejected.Rejection.Cause == dispatch.CauseNoEndpoint {
			cause = CauseNoEndpoint
		}
		return nil, &Fault{Cause: cause, RetryAfter: rejected.Rejection.RetryAfter}
	}
	r.config.Log.Info("no dispatcher decided on the request", "request_id", j.call.ID, "error", err.Error())
	return nil, &Fault{Cause: CauseNoEndpoint, RetryAfter: modelRetryAfter}
}

// placeWaitFactor limits the wait for places, in first-token targets. Callers that retry
// after a rejection wait longer than callers on their first attempt.
const placeWaitFactor = 3

// modelRetryAfter is the time in which a lost dispatcher or pool is replaced.
const modelRetryAfter = 1500 * time.Millisecond

// runStages runs prefill and decode.
func (m *modelRun) runStages(ctx context.Context, reservation *dispatch.Reservation, suspect bool) (dispatch.Outcome, error) {
	r := m.relay
	if r.config.Now().Sub(reservation.GrantedAt) > maxGrantAge {
		return dispatch.Outcome{}, errors.Newf("grant is too old: %w", errNotRun)
	}
	if err := m.acquirePermits(ctx, reservation); err != nil {
		return dispatch.Outcome{}, err
	}
	if _, err := r.checkVerdict(m.job); err != nil {
		return dispatch.Outcome{}, err
	}
	if state := r.config.State(); servesOneVersion(state, m.job.service.Name) {
		m.recordOrigin(state.Endpoints[reservation.Decode.Name].Version)
	}
	urgency := reservation.Grant.Priority
	if reservation.Prefill.Name != "" {
		if outcome, err := m.prefill(ctx, reservation, urgency, suspect); err != nil {
			return outcome, err
		}
	}
	// More crashes of the request may be recorded than when it was queued.
	if _, err := r.checkVerdict(m.job); err != nil {
		return dispatch.Outcome{}, err
	}
	return m.decode(ctx, reservation, urgency, suspect)
}

// usableEndpoint returns the endpoint of a grant if it still accepts requests from this
// host. Otherwise the error wraps errNotRun.
func (m *modelRun) usableEndpoint(granted ticket.Endpoint) (directory.Endpoint, error) {
	r := m.relay
	e, ok := r.config.State().ServingAt(granted.Name, granted.Address)
	if !ok {
		m.unusableGrants++
		return directory.Endpoint{}, errors.Newf("endpoint %s is leaving: %w", granted.Name, errNotRun)
	}
	if _, heldOff := r.config.Holdoffs.Until(r.config.Now(), e.Name, e.Born); heldOff {
		m.unusableGrants++
		return directory.Endpoint{}, errors.Newf("endpoint %s is held off: %w", granted.Name, errNotRun)
	}
	return e, nil
}

// rejectionOutcome returns the outcome for the dispatchers after an endpoint rejected the
// request. An endpoint that is leaving or has requested a hold-off has not failed: the
// dispatchers are notified of that separately, and no KV cache is at fault.
func (m *modelRun) rejectionOutcome(endpoint directory.Endpoint, response *Response) dispatch.Outcome {
	r := m.relay
	_, heldOff := r.config.Holdoffs.Until(r.config.Now(), endpoint.Name, endpoint.Born)
	if heldOff || !r.config.State().IsServing(endpoint) {
		return dispatch.Outcome{}
	}
	return dispatch.Outcome{FailedEndpoint: endpoint.Name, Busy: response.NotRun && !response.Misdirected}
}

// closedEndpoints returns the endpoints of a call's service that accept none of its requests
// from this host now, as the hashes that dispatchers use.
func (r *Relay) closedEndpoints(now time.Time, j *job) []dispatch.EndpointHash {
	if r.config.Holdoffs.IsEmpty() && r.config.Limits.IsEmpty() {
		return nil
	}
	var result []dispatch.EndpointHash
	for _, e := range r.config.State().Serving(j.service.Name) {
		if r.isClosed(now, j, e) {
			result = append(result, dispatch.HashEndpoint(e.Name))
		}
	}
	return result
}

func (m *modelRun) prefill(ctx context.Context, reservation *dispatch.Reservation, urgency int, suspect bool) (dispatch.Outcome, error) {
	ctx, span := startHop(ctx, "relay prefill", reservation.Prefill.Name)
	defer span.End()
	r, j := m.relay, m.job
	failedOutcome := dispatch.Outcome{FailedEndpoint: reservation.Prefill.Name}
	endpoint, err := m.usableEndpoint(reservation.Prefill)
	if err != nil {
		return failedOutcome, err
	}
	now := r.config.Now()
	timeout := prefillTimeoutMargin + time.Duration(j.call.PromptTokens/minPrefillTokensPerMillisecond)*time.Millisecond
	limitedCtx, cancel := context.WithTimeoutCause(ctx, timeout, errStalled)
	defer cancel()
	if j.prefills > 0 || j.budgetedSends > 0 {
		if !m.acquireSend(ctx) {
			return dispatch.Outcome{}, errRetryBudgetExhausted
		}
	}
	options := SendOptions{Prefill: true, LastEvent: m.stream.lastEvent, Urgency: urgency, Timeout: j.deadline.Sub(now)}
	if err := r.authorize(j, &options); err != nil {
		return dispatch.Outcome{}, err
	}
	j.sends++
	j.endpoint = endpoint.Name
	run := r.beginRun(j, endpoint, StagePrefill, suspect)
	handle, response, err := r.sendPrefill(limitedCtx, endpoint, j.call, options)
	if response != nil {
		_ = response.Body.Close()
		j.budgetedSends = max(j.budgetedSends, 1)
		return m.rejectionOutcome(endpoint, response), errors.Newf("prefill response has status %d: %w", response.Status, errNotRun)
	}
	if err != nil {
		if !errors.Is(err, connection.ErrNotSent) {
			j.prefills++
			j.budgetedSends = max(j.budgetedSends, 1)
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			run.handleInterruption(probeCtx, err)
			cancel()
		}
		return failedOutcome, errors.Newf("prefill: %w", err)
	}
	if j.prefills > 0 {
		m.attempts++
	}
	j.prefills++
	m.handle = handle
	run.recordCompletion()
	m.handleExpiry = r.config.Now().Add(j.service.Engine.HandleTime - handleExpiryMargin)
	reservation.Prefilled()
	return dispatch.Outcome{}, nil
}

func (m *modelRun) decode(ctx context.Context, reservation *dispatch.Reservation, urgency int, suspect bool) (dispatch.Outcome, error) {
	ctx, span := startHop(ctx, "relay decode", reservation.Decode.Name)
	defer span.End()
	r, j := m.relay, m.job
	failedOutcome := dispatch.Outcome{FailedEndpoint: reservation.Decode.Name}
	endpoint, err := m.usableEndpoint(reservation.Decode)
	if err != nil {
		return failedOutcome, err
	}
	if j.version != "" && endpoint.Version != j.version {
		m.unusableGrants++
		return dispatch.Outcome{}, errors.Newf("endpoint %s has version %s: %w", endpoint.Name, endpoint.Version, errNotRun)
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !m.acquireSend(ctx) {
		return dispatch.Outcome{}, errRetryBudgetExhausted
	}
	options := SendOptions{Source: m.handle, LastEvent: m.stream.lastEvent, Urgency: urgency, Timeout: j.deadline.Sub(r.config.Now())}
	if err := r.authorize(j, &options); err != nil {
		return dispatch.Outcome{}, err
	}
	j.sends++
	j.endpoint = endpoint.Name
	run := r.beginRun(j, endpoint, StageDecode, suspect)
	watch := m.watchDecode(ctx, endpoint, cancel)
	defer func() { m.held = watch.close() }()
	response, err := r.send(sendCtx, endpoint, j.call, options)
	if err != nil {
		if !errors.Is(err, connection.ErrNotSent) {
			m.handle = Handle{}
			m.countRun()
			if run.handleInterruption(ctx, err) {
				m.attempts--
			}
		}
		return failedOutcome, errors.Newf("decode: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.NotRun || response.Misdirected {
		m.rejections++
		return m.rejectionOutcome(endpoint, response), errors.Newf("decode was rejected with status %d, KV cache of %s: %w", response.Status, options.Source.Address, errNotRun)
	}
	m.handle = Handle{}
	m.countRun()
	reservation.Started()
	j.framing = response.Framing
	if !isSuccess(response) {
		return failedOutcome, j.writer.forward(response)
	}
	before := m.stream.eventCount
	outputTokens := func() int { return (m.stream.eventCount - before) * max(j.service.Engine.TokensPerEvent, 1) }
	m.stream.onEvent = func() {
		run.recordEvent(r.config.Now())
		reservation.SetOutputTokens(outputTokens())
	}
	m.stream.onBegin = func() error { return m.beginStream(sendCtx, endpoint.Version) }
	err = m.stream.forward(response, r.config.Now, watch)
	outcome := dispatch.Outcome{OutputTokens: outputTokens()}
	if err == nil {
		run.recordCompletion()
	}
	if err == nil || errors.Is(err, errCallerWrite) || ctx.Err() != nil {
		if err != nil {
			run.keepInterrupted()
		}
		return outcome, err
	}
	if cause := context.Cause(sendCtx); errors.Is(cause, errStalled) {
		err = errors.Newf("stream stalled: %w", errors.Mark(err, errStalled))
		run.handleStall(err)
	} else {
		_ = response.Body.Close()
		if run.handleInterruption(ctx, err) {
			m.attempts--
		}
	}
	outcome.FailedEndpoint = endpoint.Name
	return outcome, err
}

// countRun records that an endpoint may have started to run the request.
func (m *modelRun) countRun() {
	m.job.mayHaveRun = true
	m.job.runs++
	m.attempts++
}

// freeHandle frees an unused KV cache at the endpoint that stores it. It does not wait for
// the response.
func (m *modelRun) freeHandle() {
	handle := m.handle
	if handle.ID == "" {
		return
	}
	m.handle = Handle{}
	r, id := m.relay, m.job.call.ID
	if e, ok := r.config.State().At(handle.Address); ok {
		_, heldOff := r.config.Holdoffs.Until(r.config.Now(), e.Name, e.Born)
		if heldOff || r.config.Limits.IsLimited(e.Name, e.Born) {
			// The KV cache expires soon without a call.
			return
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.config.Transport.Free(ctx, handle); err != nil {
			r.config.Log.V(1).Info("KV cache was not freed", "request_id", id, "error", err.Error())
		}
	}()
}

package front

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/retry"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// maxAttempts limits the grants that one request may use.
	maxAttempts = 4
	// maxResumes limits the reconnects to one decode endpoint in an attempt.
	maxResumes = 2
	// maxGrantAge is the age above which a grant is not used. A grant gets
	// this old if the process is paused between the grant and its use.
	maxGrantAge = time.Second
	// minResponseTimeout is the shortest timeout for the response to a call that may
	// be retried. The timeout detects a connection that is dead and reports no error.
	// responseTimeoutFactor is the timeout in first-token targets, if that is longer
	// than minResponseTimeout.
	minResponseTimeout    = 2 * time.Second
	responseTimeoutFactor = 2
	// minIdleTimeout is the shortest time without data after which a stream
	// counts as lost.
	minIdleTimeout = 2 * time.Second
	// idleTimeoutFactor is the idle timeout in target token gaps, if that is longer
	// than minIdleTimeout.
	idleTimeoutFactor = 20
)

// attempt is the use of one grant for a request.
type attempt struct {
	job         *chatJob
	response    *chatResponse
	reservation *dispatch.Reservation
	suspect     bool
	call        endpoint.Call
	kvHandle    endpoint.KVHandle
	// kvFetched is true after a decode endpoint has fetched the KV cache.
	kvFetched bool
	outcome   dispatch.Outcome
	// firstTokenAt is the time of the first token of the attempt.
	firstTokenAt time.Time
	// mayBeRunning is true while the decode endpoint may run the request.
	mayBeRunning bool
}

// runChat serves a request. It retries failed attempts with a new grant, up to
// maxAttempts and within the retry budget of the service.
func (f *Front) runChat(ctx context.Context, job *chatJob, response *chatResponse) (RequestStats, error) {
	stats := RequestStats{Code: codeOK}
	budget := f.retryBudget(job.service)
	budget.Earn()
	exclude := ""
	var lastErr error
	for number := 1; ; number++ {
		err := f.attemptChat(ctx, job, response, &exclude, &stats)
		if lastErr != nil && isRejection(err) {
			return stats, retryRejectionFault(err)
		}
		lastErr = err
		if err == nil {
			f.recordRequestSurvival(job.fingerprint, job.knownCrashes)
			return stats, nil
		}
		if ctx.Err() != nil {
			return stats, context.Canceled
		}
		if !isRetryable(err) || number >= maxAttempts || !budget.Spend() {
			return stats, err
		}
		stats.Retries++
		if !sleep(ctx, retry.Backoff(number, rand.New(rand.NewPCG(uint64(job.id), uint64(number))))) {
			return stats, context.Canceled
		}
	}
}

func isRejection(err error) bool {
	var rejected *dispatch.RejectedError
	return errors.As(err, &rejected) || errors.Is(err, dispatch.ErrNoShard)
}

// retryRejectionFault returns the fault for a request whose retry was rejected. It
// reports the failure of the endpoint instead of the cause of the rejection, because
// the request did not wait too long.
func retryRejectionFault(err error) error {
	after := defaultRetryAfter
	var rejected *dispatch.RejectedError
	if errors.As(err, &rejected) {
		after = rejected.Rejection.RetryAfter
	}
	return newRetryableFault(codeEndpointFailed, "the endpoint failed and no other can continue now", after)
}

// isRetryable reports whether another attempt may succeed. Text generation has
// no side effects, so a retry is safe.
func isRetryable(err error) bool {
	return errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrBusy, endpoint.ErrFailedAfterSend, endpoint.ErrIdleTimeout, endpoint.ErrNotFound, errTokenGap, errGrantExpired)
}

var errGrantExpired = errors.New("grant expired before it was used")

// sleep reports whether the duration passed before ctx was done.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// attemptChat acquires a reservation, uses it and releases it.
func (f *Front) attemptChat(ctx context.Context, job *chatJob, response *chatResponse, exclude *string, stats *RequestStats) error {
	job.knownCrashes = f.config.Poison.CrashIDs(job.fingerprint, "")
	suspect, failure := f.checkPoison(job.fingerprint, job.parts...)
	if failure != nil {
		return failure
	}
	request := dispatch.Request{
		ID: job.id, Front: f.config.Host, Caller: job.team.Name, Rank: job.rank,
		PromptTokens: job.promptTokens, OutputTokens: job.outputTokens, Prefixes: job.prefixes,
		Arrival: job.arrival, Exclude: *exclude, Suspect: suspect,
	}
	if stats.Retries > 0 {
		// The failure of an endpoint must not count against the latency target
		// of the retry, so the retry gets a new arrival time.
		request.ID = f.config.Client.NewRequestID()
		request.Arrival = f.config.Now()
	}
	reservation, err := f.acquire(ctx, job.service, request)
	if err != nil {
		return err
	}
	a := &attempt{job: job, response: response, reservation: reservation, suspect: request.Suspect, call: job.call(reservation.Grant)}
	err = f.runAttempt(ctx, a)
	stats.PrefillTokens += job.promptTokens
	if err != nil && !a.kvFetched {
		stats.WastedPrefillTokens += job.promptTokens
	}
	f.detectCrash(ctx, a, err)
	*exclude = a.outcome.FailedEndpoint
	f.release(a)
	return err
}

// acquire waits for a reservation. It returns an error when the first-token target
// has passed, so that a dispatcher that does not reply cannot block the request.
func (f *Front) acquire(ctx context.Context, service ticket.Service, request dispatch.Request) (*dispatch.Reservation, error) {
	ctx, span := tracer.Start(ctx, "front acquire")
	defer span.End()
	remaining := time.Duration(service.Ranks[request.Rank].FirstTokenTarget) - f.config.Now().Sub(request.Arrival)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	reservation, err := f.config.Client.Acquire(ctx, service.Name, request)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return reservation, err
}

// runAttempt runs prefill, transfer and decode.
func (f *Front) runAttempt(ctx context.Context, a *attempt) error {
	if f.config.Now().Sub(a.reservation.GrantedAt) > maxGrantAge {
		return errGrantExpired
	}
	if err := f.prefill(ctx, a); err != nil {
		return err
	}
	return f.decode(ctx, a)
}

// responseTimeout returns the timeout for the response to a call that may be retried.
func responseTimeout(rank ticket.Rank) time.Duration {
	return max(minResponseTimeout, responseTimeoutFactor*time.Duration(rank.FirstTokenTarget))
}

func (f *Front) prefill(ctx context.Context, a *attempt) error {
	ctx, span := tracer.Start(ctx, "front prefill", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", a.reservation.Prefill.Name)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, responseTimeout(a.job.targets()))
	defer cancel()
	handle, err := f.config.Engine.Prefill(ctx, a.reservation.Prefill.Address, a.call)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		a.outcome.FailedEndpoint = a.reservation.Prefill.Name
		a.outcome.Busy = errors.Is(err, endpoint.ErrBusy)
		return err
	}
	a.kvHandle = handle
	a.reservation.Prefilled()
	f.recordSurvival(a, ticket.RolePrefill)
	return nil
}

func (f *Front) decode(ctx context.Context, a *attempt) error {
	ctx, span := tracer.Start(ctx, "front decode", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", a.reservation.Decode.Name)))
	defer span.End()
	idleTimeout := max(minIdleTimeout, idleTimeoutFactor*time.Duration(a.job.targets().TokenGapTarget))
	address := a.reservation.Decode.Address
	a.mayBeRunning = true
	stream, err := f.config.Engine.Decode(ctx, address, a.call, a.kvHandle, a.response.tokens, idleTimeout)
	if err != nil {
		a.mayBeRunning = !errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrBusy, endpoint.ErrRejected)
		span.SetStatus(codes.Error, err.Error())
		return a.failDecode(err)
	}
	a.kvFetched = true
	for resumes := 0; ; resumes++ {
		err = f.relayTokens(a, stream)
		stream.Close()
		if err == nil {
			a.mayBeRunning = false
			f.recordSurvival(a, ticket.RoleDecode)
			return nil
		}
		if ctx.Err() != nil || resumes >= maxResumes || !isResumable(err) {
			span.SetStatus(codes.Error, err.Error())
			return a.failDecode(err)
		}
		a.job.log.Info("stream is resumed on a new connection", "endpoint", a.reservation.Decode.Name, "cause", err.Error(), "token", a.response.tokens)
		span.AddEvent("resume")
		stream, err = f.config.Engine.Resume(ctx, address, a.call, a.response.tokens, idleTimeout)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
			return a.failDecode(err)
		}
	}
}

func isResumable(err error) bool {
	return errors.IsAny(err, endpoint.ErrIdleTimeout, endpoint.ErrFailedAfterSend)
}

func (a *attempt) failDecode(err error) error {
	a.outcome.FailedEndpoint = a.reservation.Decode.Name
	a.outcome.Busy = errors.Is(err, endpoint.ErrBusy)
	return err
}

// relayTokens relays tokens to the caller until the stream ends.
func (f *Front) relayTokens(a *attempt, stream *endpoint.Stream) error {
	started := a.reservation.IsStarted()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			a.outcome.OutputTokens = a.response.tokens
			return nil
		}
		if err != nil {
			return err
		}
		if !started {
			started = true
			a.reservation.Started()
		}
		if a.firstTokenAt.IsZero() {
			a.firstTokenAt = f.config.Now()
		}
		if err := a.response.addToken(token); err != nil {
			return err
		}
	}
}

// release releases the reservation and the KV cache of an attempt. If the endpoint
// may still run the request, its place is released only after the calls to cancel it.
func (f *Front) release(a *attempt) {
	if !a.mayBeRunning && (a.kvHandle.ID == "" || a.kvFetched) {
		a.reservation.Done(a.outcome)
		return
	}
	f.runInBackground(func(ctx context.Context) {
		defer a.reservation.Done(a.outcome)
		f.cancelAttempt(ctx, a)
	})
}

const (
	// cancelAttemptLimit limits the cancel calls for a request. If all of them fail,
	// the dispatcher's reconciliation finds the request.
	cancelAttemptLimit = 3
	cancelTimeout      = time.Second
)

// cancelAttempt releases a KV cache that was not fetched and cancels the request at the
// decode endpoint.
func (f *Front) cancelAttempt(parent context.Context, a *attempt) {
	ctx, cancel := context.WithTimeout(parent, cancelAttemptLimit*cancelTimeout)
	defer cancel()
	if !a.kvFetched && a.kvHandle.ID != "" {
		if err := f.config.Engine.ReleaseKV(ctx, a.call, a.kvHandle); err != nil {
			a.job.log.V(1).Info("KV cache was not released", "error", err.Error())
		}
	}
	for number := 0; a.mayBeRunning && number < cancelAttemptLimit; number++ {
		err := f.config.Engine.Cancel(ctx, a.reservation.Decode.Address, a.call)
		if err == nil || errors.Is(err, endpoint.ErrNotSent) {
			return
		}
		a.job.log.V(1).Info("request was not cancelled", "endpoint", a.reservation.Decode.Name, "error", err.Error())
	}
}

// detectCrash records a crash if the endpoint crashed while it ran the request.
// It probes the endpoint on a new connection.
func (f *Front) detectCrash(ctx context.Context, a *attempt, err error) {
	if err == nil || ctx.Err() != nil || a.outcome.Busy || !errors.IsAny(err, endpoint.ErrFailedAfterSend, endpoint.ErrNotSent) {
		return
	}
	failed, role := a.reservation.Decode, ticket.RoleDecode
	if a.outcome.FailedEndpoint == a.reservation.Prefill.Name {
		failed, role = a.reservation.Prefill, ticket.RolePrefill
	}
	mayHaveRun := errors.Is(err, endpoint.ErrFailedAfterSend) || (a.kvFetched && failed.Name == a.reservation.Decode.Name)
	if !mayHaveRun {
		return
	}
	if !f.hasCrashed(ctx, failed) {
		return
	}
	f.recordCrash(a.job.log, a.job.fingerprint, failed, a.suspect, a.reservation.GrantedAt)
	f.recordPartCrash(a, failed, role)
}

const (
	// crashProbeLimit limits the probes of an endpoint that may be crashing.
	crashProbeLimit = 4
	// crashProbeInterval is the interval between these probes.
	crashProbeInterval = 25 * time.Millisecond
)

// hasCrashed reports whether an endpoint accepts no new connections. An endpoint
// that accepts a connection and drops it may be about to terminate, so it is
// probed again.
func (f *Front) hasCrashed(ctx context.Context, target ticket.Endpoint) bool {
	for range crashProbeLimit {
		_, err := f.config.Engine.Load(ctx, target.Address)
		if err == nil || errors.Is(err, endpoint.ErrNotSent) {
			return err != nil
		}
		if !sleep(ctx, crashProbeInterval) {
			return false
		}
	}
	return false
}

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
	// maxAttempts bounds the grants that one request may use.
	maxAttempts = 4
	// maxResumes bounds the fresh connections to one decode endpoint.
	maxResumes = 2
	// grantAge is the age after which a grant is not used, because the process
	// was stopped in between.
	grantAge = time.Second
	// leastAttempt and attemptTargets bound the wait for an answer on one
	// connection, which may have gone silent: a number of first-token targets.
	leastAttempt   = 2 * time.Second
	attemptTargets = 2
	// leastSilence is the shortest silence that counts as a lost connection.
	leastSilence = 2 * time.Second
	// silenceGaps is that silence in target token gaps.
	silenceGaps = 20
)

// attempt is one grant in use.
type attempt struct {
	job         *chatJob
	answer      *chatAnswer
	reservation *dispatch.Reservation
	suspect     bool
	call        endpoint.Call
	handle      endpoint.KVHandle
	// fetched is true when a decode endpoint has taken the KV cache.
	fetched bool
	outcome dispatch.Outcome
	// open is true while the decode endpoint may run the request.
	open bool
}

// runChat serves a request with as many grants as it needs and may use.
func (f *Front) runChat(ctx context.Context, job *chatJob, answer *chatAnswer) (Served, error) {
	served := Served{Code: codeOK}
	budget := f.budget(job.service)
	budget.Earn()
	exclude := ""
	var failure error
	for number := 1; ; number++ {
		err := f.attemptChat(ctx, job, answer, &exclude, &served)
		if failure != nil && isRefusal(err) {
			return served, retryRefused(err)
		}
		failure = err
		if err == nil {
			f.clearSuspicions(job.fingerprint, job.suspicions)
			return served, nil
		}
		if ctx.Err() != nil {
			return served, context.Canceled
		}
		if !isRepeatable(err) || number >= maxAttempts || !budget.Spend() {
			return served, err
		}
		served.Retries++
		if !sleep(ctx, retry.Backoff(number, rand.New(rand.NewPCG(uint64(job.id), uint64(number))))) {
			return served, context.Canceled
		}
	}
}

func isRefusal(err error) bool {
	var refused *dispatch.RejectedError
	return errors.As(err, &refused) || errors.Is(err, dispatch.ErrNoShard)
}

// retryRefused words the refusal of a retry: the request did not wait too long,
// its endpoint failed and there is no other.
func retryRefused(err error) error {
	after := defaultRetryAfter
	var refused *dispatch.RejectedError
	if errors.As(err, &refused) {
		after = refused.Rejection.RetryAfter
	}
	return newRetryFault(codeEndpointFailed, "the endpoint failed and no other can continue now", after)
}

// isRepeatable reports whether another endpoint may do better. Generating text
// changes nothing, so a repeated attempt is safe.
func isRepeatable(err error) bool {
	return errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrBusy, endpoint.ErrBroken, endpoint.ErrSilent, endpoint.ErrGone, errTokenOrder, errGrantOld)
}

var errGrantOld = errors.New("grant is too old to be used")

func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// attemptChat acquires a reservation, uses it and releases it.
func (f *Front) attemptChat(ctx context.Context, job *chatJob, answer *chatAnswer, exclude *string, served *Served) error {
	job.suspicions = f.config.Poison.CrashIDs(job.fingerprint, "")
	suspect, failure := f.judgeRequest(job.fingerprint)
	if failure != nil {
		return failure
	}
	request := dispatch.Request{
		ID: job.id, Front: f.config.Host, Caller: job.team.Name, Rank: job.rank,
		PromptTokens: job.promptTokens, OutputTokens: job.outputTokens, Prefixes: job.prefixes,
		Arrival: job.arrival, Exclude: *exclude, Suspect: suspect,
	}
	if served.Retries > 0 {
		// A retry is late through no fault of its caller, so it starts anew.
		request.ID = f.config.Client.NewRequestID()
		request.Arrival = f.config.Now()
	}
	reservation, err := f.acquire(ctx, job.service, request)
	if err != nil {
		return err
	}
	a := &attempt{job: job, answer: answer, reservation: reservation, suspect: request.Suspect, call: job.call(reservation.Grant)}
	err = f.drive(ctx, a)
	served.PrefillTokens += job.promptTokens
	if err != nil && !a.fetched {
		served.WastedPrefillTokens += job.promptTokens
	}
	f.judge(ctx, a, err)
	*exclude = a.outcome.FailedEndpoint
	f.release(a)
	return err
}

// acquire waits for a reservation, at most until the first-token target has
// passed: a dispatcher that does not answer must not hold a request back.
func (f *Front) acquire(ctx context.Context, service ticket.Service, request dispatch.Request) (*dispatch.Reservation, error) {
	ctx, span := tracer.Start(ctx, "front acquire")
	defer span.End()
	left := time.Duration(service.Ranks[request.Rank].FirstTokenTarget) - f.config.Now().Sub(request.Arrival)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	reservation, err := f.config.Client.Acquire(ctx, service.Name, request)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return reservation, err
}

// drive runs prefill, transfer and decode.
func (f *Front) drive(ctx context.Context, a *attempt) error {
	if f.config.Now().Sub(a.reservation.GrantedAt) > grantAge {
		return errGrantOld
	}
	if err := f.prefill(ctx, a); err != nil {
		return err
	}
	return f.decode(ctx, a)
}

// attemptLimit returns the time after which an attempt that may be repeated
// counts as lost.
func attemptLimit(rank ticket.Rank) time.Duration {
	return max(leastAttempt, attemptTargets*time.Duration(rank.FirstTokenTarget))
}

func (f *Front) prefill(ctx context.Context, a *attempt) error {
	ctx, span := tracer.Start(ctx, "front prefill", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", a.reservation.Prefill.Name)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, attemptLimit(a.job.targets()))
	defer cancel()
	handle, err := f.config.Engine.Prefill(ctx, a.reservation.Prefill.Address, a.call)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		a.outcome.FailedEndpoint = a.reservation.Prefill.Name
		a.outcome.Busy = errors.Is(err, endpoint.ErrBusy)
		return err
	}
	a.handle = handle
	a.reservation.Prefilled()
	return nil
}

func (f *Front) decode(ctx context.Context, a *attempt) error {
	ctx, span := tracer.Start(ctx, "front decode", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", a.reservation.Decode.Name)))
	defer span.End()
	silence := max(leastSilence, silenceGaps*time.Duration(a.job.targets().TokenGapTarget))
	address := a.reservation.Decode.Address
	a.open = true
	stream, err := f.config.Engine.Decode(ctx, address, a.call, a.handle, a.answer.tokens, silence)
	if err != nil {
		a.open = !errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrBusy, endpoint.ErrRejected)
		span.SetStatus(codes.Error, err.Error())
		return a.failDecode(err)
	}
	a.fetched = true
	for resumes := 0; ; resumes++ {
		err = f.relay(a, stream)
		stream.Close()
		if err == nil {
			a.open = false
			return nil
		}
		if ctx.Err() != nil || resumes >= maxResumes || !isResumable(err) {
			span.SetStatus(codes.Error, err.Error())
			return a.failDecode(err)
		}
		a.job.log.Info("stream is resumed on a fresh connection", "endpoint", a.reservation.Decode.Name, "cause", err.Error(), "token", a.answer.tokens)
		span.AddEvent("resume")
		stream, err = f.config.Engine.Resume(ctx, address, a.call, a.answer.tokens, silence)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
			return a.failDecode(err)
		}
	}
}

func isResumable(err error) bool {
	return errors.IsAny(err, endpoint.ErrSilent, endpoint.ErrBroken)
}

func (a *attempt) failDecode(err error) error {
	a.outcome.FailedEndpoint = a.reservation.Decode.Name
	a.outcome.Busy = errors.Is(err, endpoint.ErrBusy)
	return err
}

// relay passes tokens to the caller until the stream ends.
func (f *Front) relay(a *attempt, stream *endpoint.Stream) error {
	started := a.reservation.IsStarted()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) && a.answer.reason != "" {
			a.outcome.OutputTokens = a.answer.tokens
			return nil
		}
		if errors.Is(err, io.EOF) {
			return endpoint.ErrBroken
		}
		if err != nil {
			return err
		}
		if !started {
			started = true
			a.reservation.Started()
		}
		if err := a.answer.add(token); err != nil {
			return err
		}
	}
}

// release frees what an attempt holds. When the endpoint may still run the
// request, its place becomes free only after the endpoint was told to end it.
func (f *Front) release(a *attempt) {
	if !a.open && (a.handle.ID == "" || a.fetched) {
		a.reservation.Done(a.outcome)
		return
	}
	f.background(func(ctx context.Context) {
		defer a.reservation.Done(a.outcome)
		f.cancelAt(ctx, a)
	})
}

const (
	// cancelTries bounds the orders to end a request; the dispatcher's
	// reconciliation finds those that are lost.
	cancelTries   = 3
	cancelTimeout = time.Second
)

func (f *Front) cancelAt(parent context.Context, a *attempt) {
	ctx, cancel := context.WithTimeout(parent, cancelTries*cancelTimeout)
	defer cancel()
	if !a.fetched && a.handle.ID != "" {
		if err := f.config.Engine.ReleaseKV(ctx, a.call, a.handle); err != nil {
			a.job.log.V(1).Info("KV cache was not released", "error", err.Error())
		}
	}
	for try := 0; a.open && try < cancelTries; try++ {
		err := f.config.Engine.Cancel(ctx, a.reservation.Decode.Address, a.call)
		if err == nil || errors.Is(err, endpoint.ErrNotSent) {
			return
		}
		a.job.log.V(1).Info("request was not cancelled", "endpoint", a.reservation.Decode.Name, "error", err.Error())
	}
}

// judge finds out whether an endpoint crashed while it ran the request. The
// endpoint's health is judged on a new connection.
func (f *Front) judge(ctx context.Context, a *attempt, err error) {
	if err == nil || ctx.Err() != nil || a.outcome.Busy || !errors.IsAny(err, endpoint.ErrBroken, endpoint.ErrNotSent) {
		return
	}
	failed := a.reservation.Decode
	if a.outcome.FailedEndpoint == a.reservation.Prefill.Name {
		failed = a.reservation.Prefill
	}
	ranThere := errors.Is(err, endpoint.ErrBroken) || (a.fetched && failed.Name == a.reservation.Decode.Name)
	if !ranThere {
		return
	}
	if !f.hasCrashed(ctx, failed) {
		return
	}
	f.noteCrash(a.job.log, a.job.fingerprint, failed, a.suspect, a.reservation.GrantedAt)
}

const (
	// crashLooks bounds the looks at an endpoint that may be crashing.
	crashLooks = 4
	// crashPause spaces them.
	crashPause = 25 * time.Millisecond
)

// hasCrashed reports whether an endpoint refuses new connections. One that
// accepts a connection and drops it may be about to end, so it is looked at again.
func (f *Front) hasCrashed(ctx context.Context, target ticket.Endpoint) bool {
	for range crashLooks {
		_, err := f.config.Engine.Load(ctx, target.Address)
		if err == nil || errors.Is(err, endpoint.ErrNotSent) {
			return err != nil
		}
		if !sleep(ctx, crashPause) {
			return false
		}
	}
	return false
}

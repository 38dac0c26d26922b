package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/retry"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerOutcome says whether a call that may run once has run.
	headerOutcome = "X-Outcome"
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 256
	// plainTimeout bounds one call to a plain service.
	plainTimeout = 30 * time.Second
)

// plainJob is one call to a plain service on its way.
type plainJob struct {
	id         dispatch.RequestID
	service    ticket.Service
	team       ticket.Team
	rank       int
	call       endpoint.PlainCall
	key        string
	idempotent bool
	// fingerprint identifies requests with the same content.
	fingerprint poison.Fingerprint
	arrival     time.Time
	log         logr.Logger
}

func (f *Front) servePlain(w http.ResponseWriter, r *http.Request) {
	f.work.begin()
	defer f.work.end()
	f.serving.Add(1)
	defer f.serving.Add(-1)
	ctx, span := tracer.Start(r.Context(), "front plain", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	job, failure := f.newPlainJob(w, r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	span.SetAttributes(attribute.String("request_id", job.id.String()), attribute.String("caller", job.team.Name))
	w.Header().Set(headerRequestID, job.id.String())
	served := Served{Service: job.service.Name, Rank: job.service.Ranks[job.rank].Name, Code: codeOK}
	answer, err := f.runPlain(ctx, job, &served)
	served.Total = f.config.Now().Sub(job.arrival)
	served.FirstToken = served.Total
	if err != nil {
		failure := faultOf(err)
		served.Code = string(failure.code)
		if !job.idempotent {
			w.Header().Set(headerOutcome, outcomeWord(failure))
		}
		writeError(w, failure)
	} else {
		served.InTarget = served.Total <= time.Duration(job.service.Ranks[job.rank].FirstTokenTarget)
		writePlain(w, answer)
	}
	f.config.Record(served)
	job.log.V(1).Info("plain request ended", "code", served.Code, "total", served.Total.String(), "retries", served.Retries)
}

// outcomeWord returns not_run, outcome_unknown, already_run or in_progress, or
// the code of a call whose key belongs to another.
func outcomeWord(f *fault) string {
	switch f.code {
	case codeOutcomeUnknown, codeEndpointFailed:
		return string(codeOutcomeUnknown)
	case codeAlreadyRun, codeInProgress, codeKeyReused:
		return string(f.code)
	default:
		return string(codeNotRun)
	}
}

func writePlain(w http.ResponseWriter, answer endpoint.PlainAnswer) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (f *Front) newPlainJob(w http.ResponseWriter, r *http.Request) (*plainJob, *fault) {
	arrival := f.config.Now()
	state, team, failure := f.identify(r)
	if failure != nil {
		return nil, failure
	}
	service, ok := state.Services[chi.URLParam(r, "service")]
	if !ok || service.Kind != ticket.KindPlain {
		return nil, newFault(codeServiceUnknown, "there is no plain service of this name")
	}
	rank, failure := chooseRank(r, service, team)
	if failure != nil {
		return nil, failure
	}
	body, failure := f.readBody(w, r)
	if failure != nil {
		return nil, failure
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+chi.URLParam(r, "service"))
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, newFault(codeInvalidJSON, "the Idempotency-Key is too long")
	}
	job := &plainJob{
		id: f.config.Client.NewRequestID(), service: service, team: team, rank: rank, key: key,
		call:       endpoint.PlainCall{Method: r.Method, Path: path, Header: r.Header, Body: body},
		idempotent: isIdempotent(r.Method, path, service), arrival: arrival,
		fingerprint: poison.NewFingerprint([]byte(service.Name), []byte(team.Name), []byte(r.Method), []byte(path), body),
	}
	job.log = f.config.Log.WithValues("request_id", job.id.String(), "caller", team.Name, "rank", service.Ranks[rank].Name, "service", service.Name)
	return job, nil
}

// isIdempotent reports whether a call may be repeated: by the method's
// definition (RFC 9110, section 9.2.1, safe methods only), or by the operators'
// word for the path.
func isIdempotent(method, path string, service ticket.Service) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	for _, prefix := range service.IdempotentPaths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (f *Front) runPlain(ctx context.Context, job *plainJob, served *Served) (endpoint.PlainAnswer, error) {
	f.budget(job.service).Earn()
	if job.idempotent {
		return f.repeatPlain(ctx, job, served, f.sendPlain)
	}
	// A call that may run once is seen through even if its caller is gone, so
	// that its outcome is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), plainTimeout)
	defer cancel()
	if job.key == "" {
		return f.repeatPlain(ctx, job, served, f.sendPlain)
	}
	return f.runKeyed(ctx, job, served)
}

// plainSender makes one attempt with a reservation.
type plainSender func(ctx context.Context, job *plainJob, reservation *dispatch.Reservation) (endpoint.PlainAnswer, error)

// repeatPlain makes attempts until one is answered or no more are allowed. A
// call that is not idempotent is repeated only when it was certainly not sent.
func (f *Front) repeatPlain(ctx context.Context, job *plainJob, served *Served, send plainSender) (endpoint.PlainAnswer, error) {
	exclude := ""
	for number := 1; ; number++ {
		answer, failed, err := f.attemptPlain(ctx, job, exclude, number, send)
		if err == nil {
			return answer, nil
		}
		repeatable := errors.IsAny(err, endpoint.ErrNotSent, errGrantOld) || (job.idempotent && errors.Is(err, endpoint.ErrBroken))
		if ctx.Err() != nil || !repeatable || number >= maxAttempts || !f.budget(job.service).Spend() {
			return endpoint.PlainAnswer{}, plainFault(job, err)
		}
		exclude = failed
		served.Retries++
		if !sleep(ctx, retry.Backoff(number, rand.New(rand.NewPCG(uint64(job.id), uint64(number))))) {
			return endpoint.PlainAnswer{}, plainFault(job, err)
		}
	}
}

// plainFault words a failed call: not_run only when it was certainly not sent.
func plainFault(job *plainJob, err error) error {
	var known *fault
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, endpoint.ErrBroken) && !job.idempotent {
		return newFault(codeOutcomeUnknown, "the service did not answer; the call may have run")
	}
	if errors.IsAny(err, endpoint.ErrNotSent, errGrantOld) {
		return newRetryFault(codeNotRun, "the service could not be reached; the call was not run", defaultRetryAfter)
	}
	return err
}

func (f *Front) attemptPlain(ctx context.Context, job *plainJob, exclude string, number int, send plainSender) (endpoint.PlainAnswer, string, error) {
	suspicions := f.config.Poison.CrashIDs(job.fingerprint, "")
	suspect, failure := f.judgeRequest(job.fingerprint)
	if failure != nil {
		return endpoint.PlainAnswer{}, "", failure
	}
	request := dispatch.Request{
		ID: job.id, Front: f.config.Host, Caller: job.team.Name, Rank: job.rank,
		Arrival: job.arrival, Exclude: exclude, Suspect: suspect,
	}
	if number > 1 {
		request.ID = f.config.Client.NewRequestID()
		request.Arrival = f.config.Now()
	}
	reservation, err := f.acquire(ctx, job.service, request)
	if err != nil {
		return endpoint.PlainAnswer{}, "", err
	}
	answer, err := send(ctx, job, reservation)
	outcome := dispatch.Outcome{}
	if errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrBroken) {
		outcome.FailedEndpoint = reservation.Decode.Name
	}
	reservation.Done(outcome)
	switch {
	case err == nil:
		f.clearSuspicions(job.fingerprint, suspicions)
	case errors.Is(err, endpoint.ErrBroken) && ctx.Err() == nil && f.hasPlainCrashed(ctx, reservation.Decode):
		f.noteCrash(job.log, job.fingerprint, reservation.Decode, suspect, reservation.GrantedAt)
	}
	return answer, outcome.FailedEndpoint, err
}

// plainReachTimeout bounds the look at a plain service that broke off.
const plainReachTimeout = 100 * time.Millisecond

// hasPlainCrashed reports whether a plain service that broke off takes no connections.
func (f *Front) hasPlainCrashed(ctx context.Context, target ticket.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, plainReachTimeout)
	defer cancel()
	return f.config.Plain.Reach(ctx, target.Address) != nil && ctx.Err() == nil
}

func (f *Front) sendPlain(ctx context.Context, job *plainJob, reservation *dispatch.Reservation) (endpoint.PlainAnswer, error) {
	ctx, span := tracer.Start(ctx, "front send", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", reservation.Decode.Name)))
	defer span.End()
	if f.config.Now().Sub(reservation.GrantedAt) > grantAge {
		return endpoint.PlainAnswer{}, errGrantOld
	}
	if job.idempotent {
		limited, cancel := context.WithTimeout(ctx, attemptLimit(job.service.Ranks[job.rank]))
		defer cancel()
		ctx = limited
	}
	answer, err := f.config.Plain.Send(ctx, reservation.Decode.Address, job.call)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return answer, err
}

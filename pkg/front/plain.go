package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
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
	// headerOutcome reports whether a call that is not idempotent was run.
	headerOutcome = "X-Outcome"
	// maxKeyBytes limits the length of an Idempotency-Key.
	maxKeyBytes = 256
	// plainTimeout limits the time of a call that is not idempotent, including its
	// retries.
	plainTimeout = 30 * time.Second
)

// plainJob is one call to a plain service that is being served.
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
	f.tasks.begin()
	defer f.tasks.end()
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
	stats := RequestStats{Service: job.service.Name, Rank: job.service.Ranks[job.rank].Name, Code: codeOK}
	response, err := f.runPlain(ctx, job, &stats)
	stats.TotalLatency = f.config.Now().Sub(job.arrival)
	stats.FirstTokenLatency = stats.TotalLatency
	if err != nil {
		failure := toFault(err)
		stats.Code = string(failure.code)
		if !job.idempotent {
			w.Header().Set(headerOutcome, outcomeValue(failure))
		}
		writeError(w, failure)
	} else {
		stats.InTarget = stats.TotalLatency <= time.Duration(job.service.Ranks[job.rank].FirstTokenTarget)
		writePlain(w, response)
	}
	f.config.Record(stats)
	job.log.V(1).Info("plain request ended", "code", stats.Code, "total", stats.TotalLatency.String(), "retries", stats.Retries)
}

// outcomeValue returns the value of headerOutcome: not_run, outcome_unknown,
// already_run, in_progress or idempotency_key_reused.
func outcomeValue(f *fault) string {
	switch f.code {
	case codeOutcomeUnknown, codeEndpointFailed:
		return string(codeOutcomeUnknown)
	case codeAlreadyRun, codeInProgress, codeKeyReused:
		return string(f.code)
	default:
		return string(codeNotRun)
	}
}

// writePlain forwards a whole response with its length, however the endpoint framed it.
func writePlain(w http.ResponseWriter, response endpoint.PlainResponse) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	if len(response.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
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

// isIdempotent reports whether a call may be retried after it was sent. This
// applies to safe methods (RFC 9110, section 9.2.1) and to the path prefixes that
// operators list as idempotent.
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

func (f *Front) runPlain(ctx context.Context, job *plainJob, stats *RequestStats) (endpoint.PlainResponse, error) {
	f.retryBudget(job.service).Earn()
	if job.idempotent {
		return f.runPlainWithRetries(ctx, job, stats, f.sendPlain)
	}
	// A call that is not idempotent continues after its caller has disconnected,
	// so that its outcome is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), plainTimeout)
	defer cancel()
	if job.key == "" {
		return f.runPlainWithRetries(ctx, job, stats, f.sendPlain)
	}
	return f.runKeyed(ctx, job, stats)
}

// plainSender sends a call once with a reservation.
type plainSender func(ctx context.Context, job *plainJob, reservation *dispatch.Reservation) (endpoint.PlainResponse, error)

// runPlainWithRetries makes attempts until one succeeds or no more are allowed. A
// call that is not idempotent is retried only if it was certainly not sent.
func (f *Front) runPlainWithRetries(ctx context.Context, job *plainJob, stats *RequestStats, send plainSender) (endpoint.PlainResponse, error) {
	exclude := ""
	for number := 1; ; number++ {
		response, failed, err := f.attemptPlain(ctx, job, exclude, number, send)
		if err == nil {
			return response, nil
		}
		retryable := errors.IsAny(err, endpoint.ErrNotSent, errGrantExpired) || (job.idempotent && errors.Is(err, endpoint.ErrFailedAfterSend))
		if ctx.Err() != nil || !retryable || number >= maxAttempts || !f.retryBudget(job.service).Spend() {
			return endpoint.PlainResponse{}, toPlainFault(job, err)
		}
		exclude = failed
		stats.Retries++
		if !sleep(ctx, retry.Backoff(number, rand.New(rand.NewPCG(uint64(job.id), uint64(number))))) {
			return endpoint.PlainResponse{}, toPlainFault(job, err)
		}
	}
}

// toPlainFault maps the error of a failed call to the error response. The code is
// not_run only if the call was certainly not sent.
func toPlainFault(job *plainJob, err error) error {
	var known *fault
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, endpoint.ErrFailedAfterSend) && !job.idempotent {
		return newFault(codeOutcomeUnknown, "the service did not answer; the call may have run")
	}
	if errors.IsAny(err, endpoint.ErrNotSent, errGrantExpired) {
		return newRetryableFault(codeNotRun, "the service could not be reached; the call was not run", defaultRetryAfter)
	}
	return err
}

func (f *Front) attemptPlain(ctx context.Context, job *plainJob, exclude string, number int, send plainSender) (endpoint.PlainResponse, string, error) {
	knownCrashes := f.config.Poison.CrashIDs(job.fingerprint, "")
	suspect, failure := f.checkPoison(job.fingerprint)
	if failure != nil {
		return endpoint.PlainResponse{}, "", failure
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
		return endpoint.PlainResponse{}, "", err
	}
	response, err := send(ctx, job, reservation)
	outcome := dispatch.Outcome{}
	if errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrFailedAfterSend) {
		outcome.FailedEndpoint = reservation.Decode.Name
	}
	reservation.Done(outcome)
	switch {
	case err == nil:
		f.recordRequestSurvival(job.fingerprint, knownCrashes)
	case errors.Is(err, endpoint.ErrFailedAfterSend) && ctx.Err() == nil && f.hasPlainCrashed(ctx, reservation.Decode):
		f.recordCrash(job.log, job.fingerprint, reservation.Decode, suspect, reservation.GrantedAt)
	}
	return response, outcome.FailedEndpoint, err
}

// plainProbeTimeout limits the probe of a plain service after a call failed.
const plainProbeTimeout = 100 * time.Millisecond

// hasPlainCrashed reports whether a plain service accepts no connections after a call failed.
func (f *Front) hasPlainCrashed(ctx context.Context, target ticket.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, plainProbeTimeout)
	defer cancel()
	return f.config.Plain.Probe(ctx, target.Address) != nil && ctx.Err() == nil
}

func (f *Front) sendPlain(ctx context.Context, job *plainJob, reservation *dispatch.Reservation) (endpoint.PlainResponse, error) {
	ctx, span := tracer.Start(ctx, "front send", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", reservation.Decode.Name)))
	defer span.End()
	if f.config.Now().Sub(reservation.GrantedAt) > maxGrantAge {
		return endpoint.PlainResponse{}, errGrantExpired
	}
	if job.idempotent {
		limited, cancel := context.WithTimeout(ctx, responseTimeout(job.service.Ranks[job.rank]))
		defer cancel()
		ctx = limited
	}
	response, err := f.config.Plain.Send(ctx, reservation.Decode.Address, job.call)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return response, err
}

package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmerictide/turmerictide/pkg/claim"
	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/endpoint"
	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// claimTimeout limits the write of a claim. A call whose claim is not
	// confirmed within this time is never sent.
	claimTimeout = 3 * time.Second
	// recordRetryInterval is the interval between attempts to record the outcome
	// of a call.
	recordRetryInterval = 2 * time.Second
	// recordTimeout limits the total time of these attempts.
	recordTimeout = 10 * time.Minute
	// headerReplayed marks the stored response of an earlier call with the same key.
	headerReplayed = "Idempotent-Replayed"
)

// claimState is this front's view of the claim of a call with an Idempotency-Key.
type claimState struct {
	key      claim.Key
	record   claim.Record
	revision store.Revision
	// confirmed is true if the store contains the claim as written by this front.
	confirmed bool
}

// runKeyed claims a call with an Idempotency-Key and sends it at most once. The
// reservation is acquired first, so that a rejected call causes no write.
func (f *Front) runKeyed(ctx context.Context, job *plainJob, stats *RequestStats) (endpoint.PlainResponse, error) {
	state := &claimState{
		key: claim.NewKey(job.service.Name, job.team.Name, job.key),
		record: claim.Record{
			Attempt: fmt.Sprintf("%s-%s", f.config.Host, job.id), Phase: claim.PhaseClaimed,
			Host: f.config.Host, FrontTag: f.config.FrontTag, Content: hashCall(job.call),
		},
	}
	var replay *endpoint.PlainResponse
	response, err := f.runPlainWithRetries(ctx, job, stats, func(ctx context.Context, job *plainJob, reservation *dispatch.Reservation) (endpoint.PlainResponse, error) {
		if !state.confirmed {
			stored, err := f.acquireClaim(ctx, state)
			if err != nil {
				return endpoint.PlainResponse{}, err
			}
			if stored != nil {
				replay = stored
				return *stored, nil
			}
		}
		return f.sendPlain(ctx, job, reservation)
	})
	switch {
	case state.confirmed:
		f.recordOutcome(state, response, err)
	case replay == nil && isKnownNotRun(err):
		return f.confirmNotRun(ctx, state, err)
	}
	return response, err
}

// lookupTimeout limits the read of a claim before a call is reported as not_run.
const lookupTimeout = time.Second

// confirmNotRun returns the response to a keyed call that was not sent. The call
// is reported as not_run only if the store shows that no earlier call with the
// key may have run.
func (f *Front) confirmNotRun(ctx context.Context, state *claimState, rejection error) (endpoint.PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	record, revision, err := f.config.Keeper.Lookup(ctx, state.key)
	if err != nil {
		return endpoint.PlainResponse{}, newRetryableFault(codeOutcomeUnknown,
			"this call was not sent, but an earlier one with the key may have run; ask again with the same key", defaultRetryAfter)
	}
	if revision == 0 || record.Phase == claim.PhaseNotRun || record.Attempt == state.record.Attempt {
		return endpoint.PlainResponse{}, rejection
	}
	if record.Content != state.record.Content {
		return endpoint.PlainResponse{}, newKeyReusedFault()
	}
	stored, err := f.respondFromRecord(record)
	if err != nil {
		return endpoint.PlainResponse{}, err
	}
	return *stored, nil
}

func newKeyReusedFault() *fault {
	return newFault(codeKeyReused, "the Idempotency-Key belongs to another call")
}

func hashCall(call endpoint.PlainCall) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(call.Method + "\n" + call.Path + "\n")
	_, _ = hash.Write(call.Body)
	return hash.Sum64()
}

// acquireClaim writes the claim. If an earlier call has the claim, it returns the
// stored response of that call, or a fault with the state of that call.
func (f *Front) acquireClaim(ctx context.Context, state *claimState) (*endpoint.PlainResponse, error) {
	ctx, span := tracer.Start(ctx, "front claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	expect := store.Revision(0)
	for {
		result, err := f.config.Keeper.Write(ctx, claim.Write{Key: state.key, Expect: expect, Record: state.record})
		if err != nil {
			f.abandonClaim(state, expect)
			return nil, newRetryableFault(codeNotRun, "the claim could not be stored; the call was not run", defaultRetryAfter)
		}
		if result.Written {
			state.confirmed = true
			state.revision = result.Revision
			return nil, nil
		}
		if result.Current.Content != state.record.Content {
			return nil, newKeyReusedFault()
		}
		if result.Current.Phase != claim.PhaseNotRun || result.Revision == expect {
			return f.respondFromRecord(result.Current)
		}
		expect = result.Revision
	}
}

// respondFromRecord returns the response or fault for the record of another attempt.
func (f *Front) respondFromRecord(record claim.Record) (*endpoint.PlainResponse, error) {
	switch record.Phase {
	case claim.PhaseDone:
		if record.Truncated {
			return nil, newFault(codeAlreadyRun, "the call has run; its answer was too large to keep")
		}
		header := http.Header{"Content-Type": {record.ContentType}, headerReplayed: {"true"}}
		if record.ContentEncoding != "" {
			header.Set("Content-Encoding", record.ContentEncoding)
		}
		return &endpoint.PlainResponse{Status: record.Status, Header: header, Body: record.Body}, nil
	case claim.PhaseClaimed:
		if f.config.IsLive(record.Host, record.FrontTag) {
			return nil, newRetryableFault(codeInProgress, "the call is being run", defaultRetryAfter)
		}
	}
	return nil, newFault(codeOutcomeUnknown, "an earlier attempt may have run the call")
}

// abandonClaim records not_run for a claim whose write was reported as failed but
// may have taken effect. The call was not sent and will not be sent.
func (f *Front) abandonClaim(state *claimState, expect store.Revision) {
	record := state.record
	record.Phase = claim.PhaseNotRun
	f.runInBackground(func(ctx context.Context) {
		f.writeUntilSettled(ctx, claim.Write{Key: state.key, Expect: expect, Record: record})
	})
}

// recordOutcome stores the outcome of the call in the background, so that the
// response to the caller is not delayed.
func (f *Front) recordOutcome(state *claimState, response endpoint.PlainResponse, err error) {
	record := state.record
	switch {
	case err == nil:
		record.Phase = claim.PhaseDone
		record.Status = response.Status
		record.ContentType = response.Header.Get("Content-Type")
		record.ContentEncoding = response.Header.Get("Content-Encoding")
		record.Body = response.Body
		if len(record.Body) > claim.MaxBodyBytes {
			record.Body = nil
			record.Truncated = true
		}
	case isKnownNotRun(err):
		record.Phase = claim.PhaseNotRun
	default:
		record.Phase = claim.PhaseUnknown
	}
	f.runInBackground(func(ctx context.Context) {
		f.writeUntilSettled(ctx, claim.Write{Key: state.key, Expect: state.revision, Record: record})
	})
}

// isKnownNotRun reports whether a failed call was certainly not sent. The result
// agrees with headerOutcome in the response to the caller.
func isKnownNotRun(err error) bool {
	return outcomeValue(toFault(err)) == string(codeNotRun)
}

// writeUntilSettled retries a write until it succeeds or the record belongs to
// another attempt, for up to recordTimeout.
func (f *Front) writeUntilSettled(parent context.Context, write claim.Write) {
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	for ctx.Err() == nil {
		result, err := f.config.Keeper.Write(ctx, write)
		if err == nil && (result.Written || result.Current.Attempt != write.Record.Attempt) {
			return
		}
		if err == nil {
			// The write of the claim took effect although it was reported as failed.
			write.Expect = result.Revision
			continue
		}
		if !sleep(ctx, recordRetryInterval) {
			return
		}
	}
}

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
	// claimTimeout bounds the wait for a claim. A call whose claim is not
	// confirmed by then is never sent.
	claimTimeout = 3 * time.Second
	// recordPeriod spaces the attempts to record how a call ended.
	recordPeriod = 2 * time.Second
	// recordTime bounds these attempts.
	recordTime = 10 * time.Minute
	// headerReplayed marks an answer that was kept from the first run.
	headerReplayed = "Idempotent-Replayed"
)

// heldClaim is the claim of a keyed call as this front knows it.
type heldClaim struct {
	key      claim.Key
	record   claim.Record
	revision store.Revision
	// confirmed is true when the store holds the claim as written here.
	confirmed bool
}

// runKeyed claims a call with an Idempotency-Key and sends it once. The
// reservation is taken first, so that a refused call costs no write.
func (f *Front) runKeyed(ctx context.Context, job *plainJob, served *Served) (endpoint.PlainAnswer, error) {
	held := &heldClaim{
		key: claim.NewKey(job.service.Name, job.team.Name, job.key),
		record: claim.Record{
			Attempt: fmt.Sprintf("%s-%s", f.config.Host, job.id), Phase: claim.PhaseClaimed,
			Host: f.config.Host, FrontTag: f.config.FrontTag, Content: hashCall(job.call),
		},
	}
	var replay *endpoint.PlainAnswer
	answer, err := f.repeatPlain(ctx, job, served, func(ctx context.Context, job *plainJob, reservation *dispatch.Reservation) (endpoint.PlainAnswer, error) {
		if !held.confirmed {
			kept, err := f.takeClaim(ctx, held)
			if err != nil {
				return endpoint.PlainAnswer{}, err
			}
			if kept != nil {
				replay = kept
				return *kept, nil
			}
		}
		return f.sendPlain(ctx, job, reservation)
	})
	switch {
	case held.confirmed:
		f.recordEnd(held, answer, err)
	case replay == nil && isCertainlyNotRun(err):
		return f.confirmNotRun(ctx, held, err)
	}
	return answer, err
}

// lookupTimeout bounds the reading of a claim before a call is answered with
// not_run.
const lookupTimeout = time.Second

// confirmNotRun answers a keyed call that was not sent. It is told not_run only
// when the store shows that no earlier call with the key may have run.
func (f *Front) confirmNotRun(ctx context.Context, held *heldClaim, refusal error) (endpoint.PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	record, revision, err := f.config.Keeper.Lookup(ctx, held.key)
	if err != nil {
		return endpoint.PlainAnswer{}, newRetryFault(codeOutcomeUnknown,
			"this call was not sent, but an earlier one with the key may have run; ask again with the same key", defaultRetryAfter)
	}
	if revision == 0 || record.Phase == claim.PhaseNotRun || record.Attempt == held.record.Attempt {
		return endpoint.PlainAnswer{}, refusal
	}
	if record.Content != held.record.Content {
		return endpoint.PlainAnswer{}, errKeyReused()
	}
	kept, err := f.answerStanding(record)
	if err != nil {
		return endpoint.PlainAnswer{}, err
	}
	return *kept, nil
}

func errKeyReused() *fault {
	return newFault(codeKeyReused, "the Idempotency-Key belongs to another call")
}

func hashCall(call endpoint.PlainCall) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(call.Method + "\n" + call.Path + "\n")
	_, _ = hash.Write(call.Body)
	return hash.Sum64()
}

// takeClaim writes the claim. It returns the kept answer of an earlier run, or
// a fault that says what became of the call.
func (f *Front) takeClaim(ctx context.Context, held *heldClaim) (*endpoint.PlainAnswer, error) {
	ctx, span := tracer.Start(ctx, "front claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	expect := store.Revision(0)
	for {
		result, err := f.config.Keeper.Write(ctx, claim.Write{Key: held.key, Expect: expect, Record: held.record})
		if err != nil {
			f.abandonClaim(held, expect)
			return nil, newRetryFault(codeNotRun, "the claim could not be stored; the call was not run", defaultRetryAfter)
		}
		if result.Written {
			held.confirmed = true
			held.revision = result.Revision
			return nil, nil
		}
		if result.Current.Content != held.record.Content {
			return nil, errKeyReused()
		}
		if result.Current.Phase != claim.PhaseNotRun || result.Revision == expect {
			return f.answerStanding(result.Current)
		}
		expect = result.Revision
	}
}

// answerStanding answers from the record of another attempt.
func (f *Front) answerStanding(record claim.Record) (*endpoint.PlainAnswer, error) {
	switch record.Phase {
	case claim.PhaseDone:
		if record.Truncated {
			return nil, newFault(codeAlreadyRun, "the call has run; its answer was too large to keep")
		}
		header := http.Header{"Content-Type": {record.ContentType}, headerReplayed: {"true"}}
		return &endpoint.PlainAnswer{Status: record.Status, Header: header, Body: record.Body}, nil
	case claim.PhaseClaimed:
		if f.config.IsLive(record.Host, record.FrontTag) {
			return nil, newRetryFault(codeInProgress, "the call is being run", defaultRetryAfter)
		}
	}
	return nil, newFault(codeOutcomeUnknown, "an earlier attempt may have run the call")
}

// abandonClaim writes not_run for a claim whose write may or may not have taken
// effect. The call was not sent and will not be.
func (f *Front) abandonClaim(held *heldClaim, expect store.Revision) {
	record := held.record
	record.Phase = claim.PhaseNotRun
	f.background(func(ctx context.Context) {
		f.insist(ctx, claim.Write{Key: held.key, Expect: expect, Record: record})
	})
}

// recordEnd stores how the call ended, in the background: the caller's answer
// does not wait for it.
func (f *Front) recordEnd(held *heldClaim, answer endpoint.PlainAnswer, err error) {
	record := held.record
	switch {
	case err == nil:
		record.Phase = claim.PhaseDone
		record.Status = answer.Status
		record.ContentType = answer.Header.Get("Content-Type")
		record.Body = answer.Body
		if len(record.Body) > claim.MaxBodyBytes {
			record.Body = nil
			record.Truncated = true
		}
	case isCertainlyNotRun(err):
		record.Phase = claim.PhaseNotRun
	default:
		record.Phase = claim.PhaseUnknown
	}
	f.background(func(ctx context.Context) {
		f.insist(ctx, claim.Write{Key: held.key, Expect: held.revision, Record: record})
	})
}

// isCertainlyNotRun reports whether a failed call was certainly not sent. The
// answer to its caller says the same.
func isCertainlyNotRun(err error) bool {
	return outcomeWord(faultOf(err)) == string(codeNotRun)
}

// insist repeats a write until it is settled.
func (f *Front) insist(parent context.Context, write claim.Write) {
	ctx, cancel := context.WithTimeout(parent, recordTime)
	defer cancel()
	for ctx.Err() == nil {
		result, err := f.config.Keeper.Write(ctx, write)
		if err == nil && (result.Written || result.Current.Attempt != write.Record.Attempt) {
			return
		}
		if err == nil {
			// The claim itself took effect after its answer was given up.
			write.Expect = result.Revision
			continue
		}
		if !sleep(ctx, recordPeriod) {
			return
		}
	}
}

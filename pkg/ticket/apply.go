package ticket

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// Verdict is the outcome of applying a ticket.
type Verdict string

// The verdicts. Unsettled means that the outcome is unknown: the response to a write
// was lost, and the outcome could not be read from the store.
const (
	VerdictAccepted  Verdict = "accepted"
	VerdictRefused   Verdict = "refused"
	VerdictUnsettled Verdict = "unsettled"
)

// Result is a verdict with the current head, as far as it is known.
type Result struct {
	Verdict Verdict
	Head    Head
	// Reason explains a refused or unsettled ticket.
	Reason string
}

// settlePollInterval is the interval between reads that determine the outcome of a write
// whose response was lost.
const settlePollInterval = 200 * time.Millisecond

// Apply checks the ticket and applies it. attempt must be unique. The objects are
// written first under new keys, so that an attempt that loses the race for the head
// has no effect. An error means that nothing was accepted, except with
// VerdictUnsettled.
func Apply(ctx context.Context, s *store.Store, t Ticket, attempt string) (Result, error) {
	if err := t.Check(); err != nil {
		return Result{}, errors.Newf("check ticket: %w", err)
	}
	current, revision, err := ReadHead(ctx, s)
	if err != nil {
		return Result{}, errors.Newf("read head: %w", err)
	}
	if t.Number != current.Number+1 {
		reason := fmt.Sprintf("ticket %d is current, so the next is %d, not %d", current.Number, current.Number+1, t.Number)
		return Result{Verdict: VerdictRefused, Head: current, Reason: reason}, nil
	}
	next, puts, err := t.successor(current, attempt)
	if err != nil {
		return Result{}, err
	}
	if err := t.checkSuccessor(ctx, s, current); err != nil {
		return Result{}, err
	}
	for _, put := range puts {
		if err := writeObject(ctx, s, put); err != nil {
			return Result{}, err
		}
	}
	return swapHead(ctx, s, next, revision)
}

// checkSuccessor returns an error if the state after the ticket is inconsistent.
func (t Ticket) checkSuccessor(ctx context.Context, s *store.Store, current Head) error {
	values, err := readValues(ctx, s, current)
	if err != nil {
		return err
	}
	for _, name := range t.Remove {
		delete(values, ObjectName(name))
	}
	changed, err := t.objects()
	if err != nil {
		return err
	}
	for name, value := range changed {
		values[name] = value
	}
	state, err := NewState(Head{Number: t.Number}, values)
	if err != nil {
		return errors.Newf("check resulting state: %w", err)
	}
	if err := state.Check(); err != nil {
		return errors.Newf("check resulting state: %w", err)
	}
	return nil
}

// objectWriteAttemptLimit limits the writes of one object when responses are lost.
const objectWriteAttemptLimit = 5

// writeObject writes an object under a key that no other attempt uses, so that a retry
// is idempotent.
func writeObject(ctx context.Context, s *store.Store, put store.Put) error {
	commit := store.Commit{Puts: []store.Put{put}}
	for attempt := 1; ; attempt++ {
		_, err := s.Commit(ctx, commit)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrOutcomeUnknown) || attempt >= objectWriteAttemptLimit || ctx.Err() != nil {
			return errors.Newf("write object %s: %w", put.Key, err)
		}
	}
}

// successor returns the head after the ticket and the objects to write.
func (t Ticket) successor(current Head, attempt string) (Head, []store.Put, error) {
	next := Head{Number: t.Number, Attempt: attempt, Objects: map[ObjectName]Version{}}
	for name, version := range current.Objects {
		next.Objects[name] = version
	}
	for _, name := range t.Remove {
		delete(next.Objects, ObjectName(name))
	}
	objects, err := t.objects()
	if err != nil {
		return Head{}, nil, err
	}
	version := Version(fmt.Sprintf("%d-%s", t.Number, attempt))
	puts := make([]store.Put, 0, len(objects))
	for name, value := range objects {
		next.Objects[name] = version
		puts = append(puts, store.Put{Key: ObjectKey(name, version), Value: value})
	}
	return next, puts, nil
}

func swapHead(ctx context.Context, s *store.Store, next Head, revision store.Revision) (Result, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Result{}, errors.Newf("encode head: %w", err)
	}
	commit := store.Commit{
		Compares: []store.Compare{{Key: HeadKey, Revision: revision}},
		Puts:     []store.Put{{Key: HeadKey, Value: value}},
	}
	commitResult, err := s.Commit(ctx, commit)
	switch {
	case err == nil && commitResult.Succeeded:
		return Result{Verdict: VerdictAccepted, Head: next}, nil
	case err != nil && !errors.Is(err, store.ErrOutcomeUnknown):
		return Result{}, errors.Newf("swap head: %w", err)
	}
	return settle(ctx, s, next, revision)
}

// settle reads the head until it shows which attempt won. A head that is still at the
// old revision does not show that this attempt lost: the write whose response was lost
// may still be in progress. The same compare-and-swap is therefore retried. It either
// wins or shows the winner.
func settle(ctx context.Context, s *store.Store, next Head, revision store.Revision) (Result, error) {
	for ctx.Err() == nil {
		current, currentRevision, err := ReadHead(ctx, s)
		if err == nil && current.Attempt == next.Attempt {
			return Result{Verdict: VerdictAccepted, Head: current}, nil
		}
		if err == nil && currentRevision != revision {
			return settleFromHead(current, next), nil
		}
		if err == nil {
			return swapHead(ctx, s, next, revision)
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePollInterval):
		}
	}
	return Result{Verdict: VerdictUnsettled}, errors.Newf("settle ticket %d: %w", next.Number, ctx.Err())
}

// settleFromHead determines the outcome from a head that another attempt wrote. A head
// with a later number was built on the winner of this number and contains the versions
// of its objects.
func settleFromHead(current, next Head) Result {
	for name, version := range next.Objects {
		own := Version(fmt.Sprintf("%d-%s", next.Number, next.Attempt))
		if version == own && current.Objects[name] == own {
			return Result{Verdict: VerdictAccepted, Head: current}
		}
	}
	if current.Number > next.Number {
		return Result{Verdict: VerdictUnsettled, Head: current, Reason: "later tickets replaced all objects of this ticket"}
	}
	reason := fmt.Sprintf("ticket %d was applied by attempt %s", current.Number, current.Attempt)
	return Result{Verdict: VerdictRefused, Head: current, Reason: reason}
}

// ReadHead returns the head and its revision. In an empty store both are zero.
func ReadHead(ctx context.Context, s *store.Store) (Head, store.Revision, error) {
	entry, err := s.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	if entry.Revision == 0 {
		return Head{}, 0, nil
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, 0, errors.Newf("decode head: %w", err)
	}
	return head, entry.Revision, nil
}

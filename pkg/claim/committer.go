package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// CommitPeriod is a daemon's period between two transactions.
	CommitPeriod = 200 * time.Millisecond
	// maxBatch bounds the writes of one transaction, below the 128 operations
	// that the store's protocol allows by default.
	maxBatch = 100
	// queueWrites bounds the writes that wait.
	queueWrites = 4096
	// settleTries bounds the attempts at a transaction whose answer was lost.
	settleTries = 3
	// leaseSlack is added to the retention, so that one lease serves many claims.
	leaseSlack = 10 * time.Minute
)

// ErrOverloaded reports that too many writes wait.
var ErrOverloaded = errors.New("too many claims wait")

type submission struct {
	write Write
	value []byte
	done  chan outcome
}

type outcome struct {
	result Result
	err    error
}

// Committer groups writes into transactions.
type Committer struct {
	store  *store.Store
	now    func() time.Time
	period time.Duration
	queue  chan *submission
	done   chan struct{}

	lease      store.LeaseID
	leaseUntil time.Time
}

// NewCommitter returns a Committer for a store. Period is the least time between
// the starts of two transactions.
func NewCommitter(s *store.Store, now func() time.Time, period time.Duration) *Committer {
	return &Committer{store: s, now: now, period: period, queue: make(chan *submission, queueWrites), done: make(chan struct{})}
}

// Done is closed when Serve has returned.
func (c *Committer) Done() <-chan struct{} {
	return c.done
}

// Waiting returns the number of writes that no transaction has taken yet.
func (c *Committer) Waiting() int {
	return len(c.queue)
}

// Submit makes a write in the next transaction and waits for its result. An
// error that wraps store.ErrOutcomeUnknown, or the context's, leaves open
// whether it was written.
func (c *Committer) Submit(ctx context.Context, write Write) (Result, error) {
	value, err := encodeRecord(write.Record)
	if err != nil {
		return Result{}, errors.Newf("encode claim: %w", err)
	}
	s := &submission{write: write, value: value, done: make(chan outcome, 1)}
	select {
	case c.queue <- s:
	default:
		return Result{}, ErrOverloaded
	}
	select {
	case <-ctx.Done():
		return Result{}, errors.Newf("await claim: %w", ctx.Err())
	case o := <-s.done:
		return o.result, o.err
	}
}

// Lookup returns the record of a key with its revision, 0 when there is none.
func (c *Committer) Lookup(ctx context.Context, key Key) (Record, store.Revision, error) {
	entry, err := c.store.Get(ctx, string(key))
	if err != nil {
		return Record{}, 0, errors.Newf("look up claim: %w", err)
	}
	if entry.Revision == 0 {
		return Record{}, 0, nil
	}
	record, err := decodeRecord(entry.Value)
	if err != nil {
		return Record{}, 0, errors.Newf("decode claim: %w", err)
	}
	return record, entry.Revision, nil
}

// Serve commits until ctx ends.
func (c *Committer) Serve(ctx context.Context) error {
	defer close(c.done)
	var held []*submission
	for {
		if len(held) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case first := <-c.queue:
				held = append(held, first)
			}
		}
		started := c.now()
		var batch []*submission
		batch, held = c.collect(held)
		held = append(held, c.commit(ctx, batch)...)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.period - c.now().Sub(started)):
		}
	}
}

// collect takes a batch in which each key stands once; the rest is held back.
func (c *Committer) collect(held []*submission) (batch, rest []*submission) {
	taken := map[Key]bool{}
	place := func(s *submission) {
		if len(batch) >= maxBatch || taken[s.write.Key] {
			rest = append(rest, s)
			return
		}
		taken[s.write.Key] = true
		batch = append(batch, s)
	}
	for _, s := range held {
		place(s)
	}
	for len(batch) < maxBatch && len(rest) < maxBatch {
		select {
		case s := <-c.queue:
			place(s)
		default:
			return batch, rest
		}
	}
	return batch, rest
}

// commit writes a batch. It answers those that are settled and returns the
// others, whose batch was refused because of a neighbour.
func (c *Committer) commit(ctx context.Context, batch []*submission) []*submission {
	lease, err := c.currentLease(ctx)
	if err != nil {
		answerAll(batch, err)
		return nil
	}
	transaction := newTransaction(batch, lease)
	var answer store.CommitResult
	for try := 0; try < settleTries; try++ {
		answer, err = c.store.Commit(ctx, transaction)
		if !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	if err != nil {
		answerAll(batch, err)
		return nil
	}
	if answer.Succeeded {
		for _, s := range batch {
			s.done <- outcome{result: Result{Written: true, Current: s.write.Record, Revision: answer.Revision}}
		}
		return nil
	}
	return settle(batch, answer.Current)
}

func newTransaction(batch []*submission, lease store.LeaseID) store.Commit {
	var commit store.Commit
	for _, s := range batch {
		key := string(s.write.Key)
		commit.Compares = append(commit.Compares, store.Compare{Key: key, Revision: s.write.Expect})
		commit.Puts = append(commit.Puts, store.Put{Key: key, Value: s.value, Lease: lease})
		commit.Otherwise = append(commit.Otherwise, key)
	}
	return commit
}

func answerAll(batch []*submission, err error) {
	for _, s := range batch {
		s.done <- outcome{err: errors.Newf("commit claims: %w", err)}
	}
}

// settle answers the writes of a refused batch whose key shows another record,
// or their own from a try whose answer was lost.
func settle(batch []*submission, current []store.Entry) []*submission {
	entries := map[string]store.Entry{}
	for _, entry := range current {
		entries[entry.Key] = entry
	}
	var again []*submission
	for _, s := range batch {
		entry := entries[string(s.write.Key)]
		if entry.Revision == s.write.Expect {
			again = append(again, s)
			continue
		}
		record, err := decodeRecord(entry.Value)
		if err != nil {
			s.done <- outcome{err: errors.Newf("decode claim: %w", err)}
			continue
		}
		own := record.Attempt == s.write.Record.Attempt && record.Phase == s.write.Record.Phase
		s.done <- outcome{result: Result{Written: own, Current: record, Revision: entry.Revision}}
	}
	return again
}

// currentLease returns a lease that keeps records for at least Retention.
func (c *Committer) currentLease(ctx context.Context) (store.LeaseID, error) {
	now := c.now()
	if c.lease != 0 && now.Before(c.leaseUntil) {
		return c.lease, nil
	}
	lease, err := c.store.GrantLease(ctx, Retention+leaseSlack)
	if err != nil {
		return 0, errors.Newf("grant lease for claims: %v: %w", err, store.ErrUnavailable)
	}
	c.lease = lease
	c.leaseUntil = now.Add(leaseSlack)
	return lease, nil
}

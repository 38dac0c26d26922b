package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// CommitInterval is the minimum time between two transactions of a daemon.
	CommitInterval = 200 * time.Millisecond
	// maxBatchWrites limits the writes of one transaction. It is below the 128
	// operations that the store's protocol allows by default.
	maxBatchWrites = 100
	// queueCapacity limits the writes that wait for a transaction.
	queueCapacity = 4096
	// maxCommitAttempts limits the attempts at a transaction with an unknown outcome.
	maxCommitAttempts = 3
	// leaseMargin is added to Retention, so that all claims within this time share one lease.
	leaseMargin = 10 * time.Minute
)

// ErrOverloaded means that the queue of writes is full.
var ErrOverloaded = errors.New("claim queue is full")

type submission struct {
	write Write
	value []byte
	done  chan outcome
}

type outcome struct {
	result Result
	err    error
}

// Committer groups writes into transactions. It is safe for concurrent use.
type Committer struct {
	store    *store.Store
	now      func() time.Time
	interval time.Duration
	queue    chan *submission
	done     chan struct{}

	lease      store.LeaseID
	leaseUntil time.Time
}

// NewCommitter returns a Committer for a store. interval is the minimum time
// between the starts of two transactions.
func NewCommitter(s *store.Store, now func() time.Time, interval time.Duration) *Committer {
	return &Committer{store: s, now: now, interval: interval, queue: make(chan *submission, queueCapacity), done: make(chan struct{})}
}

// Done is closed when Serve has returned.
func (c *Committer) Done() <-chan struct{} {
	return c.done
}

// QueueLength returns the number of writes in the queue.
func (c *Committer) QueueLength() int {
	return len(c.queue)
}

// Submit queues a write for the next transaction and waits for its result. After
// an error that wraps store.ErrOutcomeUnknown or the context's error, the record
// may have been written.
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

// Lookup returns the record of a key and its revision, or revision 0 if there is none.
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

// Serve commits queued writes until ctx is done.
func (c *Committer) Serve(ctx context.Context) error {
	defer close(c.done)
	var deferred []*submission
	for {
		if len(deferred) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case first := <-c.queue:
				deferred = append(deferred, first)
			}
		}
		started := c.now()
		var batch []*submission
		batch, deferred = c.collectBatch(deferred)
		deferred = append(deferred, c.commit(ctx, batch)...)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.interval - c.now().Sub(started)):
		}
	}
}

// collectBatch returns a batch that has each key at most once, and the writes to
// defer to a later batch. It takes the deferred writes first.
func (c *Committer) collectBatch(deferred []*submission) (batch, remaining []*submission) {
	taken := map[Key]bool{}
	add := func(s *submission) {
		if len(batch) >= maxBatchWrites || taken[s.write.Key] {
			remaining = append(remaining, s)
			return
		}
		taken[s.write.Key] = true
		batch = append(batch, s)
	}
	for _, s := range deferred {
		add(s)
	}
	for len(batch) < maxBatchWrites && len(remaining) < maxBatchWrites {
		select {
		case s := <-c.queue:
			add(s)
		default:
			return batch, remaining
		}
	}
	return batch, remaining
}

// commit writes a batch and sends the results. It returns the writes to retry:
// their conditions hold, but another write of the batch failed its condition.
func (c *Committer) commit(ctx context.Context, batch []*submission) []*submission {
	lease, err := c.currentLease(ctx)
	if err != nil {
		failAll(batch, err)
		return nil
	}
	transaction := newTransaction(batch, lease)
	var commitResult store.CommitResult
	for attempt := 0; attempt < maxCommitAttempts; attempt++ {
		commitResult, err = c.store.Commit(ctx, transaction)
		if !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	if err != nil {
		failAll(batch, err)
		return nil
	}
	if commitResult.Succeeded {
		for _, s := range batch {
			s.done <- outcome{result: Result{Written: true, Current: s.write.Record, Revision: commitResult.Revision}}
		}
		return nil
	}
	return resolveRejected(batch, commitResult.Current)
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

func failAll(batch []*submission, err error) {
	for _, s := range batch {
		s.done <- outcome{err: errors.Newf("commit claims: %w", err)}
	}
}

// resolveRejected sends the results of those writes of a rejected batch whose key
// has another revision than expected. The record may be their own, from an attempt
// whose reply was lost. It returns the other writes for a retry.
func resolveRejected(batch []*submission, current []store.Entry) []*submission {
	entries := map[string]store.Entry{}
	for _, entry := range current {
		entries[entry.Key] = entry
	}
	var retries []*submission
	for _, s := range batch {
		entry := entries[string(s.write.Key)]
		if entry.Revision == s.write.Expect {
			retries = append(retries, s)
			continue
		}
		record, err := decodeRecord(entry.Value)
		if err != nil {
			s.done <- outcome{err: errors.Newf("decode claim: %w", err)}
			continue
		}
		isOwn := record.Attempt == s.write.Record.Attempt && record.Phase == s.write.Record.Phase
		s.done <- outcome{result: Result{Written: isOwn, Current: record, Revision: entry.Revision}}
	}
	return retries
}

// currentLease returns a lease that lasts for at least Retention.
func (c *Committer) currentLease(ctx context.Context) (store.LeaseID, error) {
	now := c.now()
	if c.lease != (store.LeaseID{}) && now.Before(c.leaseUntil) {
		return c.lease, nil
	}
	lease, err := c.store.GrantLease(ctx, Retention+leaseMargin)
	if err != nil {
		return store.LeaseID{}, errors.Newf("grant lease for claims: %v: %w", err, store.ErrUnavailable)
	}
	c.lease = lease
	c.leaseUntil = now.Add(leaseMargin)
	return lease, nil
}

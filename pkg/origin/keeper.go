// Package origin remembers which software version began each stream.
//
// A stream may go on only at the version that began it, also when its caller takes it up at another
// host after all hosts were killed. So the version is written to the platform's store under the
// caller's attempt before the first event is forwarded. The write runs beside the prefill. A host
// that serves the rest of a stream reads the record, unless it began the stream itself.
//
// A stream without a record can be taken up only while its version is certain for another reason. So
// a write that fails is retried for as long as the stream can be taken up. A store that comes back from
// a copy lacks the latest records, and each host writes again those that it has written or read.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// RecordsPrefix is the prefix of the store keys of records. ATTEMPT/NUMBER follows, with the
	// hash of the attempt. A Mirror needs none of them.
	RecordsPrefix = "turmerictide/origins/"
	// leaseTTL is the time to live of a lease. A lease is used for new records during the first
	// half of this time, so a record is kept for at least the other half.
	leaseTTL = 2 * time.Minute
	// batchDelay is the time for which records are collected for one write.
	batchDelay = 10 * time.Millisecond
	// writeTimeout and readTimeout limit one call to the store.
	writeTimeout = time.Second
	readTimeout  = 500 * time.Millisecond
	// maxPutsPerCommit limits the records of one call to the store.
	maxPutsPerCommit = 32
	// maxQueuedWrites limits the records that wait for a write, and those that wait for another one
	// after it has failed.
	maxQueuedWrites = 1024
	// initialRetryDelay and maxRetryDelay limit the delay before jitter between writes that fail. The
	// delay doubles with each failure. All records are written within three seconds of the end of an
	// outage, in which callers come back.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// maxRemembered limits the streams whose versions are kept in memory, and the records that are kept
	// for a store that comes back from a copy.
	maxRemembered = 4096
	// rewriteSpacing times the number of hosts, up to maxRewriteSpread, is the time over which the
	// hosts spread the writes of their records in a new era. A host makes at least two calls.
	rewriteSpacing   = 5 * time.Millisecond
	maxRewriteSpread = 1500 * time.Millisecond
	// eraDelay is the time in which a host that reaches the store learns of a new era.
	eraDelay = time.Second
	// readRate limits the reads of records per second, and readBurst those at once. Callers may
	// invent any number of attempts.
	readRate  = 50
	readBurst = 200
	// maxVersionBytes limits a version that is read from the store.
	maxVersionBytes = 256
)

// errTooManyReads reports that callers name more attempts than the store is read for.
var errTooManyReads = errors.New("too many attempts are looked up")

// errQueueFull reports that too many records wait for a write.
var errQueueFull = errors.New("too many records wait for the store")

// KeeperConfig contains the dependencies of a Keeper.
type KeeperConfig struct {
	Store *store.Store
	// Hosts returns the number of hosts that write records.
	Hosts func() int
	// Jitter returns a random part of a limit. The default has no seed.
	Jitter func(limit time.Duration) time.Duration
	Now    func() time.Time
	Log    logr.Logger
}

// attemptKey identifies an attempt in store keys.
type attemptKey string

// newAttemptKey hashes the ID of an attempt, which may have any bytes and length.
func newAttemptKey(attempt string) attemptKey {
	sum := sha256.Sum256([]byte(attempt))
	return attemptKey(hex.EncodeToString(sum[:16]))
}

// Write is the write of a record.
type Write struct {
	key     string
	version string
	// expiry is the time from which on the record is not needed.
	expiry time.Time
	// era is that of the latest write.
	era  int64
	done chan struct{}
	err  error
}

// Done is closed when the first attempt to write the record has ended, whether the store has
// acknowledged it or not.
func (w *Write) Done() <-chan struct{} {
	return w.done
}

// Err returns why the first attempt has failed, nil if the record is in the store. It is valid after
// Done.
func (w *Write) Err() error {
	return w.err
}

func (w *Write) finish(err error) {
	w.err = err
	close(w.done)
}

// Keeper writes and reads the versions of streams. It is safe for concurrent use.
type Keeper struct {
	config KeeperConfig
	done   chan struct{}
	wake   chan struct{}
	// lease is the lease of new records, granted at leaseGrantedAt. failed are the records whose last
	// write has failed, the oldest first. They are written again at retryAt, after retryDelay. Only
	// Serve uses them.
	lease          store.LeaseID
	leaseGrantedAt time.Time
	failed         []*Write
	retryDelay     time.Duration
	retryAt        time.Time

	mu     sync.Mutex
	queued []*Write
	// remembered are the versions of the streams that this host began, and order their attempts,
	// the oldest first.
	remembered map[attemptKey]string
	order      []attemptKey
	// kept are the records in the store that this host has written or read, the oldest first, and
	// keptByKey the same by key. lost are those to be written again in the present era.
	kept      []*Write
	keptByKey map[string]*Write
	lost      []*Write
	// era is the latest known one, unknownEra before the first. The hosts write their records again
	// until settledAt.
	era       int64
	settledAt time.Time
	// reads are the reads that are allowed at readsAt.
	reads   float64
	readsAt time.Time
}

const unknownEra = -1

// NewKeeper returns a Keeper. Serve must run for it to write.
func NewKeeper(config KeeperConfig) *Keeper {
	if config.Jitter == nil {
		config.Jitter = rand.N[time.Duration]
	}
	return &Keeper{
		config: config, done: make(chan struct{}), wake: make(chan struct{}, 1), remembered: map[attemptKey]string{},
		keptByKey: map[string]*Write{}, era: unknownEra, reads: readBurst, readsAt: config.Now(), retryDelay: initialRetryDelay,
	}
}

// Done is closed when Serve has returned.
func (k *Keeper) Done() <-chan struct{} {
	return k.done
}

// Record writes the version at which an attempt is about to begin a stream. number counts the
// records of the attempt from 0; the last one holds, in whatever order the store does the writes. A
// write that fails is retried until expiry.
func (k *Keeper) Record(attempt string, number int, version string, expiry time.Time) *Write {
	w := &Write{
		key: RecordsPrefix + string(newAttemptKey(attempt)) + "/" + strconv.Itoa(number), version: version, expiry: expiry,
		done: make(chan struct{}),
	}
	k.mu.Lock()
	isFull := len(k.queued) >= maxQueuedWrites
	if !isFull {
		k.queued = append(k.queued, w)
	}
	k.mu.Unlock()
	if isFull {
		w.finish(errQueueFull)
		return w
	}
	k.signal()
	return w
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Remember keeps the version of a stream that this host has begun.
func (k *Keeper) Remember(attempt, version string) {
	key := newAttemptKey(attempt)
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.remembered[key]; !ok {
		k.order = append(k.order, key)
	}
	k.remembered[key] = version
	if len(k.order) > maxRemembered {
		delete(k.remembered, k.order[0])
		k.order = k.order[1:]
	}
}

// Version returns the version at which an attempt began a stream. It is "" if the store has no record of
// the attempt at the returned revision, as for an attempt that is not named. The error is that of the
// store. A record that was read is written again if the store loses it before expiry. In a new era, a read
// without a result is repeated when the hosts have written their records again.
func (k *Keeper) Version(ctx context.Context, attempt string, expiry time.Time) (string, store.Revision, error) {
	key := newAttemptKey(attempt)
	k.mu.Lock()
	version, ok := k.remembered[key]
	k.mu.Unlock()
	if ok && attempt != "" {
		return version, 0, nil
	}
	if !k.allowRead(k.config.Now()) {
		return "", 0, errTooManyReads
	}
	prefix := RecordsPrefix + string(key) + "/"
	listing, err := k.read(ctx, prefix)
	if err == nil && len(listing.Entries) == 0 && attempt != "" && k.awaitSettled(ctx) {
		listing, err = k.read(ctx, prefix)
	}
	if err != nil {
		return "", 0, errors.Newf("read record of an attempt: %w", err)
	}
	if attempt == "" {
		return "", listing.Revision, nil
	}
	last, version := -1, ""
	for _, entry := range listing.Entries {
		number, err := strconv.Atoi(strings.TrimPrefix(entry.Key, prefix))
		if err != nil || number <= last || len(entry.Value) == 0 || len(entry.Value) > maxVersionBytes {
			continue
		}
		last, version = number, string(entry.Value)
	}
	if version != "" {
		k.keep(&Write{key: prefix + strconv.Itoa(last), version: version, expiry: expiry, era: listing.Revision.Era()})
	}
	return version, listing.Revision, nil
}

func (k *Keeper) read(ctx context.Context, prefix string) (store.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := k.config.Store.List(ctx, prefix)
	if err == nil {
		k.ObserveEra(k.config.Now(), listing.Revision.Era())
	}
	return listing, err
}

// allowRead reports whether the store may be read at now, and counts the read.
func (k *Keeper) allowRead(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads = min(k.reads+max(now.Sub(k.readsAt).Seconds(), 0)*readRate, readBurst)
	k.readsAt = now
	if k.reads < 1 {
		return false
	}
	k.reads--
	return true
}

// Serve writes records until ctx is done.
func (k *Keeper) Serve(ctx context.Context) error {
	defer close(k.done)
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		retry.Stop()
		if len(k.failed) > 0 {
			retry.Reset(k.retryAt.Sub(k.config.Now()))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-retry.C:
			k.retryFailed(ctx)
			continue
		case <-k.wake:
		}
		k.scheduleLost()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(batchDelay):
		}
		for batch := k.dequeue(); len(batch) > 0; batch = k.dequeue() {
			k.write(ctx, batch)
		}
	}
}

// write writes records for the first time. If the write fails, it keeps them for another one.
func (k *Keeper) write(ctx context.Context, batch []*Write) {
	err := k.commit(ctx, batch)
	if err != nil {
		k.config.Log.Info("versions of streams were not written", "streams", len(batch), "error", err.Error())
		if len(k.failed) == 0 {
			k.scheduleRetry()
		}
		k.failed = append(k.failed, batch...)
		if excess := len(k.failed) - maxQueuedWrites; excess > 0 {
			k.config.Log.Info("versions of streams are not written any more", "streams", excess, "error", errQueueFull.Error())
			k.failed = slices.Clone(k.failed[excess:])
		}
	}
	for _, w := range batch {
		w.finish(err)
	}
}

// scheduleRetry sets the time of the next write of failed, and doubles the delay before the one after
// it.
func (k *Keeper) scheduleRetry() {
	k.retryAt = k.config.Now().Add(k.retryDelay/2 + k.config.Jitter(k.retryDelay))
	k.retryDelay = min(2*k.retryDelay, maxRetryDelay)
}

// retryFailed writes the records whose last write has failed, until a write fails again. It drops
// those that are not needed any more.
func (k *Keeper) retryFailed(ctx context.Context) {
	now := k.config.Now()
	k.failed = slices.DeleteFunc(k.failed, func(w *Write) bool { return !now.Before(w.expiry) })
	written := 0
	for len(k.failed) > 0 {
		batch := k.failed[:min(len(k.failed), maxPutsPerCommit)]
		if err := k.commit(ctx, batch); err != nil {
			k.scheduleRetry()
			return
		}
		k.failed = k.failed[len(batch):]
		written += len(batch)
	}
	k.retryDelay = initialRetryDelay
	if written > 0 {
		k.config.Log.Info("versions of streams were written late", "streams", written)
	}
}

// dequeue removes the records for one call to the store from the queue.
func (k *Keeper) dequeue() []*Write {
	k.mu.Lock()
	defer k.mu.Unlock()
	batch := k.queued[:min(len(k.queued), maxPutsPerCommit)]
	k.queued = k.queued[len(batch):]
	return batch
}

func (k *Keeper) commit(ctx context.Context, batch []*Write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := k.config.Now()
	k.mu.Lock()
	era := k.era
	k.mu.Unlock()
	if k.leaseGrantedAt.IsZero() || now.Sub(k.leaseGrantedAt) >= leaseTTL/2 || k.lease.Era < era {
		lease, err := k.config.Store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return errors.Newf("grant lease: %w", err)
		}
		k.lease, k.leaseGrantedAt = lease, now
	}
	puts := make([]store.Put, 0, len(batch))
	for _, w := range batch {
		puts = append(puts, store.Put{Key: w.key, Value: []byte(w.version), Lease: k.lease})
	}
	result, err := k.config.Store.Commit(ctx, store.Commit{Puts: puts})
	if err != nil {
		k.leaseGrantedAt = time.Time{}
		return errors.Newf("write versions of streams: %w", err)
	}
	k.ObserveEra(k.config.Now(), result.Revision.Era())
	for _, w := range batch {
		w.era = max(era, result.Revision.Era())
	}
	k.keep(batch...)
	return nil
}

package poison

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// marksPrefix begins the store's keys of marks, FINGERPRINT/HOST: each daemon writes all
	// that it knows of a request under a key of its own, so that no two writes compete.
	recordsPrefix = "turmerictide/crashes/"
	// leaseTime is the time of a lease, the longest that the platform grants. One is used for
	// half of it; what is condemned is written again while its request comes.
	leaseTTL = 10 * time.Minute
	// keepGather is the time in which marks gather for one write.
	batchDelay = 100 * time.Millisecond
	// keepRetry spaces the attempts to write while the store is away.
	writeRetryInterval = 500 * time.Millisecond
	// keepTimeout bounds one write.
	writeTimeout = 2 * time.Second
	// keepAgain is the age of a write from which its missing entry is written again: its
	// lease has ended in an outage.
	rewriteThreshold = 5 * time.Second
	// maxKeptPuts is the number of entries that one call to the store takes.
	maxPutsPerCommit = 32
	// maxQueuedMarks bounds the marks that wait for the store.
	maxQueuedRecords = 4096
)

// KeeperConfig holds what a Keeper needs.
type KeeperConfig struct {
	Store    *store.Store
	Host     string
	Register *Register
	// Heard takes a mark that a daemon has written.
	OnRecord func(record CrashRecord, origin string)
	Now      func() time.Time
	Log      logr.Logger
}

// Keeper keeps marks in the platform's store, where they outlive the daemons that saw
// the ends, and are read by those that start or were cut off.
type Keeper struct {
	config KeeperConfig
	done   chan struct{}
	wake   chan struct{}
	// lease is that of all entries, taken at leasedAt. Only Serve uses it.
	lease          store.LeaseID
	leaseGrantedAt time.Time

	mu     sync.Mutex
	queued map[Fingerprint]bool
	// written are the times of the writes of this daemon whose marks are in force.
	writtenAt map[Fingerprint]time.Time
	// read are the revisions of the entries that were read, by key.
	readRevisions map[string]store.Revision
}

// NewKeeper returns a Keeper that has read and written nothing.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{
		config: config, done: make(chan struct{}), wake: make(chan struct{}, 1),
		queued: map[Fingerprint]bool{}, writtenAt: map[Fingerprint]time.Time{}, readRevisions: map[string]store.Revision{},
	}
}

// Done is closed when Serve has returned.
func (k *Keeper) Done() <-chan struct{} {
	return k.done
}

// Keep writes a mark with ends soon. That a run completed is not written: most requests that
// ran beside a crash complete, and one end that is not cleared refuses nothing.
func (k *Keeper) Enqueue(record CrashRecord) {
	if len(record.Crashes) == 0 {
		return
	}
	k.mu.Lock()
	if len(k.queued) < maxQueuedRecords {
		k.queued[record.Fingerprint] = true
	}
	k.mu.Unlock()
	k.signal()
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Update takes the content of the store: it reads the marks of all daemons, and writes those
// of this one again whose entries have ended too soon.
func (k *Keeper) Update(content store.Content) {
	now := k.config.Now()
	for key, entry := range content.Entries {
		if suffix, ok := strings.CutPrefix(key, recordsPrefix); ok {
			k.readEntry(key, suffix, entry)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.readRevisions {
		if _, ok := content.Entries[key]; !ok {
			delete(k.readRevisions, key)
		}
	}
	for f, at := range k.writtenAt {
		switch _, ok := content.Entries[k.key(f)]; {
		case now.Sub(at) > CondemnationTTL:
			delete(k.writtenAt, f)
		case !ok && now.Sub(at) > rewriteThreshold && content.Revision > 0:
			k.queued[f] = true
			k.signal()
		}
	}
}

func (k *Keeper) readEntry(key, rest string, entry store.Entry) {
	k.mu.Lock()
	wasRead := k.readRevisions[key] == entry.Revision
	k.readRevisions[key] = entry.Revision
	k.mu.Unlock()
	if wasRead {
		return
	}
	record, err := DecodeCrashRecord(k.config.Now(), entry.Value)
	if err != nil {
		k.config.Log.Info("entry of a mark cannot be read", "key", key, "error", err.Error())
		return
	}
	_, origin, _ := strings.Cut(rest, "/")
	k.config.OnRecord(record, origin)
}

func (k *Keeper) key(f Fingerprint) string {
	return recordsPrefix + f.String() + "/" + k.config.Host
}

// Serve writes queued marks until ctx ends.
func (k *Keeper) Serve(ctx context.Context) error {
	defer close(k.done)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.wake:
		}
		pause := batchDelay
		for k.hasQueued() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
			pause = batchDelay
			if err := k.writeBatch(ctx); err != nil {
				pause = writeRetryInterval
				k.config.Log.Info("marks were not written", "error", err.Error())
			}
		}
	}
}

// takeLease returns the lease of all entries that are written now.
func (k *Keeper) currentLease(ctx context.Context) (store.LeaseID, error) {
	now := k.config.Now()
	if !k.leaseGrantedAt.IsZero() && now.Sub(k.leaseGrantedAt) < leaseTTL/2 {
		return k.lease, nil
	}
	lease, err := k.config.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, errors.Newf("grant lease: %w", err)
	}
	k.lease, k.leaseGrantedAt = lease, now
	return lease, nil
}

func (k *Keeper) hasQueued() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queued) > 0
}

// write writes as many queued marks as one call takes. They are queued again when it fails:
// to write one twice does no harm.
func (k *Keeper) writeBatch(ctx context.Context) error {
	batch := k.dequeueBatch()
	err := k.commit(ctx, batch)
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, f := range batch {
		if err != nil {
			k.queued[f] = true
		} else {
			k.writtenAt[f] = now
		}
	}
	return err
}

// takeQueued takes as many marks off the queue as one call to the store takes.
func (k *Keeper) dequeueBatch() []Fingerprint {
	var batch []Fingerprint
	k.mu.Lock()
	defer k.mu.Unlock()
	for f := range k.queued {
		if len(batch) == maxPutsPerCommit {
			break
		}
		batch = append(batch, f)
		delete(k.queued, f)
	}
	return batch
}

// commit writes what is known of some fingerprints now.
func (k *Keeper) commit(ctx context.Context, batch []Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lease, err := k.currentLease(ctx)
	if err != nil {
		return err
	}
	puts := make([]store.Put, 0, len(batch))
	for _, f := range batch {
		value, err := EncodeCrashRecord(k.config.Now(), k.config.Register.CrashRecord(f))
		if err != nil {
			return err
		}
		puts = append(puts, store.Put{Key: k.key(f), Value: value, Lease: lease})
	}
	if _, err := k.config.Store.Commit(ctx, store.Commit{Puts: puts}); err != nil {
		k.leaseGrantedAt = time.Time{}
		return errors.Newf("write marks: %w", err)
	}
	k.config.Log.Info("marks are written", "marks", len(batch))
	return nil
}

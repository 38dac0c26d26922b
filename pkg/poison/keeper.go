package poison

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// recordsPrefix is the prefix of the store keys of crash records. FINGERPRINT/HOST follows.
	// Each daemon writes all crashes that it has stored for a request under its own key, so
	// that writes of two daemons never conflict.
	recordsPrefix = "turmerictide/crashes/"
	// partsPrefix is the prefix of the store keys of records of prompt parts. PART/HOST follows.
	partsPrefix = "turmerictide/parts/"
	// leaseTTL is the time to live of a lease, the longest that the platform grants. A lease is
	// used for new entries during the first half of this time. The record of a condemned request
	// is written again while the request is still received.
	leaseTTL = 10 * time.Minute
	// batchDelay is the time for which records are collected for one write.
	batchDelay = 100 * time.Millisecond
	// writeRetryInterval is the interval between attempts to write while the store is unavailable.
	writeRetryInterval = 500 * time.Millisecond
	// writeTimeout limits one write.
	writeTimeout = 2 * time.Second
	// rewriteThreshold is the age of a write after which a missing entry is written again: its
	// lease expired too early.
	rewriteThreshold = 5 * time.Second
	// maxPutsPerCommit limits the entries of one call to the store.
	maxPutsPerCommit = 32
	// maxQueuedRecords limits the records that wait for a write.
	maxQueuedRecords = 4096
)

type KeeperConfig struct {
	Store    *store.Store
	Host     string
	Register *Register
	// OnRecord is called with each new record in the store and the host that wrote it.
	OnRecord func(record CrashRecord, origin string)
	// Parts and OnPartRecord are the same for parts of prompts.
	Parts        *PartRegister
	OnPartRecord func(record PartRecord, origin string)
	Now          func() time.Time
	Log          logr.Logger
}

// recordKey identifies a record of this daemon: the prefix of its store key and the fingerprint
// or the part.
type recordKey struct {
	prefix string
	id     uint64
}

func fingerprintKey(f Fingerprint) recordKey {
	return recordKey{prefix: recordsPrefix, id: uint64(f)}
}

func partKey(p Part) recordKey {
	return recordKey{prefix: partsPrefix, id: uint64(p)}
}

func (r recordKey) storePrefix() string {
	return r.prefix + strconv.FormatUint(r.id, 16) + "/"
}

// Keeper writes crash records to the platform's store and reads those of all daemons. The
// records in the store outlive the daemons that observed the crashes, and reach daemons that
// start later or were cut off.
type Keeper struct {
	config KeeperConfig
	done   chan struct{}
	wake   chan struct{}
	// lease is the lease of new entries, granted at leaseGrantedAt. Only Serve uses it.
	lease          store.LeaseID
	leaseGrantedAt time.Time

	mu sync.Mutex
	// queued are the records that wait for a write, with the times of their last events.
	queued map[recordKey]time.Time
	// written are the records that this daemon has written and that have not expired.
	written map[recordKey]writtenRecord
	// readRevisions are the revisions of the entries that were read, by key.
	readRevisions map[string]store.Revision
	// partReadAt are the times when the latest records of parts were read, by the prefix of
	// their store keys.
	partReadAt map[string]time.Time
	// era is that of the last content.
	era int64
}

// writtenRecord contains the times of the last write of a record and of the event that it was
// written for, a crash or a rejection. The record is kept for some time after the event, however
// often it is written.
type writtenRecord struct {
	eventAt   time.Time
	writtenAt time.Time
	// era is that of the write. A later era may lack it, or have an older record.
	era int64
}

// NewKeeper returns a Keeper. Serve must run for it to write.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{
		config: config, done: make(chan struct{}), wake: make(chan struct{}, 1),
		queued: map[recordKey]time.Time{}, written: map[recordKey]writtenRecord{}, readRevisions: map[string]store.Revision{},
		partReadAt: map[string]time.Time{},
	}
}

// Done is closed when Serve has returned.
func (k *Keeper) Done() <-chan struct{} {
	return k.done
}

// Enqueue schedules a record with crashes for writing. A record that only clears crashes is
// not written: most requests that ran on a crashed endpoint complete when retried, and one
// crash that is not cleared does not condemn a request.
func (k *Keeper) Enqueue(record CrashRecord) {
	if len(record.Crashes) > 0 {
		k.enqueue(fingerprintKey(record.Fingerprint))
	}
}

// EnqueuePart schedules the record of a condemned part for writing, unless a daemon has written
// one that will last for some time.
func (k *Keeper) EnqueuePart(p Part) {
	key := partKey(p)
	k.mu.Lock()
	readAt, ok := k.partReadAt[key.storePrefix()]
	k.mu.Unlock()
	if !ok || k.config.Now().Sub(readAt) >= CondemnationTTL/2 {
		k.enqueue(key)
	}
}

func (k *Keeper) enqueue(key recordKey) {
	now := k.config.Now()
	k.mu.Lock()
	if len(k.queued) < maxQueuedRecords {
		k.queue(key, now)
	}
	k.mu.Unlock()
	k.signal()
}

// queue queues a record that was last changed by an event at eventAt. k.mu must be held.
func (k *Keeper) queue(key recordKey, eventAt time.Time) {
	if eventAt.After(k.queued[key]) {
		k.queued[key] = eventAt
	}
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Update processes the content of the store. It reads the records of all daemons, and requeues
// those of this daemon whose entries expired less than CondemnationTTL after the last event.
func (k *Keeper) Update(content store.Content) {
	now := k.config.Now()
	for key, entry := range content.Entries {
		if suffix, ok := strings.CutPrefix(key, recordsPrefix); ok {
			k.readEntry(key, suffix, entry, k.decodeCrashes)
		}
		if suffix, ok := strings.CutPrefix(key, partsPrefix); ok {
			k.readEntry(key, suffix, entry, k.decodePart)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.readRevisions {
		if _, ok := content.Entries[key]; !ok {
			delete(k.readRevisions, key)
		}
	}
	era := content.Revision.Era()
	for prefix, at := range k.partReadAt {
		if now.Sub(at) > CondemnationTTL || (era > k.era && !hasPrefix(content, prefix)) {
			delete(k.partReadAt, prefix)
		}
	}
	k.era = max(k.era, era)
	for key, w := range k.written {
		switch _, ok := content.Entries[k.storeKey(key)]; {
		case now.Sub(w.eventAt) > CondemnationTTL:
			delete(k.written, key)
		case era > w.era, !ok && now.Sub(w.writtenAt) > rewriteThreshold && content.Revision > 0:
			k.queue(key, w.eventAt)
			k.signal()
		}
	}
}

// hasPrefix reports whether the store has an entry whose key begins with prefix.
func hasPrefix(content store.Content, prefix string) bool {
	for key := range content.Entries {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// readEntry passes an entry that was not read before to decode, with the host that wrote it.
func (k *Keeper) readEntry(key, suffix string, entry store.Entry, decode func(entry store.Entry, origin string) error) {
	k.mu.Lock()
	wasRead := k.readRevisions[key] == entry.Revision
	k.readRevisions[key] = entry.Revision
	k.mu.Unlock()
	if wasRead {
		return
	}
	_, origin, _ := strings.Cut(suffix, "/")
	if err := decode(entry, origin); err != nil {
		k.config.Log.Info("cannot decode a crash record in the store", "key", key, "error", err.Error())
	}
}

func (k *Keeper) decodeCrashes(entry store.Entry, origin string) error {
	record, err := DecodeCrashRecord(k.config.Now(), entry.Value)
	if err != nil {
		return err
	}
	k.config.OnRecord(record, origin)
	return nil
}

func (k *Keeper) decodePart(entry store.Entry, origin string) error {
	now := k.config.Now()
	record, err := DecodePartRecord(now, entry.Value)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.partReadAt[strings.TrimSuffix(entry.Key, origin)] = now
	k.mu.Unlock()
	k.config.OnPartRecord(record, origin)
	return nil
}

// storeKey returns the key under which this daemon stores a record.
func (k *Keeper) storeKey(key recordKey) string {
	return key.storePrefix() + k.config.Host
}

// Serve writes queued records until ctx is done.
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
				k.config.Log.Info("crash records were not written", "error", err.Error())
			}
		}
	}
}

// currentLease returns the lease for new entries. It requests a new one after half of the TTL.
func (k *Keeper) currentLease(ctx context.Context) (store.LeaseID, error) {
	now := k.config.Now()
	if !k.leaseGrantedAt.IsZero() && now.Sub(k.leaseGrantedAt) < leaseTTL/2 {
		return k.lease, nil
	}
	lease, err := k.config.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return store.LeaseID{}, errors.Newf("grant lease: %w", err)
	}
	k.lease, k.leaseGrantedAt = lease, now
	return lease, nil
}

func (k *Keeper) hasQueued() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queued) > 0
}

// writeBatch writes the queued records that fit in one call to the store. It requeues them if
// the call fails, as writing a record twice is harmless.
func (k *Keeper) writeBatch(ctx context.Context) error {
	batch := k.dequeueBatch()
	era, err := k.commit(ctx, batch)
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, eventAt := range batch {
		if err != nil {
			k.queue(key, eventAt)
		} else {
			k.written[key] = writtenRecord{eventAt: eventAt, writtenAt: now, era: era}
		}
	}
	return err
}

// dequeueBatch removes the records for one call to the store from the queue.
func (k *Keeper) dequeueBatch() map[recordKey]time.Time {
	batch := map[recordKey]time.Time{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, eventAt := range k.queued {
		if len(batch) == maxPutsPerCommit {
			break
		}
		batch[key] = eventAt
		delete(k.queued, key)
	}
	return batch
}

// commit writes the current records with some keys. It returns the era of the write.
func (k *Keeper) commit(ctx context.Context, batch map[recordKey]time.Time) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lease, err := k.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	puts := make([]store.Put, 0, len(batch))
	for key := range batch {
		value, err := k.encode(key)
		if err != nil {
			return 0, err
		}
		puts = append(puts, store.Put{Key: k.storeKey(key), Value: value, Lease: lease})
	}
	result, err := k.config.Store.Commit(ctx, store.Commit{Puts: puts})
	if err != nil {
		k.leaseGrantedAt = time.Time{}
		return 0, errors.Newf("write crash records: %w", err)
	}
	k.config.Log.Info("crash records were written", "marks", len(batch))
	return result.Revision.Era(), nil
}

func (k *Keeper) encode(key recordKey) ([]byte, error) {
	now := k.config.Now()
	if key.prefix == partsPrefix {
		return EncodePartRecord(now, k.config.Parts.Record(Part(key.id)))
	}
	return EncodeCrashRecord(now, k.config.Register.CrashRecord(Fingerprint(key.id)))
}

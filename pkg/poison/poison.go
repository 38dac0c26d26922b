// Package poison finds the requests that crash each endpoint that runs them.
//
// Each end of an endpoint is noted for every request that ran there, the guilty and those
// beside it alike, and all of them are suspected. A suspected request is run again on an
// endpoint with no other suspected request, so that a second crash there can only be its own
// doing. A request is condemned after three crashes, of which one that it caused alone
// counts as two. A run that completes clears the crashes that were known when it began.
//
// The Register is a set of ends that only grows: marks may arrive in any order and more
// than once, and daemons with the same marks hold the same verdict. Marks are spread to all
// daemons, so that a caller gains nothing by sending its request through another one.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fingerprint identifies requests with the same content.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of the parts that requests have in common.
func NewFingerprint(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hash.Write(size[:])
		_, _ = hash.Write(part)
	}
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// Verdict is what is held of a fingerprint.
type Verdict uint8

// The verdicts, in the order of gravity.
const (
	VerdictClear Verdict = iota
	VerdictSuspect
	VerdictCondemned
)

// String returns the verdict as logs and metrics show it.
func (v Verdict) String() string {
	switch v {
	case VerdictSuspect:
		return "suspect"
	case VerdictCondemned:
		return "condemned"
	default:
		return "clear"
	}
}

const (
	// CondemnTime is the time for which an end is remembered after it was last heard of, and
	// so the time that a condemnation lasts after the request came last.
	CondemnationTTL = 10 * time.Minute
	// condemnCrashes is the number of crashes that condemns a request, and aloneCrashes what
	// one counts for that the request caused alone.
	condemnationThreshold = 3
	isolatedCrashWeight   = 2
	// markDelay bounds the time that a mark takes from one daemon to another, by which the times
	// in it appear later.
	deliveryDelayLimit = 250 * time.Millisecond
	// ambiguousTime is the time within which two requests that ran alone on an endpoint as it
	// ended may both have been there, put there by two owners.
	ambiguityWindow = 10 * time.Second
	// renewPeriod spaces the marks that keep a condemnation in force while its request comes.
	renewInterval = CondemnationTTL / 4
	// maxEnds bounds the ends that are remembered of one request, maxSameCrash those of one
	// crash.
	maxCrashesPerRequest = 16
	maxDuplicates        = 2
	// maxRecords bounds the requests that are remembered, and the endpoints of ends alone.
	maxFingerprints = 65536
)

// EndID identifies one end of an endpoint under one run, whatever fingerprints the request
// is known by.
type CrashID uint64

// NewEndID returns an ID that no other end has.
func NewCrashID() CrashID {
	return CrashID(rand.Uint64())
}

// End is the end of an endpoint while it ran a request.
type Crash struct {
	ID       CrashID
	Endpoint string
	// Born is the start of the endpoint's life, zero where that is not known.
	Born time.Time
	// Stage is the part of the work that it did.
	Stage string
	// Alone is true when the request ran as a suspect, and so without another suspect beside
	// it.
	Isolated bool
	// Began is when the run began, and At when it broke off, by the clock of this daemon; both
	// are now if At is zero.
	RunStartedAt time.Time
	CrashedAt    time.Time
}

// life is one life of an endpoint, as far as it is known.
type incarnation struct {
	endpoint string
	born     int64
}

func (c Crash) incarnation() incarnation {
	return incarnation{endpoint: c.Endpoint, born: c.Born.UnixMilli()}
}

// Mark is what daemons tell each other of a fingerprint.
type CrashRecord struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Cleared are ends that count no more, because a run has completed.
	Cleared []CrashID
}

// knownEnd is an end as it is remembered here. One that was cleared before it was heard of
// has an ID only.
type knownCrash struct {
	Crash
	cleared bool
}

// record is what is known of one fingerprint.
type crashHistory struct {
	crashes   []knownCrash
	expiresAt time.Time
	renewedAt time.Time
}

// aloneEnd is an end under a request that ran alone.
type isolatedCrash struct {
	fingerprint Fingerprint
	id          CrashID
	at          time.Time
}

// Register holds the ends that are remembered.
type Register struct {
	mu        sync.Mutex
	histories map[Fingerprint]*crashHistory
	// alone are the latest ends of each endpoint under requests that ran alone.
	isolated map[string][]isolatedCrash
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{histories: map[Fingerprint]*crashHistory{}, isolated: map[string][]isolatedCrash{}}
}

// Verdict returns what is held of a fingerprint, and until when.
func (r *Register) Verdict(now time.Time, f Fingerprint) (Verdict, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[f]
	if history == nil || !now.Before(history.expiresAt) {
		return VerdictClear, time.Time{}
	}
	switch score := r.score(f, history); {
	case score >= condemnationThreshold:
		return VerdictCondemned, history.expiresAt
	case score > 0:
		return VerdictSuspect, history.expiresAt
	}
	return VerdictClear, time.Time{}
}

// Crashes weighs the crashes under a fingerprint; those of a condemned one are three or more.
func (r *Register) CrashScore(now time.Time, f Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[f]
	if history == nil || !now.Before(history.expiresAt) {
		return 0
	}
	return r.score(f, history)
}

// crashes weighs the crashes under a fingerprint. The caller holds the lock.
func (r *Register) score(f Fingerprint, history *crashHistory) int {
	type countedCrash struct {
		first  knownCrash
		weight int
	}
	latest := map[incarnation]countedCrash{}
	total := 0
	for _, c := range history.crashes {
		if c.cleared {
			continue
		}
		weight := 1
		if c.Isolated && !r.isAmbiguous(f, c) {
			weight = isolatedCrashWeight
		}
		last, ok := latest[c.incarnation()]
		if ok && last.first.isSameCrash(c) {
			total += max(weight-last.weight, 0)
			last.weight = max(weight, last.weight)
			latest[c.incarnation()] = last
			continue
		}
		latest[c.incarnation()] = countedCrash{first: c, weight: weight}
		total += weight
	}
	return total
}

// isSameCrash reports whether a later end under the same life of an endpoint is the same
// crash: its run began before that. A run that began later reached another life, of which
// nothing was heard yet.
func (c knownCrash) isSameCrash(later knownCrash) bool {
	return !later.RunStartedAt.After(c.CrashedAt.Add(deliveryDelayLimit))
}

// isShared reports whether another request ran alone on the endpoint as it ended, so that
// neither is known to be guilty. The caller holds the lock.
func (r *Register) isAmbiguous(f Fingerprint, c knownCrash) bool {
	return slices.ContainsFunc(r.isolated[c.Endpoint], func(other isolatedCrash) bool {
		return other.fingerprint != f && other.id != c.ID && other.at.Sub(c.CrashedAt).Abs() < ambiguityWindow && r.isActive(other)
	})
}

// counts reports whether an end is remembered and was not cleared. The caller holds the lock.
func (r *Register) isActive(c isolatedCrash) bool {
	history := r.histories[c.fingerprint]
	return history != nil && slices.ContainsFunc(history.crashes, func(other knownCrash) bool { return other.ID == c.id && !other.cleared })
}

// Crash notes that an endpoint ended while it ran the request, and returns the mark to
// spread: all that is known of the request, for daemons that missed a part.
func (r *Register) RecordCrash(now time.Time, f Fingerprint, c Crash) CrashRecord {
	if c.ID == 0 {
		c.ID = NewCrashID()
	}
	if c.CrashedAt.IsZero() {
		c.RunStartedAt, c.CrashedAt = now, now
	}
	r.Apply(now, CrashRecord{Fingerprint: f, Crashes: []Crash{c}})
	return r.CrashRecord(f)
}

// Mark returns all that is known of a fingerprint.
func (r *Register) CrashRecord(f Fingerprint) CrashRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := CrashRecord{Fingerprint: f}
	history := r.histories[f]
	if history == nil {
		return record
	}
	for _, c := range history.crashes {
		if c.cleared {
			record.Cleared = append(record.Cleared, c.ID)
		} else {
			record.Crashes = append(record.Crashes, c.Crash)
		}
	}
	return record
}

// Ends returns the ends under a fingerprint at a stage, which a run that begins now clears
// if it completes.
func (r *Register) CrashIDs(f Fingerprint, stage string) []CrashID {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[f]
	if history == nil {
		return nil
	}
	var ids []CrashID
	for _, c := range history.crashes {
		if !c.cleared && c.Stage == stage {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// Complete clears the ends that were known when a run began that has ended well. It returns
// the mark to spread.
func (r *Register) ClearCrashes(now time.Time, f Fingerprint, ids []CrashID) CrashRecord {
	record := CrashRecord{Fingerprint: f, Cleared: ids}
	r.Apply(now, record)
	return record
}

// Refused notes that a condemned request came again and was refused. Now and then it
// returns a mark that keeps the condemnation in force on all daemons.
func (r *Register) RecordRejection(now time.Time, f Fingerprint) (CrashRecord, bool) {
	r.mu.Lock()
	history := r.histories[f]
	isDue := history != nil && now.Sub(history.renewedAt) >= renewInterval
	if history != nil {
		history.expiresAt = now.Add(CondemnationTTL)
	}
	if isDue {
		history.renewedAt = now
	}
	r.mu.Unlock()
	if !isDue {
		return CrashRecord{}, false
	}
	return r.CrashRecord(f), true
}

// Apply takes a mark that was made here or heard, and reports whether it holds anything that
// was not known.
func (r *Register) Apply(now time.Time, record CrashRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[record.Fingerprint]
	if history == nil {
		if len(record.Crashes)+len(record.Cleared) == 0 || !r.makeRoom(now) {
			return false
		}
		history = &crashHistory{renewedAt: now}
		r.histories[record.Fingerprint] = history
	}
	if !now.Before(history.expiresAt) {
		history.crashes = nil
	}
	isChanged := false
	for _, c := range record.Crashes {
		if history.add(knownCrash{Crash: c}) {
			isChanged = true
			r.addIsolated(now, record.Fingerprint, c)
		}
	}
	for _, id := range record.Cleared {
		isChanged = history.clear(now, id) || isChanged
	}
	history.expiresAt = now.Add(CondemnationTTL)
	return isChanged
}

// note adds an end, and reports whether it is new. When there are too many the oldest
// cleared one is forgotten, and without any the new one is one too many to matter.
func (h *crashHistory) add(c knownCrash) bool {
	if slices.ContainsFunc(h.crashes, func(other knownCrash) bool { return other.ID == c.ID }) {
		return false
	}
	if !c.cleared && h.countDuplicates(c) >= maxDuplicates {
		return false
	}
	if len(h.crashes) >= maxCrashesPerRequest {
		oldest := slices.IndexFunc(h.crashes, func(other knownCrash) bool { return other.cleared })
		if oldest < 0 {
			return false
		}
		h.crashes = slices.Delete(h.crashes, oldest, oldest+1)
	}
	h.crashes = append(h.crashes, c)
	slices.SortStableFunc(h.crashes, func(a, b knownCrash) int { return a.CrashedAt.Compare(b.CrashedAt) })
	return true
}

// sameCrash counts the ends that are known of the same crash.
func (h *crashHistory) countDuplicates(c knownCrash) int {
	count := 0
	for _, other := range h.crashes {
		if !other.cleared && other.incarnation() == c.incarnation() && other.isSameCrash(c) && c.isSameCrash(other) {
			count++
		}
	}
	return count
}

// clear makes an end count no more, also one that is heard of later.
func (h *crashHistory) clear(now time.Time, id CrashID) bool {
	for i := range h.crashes {
		if h.crashes[i].ID == id {
			isChanged := !h.crashes[i].cleared
			h.crashes[i].cleared = true
			return isChanged
		}
	}
	return h.add(knownCrash{Crash: Crash{ID: id, CrashedAt: now}, cleared: true})
}

// noteAlone remembers an end under a request that ran alone. The caller holds the lock.
func (r *Register) addIsolated(now time.Time, f Fingerprint, c Crash) {
	if !c.Isolated {
		return
	}
	if len(r.isolated) >= maxFingerprints {
		r.isolated = map[string][]isolatedCrash{}
	}
	recent := slices.DeleteFunc(r.isolated[c.Endpoint], func(other isolatedCrash) bool { return now.Sub(other.at) > CondemnationTTL })
	r.isolated[c.Endpoint] = append(recent, isolatedCrash{fingerprint: f, id: c.ID, at: c.CrashedAt})
}

// hasRoom makes room for one more record where it must: what has ended goes first, then
// what does not condemn. The caller holds the lock.
func (r *Register) makeRoom(now time.Time) bool {
	if len(r.histories) < maxFingerprints {
		return true
	}
	for f, history := range r.histories {
		if !now.Before(history.expiresAt) || r.score(f, history) < condemnationThreshold {
			delete(r.histories, f)
		}
	}
	return len(r.histories) < maxFingerprints
}

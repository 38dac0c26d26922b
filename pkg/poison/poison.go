// Package poison detects requests that crash every endpoint they run on.
//
// When an endpoint crashes, the crash is recorded for every request that ran there, whether
// or not it caused the crash. All of these requests become suspects. A suspect is retried on
// an endpoint without other suspects, so that only this request can cause a second crash
// there. Such an isolated crash counts twice. A request is condemned when its crashes count
// to three.
//
// A run that completes shows that one endpoint survived the request once. It does not show that
// the request caused none of the crashes before, as a request may crash only some of the endpoints
// or in some of its runs. So the request is no longer a suspect, but a crash counts until
// survivalsPerCrash runs that started after it have completed. A request that crashes endpoints
// more rarely is not told apart from one that runs beside crashes with other causes.
//
// The Register is a grow-only set of crashes. Crash records may arrive in any order and more
// than once, and daemons with the same records have the same verdict. Records are sent to all
// daemons, so a caller cannot avoid a condemnation by sending its request through another one.
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

// NewFingerprint returns the fingerprint of requests that consist of the same parts.
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

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// Verdict is the classification of a fingerprint.
type Verdict uint8

// The verdicts, in order of severity.
const (
	VerdictClear Verdict = iota
	VerdictSuspect
	VerdictCondemned
)

// String returns the verdict as in logs and metrics.
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
	// CondemnationTTL is how long the crashes of a request are kept after its last crash
	// record. A condemnation ends this long after the last rejection of the request.
	CondemnationTTL = 10 * time.Minute
	// condemnationThreshold is the score of crashes at which a request is condemned.
	// isolatedCrashWeight is what an isolated crash adds to the score. Other crashes add 1.
	condemnationThreshold = 3
	isolatedCrashWeight   = 2
	// survivalsPerCrash is the number of completed runs after which a crash no longer counts. It
	// bounds the share of its runs in which a request may crash endpoints without being condemned,
	// and lets a sound request that is sent often outlive the crashes beside it.
	survivalsPerCrash = 32
	// deliveryDelayLimit is the longest delay of a crash record between daemons. The times in a
	// decoded record are late by the actual delay.
	deliveryDelayLimit = 250 * time.Millisecond
	// ambiguityWindow limits the time between isolated crashes of two requests on an endpoint
	// that may be the same crash, because two owners may have placed both requests there.
	ambiguityWindow = 10 * time.Second
	// renewInterval is the interval between the crash records that keep a condemnation active on
	// all daemons while its request is still received.
	renewInterval = CondemnationTTL / 4
	// maxCrashesPerRequest limits the stored crashes of one request, and maxDuplicates those
	// that are caused by the same crash of an endpoint.
	maxCrashesPerRequest = 16
	maxDuplicates        = 2
	// maxFingerprints limits the stored requests, and the endpoints with isolated crashes.
	maxFingerprints = 65536
)

// CrashID identifies the crash of an endpoint during one run. It is the same for all
// fingerprints of the request.
type CrashID uint64

// NewCrashID returns a random ID.
func NewCrashID() CrashID {
	return CrashID(rand.Uint64())
}

// RunID identifies a completed run.
type RunID uint64

// NewRunID returns a random ID.
func NewRunID() RunID {
	return RunID(rand.Uint64())
}

// Crash is the crash of an endpoint during the run of a request. Several runs may record
// the same crash of an endpoint.
type Crash struct {
	ID       CrashID
	Endpoint string
	// Born is the start time of the endpoint's incarnation, or zero if it is not known.
	Born time.Time
	// Stage is the stage of the request that the endpoint ran.
	Stage string
	// Isolated is true when the request ran as a suspect, and so without another suspect on
	// the endpoint.
	Isolated bool
	// RunStartedAt is when the run started and CrashedAt when it was interrupted, by the clock
	// of this daemon. AddCrash sets both to the current time if CrashedAt is zero.
	RunStartedAt time.Time
	CrashedAt    time.Time
}

// incarnation identifies an incarnation of an endpoint, as far as it is known.
type incarnation struct {
	endpoint string
	born     int64
}

func (c Crash) incarnation() incarnation {
	return incarnation{endpoint: c.Endpoint, born: c.Born.UnixMilli()}
}

// CrashRecord contains crashes of a fingerprint. Daemons send it to each other.
type CrashRecord struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Cleared are crashes that no longer count: they did not happen, or enough runs have
	// completed since.
	Cleared []CrashID
	// Survivals are the completed runs that started after a crash was known.
	Survivals []CrashSurvivals
}

// CrashSurvivals are the completed runs of a request that started after one of its crashes was
// known.
type CrashSurvivals struct {
	Crash CrashID
	Runs  []RunID
}

// knownCrash is a stored crash. Until it is received, only its ID, a time, the survivals and
// whether it is cleared are known.
type knownCrash struct {
	Crash
	received bool
	cleared  bool
	// survivals are the completed runs since. A cleared crash has none.
	survivals []RunID
}

// counts reports whether the crash counts against the request.
func (c knownCrash) counts() bool {
	return c.received && !c.cleared
}

// crashHistory is the stored state of one fingerprint.
type crashHistory struct {
	crashes   []knownCrash
	expiresAt time.Time
	renewedAt time.Time
}

// isolatedCrash is a crash during an isolated run.
type isolatedCrash struct {
	fingerprint Fingerprint
	id          CrashID
	at          time.Time
}

// Register stores crashes by fingerprint. It is safe for concurrent use.
type Register struct {
	mu        sync.Mutex
	histories map[Fingerprint]*crashHistory
	// isolated are the recent isolated crashes, by endpoint.
	isolated map[string][]isolatedCrash
}

func NewRegister() *Register {
	return &Register{histories: map[Fingerprint]*crashHistory{}, isolated: map[string][]isolatedCrash{}}
}

// Verdict returns the verdict on a fingerprint and when it expires.
func (r *Register) Verdict(now time.Time, f Fingerprint) (Verdict, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[f]
	if history == nil || !now.Before(history.expiresAt) {
		return VerdictClear, time.Time{}
	}
	if r.score(f, history) >= condemnationThreshold {
		return VerdictCondemned, history.expiresAt
	}
	if slices.ContainsFunc(history.crashes, func(c knownCrash) bool { return c.counts() && len(c.survivals) == 0 }) {
		return VerdictSuspect, history.expiresAt
	}
	return VerdictClear, time.Time{}
}

// CrashScore returns the score of a fingerprint: the weighted number of its crashes, which is
// three or more for a condemned request.
func (r *Register) CrashScore(now time.Time, f Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[f]
	if history == nil || !now.Before(history.expiresAt) {
		return 0
	}
	return r.score(f, history)
}

// score returns the weighted number of crashes of a fingerprint. r.mu must be held.
func (r *Register) score(f Fingerprint, history *crashHistory) int {
	type countedCrash struct {
		first  knownCrash
		weight int
	}
	latest := map[incarnation]countedCrash{}
	total := 0
	for _, c := range history.crashes {
		if !c.counts() {
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

// isSameCrash reports whether a later record for the same incarnation of an endpoint is of the
// same crash. That is so if its run started before the crash. A run that started afterwards
// reached a new incarnation that is not yet known.
func (c knownCrash) isSameCrash(later knownCrash) bool {
	return !later.RunStartedAt.After(c.CrashedAt.Add(deliveryDelayLimit))
}

// isAmbiguous reports whether another request also ran isolated on the endpoint when it
// crashed, so either may have caused the crash. r.mu must be held.
func (r *Register) isAmbiguous(f Fingerprint, c knownCrash) bool {
	return slices.ContainsFunc(r.isolated[c.Endpoint], func(other isolatedCrash) bool {
		return other.fingerprint != f && other.id != c.ID && other.at.Sub(c.CrashedAt).Abs() < ambiguityWindow && r.isActive(other)
	})
}

// isActive reports whether a crash is stored and was not cleared. r.mu must be held.
func (r *Register) isActive(c isolatedCrash) bool {
	history := r.histories[c.fingerprint]
	return history != nil && slices.ContainsFunc(history.crashes, func(other knownCrash) bool { return other.ID == c.id && other.counts() })
}

// AddCrash stores the crash of an endpoint during a run of the request. It returns the record
// to send to all daemons. The record contains all stored crashes, for daemons that missed some.
func (r *Register) AddCrash(now time.Time, f Fingerprint, c Crash) CrashRecord {
	if c.ID == 0 {
		c.ID = NewCrashID()
	}
	if c.CrashedAt.IsZero() {
		c.RunStartedAt, c.CrashedAt = now, now
	}
	r.Apply(now, CrashRecord{Fingerprint: f, Crashes: []Crash{c}})
	return r.CrashRecord(f)
}

// CrashRecord returns all stored crashes of a fingerprint.
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
			continue
		}
		if c.received {
			record.Crashes = append(record.Crashes, c.Crash)
		}
		if len(c.survivals) > 0 {
			record.Survivals = append(record.Survivals, CrashSurvivals{Crash: c.ID, Runs: slices.Clone(c.survivals)})
		}
	}
	return record
}

// CrashIDs returns the crashes of a fingerprint at a stage that a run which starts now survives
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
		if c.counts() && c.Stage == stage {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// RecordSurvival records a completed run. ids are the crashes that were known when it started. It
// returns the record to send to all daemons.
func (r *Register) RecordSurvival(now time.Time, f Fingerprint, ids []CrashID) CrashRecord {
	record := CrashRecord{Fingerprint: f}
	run := NewRunID()
	for _, id := range ids {
		record.Survivals = append(record.Survivals, CrashSurvivals{Crash: id, Runs: []RunID{run}})
	}
	r.Apply(now, record)
	return record
}

// WithdrawCrash clears a crash that did not happen. It returns the record to send to all daemons.
func (r *Register) WithdrawCrash(now time.Time, f Fingerprint, id CrashID) CrashRecord {
	record := CrashRecord{Fingerprint: f, Cleared: []CrashID{id}}
	r.Apply(now, record)
	return record
}

// RecordRejection extends the condemnation of a request that was received again and rejected.
// At most once per renewInterval it returns a record to send, which extends the condemnation
// on all daemons.
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

// Apply merges a record of this daemon or of a peer. It reports whether the record changed
// the set of crashes.
func (r *Register) Apply(now time.Time, record CrashRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.histories[record.Fingerprint]
	if history == nil {
		if len(record.Crashes)+len(record.Cleared)+len(record.Survivals) == 0 || !r.makeRoom(now) {
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
		if history.add(knownCrash{Crash: c, received: true}) {
			isChanged = true
			r.addIsolated(now, record.Fingerprint, c)
		}
	}
	for _, id := range record.Cleared {
		isChanged = history.clear(now, id) || isChanged
	}
	for _, survivals := range record.Survivals {
		isChanged = history.addSurvivals(now, survivals) || isChanged
	}
	if len(record.Crashes) > 0 || history.expiresAt.IsZero() {
		history.expiresAt = now.Add(CondemnationTTL)
	}
	return isChanged
}

// add stores a crash and reports whether it is new. At the limit it removes the oldest crash that
// does not count. If there is none, the new crash is ignored, as it cannot change the verdict.
func (h *crashHistory) add(c knownCrash) bool {
	if known := h.find(c.ID); known != nil {
		if known.received || known.cleared || !c.received {
			return false
		}
		known.Crash, known.received = c.Crash, true
		h.sort()
		return true
	}
	if c.counts() && h.countDuplicates(c) >= maxDuplicates {
		return false
	}
	if len(h.crashes) >= maxCrashesPerRequest {
		oldest := slices.IndexFunc(h.crashes, func(other knownCrash) bool { return !other.counts() })
		if oldest < 0 {
			return false
		}
		h.crashes = slices.Delete(h.crashes, oldest, oldest+1)
	}
	h.crashes = append(h.crashes, c)
	h.sort()
	return true
}

func (h *crashHistory) sort() {
	slices.SortStableFunc(h.crashes, func(a, b knownCrash) int { return a.CrashedAt.Compare(b.CrashedAt) })
}

// find returns the stored crash with an ID, nil for none.
func (h *crashHistory) find(id CrashID) *knownCrash {
	i := slices.IndexFunc(h.crashes, func(c knownCrash) bool { return c.ID == id })
	if i < 0 {
		return nil
	}
	return &h.crashes[i]
}

// countDuplicates counts the stored entries of the same crash of an endpoint.
func (h *crashHistory) countDuplicates(c knownCrash) int {
	count := 0
	for _, other := range h.crashes {
		if other.counts() && other.incarnation() == c.incarnation() && other.isSameCrash(c) && c.isSameCrash(other) {
			count++
		}
	}
	return count
}

// clear marks a crash as cleared. It also stores the ID of a crash that was not received yet.
func (h *crashHistory) clear(now time.Time, id CrashID) bool {
	known := h.find(id)
	if known == nil {
		return h.add(knownCrash{Crash: Crash{ID: id, CrashedAt: now}, cleared: true})
	}
	isChanged := !known.cleared
	known.cleared, known.survivals = true, nil
	return isChanged
}

// addSurvivals stores completed runs, which clear their crash when there are enough of them. It
// reports whether any of them is new.
func (h *crashHistory) addSurvivals(now time.Time, s CrashSurvivals) bool {
	if h.find(s.Crash) == nil && !h.add(knownCrash{Crash: Crash{ID: s.Crash, CrashedAt: now}}) {
		return false
	}
	known := h.find(s.Crash)
	isChanged := false
	for _, run := range s.Runs {
		if known.cleared || slices.Contains(known.survivals, run) {
			continue
		}
		isChanged = true
		known.survivals = append(known.survivals, run)
		if len(known.survivals) >= survivalsPerCrash {
			known.cleared, known.survivals = true, nil
		}
	}
	return isChanged
}

// addIsolated stores an isolated crash by endpoint. At the limit it first drops the isolated
// crashes of all endpoints. r.mu must be held.
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

// makeRoom reports whether one more fingerprint can be stored. At the limit it first removes
// the expired ones and those that are not condemned. r.mu must be held.
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

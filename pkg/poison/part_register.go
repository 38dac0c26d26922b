package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxPartCrashes limits the stored crashes of runs.
	maxPartCrashes = 1024
	// maxCrashesPerPart limits the crashes that a verdict on a part is based on, and those in
	// its record.
	maxCrashesPerPart = 16
	// maxSurvivals limits the stored survivals of each generation.
	maxSurvivals = 4096
	// evaluationInterval is the longest time between evaluations, because some evidence
	// depends on the time.
	evaluationInterval = 250 * time.Millisecond
	// minForwardInterval is the shortest interval between the renewals of a condemnation that a
	// daemon forwards. Each of many daemons that reject requests sends its own.
	minForwardInterval = 10 * time.Second
)

// PartRegister determines the parts of prompts that crash endpoints. Its crashes and survivals
// may arrive in any order and more than once, and daemons with the same records have the same
// verdicts. It is safe for concurrent use.
type PartRegister struct {
	mu        sync.Mutex
	crashes   map[partCrashKey]*storedPartCrash
	survivals survivalTable
	// verdicts are the results of the latest evaluation, at evaluatedAt.
	verdicts    map[Part]PartEvidence
	evaluatedAt time.Time
	isStale     bool
	// changes are the verdicts that changed since the last call of TakeChanges.
	changes []PartEvidence
	// renewals are the latest renewals of condemnations.
	renewals map[Part]renewal
}

// renewal contains the times of the last records that keep the condemnation of a part active:
// the last one for a rejection here, and the last one that was sent or forwarded to peers.
type renewal struct {
	renewedAt time.Time
	sentAt    time.Time
}

// partCrashKey identifies the crash of one incarnation of an endpoint as one request saw it.
type partCrashKey struct {
	incarnation incarnation
	scope       Scope
	request     Fingerprint
}

type storedPartCrash struct {
	PartCrash
	expiresAt time.Time
}

func (c *storedPartCrash) incarnation() incarnation {
	return incarnation{endpoint: c.Endpoint, born: c.Born.UnixMilli()}
}

func (c *storedPartCrash) renew(now time.Time) {
	if until := now.Add(CondemnationTTL); until.After(c.expiresAt) {
		c.expiresAt = until
	}
}

// NewPartRegister returns an empty PartRegister.
func NewPartRegister() *PartRegister {
	return &PartRegister{crashes: map[partCrashKey]*storedPartCrash{}, renewals: map[Part]renewal{}}
}

// AddCrash stores a crash. It returns the record to send to all daemons, which contains the
// survivals that the verdicts on the parts depend on.
func (r *PartRegister) AddCrash(now time.Time, c PartCrash) PartRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(now, c)
	record := PartRecord{Crashes: []PartCrash{c}}
	for _, p := range append([]Part{anyPart}, c.Parts...) {
		if at, ok := r.survivals.latest(p, c.Scope); ok {
			record.Survivals = append(record.Survivals, Survival{Part: p, Scope: c.Scope, RunStartedAt: at})
		}
	}
	return record
}

// RecordSurvival stores that an endpoint survived a run. If that changes what is known about a
// crash, it also returns a record to send to all daemons.
func (r *PartRegister) RecordSurvival(scope Scope, parts []Part, runStartedAt time.Time) (PartRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var record PartRecord
	for _, p := range append([]Part{anyPart}, parts...) {
		s := Survival{Part: p, Scope: scope, RunStartedAt: runStartedAt}
		if r.addSurvival(s) {
			record.Survivals = append(record.Survivals, s)
		}
	}
	return record, len(record.Survivals) > 0
}

// Apply merges a record of a peer. It reports whether the record changed the evidence.
func (r *PartRegister) Apply(now time.Time, record PartRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isChanged := false
	for _, c := range record.Crashes {
		isChanged = r.add(now, c) || isChanged
	}
	for _, s := range record.Survivals {
		isChanged = r.addSurvival(s) || isChanged
	}
	return isChanged
}

// add stores a crash and reports whether it is new. A record of a known one renews it. r.mu must
// be held.
func (r *PartRegister) add(now time.Time, c PartCrash) bool {
	stored := &storedPartCrash{PartCrash: c, expiresAt: now.Add(CondemnationTTL)}
	key := partCrashKey{incarnation: stored.incarnation(), scope: c.Scope, request: c.Request}
	if known, ok := r.crashes[key]; ok {
		known.renew(now)
		return false
	}
	if len(c.Parts) == 0 {
		return false
	}
	if len(r.crashes) >= maxPartCrashes {
		r.makeRoom(now)
	}
	r.crashes[key] = stored
	r.isStale = true
	return true
}

// makeRoom removes the expired crashes, or else the oldest half of those that no condemnation
// is based on. If a condemnation is based on all, it removes the oldest half. r.mu must be held.
func (r *PartRegister) makeRoom(now time.Time) {
	before := len(r.crashes)
	r.removeExpired(now)
	if len(r.crashes) < before {
		return
	}
	r.evaluate(now)
	isRemovable := func(c *storedPartCrash) bool {
		return !slices.ContainsFunc(c.Parts, func(p Part) bool { return r.verdicts[p].Verdict == VerdictCondemned })
	}
	keys := slices.SortedFunc(maps.Keys(r.crashes), func(a, b partCrashKey) int {
		return r.crashes[a].CrashedAt.Compare(r.crashes[b].CrashedAt)
	})
	if removable := slices.DeleteFunc(slices.Clone(keys), func(k partCrashKey) bool { return !isRemovable(r.crashes[k]) }); len(removable) > 0 {
		keys = removable
	}
	for _, key := range keys[:(len(keys)+1)/2] {
		delete(r.crashes, key)
	}
}

// removeExpired removes the expired crashes and renewals. r.mu must be held.
func (r *PartRegister) removeExpired(now time.Time) {
	for key, c := range r.crashes {
		if !now.Before(c.expiresAt) {
			delete(r.crashes, key)
			r.isStale = true
		}
	}
	for p, last := range r.renewals {
		if now.Sub(last.sentAt) >= CondemnationTTL {
			delete(r.renewals, p)
		}
	}
}

// addSurvival stores a survival. It reports whether the survival explains a crash that none
// explained before. r.mu must be held.
func (r *PartRegister) addSurvival(s Survival) bool {
	before, _ := r.survivals.latest(s.Part, s.Scope)
	if !s.RunStartedAt.After(before) {
		return false
	}
	r.survivals.set(s)
	for _, c := range r.crashes {
		if c.Scope != s.Scope || (s.Part != anyPart && !slices.Contains(c.Parts, s.Part)) {
			continue
		}
		if isSurvivedSince(before, c) != isSurvivedSince(s.RunStartedAt, c) {
			r.isStale = true
			return true
		}
	}
	return false
}

// isSurvivedSince reports whether a run that started at a time started after a crash.
func isSurvivedSince(runStartedAt time.Time, c *storedPartCrash) bool {
	return runStartedAt.After(c.CrashedAt.Add(deliveryDelayLimit))
}

// Verdict returns the most severe verdict on the parts of a prompt, the part that it is based
// on, and the time when it expires.
func (r *PartRegister) Verdict(now time.Time, parts []Part) (Verdict, Part, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) == 0 {
		return VerdictClear, 0, time.Time{}
	}
	r.evaluate(now)
	worst, cause := VerdictClear, Part(0)
	for _, p := range parts {
		if v := r.verdicts[p].Verdict; v > worst {
			worst, cause = v, p
		}
	}
	until := time.Time{}
	if worst != VerdictClear {
		for _, c := range r.crashes {
			if slices.Contains(c.Parts, cause) && c.expiresAt.After(until) {
				until = c.expiresAt
			}
		}
	}
	return worst, cause, until
}

// TakeChanges returns the verdicts that changed since the last call.
func (r *PartRegister) TakeChanges(now time.Time) []PartEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) > 0 || r.isStale {
		r.evaluate(now)
	}
	changes := r.changes
	r.changes = nil
	return changes
}

// Evidence returns the evidence against a part.
func (r *PartRegister) Evidence(now time.Time, p Part) PartEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evaluate(now)
	return r.verdicts[p]
}

// Record returns the record of the crashes with a part, for daemons that have received none of
// them. It contains no survivals of the part, as their times would be late by the age of the
// record.
func (r *PartRegister) Record(p Part) PartRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var record PartRecord
	scopes := map[Scope]bool{}
	for _, c := range r.crashesOf(p) {
		crash := c.PartCrash
		crash.Parts = []Part{p}
		record.Crashes = append(record.Crashes, crash)
		scopes[c.Scope] = true
	}
	for scope := range scopes {
		if at, ok := r.survivals.latest(anyPart, scope); ok {
			record.Survivals = append(record.Survivals, Survival{Part: anyPart, Scope: scope, RunStartedAt: at})
		}
	}
	return record
}

// crashesOf returns the latest crashes with a part that no survival explains, in the order of
// their times. r.mu must be held.
func (r *PartRegister) crashesOf(p Part) []*storedPartCrash {
	var crashes []*storedPartCrash
	for _, c := range r.crashes {
		if slices.Contains(c.Parts, p) && !r.isSurvived(p, c) {
			crashes = append(crashes, c)
		}
	}
	return latestCrashes(crashes)
}

// latestCrashes sorts crashes by time and returns the last maxCrashesPerPart of them.
func latestCrashes(crashes []*storedPartCrash) []*storedPartCrash {
	slices.SortFunc(crashes, func(a, b *storedPartCrash) int {
		return cmp.Or(a.CrashedAt.Compare(b.CrashedAt), cmp.Compare(a.Request, b.Request))
	})
	return crashes[max(len(crashes)-maxCrashesPerPart, 0):]
}

// isSurvived reports whether an endpoint has survived the part since a crash. r.mu must be
// held.
func (r *PartRegister) isSurvived(p Part, c *storedPartCrash) bool {
	at, ok := r.survivals.latest(p, c.Scope)
	return ok && isSurvivedSince(at, c)
}

// RecordRejection extends the condemnation of a part whose request was rejected. At most once
// per renewInterval it returns a record to send, which extends the condemnation on all daemons.
func (r *PartRegister) RecordRejection(now time.Time, p Part) (PartRecord, bool) {
	r.mu.Lock()
	for _, c := range r.crashes {
		if slices.Contains(c.Parts, p) {
			c.renew(now)
		}
	}
	isDue := now.Sub(r.renewals[p].renewedAt) >= renewInterval
	if isDue {
		r.renewals[p] = renewal{renewedAt: now, sentAt: now}
	}
	r.mu.Unlock()
	if !isDue {
		return PartRecord{}, false
	}
	return r.Record(p), true
}

// ForwardRenewal reports whether to forward the record of a rejection that a peer sent. The
// answer is true at most once per minForwardInterval for each part.
func (r *PartRegister) ForwardRenewal(now time.Time, record PartRecord) bool {
	p, ok := record.renewedPart()
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.renewals[p]
	if now.Sub(last.sentAt) < minForwardInterval {
		return false
	}
	last.sentAt = now
	r.renewals[p] = last
	return true
}

// survivalTable stores the latest survivals. It has two generations, so that at the limit the
// survivals that were not renewed for the longest time are dropped.
type survivalTable struct {
	current, previous map[survivalKey]time.Time
}

type survivalKey struct {
	part  Part
	scope Scope
}

func (t *survivalTable) latest(p Part, scope Scope) (time.Time, bool) {
	key := survivalKey{part: p, scope: scope}
	if at, ok := t.current[key]; ok {
		return at, true
	}
	at, ok := t.previous[key]
	return at, ok
}

func (t *survivalTable) set(s Survival) {
	if t.current == nil || len(t.current) >= maxSurvivals {
		t.current, t.previous = map[survivalKey]time.Time{}, t.current
	}
	t.current[survivalKey{part: s.Part, scope: s.Scope}] = s.RunStartedAt
}

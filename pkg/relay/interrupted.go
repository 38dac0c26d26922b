package relay

import (
	"context"
	"slices"
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

// Condition is what a check of an endpoint has shown.
type Condition int

// The conditions.
const (
	// ConditionUnknown is the result of a check that could not be made.
	ConditionUnknown Condition = iota
	// ConditionSilent means that no connection was opened, or no response came, in time.
	ConditionSilent
	// ConditionGone means that the address accepts no connections, or that another endpoint
	// responded.
	ConditionGone
	// ConditionReborn means that another incarnation of the endpoint responded.
	ConditionReborn
	// ConditionResponding means that the endpoint responded without its start time.
	ConditionResponding
	// ConditionRunning means that the same incarnation of the endpoint responded.
	ConditionRunning
)

// String returns the condition as in logs.
func (c Condition) String() string {
	return [...]string{"unknown", "silent", "gone", "reborn", "responding", "running"}[c]
}

const (
	// checkDelay is the time after an interruption at which the endpoint is checked. Most
	// endpoints have responded to another request by then.
	checkDelay = time.Second
	// checkInterval is the interval between checks of one endpoint.
	checkInterval = time.Second
	// checkTimeout limits one check.
	checkTimeout = time.Second
	// interruptedRunTTL is the time after which an interrupted run is dropped if the store
	// still lists its endpoint. The entry of a crashed endpoint expires much earlier.
	interruptedRunTTL = 15 * time.Second
	// maxInterruptedRuns limits the interrupted runs that are stored.
	maxInterruptedRuns = 4096
	// maxConcurrentChecks limits the checks that are in progress.
	maxConcurrentChecks = 64
)

// The evidence of a crash or a survival, for the log.
const (
	evidenceRefused    = "it accepts no connections"
	evidenceReborn     = "it has a new incarnation"
	evidenceReplaced   = "its address belongs to another endpoint"
	evidenceGone       = "its incarnation has ended"
	evidenceLapsed     = "it is no longer registered"
	evidenceRunning    = "it runs"
	evidenceRegistered = "it is still registered"
	evidenceResponded  = "it has responded since"
	evidenceReturned   = "it is registered again"
)

// incarnation identifies an incarnation of an endpoint.
type incarnation struct {
	name string
	born int64
}

func incarnationOf(e directory.Endpoint) incarnation {
	return incarnation{name: e.Name, born: e.Born.UnixMilli()}
}

// interruptedRun is a run whose endpoint may have crashed undetected.
type interruptedRun struct {
	run           run
	interruptedAt time.Time
	// responded is true once the endpoint has responded to a later request. It may have been
	// a new incarnation with the same name.
	responded bool
	// silent is true if the last check found the endpoint silent.
	silent bool
	// presumedCrash is the crash that was recorded because the endpoint disappeared, 0 for
	// none. The endpoint may have been cut off, and may return.
	presumedCrash poison.CrashID
}

// runOutcome is what is known about the endpoint of an interrupted run.
type runOutcome int

const (
	outcomePending runOutcome = iota
	outcomeSurvived
	outcomeCrashed
	// outcomePresumed is the outcome of a run whose endpoint has disappeared.
	outcomePresumed
)

// resolvedRun is an interrupted run with a new outcome.
type resolvedRun struct {
	interruptedRun
	outcome  runOutcome
	evidence string
}

// interruptedRuns decides whether endpoints crashed while they ran a request that ended without
// a response: the caller left, the deadline passed, or the endpoint stopped sending. A missing
// sign of a crash is no sign of survival. A run is kept until its endpoint is known to have
// crashed or to run.
type interruptedRuns struct {
	byEndpoint map[incarnation][]interruptedRun
	count      int
	// checkedAt contains the times of the last checks.
	checkedAt map[incarnation]time.Time
}

func newInterruptedRuns() *interruptedRuns {
	return &interruptedRuns{byEndpoint: map[incarnation][]interruptedRun{}, checkedAt: map[incarnation]time.Time{}}
}

// add stores an interrupted run. At the limit it reports false.
func (i *interruptedRuns) add(endedAt time.Time, u run) bool {
	if i.count >= maxInterruptedRuns {
		return false
	}
	key := incarnationOf(u.endpoint)
	i.byEndpoint[key] = append(i.byEndpoint[key], interruptedRun{run: u, interruptedAt: endedAt})
	i.count++
	return true
}

// resolve decides on the runs at an endpoint. It returns those with a new outcome and removes
// those whose outcome is final.
func (i *interruptedRuns) resolve(key incarnation, decide func(r *interruptedRun) (runOutcome, string)) []resolvedRun {
	var resolved []resolvedRun
	var kept []interruptedRun
	for _, r := range i.byEndpoint[key] {
		outcome, evidence := decide(&r)
		if outcome == outcomePresumed {
			r.presumedCrash = poison.NewCrashID()
		}
		if outcome != outcomePending {
			resolved = append(resolved, resolvedRun{interruptedRun: r, outcome: outcome, evidence: evidence})
		}
		if outcome == outcomePending || outcome == outcomePresumed {
			kept = append(kept, r)
		}
	}
	i.count += len(kept) - len(i.byEndpoint[key])
	if len(kept) > 0 {
		i.byEndpoint[key] = kept
	} else {
		delete(i.byEndpoint, key)
		delete(i.checkedAt, key)
	}
	return resolved
}

// recordResponse records that an endpoint responded to a request that was sent at sentAt.
func (i *interruptedRuns) recordResponse(endpoint directory.Endpoint, sentAt time.Time) {
	for n := range i.byEndpoint[incarnationOf(endpoint)] {
		if r := &i.byEndpoint[incarnationOf(endpoint)][n]; isAfterRun(r, sentAt) {
			r.responded, r.silent = true, false
		}
	}
}

// isAfterRun reports whether a request that was sent at sentAt shows that the endpoint has
// survived an interrupted run. An endpoint does not crash at once.
func isAfterRun(r *interruptedRun, sentAt time.Time) bool {
	return !sentAt.Before(r.interruptedAt.Add(poison.SurvivalDelay))
}

// recordState decides by the registered endpoints. isCurrent is true if the state is known to
// contain what the store contains now.
func (i *interruptedRuns) recordState(now time.Time, state *directory.State, isCurrent bool) []resolvedRun {
	var resolved []resolvedRun
	for key := range i.byEndpoint {
		resolved = append(resolved, i.resolve(key, func(r *interruptedRun) (runOutcome, string) {
			return decideByState(now, r, state, isCurrent)
		})...)
	}
	return resolved
}

func decideByState(now time.Time, r *interruptedRun, state *directory.State, isCurrent bool) (runOutcome, string) {
	endpoint := r.run.endpoint
	registered, ok := state.Endpoints[endpoint.Name]
	isOld := now.Sub(r.interruptedAt) > interruptedRunTTL
	if r.presumedCrash != 0 {
		switch {
		case ok && registered.Born.Equal(endpoint.Born) && !endpoint.Born.IsZero():
			return outcomeSurvived, evidenceReturned
		case isOld:
			return outcomeCrashed, evidenceLapsed
		}
		return outcomePending, ""
	}
	if ok && registered.Born.After(endpoint.Born) && !endpoint.Born.IsZero() {
		return outcomeCrashed, evidenceReborn
	}
	if other, found := state.At(endpoint.Address); found && other.Name != endpoint.Name && !r.responded {
		return outcomeCrashed, evidenceReplaced
	}
	switch {
	case !isCurrent:
		return outcomePending, ""
	case ok && isOld:
		return outcomeSurvived, evidenceRegistered
	case !ok && r.responded && isOld:
		return outcomeSurvived, evidenceResponded
	case !ok && !r.responded && (r.silent || isOld):
		return outcomePresumed, evidenceLapsed
	}
	return outcomePending, ""
}

// dueChecks returns the endpoints to check now. An endpoint that has responded to later requests
// is checked only if a new incarnation would not be read from the store.
func (i *interruptedRuns) dueChecks(now time.Time, isCurrent bool) []directory.Endpoint {
	var due []directory.Endpoint
	for key, runs := range i.byEndpoint {
		if now.Sub(i.checkedAt[key]) < checkInterval {
			continue
		}
		n := slices.IndexFunc(runs, func(r interruptedRun) bool {
			return now.Sub(r.interruptedAt) >= checkDelay && r.presumedCrash == 0 && !(r.responded && isCurrent)
		})
		if n >= 0 {
			i.checkedAt[key] = now
			due = append(due, runs[n].run.endpoint)
		}
	}
	return due
}

// recordCheck decides by the condition of an endpoint, which was checked at checkedAt.
func (i *interruptedRuns) recordCheck(endpoint directory.Endpoint, checkedAt time.Time, condition Condition) []resolvedRun {
	return i.resolve(incarnationOf(endpoint), func(r *interruptedRun) (runOutcome, string) {
		if !isAfterRun(r, checkedAt) || (r.presumedCrash != 0 && condition != ConditionRunning) {
			return outcomePending, ""
		}
		switch condition {
		case ConditionGone:
			// An endpoint that responded after the run may have ended for another reason.
			if r.responded {
				return outcomeSurvived, evidenceResponded
			}
			return outcomeCrashed, evidenceGone
		case ConditionReborn:
			return outcomeCrashed, evidenceReborn
		case ConditionRunning:
			return outcomeSurvived, evidenceRunning
		case ConditionResponding:
			r.responded, r.silent = true, false
		case ConditionSilent:
			r.silent = true
		}
		return outcomePending, ""
	})
}

// keepInterrupted stores an interrupted run until it is known whether the endpoint crashed.
func (u run) keepInterrupted() {
	u.keepInterruptedAt(u.relay.config.Now())
}

// keepInterruptedAt stores a run that ended at a time.
func (u run) keepInterruptedAt(endedAt time.Time) {
	r := u.relay
	r.mu.Lock()
	isStored := r.interrupted.add(endedAt, u)
	r.mu.Unlock()
	if !isStored {
		r.config.Log.Info("interrupted run is not stored", u.logFields("limit", maxInterruptedRuns)...)
	}
}

// recordResolved records the new outcomes of interrupted runs.
func (r *Relay) recordResolved(resolved []resolvedRun) {
	for _, u := range resolved {
		switch {
		case u.outcome == outcomePresumed:
			u.run.recordCrash(u.presumedCrash, u.interruptedAt, u.evidence)
		case u.outcome == outcomeSurvived:
			r.config.Log.Info("endpoint survived an interrupted run", u.run.logFields("known_by", u.evidence)...)
			if u.presumedCrash != 0 {
				u.run.withdrawCrash(u.presumedCrash)
			}
		case u.presumedCrash == 0:
			u.run.recordCrash(poison.NewCrashID(), u.interruptedAt, u.evidence)
		}
	}
}

// detectCrashes decides on interrupted runs by the registered endpoints.
func (r *Relay) detectCrashes(now time.Time, state *directory.State, isCurrent bool) {
	r.mu.Lock()
	resolved := r.interrupted.recordState(now, state, isCurrent)
	r.mu.Unlock()
	r.recordResolved(resolved)
}

// recordResponse records that an endpoint responded to a request that was sent at sentAt.
func (r *Relay) recordResponse(endpoint directory.Endpoint, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted.recordResponse(endpoint, sentAt)
}

// CheckInterruptedRuns checks the endpoints of interrupted runs of which it is not known whether
// they crashed. It does not wait for the checks.
func (r *Relay) CheckInterruptedRuns(now time.Time) {
	isCurrent := r.config.IsStoreCurrent()
	if state := r.config.State(); state != nil {
		r.checkCompletedRuns(now, state)
		r.detectCrashes(now, state, isCurrent)
	}
	r.mu.Lock()
	r.versions.check(now, isCurrent)
	due := r.interrupted.dueChecks(now, isCurrent)
	r.mu.Unlock()
	for _, endpoint := range due {
		if _, heldOff := r.config.Holdoffs.Until(now, endpoint.Name, endpoint.Born); heldOff || r.config.Limits.IsLimited(endpoint.Name, endpoint.Born) {
			continue
		}
		select {
		case r.checkSlots <- struct{}{}:
			go r.checkEndpoint(endpoint)
		default:
			return
		}
	}
}

func (r *Relay) checkEndpoint(endpoint directory.Endpoint) {
	defer func() { <-r.checkSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	checkedAt := r.config.Now()
	condition := r.config.Transport.Check(ctx, endpoint)
	r.config.Log.Info("endpoint of an interrupted run was checked", "endpoint", endpoint.Name, "born", endpoint.Born,
		"condition", condition.String(), "took_ms", r.config.Now().Sub(checkedAt).Milliseconds())
	r.mu.Lock()
	resolved := r.interrupted.recordCheck(endpoint, checkedAt, condition)
	r.mu.Unlock()
	r.recordResolved(resolved)
}

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

// Stage is the part of a request's work that an endpoint does.
type Stage string

// The stages.
const (
	StagePlain   Stage = "plain"
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
)

// reachTimeout bounds the look at a plain endpoint that broke off, while another one waits
// to be tried: many times the way between availability zones.
const reachTimeout = 100 * time.Millisecond

// run is one run of a request at an endpoint. It outlives its request where its end is not
// known, and so holds none of the request's content.
type run struct {
	relay        *Relay
	requestID    string
	fingerprints []poison.Fingerprint
	endpoint     directory.Endpoint
	stage        Stage
	// alone is true when no other suspected request runs there.
	alone bool
	began time.Time
	// suspicions are the ends that were known as it began, by fingerprint of the request.
	suspicions [][]poison.CrashID
}

// fingerprintsOf identifies the repeats of a call. A caller repeats one with the same path
// and body, at any host, and whatever service the path leads to then. The query is most often
// the same too, and tells calls apart that are alike otherwise: a call is first known by all
// of it, and then without the query.
func fingerprintsOf(c *Call) []poison.Fingerprint {
	identify := func(target string) poison.Fingerprint {
		return poison.NewFingerprint([]byte(c.Caller), []byte(c.Method), []byte(c.Host), []byte(target), c.Body)
	}
	if c.Target == c.Path {
		return []poison.Fingerprint{identify(c.Path)}
	}
	return []poison.Fingerprint{identify(c.Target), identify(c.Path)}
}

func (r *Relay) beginRun(j *job, endpoint directory.Endpoint, stage Stage, alone bool) run {
	u := run{
		relay: r, requestID: j.call.ID, fingerprints: j.fingerprints, endpoint: endpoint, stage: stage, alone: alone,
		began: r.config.Now(),
	}
	for _, f := range j.fingerprints {
		u.suspicions = append(u.suspicions, r.config.Poison.CrashIDs(f, string(stage)))
	}
	return u
}

// completed clears the ends that were known when the run began.
func (u run) completed() {
	r := u.relay
	for i, ends := range u.suspicions {
		if len(ends) > 0 {
			r.config.SpreadMark(r.config.Poison.ClearCrashes(r.config.Now(), u.fingerprints[i], ends))
		}
	}
}

// broken notes a run that broke off without a whole answer, and reports whether its endpoint
// has ended: it takes no connections any more.
func (u run) broken(ctx context.Context, err error) bool {
	r := u.relay
	u.logBroken(err)
	if ctx.Err() != nil {
		u.abandoned()
		return false
	}
	err = r.config.Endpoints.Reach(ctx, u.endpoint)
	if err == nil || errors.Is(err, connection.ErrLimit) || ctx.Err() != nil {
		u.abandoned()
		return false
	}
	u.ended(r.config.Now(), "it takes no connections")
	return true
}

// silent notes a run whose endpoint fell silent.
func (u run) silent(err error) {
	u.logBroken(err)
	u.abandoned()
}

// abandoned notes a run of which no end was seen, because its caller left, its time was over
// or its endpoint fell silent. Its endpoint may have ended, which its next life tells.
func (u run) abandoned() {
	r := u.relay
	if !r.config.State().IsServing(u.endpoint) {
		return
	}
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = slices.DeleteFunc(r.abandoned, func(a abandonedRun) bool { return a.isOver(now) })
	if len(r.abandoned) < maxAbandoned {
		r.abandoned = append(r.abandoned, abandonedRun{run: u, at: now})
	}
}

const (
	// abandonedTime is the time in which the next life of an endpoint is looked for: it is
	// back, and registered, some seconds after it has ended.
	abandonedTime = 15 * time.Second
	// maxAbandoned bounds the runs that are remembered for it.
	maxAbandoned = 1024
)

// abandonedRun is a run of which no end was seen.
type abandonedRun struct {
	run run
	at  time.Time
}

func (a abandonedRun) isOver(now time.Time) bool {
	return now.Sub(a.at) > abandonedTime
}

// findEnds finds the abandoned runs whose endpoint has begun another life.
func (r *Relay) findEnds(state *directory.State) {
	now := r.config.Now()
	var ended []abandonedRun
	r.mu.Lock()
	r.abandoned = slices.DeleteFunc(r.abandoned, func(a abandonedRun) bool {
		if a.isOver(now) {
			return true
		}
		if !hasNewLife(state, a.run.endpoint) {
			return false
		}
		ended = append(ended, a)
		return true
	})
	r.mu.Unlock()
	for _, a := range ended {
		a.run.ended(a.at, "it has begun another life")
	}
}

// hasNewLife reports whether the life of an endpoint that was not leaving is over: its name
// or its address has another one.
func hasNewLife(state *directory.State, endpoint directory.Endpoint) bool {
	if e, ok := state.Endpoints[endpoint.Name]; ok {
		return e.Born.After(endpoint.Born) && !endpoint.Born.IsZero()
	}
	_, ok := state.At(endpoint.Address)
	return ok
}

// ended notes that the endpoint has ended while it ran the request, and tells all daemons.
// how says by what that is known.
func (u run) ended(at time.Time, how string) {
	r := u.relay
	now := r.config.Now()
	ends := 0
	end := poison.Crash{
		ID: poison.NewCrashID(), Endpoint: u.endpoint.Name, Born: u.endpoint.Born, Stage: string(u.stage), Isolated: u.alone,
		RunStartedAt: u.began, CrashedAt: at,
	}
	for _, f := range u.fingerprints {
		mark := r.config.Poison.AddCrash(now, f, end)
		r.config.SpreadMark(mark)
		ends = max(ends, len(mark.Crashes))
	}
	verdict, _ := r.verdictOf(now, u.fingerprints)
	r.config.Log.Info("request ran on an endpoint that has ended",
		u.fields("known_by", how, "alone", u.alone, "ends", ends, "verdict", verdict.String())...)
}

func (u run) logBroken(err error) {
	r := u.relay
	verdict, _ := r.verdictOf(r.config.Now(), u.fingerprints)
	r.config.RecordBroken(u.stage, verdict)
	r.config.Log.Info("run has broken off", u.fields("verdict", verdict.String(), "error", err.Error())...)
}

// fields returns the fields of a log line on the run.
func (u run) fields(more ...any) []any {
	return append([]any{
		"request_id", u.requestID, "fingerprint", u.fingerprints[0].String(), "endpoint", u.endpoint.Name,
		"born", u.endpoint.Born, "stage", u.stage,
	}, more...)
}

// verdictOf returns the gravest verdict on a request, and until when it holds.
func (r *Relay) verdictOf(now time.Time, fingerprints []poison.Fingerprint) (poison.Verdict, time.Time) {
	gravest, until := poison.VerdictClear, time.Time{}
	for _, f := range fingerprints {
		if verdict, end := r.config.Poison.Verdict(now, f); verdict > gravest {
			gravest, until = verdict, end
		}
	}
	return gravest, until
}

// crashesOf weighs the crashes under a request.
func (r *Relay) crashesOf(j *job) int {
	most := 0
	for _, f := range j.fingerprints {
		most = max(most, r.config.Poison.CrashScore(r.config.Now(), f))
	}
	return most
}

// judgeRequest returns what is held of a request. The error is the answer to one that is
// condemned.
func (r *Relay) judgeRequest(j *job) (poison.Verdict, error) {
	now := r.config.Now()
	verdict, until := r.verdictOf(now, j.fingerprints)
	if verdict != poison.VerdictCondemned {
		return verdict, nil
	}
	for _, f := range j.fingerprints {
		if mark, ok := r.config.Poison.RecordRejection(now, f); ok {
			r.config.SpreadMark(mark)
		}
	}
	return verdict, &Fault{Cause: CausePoisoned, RetryAfter: until.Sub(now)}
}

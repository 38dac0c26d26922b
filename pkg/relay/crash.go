package relay

import (
	"context"
	"strconv"
	"strings"
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

// probeTimeout limits the probe of an endpoint after an interrupted plain or prefill run,
// because the retry at another endpoint waits for it. The timeout is many times the latency
// between availability zones.
const probeTimeout = 100 * time.Millisecond

// run is the execution of a request at one endpoint. It is stored after the request has
// finished if it is unknown whether the endpoint crashed, so it contains none of the
// request's content.
type run struct {
	relay        *Relay
	requestID    string
	fingerprints []poison.Fingerprint
	parts        []poison.Part
	endpoint     directory.Endpoint
	stage        Stage
	// isolated is true when the request runs as a suspect, and so without another suspect
	// on the endpoint.
	isolated  bool
	startTime time.Time
	// events counts the events of the response that were forwarded, the first of them at
	// firstEventAt.
	events       int
	firstEventAt time.Time
	// survived is true when the run has shown that no part of its prompt crashes endpoints.
	survived bool
	// outlasted is true when the run has sent events for poison.SurvivalDelay.
	outlasted bool
	// knownCrashes are the crashes that were known when the run started, for each
	// fingerprint.
	knownCrashes [][]poison.CrashID
}

// fingerprintsOf returns the fingerprints by which retries of a call are recognized. A
// caller retries a call with the same path and body, at any host. The path may belong to
// another service by then. The query is usually the same too, and distinguishes calls that
// are otherwise equal. The first fingerprint covers the whole call, the second one omits
// the query.
func fingerprintsOf(c *Call) []poison.Fingerprint {
	identify := func(target string) poison.Fingerprint {
		return poison.NewFingerprint([]byte(c.Caller), []byte(c.Method), []byte(c.Host), []byte(target), c.Body)
	}
	if c.Target == c.Path {
		return []poison.Fingerprint{identify(c.Path)}
	}
	return []poison.Fingerprint{identify(c.Target), identify(c.Path)}
}

func (r *Relay) beginRun(j *job, endpoint directory.Endpoint, stage Stage, isolated bool) run {
	u := run{
		relay: r, requestID: j.call.ID, fingerprints: j.fingerprints, parts: j.call.Parts, endpoint: endpoint, stage: stage, isolated: isolated,
		startTime: r.config.Now(),
	}
	for _, f := range j.fingerprints {
		u.knownCrashes = append(u.knownCrashes, r.config.Poison.CrashIDs(f, string(stage)))
	}
	return u
}

// recordEvent records that an event was forwarded.
func (u *run) recordEvent(now time.Time) {
	if u.events == 0 {
		u.firstEventAt = now
	}
	u.events++
	if now.Sub(u.firstEventAt) >= poison.SurvivalDelay {
		u.outlasted = true
		u.recordSurvival()
	}
}

// recordSurvival records that the endpoint survived the parts of the prompt.
func (u *run) recordSurvival() {
	if u.survived || len(u.parts) == 0 {
		return
	}
	u.survived = true
	r := u.relay
	if record, ok := r.config.Parts.RecordSurvival(u.scope(), u.parts, u.startTime); ok {
		r.config.BroadcastPartRecord(record)
		r.logPartChanges(r.config.Now())
	}
}

func (u run) scope() poison.Scope {
	return poison.NewScope(u.endpoint.Service, string(u.stage))
}

// recordCompletion records that the endpoint survived the request until its last byte.
func (u run) recordCompletion() {
	u.recordSurvival()
	r := u.relay
	r.watchCompleted(u)
	for i, crashes := range u.knownCrashes {
		if len(crashes) > 0 {
			r.config.BroadcastCrashRecord(r.config.Poison.RecordSurvival(r.config.Now(), u.fingerprints[i], crashes))
		}
	}
}

// handleInterruption records an interrupted run, which ended without a complete response.
// Unless ctx is done, it probes the endpoint. It reports whether the endpoint crashed, that
// is, whether it no longer accepts connections.
func (u run) handleInterruption(ctx context.Context, err error) bool {
	r := u.relay
	u.logInterruption(err)
	if ctx.Err() != nil {
		u.keepInterrupted()
		return false
	}
	err = r.config.Transport.Probe(ctx, u.endpoint)
	if err == nil || errors.Is(err, connection.ErrLimit) || ctx.Err() != nil {
		u.keepInterrupted()
		return false
	}
	u.recordCrash(poison.NewCrashID(), r.config.Now(), evidenceRefused)
	return true
}

// handleStall records a run that was interrupted because its endpoint stopped sending.
func (u run) handleStall(err error) {
	u.logInterruption(err)
	u.keepInterrupted()
}

// recordCrash records that the endpoint crashed while it ran the request, and broadcasts
// the crash records. evidence is the way in which the crash was detected, for the log.
func (u run) recordCrash(id poison.CrashID, at time.Time, evidence string) {
	r := u.relay
	now := r.config.Now()
	crashes := 0
	crash := poison.Crash{
		ID: id, Endpoint: u.endpoint.Name, Born: u.endpoint.Born, Stage: string(u.stage), Isolated: u.isolated,
		RunStartedAt: u.startTime, CrashedAt: at,
	}
	for _, f := range u.fingerprints {
		record := r.config.Poison.AddCrash(now, f, crash)
		if u.outlasted {
			// Requests crash their endpoints when these begin to run them, and the streams of a
			// crashed endpoint must not wait for each other. The crash counts nevertheless.
			r.config.Poison.RecordSurvival(now, f, []poison.CrashID{crash.ID})
			record = r.config.Poison.CrashRecord(f)
		}
		r.config.BroadcastCrashRecord(record)
		crashes = max(crashes, len(record.Crashes))
	}
	u.recordPartCrash(now, crash)
	verdict, _ := r.worstVerdict(now, u.fingerprints)
	r.config.Log.Info("endpoint crashed while it ran the request",
		u.logFields("known_by", evidence, "alone", u.isolated, "ends", crashes, "verdict", verdict.String(), "part_scores", u.partScores(now))...)
}

// withdrawCrash clears a crash that was recorded for the run. The endpoint has survived it.
func (u run) withdrawCrash(id poison.CrashID) {
	u.recordSurvival()
	r := u.relay
	for _, f := range u.fingerprints {
		r.config.BroadcastCrashRecord(r.config.Poison.WithdrawCrash(r.config.Now(), f, id))
	}
}

// recordPartCrash records a crash against the parts of the prompt, unless the run has survived
// them.
func (u run) recordPartCrash(now time.Time, crash poison.Crash) {
	if u.survived || len(u.parts) == 0 {
		return
	}
	r := u.relay
	r.config.BroadcastPartRecord(r.config.Parts.AddCrash(now, poison.PartCrash{
		Endpoint: crash.Endpoint, Born: crash.Born, Scope: u.scope(), Request: u.fingerprints[0], Isolated: crash.Isolated,
		RunStartedAt: crash.RunStartedAt, CrashedAt: crash.CrashedAt, Parts: u.parts,
	}))
	if verdict, part, _ := r.config.Parts.Verdict(now, u.parts); verdict == poison.VerdictCondemned {
		r.config.StorePart(part)
	}
	r.logPartChanges(now)
}

// partScores returns the scores of the parts of the prompt for the log.
func (u run) partScores(now time.Time) string {
	var scores []string
	for _, p := range u.parts[:min(len(u.parts), maxLoggedScores)] {
		scores = append(scores, strconv.Itoa(u.relay.config.Parts.Evidence(now, p).Score))
	}
	return strings.Join(scores, ",")
}

// maxLoggedScores limits the parts whose scores are in one log line.
const maxLoggedScores = 8

// logPartChanges logs the verdicts on parts of prompts that have changed.
func (r *Relay) logPartChanges(now time.Time) {
	for _, e := range r.config.Parts.TakeChanges(now) {
		poison.LogPartChange(r.config.Log, e)
	}
}

func (u run) logInterruption(err error) {
	r := u.relay
	verdict, _ := r.worstVerdict(r.config.Now(), u.fingerprints)
	r.config.RecordInterruptedRun(u.stage, verdict)
	r.config.Log.Info("run was interrupted", u.logFields("verdict", verdict.String(), "error", err.Error())...)
}

// logFields returns the fields of a log line on the run, followed by more.
func (u run) logFields(more ...any) []any {
	return append([]any{
		"request_id", u.requestID, "fingerprint", u.fingerprints[0].String(), "endpoint", u.endpoint.Name,
		"born", u.endpoint.Born, "stage", u.stage, "parts", poison.FormatParts(u.parts), "events", u.events,
		"ran_ms", u.relay.config.Now().Sub(u.startTime).Milliseconds(),
	}, more...)
}

// worstVerdict returns the most severe verdict on a request and the time when it expires.
func (r *Relay) worstVerdict(now time.Time, fingerprints []poison.Fingerprint) (poison.Verdict, time.Time) {
	worst, until := poison.VerdictClear, time.Time{}
	for _, f := range fingerprints {
		if verdict, expiry := r.config.Poison.Verdict(now, f); verdict > worst {
			worst, until = verdict, expiry
		}
	}
	return worst, until
}

// crashScore returns the highest score of the crashes recorded for a request.
func (r *Relay) crashScore(j *job) int {
	score := 0
	for _, f := range j.fingerprints {
		score = max(score, r.config.Poison.CrashScore(r.config.Now(), f))
	}
	return score
}

// checkVerdict returns the verdict on a request. For a condemned request the error is the
// Fault that rejects it, and the condemnation is extended.
func (r *Relay) checkVerdict(j *job) (poison.Verdict, error) {
	now := r.config.Now()
	verdict, until := r.worstVerdict(now, j.fingerprints)
	partVerdict, part, partUntil := r.config.Parts.Verdict(now, j.call.Parts)
	if partVerdict == poison.VerdictCondemned {
		r.recordPartRejection(now, j, part)
		return partVerdict, &Fault{Cause: CausePoisoned, RetryAfter: partUntil.Sub(now)}
	}
	if verdict != poison.VerdictCondemned {
		return max(verdict, partVerdict), nil
	}
	for _, f := range j.fingerprints {
		if record, ok := r.config.Poison.RecordRejection(now, f); ok {
			r.config.BroadcastCrashRecord(record)
		}
	}
	return verdict, &Fault{Cause: CausePoisoned, RetryAfter: until.Sub(now)}
}

// recordPartRejection extends the condemnation of a part whose request is rejected.
func (r *Relay) recordPartRejection(now time.Time, j *job, part poison.Part) {
	record, ok := r.config.Parts.RecordRejection(now, part)
	if ok {
		r.config.BroadcastPartRecord(record)
		r.config.StorePart(part)
	}
	r.config.Log.V(1).Info("request with a condemned prompt part is rejected", "request_id", j.call.ID, "part", part.String())
}

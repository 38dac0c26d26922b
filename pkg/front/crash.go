package front

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// checkPoison reports whether a request, or a part of its prompt, is suspected of crashing
// endpoints. For a condemned one it returns the fault to send to the caller.
func (f *Front) checkPoison(fingerprint poison.Fingerprint, parts ...poison.Part) (bool, error) {
	now := f.config.Now()
	partVerdict, part, partUntil := f.config.Parts.Verdict(now, parts)
	if partVerdict == poison.VerdictCondemned {
		if record, ok := f.config.Parts.RecordRejection(now, part); ok {
			f.config.BroadcastPartRecord(record)
		}
		return false, newRetryableFault(codePoisoned, "a message of this request has crashed the endpoints that ran it", partUntil.Sub(now))
	}
	verdict, until := f.config.Poison.Verdict(now, fingerprint)
	if verdict != poison.VerdictCondemned {
		return max(verdict, partVerdict) == poison.VerdictSuspect, nil
	}
	if record, ok := f.config.Poison.RecordRejection(now, fingerprint); ok {
		f.config.BroadcastCrashRecord(record)
	}
	return false, newRetryableFault(codePoisoned, "this request has crashed each endpoint that ran it", until.Sub(now))
}

// recordCrash records that an endpoint crashed while it ran a request, and broadcasts the record
// to all daemons. isolated is true if the request ran as a suspect, so that no other suspect
// ran on the endpoint.
func (f *Front) recordCrash(log logr.Logger, fingerprint poison.Fingerprint, failed ticket.Endpoint, isolated bool, runStartedAt time.Time) {
	now := f.config.Now()
	f.config.BroadcastCrashRecord(f.config.Poison.AddCrash(now, fingerprint, poison.Crash{
		Endpoint: failed.Name, Isolated: isolated, RunStartedAt: runStartedAt, CrashedAt: now,
	}))
	verdict, _ := f.config.Poison.Verdict(now, fingerprint)
	log.Info("endpoint crashed while it ran the request", "endpoint", failed.Name, "verdict", verdict.String())
}

// recordRequestSurvival records a completed run of a request. crashes are those that were known
// when the run started.
func (f *Front) recordRequestSurvival(fingerprint poison.Fingerprint, crashes []poison.CrashID) {
	if len(crashes) > 0 {
		f.config.BroadcastCrashRecord(f.config.Poison.RecordSurvival(f.config.Now(), fingerprint, crashes))
	}
}

// recordPartCrash records a crash against the messages of a request, unless the run has shown
// that they are harmless.
func (f *Front) recordPartCrash(a *attempt, failed ticket.Endpoint, role ticket.Role) {
	now := f.config.Now()
	if len(a.job.parts) == 0 || (!a.firstTokenAt.IsZero() && now.Sub(a.firstTokenAt) >= poison.SurvivalDelay) {
		return
	}
	f.config.BroadcastPartRecord(f.config.Parts.AddCrash(now, poison.PartCrash{
		Endpoint: failed.Name, Scope: poison.NewScope(a.job.service.Name, string(role)), Request: a.job.fingerprint,
		Isolated: a.suspect, RunStartedAt: a.reservation.GrantedAt, CrashedAt: now, Parts: a.job.parts,
	}))
	f.logPartChanges(now)
}

// recordSurvival records that the endpoint of a stage survived the messages of a request.
func (f *Front) recordSurvival(a *attempt, role ticket.Role) {
	if len(a.job.parts) == 0 {
		return
	}
	scope := poison.NewScope(a.job.service.Name, string(role))
	if record, ok := f.config.Parts.RecordSurvival(scope, a.job.parts, a.reservation.GrantedAt); ok {
		f.config.BroadcastPartRecord(record)
		f.logPartChanges(f.config.Now())
	}
}

func (f *Front) logPartChanges(now time.Time) {
	for _, e := range f.config.Parts.TakeChanges(now) {
		poison.LogPartChange(f.config.Log, e)
	}
}

package front

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// checkPoison reports whether a request is suspected of crashing endpoints. For a condemned
// request it returns the fault to send to the caller.
func (f *Front) checkPoison(fingerprint poison.Fingerprint) (bool, error) {
	now := f.config.Now()
	verdict, until := f.config.Poison.Verdict(now, fingerprint)
	if verdict != poison.VerdictCondemned {
		return verdict == poison.VerdictSuspect, nil
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

// clearCrashes clears crashes of a request after a run of it has completed. crashes are those
// that were known when the run started.
func (f *Front) clearCrashes(fingerprint poison.Fingerprint, crashes []poison.CrashID) {
	if len(crashes) > 0 {
		f.config.BroadcastCrashRecord(f.config.Poison.ClearCrashes(f.config.Now(), fingerprint, crashes))
	}
}

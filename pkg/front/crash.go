package front

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/turmerictide/turmerictide/pkg/poison"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// judgeRequest reports whether a request is suspected of crashing endpoints. The fault is
// the answer to one that is condemned.
func (f *Front) judgeRequest(fingerprint poison.Fingerprint) (bool, error) {
	now := f.config.Now()
	verdict, until := f.config.Poison.Verdict(now, fingerprint)
	if verdict != poison.VerdictCondemned {
		return verdict == poison.VerdictSuspect, nil
	}
	if mark, ok := f.config.Poison.RecordRejection(now, fingerprint); ok {
		f.config.SpreadMark(mark)
	}
	return false, newRetryFault(codePoisoned, "this request has crashed each endpoint that ran it", until.Sub(now))
}

// noteCrash notes that an endpoint crashed while it ran a request, and tells all daemons.
func (f *Front) noteCrash(log logr.Logger, fingerprint poison.Fingerprint, failed ticket.Endpoint, alone bool, began time.Time) {
	now := f.config.Now()
	f.config.SpreadMark(f.config.Poison.AddCrash(now, fingerprint, poison.Crash{
		Endpoint: failed.Name, Isolated: alone, RunStartedAt: began, CrashedAt: now,
	}))
	verdict, _ := f.config.Poison.Verdict(now, fingerprint)
	log.Info("endpoint crashed while it ran the request", "endpoint", failed.Name, "verdict", verdict.String())
}

// clearSuspicions clears the crashes that were known when a run began that has completed.
func (f *Front) clearSuspicions(fingerprint poison.Fingerprint, crashes []poison.CrashID) {
	if len(crashes) > 0 {
		f.config.SpreadMark(f.config.Poison.ClearCrashes(f.config.Now(), fingerprint, crashes))
	}
}

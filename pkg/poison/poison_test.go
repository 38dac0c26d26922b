package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/pkg/poison"
)

var epoch = time.Unix(1_800_000_000, 0)

func fingerprint(text string) poison.Fingerprint { return poison.NewFingerprint([]byte(text)) }

func newCrash(endpoint string, isolated bool) poison.Crash {
	return poison.Crash{Endpoint: endpoint, Stage: "decode", Isolated: isolated}
}

func requireVerdict(t require.TestingT, register *poison.Register, now time.Time, f poison.Fingerprint, expected poison.Verdict) {
	verdict, _ := register.Verdict(now, f)
	require.Equal(t, expected.String(), verdict.String())
}

func TestIsolatedCrashCondemnsBeforeThirdCrash(t *testing.T) {
	register := poison.NewRegister()
	crashing, harmless := fingerprint("guilty"), fingerprint("innocent")
	for _, f := range []poison.Fingerprint{crashing, harmless} {
		register.AddCrash(epoch, f, newCrash("decode-1", false))
		requireVerdict(t, register, epoch, f, poison.VerdictSuspect)
	}
	register.RecordSurvival(epoch, harmless, register.CrashIDs(harmless, "decode"))
	register.AddCrash(epoch, crashing, newCrash("decode-2", true))
	requireVerdict(t, register, epoch, crashing, poison.VerdictCondemned)
	requireVerdict(t, register, epoch, harmless, poison.VerdictClear)
	_, until := register.Verdict(epoch, crashing)
	require.Equal(t, epoch.Add(poison.CondemnationTTL), until)
	requireVerdict(t, register, until, crashing, poison.VerdictClear)
}

// TestLateWeakerRecordDoesNotLiftCondemnation applies records that are older, empty, or clear
// unknown crashes.
func TestLateWeakerRecordDoesNotLiftCondemnation(t *testing.T) {
	register := poison.NewRegister()
	crashing := fingerprint("guilty")
	first := register.AddCrash(epoch, crashing, newCrash("decode-1", false))
	register.AddCrash(epoch, crashing, newCrash("decode-2", true))
	requireVerdict(t, register, epoch, crashing, poison.VerdictCondemned)
	register.Apply(epoch, first)
	register.Apply(epoch, poison.CrashRecord{Fingerprint: crashing})
	register.Apply(epoch, poison.CrashRecord{Fingerprint: crashing, Cleared: []poison.CrashID{poison.NewCrashID()}})
	requireVerdict(t, register, epoch, crashing, poison.VerdictCondemned)
}

func TestThreeCrashesCondemn(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("guilty")
	for i := range 3 {
		verdict, _ := register.Verdict(epoch, f)
		require.NotEqual(t, poison.VerdictCondemned, verdict)
		register.AddCrash(epoch.Add(time.Duration(i)*time.Millisecond), f, newCrash(fmt.Sprint("plain-", i), false))
	}
	requireVerdict(t, register, epoch, f, poison.VerdictCondemned)
}

func TestOneCrashOfSeveralRunsCountsOnce(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("retried often")
	for i := range 3 {
		c := newCrash("plain-1", false)
		c.RunStartedAt, c.CrashedAt = epoch, epoch.Add(time.Duration(i)*time.Second)
		register.AddCrash(epoch.Add(2*time.Second), f, c)
	}
	requireVerdict(t, register, epoch.Add(2*time.Second), f, poison.VerdictSuspect)
	// The same endpoint crashes two more times.
	register.AddCrash(epoch.Add(5*time.Second), f, newCrash("plain-1", false))
	requireVerdict(t, register, epoch.Add(5*time.Second), f, poison.VerdictSuspect)
	register.AddCrash(epoch.Add(10*time.Second), f, newCrash("plain-1", false))
	requireVerdict(t, register, epoch.Add(10*time.Second), f, poison.VerdictCondemned)
}

func TestCrashesOfEachIncarnationCount(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("guilty")
	for i := range 3 {
		for range 20 {
			c := newCrash("plain-1", false)
			c.Born = epoch.Add(time.Duration(i) * time.Millisecond)
			register.AddCrash(epoch, f, c)
		}
	}
	requireVerdict(t, register, epoch, f, poison.VerdictCondemned)
}

func TestLaterCrashCountsWithoutKnownIncarnation(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("guilty")
	for i := range 3 {
		for range 20 {
			register.AddCrash(epoch.Add(time.Duration(i)*time.Second), f, newCrash("plain-1", false))
		}
	}
	requireVerdict(t, register, epoch.Add(2*time.Second), f, poison.VerdictCondemned)
}

func TestOneCrashCondemnsAtMostOneRequest(t *testing.T) {
	first, second := fingerprint("first"), fingerprint("second")
	register := poison.NewRegister()
	register.AddCrash(epoch, first, newCrash("decode-1", true))
	register.AddCrash(epoch.Add(time.Second), second, newCrash("decode-1", true))
	for _, f := range []poison.Fingerprint{first, second} {
		requireVerdict(t, register, epoch.Add(time.Second), f, poison.VerdictSuspect)
	}
	// The next crash is on another endpoint and later than ambiguityWindow.
	register.AddCrash(epoch.Add(20*time.Second), first, newCrash("decode-2", true))
	requireVerdict(t, register, epoch.Add(20*time.Second), first, poison.VerdictCondemned)
}

func TestFingerprintsOfOneRequestAreNotAmbiguous(t *testing.T) {
	register := poison.NewRegister()
	known := []poison.Fingerprint{fingerprint("/x?page=1"), fingerprint("/x")}
	for i, isolated := range []bool{false, true} {
		c := newCrash(fmt.Sprint("decode-", i), isolated)
		c.ID = poison.NewCrashID()
		for _, f := range known {
			register.AddCrash(epoch, f, c)
		}
	}
	for _, f := range known {
		requireVerdict(t, register, epoch, f, poison.VerdictCondemned)
	}
}

func TestThreeAmbiguousCrashesCondemn(t *testing.T) {
	register := poison.NewRegister()
	crashing := fingerprint("guilty")
	for i := range 3 {
		now := epoch.Add(time.Duration(i) * 5 * time.Second)
		register.AddCrash(now, crashing, newCrash("decode-1", true))
		register.AddCrash(now, fingerprint(fmt.Sprint("beside ", i)), newCrash("decode-1", true))
	}
	requireVerdict(t, register, epoch.Add(10*time.Second), crashing, poison.VerdictCondemned)
}

func TestRunThatBeganBeforeACrashDoesNotClearIt(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("retried twice")
	register.AddCrash(epoch, f, newCrash("decode-1", false))
	known := register.CrashIDs(f, "decode")
	register.AddCrash(epoch, f, newCrash("decode-2", false))
	for range poison.SurvivalsPerCrash {
		register.RecordSurvival(epoch, f, known)
	}
	requireVerdict(t, register, epoch, f, poison.VerdictSuspect)
	require.Len(t, register.CrashIDs(f, "decode"), 1)
	require.Empty(t, register.CrashIDs(f, "prefill"))
}

// applyEncoded applies a record as a daemon receives it.
func applyEncoded(t *testing.T, register *poison.Register, now time.Time, record poison.CrashRecord) {
	payload, err := poison.EncodeCrashRecord(now, record)
	require.NoError(t, err)
	received, err := poison.DecodeCrashRecord(now, payload)
	require.NoError(t, err)
	register.Apply(now, received)
}

// TestCompletedRunsDoNotExtendTheTTLOfCrashes completes a run each minute after two crashes.
func TestCompletedRunsDoNotExtendTheTTLOfCrashes(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("seldom repeated")
	for i := range 2 {
		register.AddCrash(epoch, f, newCrash(fmt.Sprint("decode-", i), false))
	}
	for minute := range 10 {
		now := epoch.Add(time.Duration(minute) * time.Minute)
		require.Equal(t, 2, register.CrashScore(now, f))
		register.RecordSurvival(now, f, register.CrashIDs(f, "decode"))
	}
	require.Zero(t, register.CrashScore(epoch.Add(poison.CondemnationTTL), f))
}

// TestCompletedRunsBetweenCrashesDoNotPreventCondemnation passes the records to a second register,
// the survivals before the crash that they survived.
func TestCompletedRunsBetweenCrashesDoNotPreventCondemnation(t *testing.T) {
	for _, runs := range []int{1, 2, 10} {
		register, other := poison.NewRegister(), poison.NewRegister()
		f := fingerprint("crashes some endpoints")
		now := epoch
		for i := range 3 {
			verdict, _ := register.Verdict(now, f)
			require.NotEqual(t, poison.VerdictCondemned, verdict)
			crash := register.AddCrash(now, f, newCrash(fmt.Sprint("decode-", i), false))
			requireVerdict(t, register, now, f, []poison.Verdict{poison.VerdictSuspect, poison.VerdictSuspect, poison.VerdictCondemned}[i])
			if i == 2 {
				applyEncoded(t, other, now, crash)
				break
			}
			for range runs {
				applyEncoded(t, other, now, register.RecordSurvival(now, f, register.CrashIDs(f, "decode")))
				requireVerdict(t, register, now, f, poison.VerdictClear)
				now = now.Add(time.Second)
			}
			applyEncoded(t, other, now, crash)
			requireVerdict(t, other, now, f, poison.VerdictClear)
		}
		requireVerdict(t, other, now, f, poison.VerdictCondemned)
	}
}

// TestOftenRepeatedRequestIsNotCondemnedBesideCrashes repeats a sound request each second. Every
// minute, the endpoint that runs it crashes for another reason.
func TestOftenRepeatedRequestIsNotCondemnedBesideCrashes(t *testing.T) {
	register := poison.NewRegister()
	f := fingerprint("sound")
	for second := range 3600 {
		now := epoch.Add(time.Duration(second) * time.Second)
		verdict, _ := register.Verdict(now, f)
		require.NotEqual(t, poison.VerdictCondemned, verdict)
		if second%60 == 0 {
			register.AddCrash(now, f, newCrash(fmt.Sprint("decode-", second), verdict == poison.VerdictSuspect))
		} else if known := register.CrashIDs(f, "decode"); len(known) > 0 {
			register.RecordSurvival(now, f, known)
		}
	}
}

func TestCondemnationLastsWhileRequestIsRetried(t *testing.T) {
	register := poison.NewRegister()
	other := poison.NewRegister()
	f := fingerprint("guilty")
	for i := range 3 {
		other.Apply(epoch, register.AddCrash(epoch, f, newCrash(fmt.Sprint("plain-", i), false)))
	}
	for age := time.Duration(0); age < 3*poison.CondemnationTTL; age += time.Minute {
		if record, ok := register.RecordRejection(epoch.Add(age), f); ok {
			other.Apply(epoch.Add(age), record)
		}
		requireVerdict(t, register, epoch.Add(age), f, poison.VerdictCondemned)
		requireVerdict(t, other, epoch.Add(age), f, poison.VerdictCondemned)
	}
}

// TestHostThatStartsAfterLongRejectionsCondemnsTheRequest passes a record whose crashes, of one
// endpoint without a known start, are older than CondemnationTTL.
func TestHostThatStartsAfterLongRejectionsCondemnsTheRequest(t *testing.T) {
	register, started := poison.NewRegister(), poison.NewRegister()
	f := fingerprint("guilty")
	for i := range 3 {
		at := epoch.Add(time.Duration(i) * 5 * time.Second)
		register.AddCrash(at, f, poison.Crash{Endpoint: "decode-1", RunStartedAt: at.Add(-time.Second), CrashedAt: at})
	}
	last := epoch.Add(3 * poison.CondemnationTTL)
	for at := epoch.Add(time.Minute); !at.After(last); at = at.Add(time.Minute) {
		register.RecordRejection(at, f)
	}
	requireVerdict(t, register, last, f, poison.VerdictCondemned)
	payload, err := poison.EncodeCrashRecord(last, register.CrashRecord(f))
	require.NoError(t, err)
	record, err := poison.DecodeCrashRecord(last, payload)
	require.NoError(t, err)
	started.Apply(last, record)
	requireVerdict(t, started, last, f, poison.VerdictCondemned)
}

// TestDaemonsWithTheSameRecordsAgree applies the records of a daemon to another one, each of
// them twice and in any order. Both must have the same verdicts.
func TestDaemonsWithTheSameRecordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := []poison.Fingerprint{fingerprint("a"), fingerprint("b")}
		first := poison.NewRegister()
		var records []poison.CrashRecord
		now := epoch
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "milliseconds")) * time.Millisecond)
			f := rapid.SampledFrom(requests).Draw(t, "request")
			known := first.CrashIDs(f, "decode")
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 && len(known) > 0:
				records = append(records, first.WithdrawCrash(now, f, known[0]))
				continue
			case step <= 1:
				for range rapid.SampledFrom([]int{1, 5, poison.SurvivalsPerCrash}).Draw(t, "runs") {
					records = append(records, first.RecordSurvival(now, f, known))
				}
				continue
			}
			records = append(records, first.AddCrash(now, f, newCrash(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "endpoint"), rapid.Bool().Draw(t, "alone"))))
		}
		second := poison.NewRegister()
		for _, record := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			second.Apply(now, record)
		}
		for _, f := range requests {
			expected, _ := first.Verdict(now, f)
			requireVerdict(t, second, now, f, expected)
		}
	})
}

func TestFullRegisterKeepsCondemnations(t *testing.T) {
	register := poison.NewRegister()
	crashing := fingerprint("guilty")
	for i := range 3 {
		register.AddCrash(epoch, crashing, newCrash(fmt.Sprint("plain-", i), false))
	}
	for i := range 70_000 {
		register.AddCrash(epoch, fingerprint(fmt.Sprint("beside ", i)), newCrash("plain-1", false))
	}
	requireVerdict(t, register, epoch, crashing, poison.VerdictCondemned)
}

package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/poison"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestOnlyACrashAloneCondemns(t *testing.T) {
	register := poison.NewRegister()
	guilty, innocent := poison.NewFingerprint("s", []byte("guilty")), poison.NewFingerprint("s", []byte("innocent"))
	for _, f := range []poison.Fingerprint{guilty, innocent} {
		require.Equal(t, poison.VerdictSuspect, register.Crash(epoch, f, "decode-1", false).Verdict)
	}
	_, cleared := register.Complete(epoch, innocent)
	require.True(t, cleared)
	require.Equal(t, poison.VerdictCondemned, register.Crash(epoch, guilty, "decode-2", true).Verdict)
	verdict, _ := register.Verdict(epoch, innocent)
	require.Equal(t, poison.VerdictClear, verdict)
	// A weaker mark that is heard late does not lift the verdict.
	register.Apply(epoch, poison.Mark{Fingerprint: guilty, Verdict: poison.VerdictClear})
	verdict, until := register.Verdict(epoch, guilty)
	require.Equal(t, poison.VerdictCondemned, verdict)
	require.Equal(t, epoch.Add(poison.CondemnTime), until)
	verdict, _ = register.Verdict(until, guilty)
	require.Equal(t, poison.VerdictClear, verdict)
}

func TestOneCrashCondemnsAtMostOne(t *testing.T) {
	first, second := poison.NewFingerprint("s", []byte("first")), poison.NewFingerprint("s", []byte("second"))
	register := poison.NewRegister()
	register.Crash(epoch, first, "decode-1", true)
	register.Crash(epoch.Add(time.Second), second, "decode-1", true)
	for _, f := range []poison.Fingerprint{first, second} {
		verdict, _ := register.Verdict(epoch.Add(time.Second), f)
		require.Equal(t, poison.VerdictSuspect, verdict)
	}
	// The next crash is another one.
	register.Crash(epoch.Add(20*time.Second), first, "decode-2", true)
	verdict, _ := register.Verdict(epoch.Add(20*time.Second), first)
	require.Equal(t, poison.VerdictCondemned, verdict)
}

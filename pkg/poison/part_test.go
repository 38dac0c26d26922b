package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/pkg/poison"
)

const decodeScope = poison.Scope("assistant/decode")

var (
	firstPart = poison.NewPart("preamble")
	badPart   = poison.NewPart("bad")
)

// partCrash returns the crash of an endpoint at a time after epoch. The run started 100 ms
// before.
func partCrash(endpoint string, request int, at time.Duration, parts ...poison.Part) poison.PartCrash {
	return poison.PartCrash{
		Endpoint: endpoint, Born: epoch.Add(-time.Hour), Scope: decodeScope, Request: fingerprint(fmt.Sprint("request ", request)),
		RunStartedAt: epoch.Add(at - 100*time.Millisecond), CrashedAt: epoch.Add(at), Parts: parts,
	}
}

func isolated(c poison.PartCrash) poison.PartCrash {
	c.Isolated = true
	return c
}

// survive records a run that started at a time after epoch.
func survive(r *poison.PartRegister, at time.Duration, parts ...poison.Part) {
	r.RecordSurvival(decodeScope, parts, epoch.Add(at))
}

func requirePart(t require.TestingT, r *poison.PartRegister, at time.Duration, p poison.Part, expected poison.Verdict) {
	verdict, _, _ := r.Verdict(epoch.Add(at), []poison.Part{p})
	require.Equal(t, expected.String(), verdict.String())
}

func addCrashes(r *poison.PartRegister, crashes ...poison.PartCrash) {
	for _, c := range crashes {
		r.AddCrash(c.CrashedAt, c)
	}
}

func TestPartIsCondemnedAfterAnIsolatedCrash(t *testing.T) {
	r := poison.NewPartRegister()
	addCrashes(r, partCrash("decode-1", 1, 0, firstPart, badPart))
	requirePart(t, r, 0, badPart, poison.VerdictSuspect)
	survive(r, time.Second, poison.NewPart("other"))
	addCrashes(r, isolated(partCrash("decode-2", 2, 2*time.Second, firstPart, badPart)))
	requirePart(t, r, 2*time.Second, badPart, poison.VerdictCondemned)
}

// TestSharedPartIsNotBlamedForARareOne gives a host no survival of the part that all prompts
// share.
func TestSharedPartIsNotBlamedForARareOne(t *testing.T) {
	r := poison.NewPartRegister()
	survive(r, 100*time.Millisecond, poison.NewPart("other"))
	for i := range 6 {
		addCrashes(r, partCrash(fmt.Sprint("decode-", i), i, time.Duration(i)*time.Second, firstPart, badPart))
		// A bystander on the same endpoint.
		addCrashes(r, partCrash(fmt.Sprint("decode-", i), 100+i, time.Duration(i)*time.Second, firstPart, poison.NewPart(fmt.Sprint("session ", i))))
	}
	requirePart(t, r, 6*time.Second, badPart, poison.VerdictCondemned)
	requirePart(t, r, 6*time.Second, firstPart, poison.VerdictClear)
}

// TestBystandersDoNotCondemnASharedPart records crashes of which only the bystanders are known.
func TestBystandersDoNotCondemnASharedPart(t *testing.T) {
	r := poison.NewPartRegister()
	survive(r, -time.Second, firstPart)
	for i := range 5 {
		at := time.Duration(i) * 200 * time.Millisecond
		addCrashes(r, partCrash(fmt.Sprint("decode-", i), i, at, firstPart))
	}
	survive(r, 50*time.Millisecond, poison.NewPart("other"))
	requirePart(t, r, 2*time.Second, firstPart, poison.VerdictClear)
	survive(r, 1200*time.Millisecond, firstPart)
	requirePart(t, r, 5*time.Second, firstPart, poison.VerdictClear)
}

func TestPartThatTurnsBadIsCondemned(t *testing.T) {
	r := poison.NewPartRegister()
	survive(r, -time.Second, badPart)
	addCrashes(r, partCrash("decode-1", 1, 0, badPart), partCrash("decode-2", 2, 500*time.Millisecond, badPart))
	survive(r, time.Second, poison.NewPart("other"))
	requirePart(t, r, 4*time.Second, badPart, poison.VerdictClear)
	addCrashes(r, partCrash("decode-3", 3, 4*time.Second, badPart))
	requirePart(t, r, 4*time.Second, badPart, poison.VerdictCondemned)
}

func TestSurvivalExplainsOnlyEarlierCrashes(t *testing.T) {
	r := poison.NewPartRegister()
	addCrashes(r, partCrash("decode-1", 1, 0, badPart))
	survive(r, time.Second, badPart)
	requirePart(t, r, time.Second, badPart, poison.VerdictClear)
	// The run of this survival started before the crash.
	addCrashes(r, partCrash("decode-2", 2, 5*time.Second, badPart))
	survive(r, 4*time.Second, badPart)
	require.Equal(t, 1, r.Evidence(epoch.Add(5*time.Second), badPart).Crashes)
}

func TestSurvivalOfAnotherScopeExplainsNoCrash(t *testing.T) {
	r := poison.NewPartRegister()
	addCrashes(r, partCrash("decode-1", 1, 0, badPart))
	r.RecordSurvival(poison.NewScope("assistant", "prefill"), []poison.Part{badPart}, epoch.Add(time.Second))
	requirePart(t, r, 2*time.Second, badPart, poison.VerdictSuspect)
}

func TestCrashesAtTheSameTimeCondemnNoPart(t *testing.T) {
	r := poison.NewPartRegister()
	for i := range 8 {
		addCrashes(r, partCrash(fmt.Sprint("decode-", i), i, time.Duration(i)*time.Millisecond, badPart))
	}
	survive(r, time.Second, poison.NewPart("other"))
	requirePart(t, r, 2*time.Second, badPart, poison.VerdictSuspect)
}

func TestOneRequestDoesNotCondemnItsParts(t *testing.T) {
	r := poison.NewPartRegister()
	survive(r, time.Second, poison.NewPart("other"))
	for i := range 3 {
		addCrashes(r, isolated(partCrash(fmt.Sprint("decode-", i), 1, time.Duration(i)*time.Second, badPart)))
	}
	requirePart(t, r, 3*time.Second, badPart, poison.VerdictSuspect)
}

func TestFailureOfAServiceCondemnsNoPart(t *testing.T) {
	r := poison.NewPartRegister()
	survive(r, -time.Second, poison.NewPart("other"))
	for i := range 10 {
		addCrashes(r, partCrash(fmt.Sprint("decode-", i%3), i, time.Duration(i)*time.Second, firstPart))
	}
	requirePart(t, r, 10*time.Second, firstPart, poison.VerdictSuspect)
}

// TestTwoIsolatedRunsOnAnEndpointCountOnce records a crash under two owners that each placed a
// suspect on the endpoint.
func TestTwoIsolatedRunsOnAnEndpointCountOnce(t *testing.T) {
	r := poison.NewPartRegister()
	harmless := poison.NewPart("harmless")
	survive(r, 500*time.Millisecond, poison.NewPart("other"))
	addCrashes(r, partCrash("decode-1", 1, 0, badPart), partCrash("decode-1", 2, 0, harmless))
	addCrashes(r, isolated(partCrash("decode-2", 3, time.Second, badPart)), isolated(partCrash("decode-2", 4, time.Second, harmless)))
	requirePart(t, r, time.Second, badPart, poison.VerdictSuspect)
	requirePart(t, r, time.Second, harmless, poison.VerdictSuspect)
}

func TestTwoPartsAreCondemnedAtOnce(t *testing.T) {
	r := poison.NewPartRegister()
	other := poison.NewPart("other bad part")
	for i := range 4 {
		at := time.Duration(i) * time.Second
		survive(r, at+500*time.Millisecond, firstPart)
		addCrashes(r, partCrash(fmt.Sprint("decode-", i), i, at, firstPart, badPart))
		addCrashes(r, partCrash(fmt.Sprint("decode-", 10+i), 10+i, at+200*time.Millisecond, firstPart, other))
	}
	requirePart(t, r, 4*time.Second, badPart, poison.VerdictCondemned)
	requirePart(t, r, 4*time.Second, other, poison.VerdictCondemned)
	requirePart(t, r, 4*time.Second, firstPart, poison.VerdictClear)
}

// condemnPart returns a register that has condemned badPart at 2 s.
func condemnPart(t *testing.T) *poison.PartRegister {
	r := poison.NewPartRegister()
	addCrashes(r, partCrash("decode-1", 1, 0, firstPart, badPart))
	survive(r, time.Second, firstPart)
	addCrashes(r, isolated(partCrash("decode-2", 2, 2*time.Second, firstPart, badPart)))
	requirePart(t, r, 2*time.Second, badPart, poison.VerdictCondemned)
	return r
}

func TestCondemnationOfAPartOutlivesItsLastRequest(t *testing.T) {
	r := condemnPart(t)
	last := 2*time.Second + poison.CondemnationTTL - time.Minute
	for at := 2 * time.Second; at <= last; at += time.Minute {
		r.RecordRejection(epoch.Add(at), badPart)
	}
	requirePart(t, r, last+poison.CondemnationTTL-time.Minute, badPart, poison.VerdictCondemned)
	requirePart(t, r, last+poison.CondemnationTTL+time.Minute, badPart, poison.VerdictClear)
}

// TestHostThatStartsLaterCondemnsThePart passes the record from the store to an empty register.
func TestHostThatStartsLaterCondemnsThePart(t *testing.T) {
	record, ok := condemnPart(t).RecordRejection(epoch.Add(2*time.Second), badPart)
	require.True(t, ok)
	payload, err := poison.EncodePartRecord(epoch.Add(2*time.Second), record)
	require.NoError(t, err)
	for _, startedAt := range []time.Duration{2 * time.Second, 5 * time.Minute} {
		received, err := poison.DecodePartRecord(epoch.Add(startedAt), payload)
		require.NoError(t, err)
		r := poison.NewPartRegister()
		require.True(t, r.Apply(epoch.Add(startedAt), received))
		require.False(t, r.Apply(epoch.Add(startedAt), received))
		requirePart(t, r, startedAt, badPart, poison.VerdictCondemned)
		requirePart(t, r, startedAt, firstPart, poison.VerdictClear)
	}
}

// TestHostThatStartsAfterLongRejectionsCondemnsThePart passes a record whose crashes are older than
// CondemnationTTL.
func TestHostThatStartsAfterLongRejectionsCondemnsThePart(t *testing.T) {
	rejecting, started := condemnPart(t), poison.NewPartRegister()
	last := 2*time.Second + 3*poison.CondemnationTTL
	var payload []byte
	for at := 2 * time.Second; at <= last; at += time.Minute {
		if record, ok := rejecting.RecordRejection(epoch.Add(at), badPart); ok {
			encoded, err := poison.EncodePartRecord(epoch.Add(at), record)
			require.NoError(t, err)
			payload = encoded
		}
	}
	requirePart(t, rejecting, last, badPart, poison.VerdictCondemned)
	record, err := poison.DecodePartRecord(epoch.Add(last), payload)
	require.NoError(t, err)
	started.Apply(epoch.Add(last), record)
	requirePart(t, started, last, badPart, poison.VerdictCondemned)
}

// TestInventedPartsDoNotLiftACondemnation records far more crashes and survivals than are
// stored.
func TestInventedPartsDoNotLiftACondemnation(t *testing.T) {
	r := condemnPart(t)
	for i := range 20_000 {
		invented := poison.NewPart(fmt.Sprint("invented ", i))
		r.AddCrash(epoch.Add(3*time.Second), partCrash(fmt.Sprint("decode-", 10+i), 10+i, 3*time.Second, invented))
		survive(r, 3*time.Second, poison.NewPart(fmt.Sprint("survived ", i)))
	}
	requirePart(t, r, 3*time.Second, badPart, poison.VerdictCondemned)
}

// TestVerdictsOnPartsDoNotDependOnTheOrderOfRecords applies records to two registers, in
// another order and some of them twice.
func TestVerdictsOnPartsDoNotDependOnTheOrderOfRecords(t *testing.T) {
	parts := []poison.Part{firstPart, badPart, poison.NewPart("a"), poison.NewPart("b")}
	rapid.Check(t, func(rt *rapid.T) {
		var records []poison.PartRecord
		for i := range rapid.IntRange(1, 24).Draw(rt, "records") {
			at := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "survival") {
				p := rapid.SampledFrom(append([]poison.Part{0}, parts...)).Draw(rt, "part")
				records = append(records, poison.PartRecord{Survivals: []poison.Survival{{Part: p, Scope: decodeScope, RunStartedAt: epoch.Add(at)}}})
				continue
			}
			c := partCrash(fmt.Sprint("decode-", rapid.IntRange(0, 5).Draw(rt, "endpoint")), i, at, rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 1, 3, rapid.ID[poison.Part]).Draw(rt, "parts")...)
			c.Isolated = rapid.Bool().Draw(rt, "isolated")
			records = append(records, poison.PartRecord{Crashes: []poison.PartCrash{c}})
		}
		first, second := poison.NewPartRegister(), poison.NewPartRegister()
		for _, record := range records {
			first.Apply(epoch, record)
		}
		shuffled := append([]poison.PartRecord{}, records...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 1))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, record := range append(shuffled, records[0]) {
			second.Apply(epoch, record)
		}
		for _, p := range parts {
			a, _, _ := first.Verdict(epoch.Add(7*time.Second), []poison.Part{p})
			b, _, _ := second.Verdict(epoch.Add(7*time.Second), []poison.Part{p})
			require.Equal(rt, a.String(), b.String())
		}
	})
}

// TestRenewedRecordExtendsTheCondemnationOfAPart sends the renewals of a host that rejects
// requests to a host that gets none.
func TestRenewedRecordExtendsTheCondemnationOfAPart(t *testing.T) {
	rejecting, idle := condemnPart(t), condemnPart(t)
	last := 2*time.Second + 2*poison.CondemnationTTL
	for at := 2 * time.Second; at <= last; at += time.Minute {
		if record, ok := rejecting.RecordRejection(epoch.Add(at), badPart); ok {
			idle.Apply(epoch.Add(at), record)
		}
	}
	requirePart(t, rejecting, last, badPart, poison.VerdictCondemned)
	requirePart(t, idle, last, badPart, poison.VerdictCondemned)
}

// TestRenewalsOfEndedCondemnationsAreDropped passes renewals of many parts to a host.
func TestRenewalsOfEndedCondemnationsAreDropped(t *testing.T) {
	r := condemnPart(t)
	for i := range 100 {
		part := poison.NewPart(fmt.Sprint("part ", i))
		record := poison.PartRecord{Crashes: []poison.PartCrash{partCrash("decode-1", i, 2*time.Second, part)}}
		r.Apply(epoch.Add(2*time.Second), record)
		require.True(t, r.ForwardRenewal(epoch.Add(2*time.Second), record))
	}
	require.Equal(t, 100, r.CountRenewals())
	requirePart(t, r, 2*time.Second+poison.CondemnationTTL, badPart, poison.VerdictClear)
	require.Zero(t, r.CountRenewals())
}

package member_test

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmerictide/turmerictide/internal/seed"
	"github.com/turmerictide/turmerictide/pkg/member"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m))
}

var epoch = time.Unix(1_800_000_000, 0)

func newMember(i int) member.Member {
	return member.Member{
		Host: fmt.Sprint("entry-", i), AvailabilityZone: fmt.Sprint("zone-", i%4),
		Peer: netip.MustParseAddrPort("10.0.0.1:8082"), Incarnation: member.NewIncarnation(epoch),
	}
}

func newTable(count int) *member.Table {
	table := member.NewTable(newMember(0), epoch)
	for i := 1; i < count; i++ {
		table.Merge(epoch, newMember(i))
	}
	return table
}

func TestNeighboursDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{7, 100, 400} {
		require.LessOrEqual(t, len(newTable(count).Neighbours(epoch)), 5)
	}
	require.Len(t, newTable(4).Neighbours(epoch), 2, "all others are in other zones, and two of them are neighbours")
}

func TestSilentNeighbourIsResetSuspectedAndDeclaredDead(t *testing.T) {
	table := newTable(2)
	table.Tick(epoch)
	now := epoch.Add(member.ResetTimeout)
	require.Equal(t, []string{"entry-1"}, table.Tick(now).Resets)
	require.Empty(t, table.Tick(now).Resets)
	now = epoch.Add(member.SuspectTimeout)
	updates := table.Tick(now).Updates
	require.Len(t, updates, 1)
	require.Equal(t, member.StateSuspect, updates[0].State)
	table.Tick(now.Add(member.RefutationTimeout))
	known, _ := table.Member("entry-1")
	require.Equal(t, member.StateDead, known.State)
}

func TestSuspicionIsRefuted(t *testing.T) {
	table := newTable(2)
	suspicion := newMember(0)
	suspicion.State = member.StateSuspect
	refutation, ok := table.Merge(epoch, suspicion)
	require.True(t, ok)
	require.Equal(t, member.StateAlive, refutation.State)
	require.Greater(t, refutation.Incarnation, suspicion.Incarnation)
	require.Equal(t, suspicion.StartMilliseconds(), refutation.StartMilliseconds())
}

// TestTablesConverge merges the same updates in two orders, in the second order each of them
// twice.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Member {
			update := newMember(rapid.IntRange(1, 4).Draw(t, "host"))
			update.Incarnation += member.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation"))
			update.State = member.State(rapid.IntRange(0, 3).Draw(t, "state"))
			return update
		}), 1, 20).Draw(t, "facts")
		first, second := newTable(1), newTable(1)
		for _, update := range updates {
			first.Merge(epoch, update)
		}
		for _, update := range rapid.Permutation(append(updates, updates...)).Draw(t, "order") {
			second.Merge(epoch, update)
		}
		require.Equal(t, first.Digest(), second.Digest())
		require.Equal(t, first.Members(), second.Members())
	})
}

// TestFewDaemonsReadTheStoreForManyOthers checks that the number of readers of a zone is
// constant, and that all daemons with the same list choose the same readers.
func TestFewDaemonsReadTheStoreForManyOthers(t *testing.T) {
	require.Empty(t, member.Readers([]string{"one", "two", "three"}), "a small zone has no designated readers")
	var hosts []string
	for i := range 100 {
		hosts = append(hosts, fmt.Sprint("entry-", i))
	}
	readers := member.Readers(hosts)
	require.Len(t, readers, 2)
	slices.Reverse(hosts)
	require.Equal(t, readers, member.Readers(hosts))
	remaining := slices.DeleteFunc(hosts, func(host string) bool { return host == readers[0] })
	require.Contains(t, member.Readers(remaining), readers[1], "the other reader stays when one is lost")
}

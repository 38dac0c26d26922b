package member_test

import (
	"math"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/member"
)

// TestIncarnationInTheFarFutureIsIgnored covers an incarnation that no daemon can supersede: the
// largest number wraps when the daemon refutes it.
func TestIncarnationInTheFarFutureIsIgnored(t *testing.T) {
	table := newTable(5)
	far := newMember(2)
	far.Peer = netip.MustParseAddrPort("10.9.9.9:9")
	own := newMember(0)
	for _, incarnation := range []member.Incarnation{math.MaxUint64, math.MaxInt64, member.NewIncarnation(epoch.AddDate(100, 0, 0))} {
		far.Incarnation, own.Incarnation = incarnation, incarnation
		own.State = member.StateDead
		for _, update := range []member.Member{far, own} {
			_, ok := table.Merge(epoch, update)
			require.False(t, ok, "%s %d", update.Host, incarnation)
		}
	}
	require.Equal(t, newMember(0), table.Self())
	known, _ := table.Member("entry-2")
	require.Equal(t, newMember(2), known)
	next := newMember(2)
	next.Incarnation++
	_, ok := table.Merge(epoch, next)
	require.True(t, ok)
	suspicion := newMember(0)
	suspicion.State = member.StateSuspect
	refutation, ok := table.Merge(epoch, suspicion)
	require.True(t, ok)
	require.Equal(t, newMember(0).Incarnation+1, refutation.Incarnation)
}

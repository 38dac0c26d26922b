package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/dispatch"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// newVersionedShard returns a shard with two decode endpoints of v1 and one of v2.
func newVersionedShard(places int) shard.Shard {
	s := newShard(4, 3, places, 64, time.Second)
	for i, version := range []string{"v1", "v1", "v2"} {
		s.Decode[i].Version = version
	}
	return s
}

func TestRequestIsGrantedAtItsSoftwareVersion(t *testing.T) {
	planner := newPlanner(newVersionedShard(2))
	for id, version := range []string{"v2", "v1", "v2", "v1"} {
		r := request(dispatch.RequestID(id + 1))
		r.Version = version
		decisions := planner.Offer(epoch, r, nil)
		require.Len(t, decisions, 1)
		require.True(t, decisions[0].IsGrant())
		require.Equal(t, version == "v2", decisions[0].Grant.Decode == "decode-2")
	}
	r := request(5)
	r.Version = "v2"
	require.Empty(t, planner.Offer(epoch, r, nil), "the request waits although other versions have places")
	decisions := planner.Done(epoch, 1, dispatch.Outcome{}, nil)
	require.Len(t, decisions, 1)
	require.Equal(t, "decode-2", decisions[0].Grant.Decode)
}

func TestRequestForAMissingSoftwareVersionIsRejectedAtOnce(t *testing.T) {
	planner := newPlanner(newVersionedShard(2))
	r := request(1)
	r.Version = "v3"
	decisions := planner.Offer(epoch, r, nil)
	require.Len(t, decisions, 1)
	require.Equal(t, dispatch.CauseNoEndpoint, decisions[0].Rejection.Cause)
}

package dispatch_test

import (
	"fmt"
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

func resumedRequest(id dispatch.RequestID, version string) dispatch.Request {
	r := request(id)
	r.Version, r.Resumed, r.Rank = version, true, 1
	return r
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
	decisions := planner.Offer(epoch, resumedRequest(1, "v3"), nil)
	require.Len(t, decisions, 1)
	require.Equal(t, dispatch.CauseNoEndpoint, decisions[0].Rejection.Cause)
}

// TestResumedStreamsGoBeforeNewOnes fills all places and queues requests that have waited longer.
func TestResumedStreamsGoBeforeNewOnes(t *testing.T) {
	planner := newPlanner(newVersionedShard(1))
	for id := range dispatch.RequestID(3) {
		require.True(t, planner.Offer(epoch, request(id+1), nil)[0].IsGrant())
	}
	for id := range dispatch.RequestID(4) {
		require.Empty(t, planner.Offer(epoch, request(id+10), nil))
	}
	// The first one waits for a version that has no room, and does not delay the second.
	require.Empty(t, planner.Offer(epoch, resumedRequest(20, "v2"), nil))
	require.Empty(t, planner.Offer(epoch, resumedRequest(21, "v1"), nil))
	granted := map[dispatch.RequestID]string{}
	for id := range dispatch.RequestID(3) {
		for _, d := range planner.Done(epoch, id+1, dispatch.Outcome{OutputTokens: 10}, nil) {
			require.True(t, d.IsGrant())
			granted[d.Grant.ID] = d.Grant.Decode
		}
	}
	require.Equal(t, "decode-2", granted[20])
	require.Contains(t, []string{"decode-0", "decode-1"}, granted[21])
	require.Len(t, granted, 3)
}

// TestResumedStreamMayWaitLongerThanANewOne offers both while the places are taken for a time
// beyond the first-token target.
func TestResumedStreamMayWaitLongerThanANewOne(t *testing.T) {
	s := newVersionedShard(1)
	s.Service.ReturnTargets = 2.5
	planner := newPlanner(s)
	for id := range dispatch.RequestID(3) {
		require.True(t, planner.Offer(epoch, request(id+1), nil)[0].IsGrant())
	}
	fresh, resumed := request(10), resumedRequest(11, "v2")
	fresh.Rank, resumed.Rank = 0, 0
	require.Empty(t, planner.Offer(epoch, fresh, nil))
	require.Empty(t, planner.Offer(epoch, resumed, nil))
	late := epoch.Add(1500 * time.Millisecond)
	decisions := planner.Tick(late, nil)
	require.Len(t, decisions, 1)
	require.EqualValues(t, 10, decisions[0].Rejection.ID)
	var granted []dispatch.RequestID
	for id := range dispatch.RequestID(3) {
		for _, d := range planner.Done(late, id+1, dispatch.Outcome{}, nil) {
			require.True(t, d.IsGrant(), fmt.Sprint(d))
			granted = append(granted, d.Grant.ID)
		}
	}
	require.Equal(t, []dispatch.RequestID{11}, granted)
}

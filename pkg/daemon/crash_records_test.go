package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/daemon"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

const partScope = poison.Scope("assistant/decode")

var (
	epoch   = time.Unix(1_800_000_000, 0)
	badPart = poison.NewPart("bad")
)

// gossipSite is a site of daemons that forward records of prompt parts to their neighbours.
type gossipSite struct {
	now   time.Time
	hosts []*gossipHost
	// forwards is the number of records that hosts have forwarded or sent.
	forwards int
}

type gossipHost struct {
	site       *gossipSite
	number     int
	parts      *poison.PartRegister
	handle     func(origin string, payload []byte) bool
	neighbours []*gossipHost
	// forwardedAt are the times at which it forwarded or sent a record.
	forwardedAt []time.Time
}

func newGossipSite(count int) *gossipSite {
	s := &gossipSite{now: epoch}
	for i := range count {
		h := &gossipHost{site: s, number: i, parts: poison.NewPartRegister()}
		h.handle = daemon.NewPartRecordHandler(h.parts, func() time.Time { return s.now })
		s.hosts = append(s.hosts, h)
	}
	for i, h := range s.hosts {
		for _, distance := range []int{1, 2, 3, 17, 71} {
			other := s.hosts[(i+distance)%count]
			h.neighbours = append(h.neighbours, other)
			other.neighbours = append(other.neighbours, h)
		}
	}
	return s
}

// broadcast sends a record as gossip: each host handles it once, and its neighbours get it if
// the host forwards it.
func (h *gossipHost) broadcast(t *testing.T, record poison.PartRecord) {
	payload, err := poison.EncodePartRecord(h.site.now, record)
	require.NoError(t, err)
	seen := map[*gossipHost]bool{h: true}
	for senders := []*gossipHost{h}; len(senders) > 0; senders = senders[1:] {
		sender := senders[0]
		sender.forwardedAt = append(sender.forwardedAt, h.site.now)
		h.site.forwards++
		for _, n := range sender.neighbours {
			if !seen[n] {
				seen[n] = true
				if n.handle(fmt.Sprint("edge-", h.number), payload) {
					senders = append(senders, n)
				}
			}
		}
	}
}

// reject rejects a request with the bad part.
func (h *gossipHost) reject(t *testing.T) {
	h.requireVerdict(t, poison.VerdictCondemned)
	if record, ok := h.parts.RecordRejection(h.site.now, badPart); ok {
		h.broadcast(t, record)
	}
}

func (h *gossipHost) requireVerdict(t *testing.T, expected poison.Verdict) {
	verdict, _, _ := h.parts.Verdict(h.site.now, []poison.Part{badPart})
	require.Equal(t, expected.String(), verdict.String(), "host %d after %v", h.number, h.site.now.Sub(epoch))
}

// condemn lets a host see the crashes that condemn the bad part.
func (s *gossipSite) condemn(t *testing.T) {
	first := s.hosts[0]
	for i := range 3 {
		s.now = s.now.Add(time.Second)
		first.broadcast(t, first.parts.AddCrash(s.now, poison.PartCrash{
			Endpoint: fmt.Sprint("decode-", i), Born: epoch.Add(-time.Hour), Scope: partScope, Request: poison.NewFingerprint([]byte{byte(i)}),
			RunStartedAt: s.now.Add(-100 * time.Millisecond), CrashedAt: s.now, Parts: []poison.Part{poison.NewPart("preamble"), badPart},
		}))
		if record, ok := first.parts.RecordSurvival(partScope, []poison.Part{poison.NewPart("preamble")}, s.now.Add(500*time.Millisecond)); ok {
			first.broadcast(t, record)
		}
	}
	s.now = s.now.Add(time.Second)
	for _, h := range s.hosts {
		h.requireVerdict(t, poison.VerdictCondemned)
	}
}

// TestRenewedCondemnationReachesAllHosts lets one host reject requests for half an hour, while the
// others get none.
func TestRenewedCondemnationReachesAllHosts(t *testing.T) {
	for _, count := range []int{7, 295} {
		s := newGossipSite(count)
		s.condemn(t)
		for end := s.now.Add(3 * poison.CondemnationTTL); s.now.Before(end); s.now = s.now.Add(time.Minute) {
			s.hosts[count-1].reject(t)
			for _, h := range s.hosts {
				h.requireVerdict(t, poison.VerdictCondemned)
			}
		}
	}
}

// TestRenewalIsForwardedOnce passes a renewal to a host twice, as two hosts send it that reject
// requests at the same time.
func TestRenewalIsForwardedOnce(t *testing.T) {
	s := newGossipSite(2)
	s.condemn(t)
	s.now = s.now.Add(time.Minute)
	record, ok := s.hosts[0].parts.RecordRejection(s.now, badPart)
	require.True(t, ok)
	payload, err := poison.EncodePartRecord(s.now, record)
	require.NoError(t, err)
	require.True(t, s.hosts[1].handle("edge-0", payload))
	require.False(t, s.hosts[1].handle("edge-2", payload))
	s.now = s.now.Add(time.Second)
	require.False(t, s.hosts[1].handle("edge-3", payload))
	require.False(t, s.hosts[0].handle("edge-3", payload), "a host that has just sent one")
	s.now = s.now.Add(time.Minute)
	require.True(t, s.hosts[1].handle("edge-0", payload))
}

// TestKnownCrashIsNotForwarded passes a crash twice. It says nothing about a rejection.
func TestKnownCrashIsNotForwarded(t *testing.T) {
	s := newGossipSite(2)
	payload, err := poison.EncodePartRecord(s.now, poison.PartRecord{Crashes: []poison.PartCrash{{
		Endpoint: "decode-1", Scope: partScope, Request: poison.NewFingerprint([]byte("request")),
		RunStartedAt: s.now, CrashedAt: s.now, Parts: []poison.Part{poison.NewPart("preamble"), badPart},
	}}})
	require.NoError(t, err)
	require.True(t, s.hosts[0].handle("edge-1", payload))
	s.now = s.now.Add(time.Minute)
	require.False(t, s.hosts[0].handle("edge-1", payload))
}

// TestRenewalsOfAllHostsAreNoStorm lets all hosts reject requests each second for some minutes. A
// host forwards one renewal in 10 s, beside its own.
func TestRenewalsOfAllHostsAreNoStorm(t *testing.T) {
	const period, forwardInterval, renewInterval = 6 * time.Minute, 10 * time.Second, poison.CondemnationTTL / 4
	s := newGossipSite(295)
	s.condemn(t)
	s.forwards = 0
	for _, h := range s.hosts {
		h.forwardedAt = nil
	}
	for end := s.now.Add(period); s.now.Before(end); s.now = s.now.Add(time.Second) {
		for _, h := range s.hosts {
			h.reject(t)
		}
	}
	for _, h := range s.hosts {
		require.LessOrEqual(t, len(h.forwardedAt), int(period/forwardInterval+period/renewInterval)+2, "host %d", h.number)
	}
	t.Logf("%d renewals of 295 hosts were sent or forwarded in %v", s.forwards, period)
}

// TestCondemnationEndsWhenNoHostRejects stops all requests after a time of rejections.
func TestCondemnationEndsWhenNoHostRejects(t *testing.T) {
	s := newGossipSite(295)
	s.condemn(t)
	for range 20 {
		s.now = s.now.Add(time.Minute)
		for _, h := range s.hosts {
			h.reject(t)
		}
	}
	s.now = s.now.Add(poison.CondemnationTTL - time.Second)
	for _, h := range s.hosts {
		h.requireVerdict(t, poison.VerdictCondemned)
	}
	s.now = s.now.Add(time.Second)
	for _, h := range s.hosts {
		h.requireVerdict(t, poison.VerdictClear)
	}
}

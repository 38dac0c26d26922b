package site_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/standin/engine"
	"github.com/turmerictide/turmerictide/standin/hosts"
	"github.com/turmerictide/turmerictide/standin/storesite"
)

// leaveLimit is the stated time after which a leaving endpoint gets no new work.
const leaveLimit = 3 * time.Second

// requireNoNewWork sends requests after the limit and requires that an endpoint
// gets none of them.
func requireNoNewWork(t *testing.T, s *site.Site, p *site.Process) {
	t.Helper()
	before := countsOf(t, p).Decodes
	for i := range 24 {
		d := s.Daemons[i%len(s.Daemons)]
		requireWhole(t, post(t.Context(), t, chatURL(d), chatBody("short", 3, true), call{}), "short", 3)
	}
	require.Equal(t, before, countsOf(t, p).Decodes, "%s got new work", p.Name)
}

func decodeOf(s *site.Site, zone string) []*site.Process {
	var result []*site.Process
	for _, p := range s.Endpoints {
		if p.Role == ticket.RoleDecode && p.Zone == zone {
			result = append(result, p)
		}
	}
	return result
}

func withLeaving(change ticket.Ticket, name string) ticket.Ticket {
	for pool, value := range change.Pools {
		for i := range value.Endpoints {
			if value.Endpoints[i].Name == name {
				value.Endpoints[i].Leaving = true
				change.Pools = map[string]ticket.Pool{pool: value}
				change.Services, change.Callers = nil, nil
				return change
			}
		}
	}
	return change
}

func TestPromiseLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := start(t, site.Config{Zones: []string{"shubra"}, DaemonsPerZone: 3, DecodePerZone: 4})
	all := decodeOf(s, "shubra")
	apply(t, s, withLeaving(s.Ticket(2), all[0].Name), 0)
	time.Sleep(leaveLimit)
	requireNoNewWork(t, s, all[0])

	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{Outage: true}, nil)
	control(t, http.MethodPut, s.Hosts, "hosts", []hosts.Host{{Name: all[1].Name, AvailabilityZone: "shubra", State: "leaving"}}, nil)
	time.Sleep(leaveLimit)
	requireNoNewWork(t, s, all[1])

	// The owner is stopped while the endpoint begins to leave, and wakes up late.
	owner := ownerOf(t, s, "shubra")
	require.NoError(t, owner.Signal(syscall.SIGSTOP))
	control(t, http.MethodPut, all[2], "switches", engine.Switches{Leaving: true}, nil)
	time.Sleep(leaveLimit)
	require.NoError(t, owner.Signal(syscall.SIGCONT))
	eventually(t, "all daemons know each other again", func() bool { return len(aliveAt(t, owner)) == len(s.Daemons) })
	time.Sleep(leaveLimit)
	requireNoNewWork(t, s, all[2])
	requireWhole(t, post(t.Context(), t, chatURL(owner), chatBody("the last one serves", 5, true), call{}), "the last one serves", 5)
}

func ticketAt(t *testing.T, d *site.Process) ticket.Number {
	t.Helper()
	status, err := statusOf(t, d)
	if err != nil {
		return 0
	}
	return status.Ticket
}

func requireInForce(t *testing.T, daemons []*site.Process, number ticket.Number, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for _, d := range daemons {
		for ticketAt(t, d) < number {
			require.True(t, time.Now().Before(deadline), "ticket %d is not in force at %s within %s", number, d.Name, limit)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// The stated times in which an accepted ticket is in force everywhere.
const (
	ordinaryLimit = 3 * time.Second
	worstLimit    = 16 * time.Second
)

func TestPromiseAcceptedTicketIsInForceAndNeverReverts(t *testing.T) {
	s := start(t, site.Config{DaemonsPerZone: 3})
	change := func(number ticket.Number) ticket.Ticket {
		full := s.Ticket(number)
		return ticket.Ticket{Number: number, Callers: full.Callers}
	}
	apply(t, s, change(2), 0)
	requireInForce(t, s.Daemons, 2, ordinaryLimit)
	apply(t, s, change(2), 2)

	// The answer of the head's write is lost; the tool settles it by reading.
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{LoseAnswers: 2}, nil)
	apply(t, s, change(3), 0)
	requireInForce(t, s.Daemons, 3, worstLimit)

	// One zone is stopped, a ticket passes, and the zone wakes up.
	for _, d := range s.Daemons {
		if d.Zone == "maadi" {
			require.NoError(t, d.Signal(syscall.SIGSTOP))
		}
	}
	apply(t, s, change(4), 0)
	var awake []*site.Process
	for _, d := range s.Daemons {
		if d.Zone != "maadi" {
			awake = append(awake, d)
		}
	}
	requireInForce(t, awake, 4, worstLimit)
	for _, d := range s.Daemons {
		require.NoError(t, d.Signal(syscall.SIGCONT))
	}
	requireInForce(t, s.Daemons, 4, worstLimit)

	// With the store down a newcomer starts from its peers.
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{Outage: true}, nil)
	newcomer, err := s.StartDaemon("entry-shubra-9", "shubra")
	require.NoError(t, err)
	require.NoError(t, site.WaitFor("http://"+newcomer.Operator.String()+"/healthz", settle))
	requireInForce(t, []*site.Process{newcomer}, 4, worstLimit)
	requireWhole(t, post(t.Context(), t, chatURL(newcomer), chatBody("newcomer", 5, true), call{}), "newcomer", 5)
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{}, nil)

	// Readers die while a ticket passes.
	s.Daemons[0].Kill()
	s.Daemons[1].Kill()
	apply(t, s, change(5), 0)
	var left []*site.Process
	for _, d := range s.Daemons {
		if !isEnded(d) {
			left = append(left, d)
		}
	}
	requireInForce(t, left, 5, worstLimit)
	for _, d := range left {
		require.Equal(t, ticket.Number(5), ticketAt(t, d))
	}
}

func TestPromiseNewcomerWithoutStoreAndPeersIsNotReady(t *testing.T) {
	s := start(t, site.Config{Zones: []string{"shubra"}, DaemonsPerZone: 1})
	s.Store.Kill()
	s.Daemons[0].Kill()
	s.Daemons = nil
	alone, err := s.StartDaemon("entry-alone", "shubra")
	require.NoError(t, err)
	require.NoError(t, site.WaitFor("http://"+alone.Operator.String()+"/healthz", settle))
	a := post(t.Context(), t, chatURL(alone), chatBody("x", 1, false), call{})
	require.Equal(t, "not_ready", a.code)
}

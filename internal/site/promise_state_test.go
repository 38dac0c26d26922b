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

// leavingTimeout is the documented time after which a leaving endpoint receives no new
// requests.
const leavingTimeout = 3 * time.Second

// requireNoNewWork sends requests and checks that an endpoint receives none of them.
func requireNoNewWork(t *testing.T, s *site.Site, p *site.Process) {
	t.Helper()
	before := countsOf(t, p).Decodes
	for i := range 24 {
		d := s.Daemons[i%len(s.Daemons)]
		requireComplete(t, post(t.Context(), t, chatURL(d), chatBody("short", 3, true), callOptions{}), "short", 3)
	}
	require.Equal(t, before, countsOf(t, p).Decodes, "%s received new requests", p.Name)
}

func decodeEngines(s *site.Site, zone string) []*site.Process {
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
	s := startSite(t, site.Config{Zones: []string{"shubra"}, DaemonsPerZone: 3, DecodePerZone: 4})
	all := decodeEngines(s, "shubra")
	applyTicket(t, s, withLeaving(s.Ticket(2), all[0].Name), 0)
	time.Sleep(leavingTimeout)
	requireNoNewWork(t, s, all[0])

	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{Outage: true}, nil)
	control(t, http.MethodPut, s.Hosts, "hosts", []hosts.Host{{Name: all[1].Name, AvailabilityZone: "shubra", State: "leaving"}}, nil)
	time.Sleep(leavingTimeout)
	requireNoNewWork(t, s, all[1])

	// The owner is stopped when the endpoint starts to leave and is resumed later.
	owner := ownerOf(t, s, "shubra")
	require.NoError(t, owner.Signal(syscall.SIGSTOP))
	control(t, http.MethodPut, all[2], "switches", engine.Switches{Leaving: true}, nil)
	time.Sleep(leavingTimeout)
	require.NoError(t, owner.Signal(syscall.SIGCONT))
	eventually(t, "all daemons list each other as alive again", func() bool { return len(aliveHosts(t, owner)) == len(s.Daemons) })
	time.Sleep(leavingTimeout)
	requireNoNewWork(t, s, all[2])
	requireComplete(t, post(t.Context(), t, chatURL(owner), chatBody("the last one serves", 5, true), callOptions{}), "the last one serves", 5)
}

func ticketNumberOf(t *testing.T, d *site.Process) ticket.Number {
	t.Helper()
	status, err := statusOf(t, d)
	if err != nil {
		return 0
	}
	return status.Ticket
}

func requireTicketActive(t *testing.T, daemons []*site.Process, number ticket.Number, timeout time.Duration) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for _, d := range daemons {
		for ticketNumberOf(t, d) < number {
			require.True(t, time.Now().Before(deadline), "ticket %d is not active at %s within %s", number, d.Name, timeout)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// The documented times within which an accepted ticket is active on all daemons.
const (
	typicalActivationTimeout   = 3 * time.Second
	worstCaseActivationTimeout = 16 * time.Second
)

func TestPromiseAcceptedTicketIsInForceAndNeverReverts(t *testing.T) {
	s := startSite(t, site.Config{DaemonsPerZone: 3})
	change := func(number ticket.Number) ticket.Ticket {
		full := s.Ticket(number)
		return ticket.Ticket{Number: number, Callers: full.Callers}
	}
	applyTicket(t, s, change(2), 0)
	requireTicketActive(t, s.Daemons, 2, typicalActivationTimeout)
	applyTicket(t, s, change(2), 2)

	// The response to the write of the head is lost. The tool reads the head to find out
	// whether the write succeeded.
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{DropResponses: 2}, nil)
	applyTicket(t, s, change(3), 0)
	requireTicketActive(t, s.Daemons, 3, worstCaseActivationTimeout)

	// The daemons of one zone are stopped, a ticket is applied, and they are resumed.
	for _, d := range s.Daemons {
		if d.Zone == "maadi" {
			require.NoError(t, d.Signal(syscall.SIGSTOP))
		}
	}
	applyTicket(t, s, change(4), 0)
	var running []*site.Process
	for _, d := range s.Daemons {
		if d.Zone != "maadi" {
			running = append(running, d)
		}
	}
	requireTicketActive(t, running, 4, worstCaseActivationTimeout)
	for _, d := range s.Daemons {
		require.NoError(t, d.Signal(syscall.SIGCONT))
	}
	requireTicketActive(t, s.Daemons, 4, worstCaseActivationTimeout)

	// During a store outage a new daemon gets its state from its peers.
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{Outage: true}, nil)
	newcomer, err := s.StartDaemon("entry-shubra-9", "shubra")
	require.NoError(t, err)
	require.NoError(t, site.WaitForURL("http://"+newcomer.Operator.String()+"/healthz", settleTimeout))
	requireTicketActive(t, []*site.Process{newcomer}, 4, worstCaseActivationTimeout)
	requireComplete(t, post(t.Context(), t, chatURL(newcomer), chatBody("newcomer", 5, true), callOptions{}), "newcomer", 5)
	control(t, http.MethodPut, s.Store, "switches", storesite.Switches{}, nil)

	// Daemons are killed before a ticket is applied.
	s.Daemons[0].Kill()
	s.Daemons[1].Kill()
	applyTicket(t, s, change(5), 0)
	var remaining []*site.Process
	for _, d := range s.Daemons {
		if !hasExited(d) {
			remaining = append(remaining, d)
		}
	}
	requireTicketActive(t, remaining, 5, worstCaseActivationTimeout)
	for _, d := range remaining {
		require.Equal(t, ticket.Number(5), ticketNumberOf(t, d))
	}
}

func TestPromiseNewcomerWithoutStoreAndPeersIsNotReady(t *testing.T) {
	s := startSite(t, site.Config{Zones: []string{"shubra"}, DaemonsPerZone: 1})
	s.Store.Kill()
	s.Daemons[0].Kill()
	s.Daemons = nil
	isolated, err := s.StartDaemon("entry-alone", "shubra")
	require.NoError(t, err)
	require.NoError(t, site.WaitForURL("http://"+isolated.Operator.String()+"/healthz", settleTimeout))
	got := post(t.Context(), t, chatURL(isolated), chatBody("x", 1, false), callOptions{})
	require.Equal(t, "not_ready", got.code)
}

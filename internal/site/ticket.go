package site

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Names of the services and of the model of every site.
const (
	ModelService = "cone-assistant"
	PlainService = "booking-desk"
	Model        = "cone-plan-1"
)

// Ticket returns a ticket that configures the services, pools and callers of the site.
func (s *Site) Ticket(number ticket.Number) ticket.Ticket {
	t := ticket.Ticket{
		Number:   number,
		Services: map[string]ticket.Service{ModelService: modelService(), PlainService: plainService()},
		Pools:    map[string]ticket.Pool{},
		Callers: map[string]ticket.CallerGroup{"contractors": {Teams: []ticket.Team{
			{Name: "foremen", TokenSHA256: TokenHash(CallerToken), Ranks: []string{"urgent", "standard"}},
			{Name: "office", TokenSHA256: TokenHash(OfficeToken), Ranks: []string{"standard"}},
		}}},
	}
	for _, p := range s.Endpoints {
		s.addEndpoint(t.Pools, p)
	}
	return t
}

// teamsPerGroup keeps the encoded size of a caller group well below the largest value that
// the store accepts.
const teamsPerGroup = 1000

// TicketWithTeams returns the site's ticket with a number of additional teams, split into
// groups.
func (s *Site) TicketWithTeams(number ticket.Number, teams int) ticket.Ticket {
	t := s.Ticket(number)
	for i := range teams {
		name := fmt.Sprint("group-", i/teamsPerGroup)
		group := t.Callers[name]
		team := fmt.Sprint("team-", i)
		group.Teams = append(group.Teams, ticket.Team{Name: team, TokenSHA256: TokenHash(team), Ranks: []string{"standard"}})
		t.Callers[name] = group
	}
	return t
}

const applyTimeout = 30 * time.Second

// Apply applies a ticket. It returns an error if the ticket is not accepted.
func (s *Site) Apply(t ticket.Ticket) error {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	platform := store.NewGatewayStore([]string{"http://" + s.Store.Address.String()}, applyTimeout)
	result, err := ticket.Apply(ctx, platform, t, fmt.Sprint("site-", t.Number))
	if err != nil {
		return errors.Newf("apply ticket %d: %w", t.Number, err)
	}
	if result.Verdict != ticket.VerdictAccepted {
		return errors.Newf("ticket %d is not accepted: %s", t.Number, result.Verdict)
	}
	return nil
}

func modelService() ticket.Service {
	return ticket.Service{
		Name: ModelService, Kind: ticket.KindModel, Models: []string{Model},
		Ranks: []ticket.Rank{
			{Name: "urgent", FirstTokenTarget: ticket.Duration(2 * time.Second), TokenGapTarget: ticket.Duration(60 * time.Millisecond), Worth: 10, FloorShare: 0},
			{Name: "standard", FirstTokenTarget: ticket.Duration(8 * time.Second), TokenGapTarget: ticket.Duration(120 * time.Millisecond), Worth: 1, FloorShare: 0.2},
		},
		OutputTokens: 256, KVBytesPerToken: 1000, RetryShare: 0.1,
	}
}

func plainService() ticket.Service {
	return ticket.Service{
		Name: PlainService, Kind: ticket.KindPlain,
		Ranks: []ticket.Rank{
			{Name: "urgent", FirstTokenTarget: ticket.Duration(2 * time.Second), Worth: 10},
			{Name: "standard", FirstTokenTarget: ticket.Duration(5 * time.Second), Worth: 1, FloorShare: 0.2},
		},
		RetryShare: 0.1,
	}
}

func (s *Site) addEndpoint(pools map[string]ticket.Pool, p *Process) {
	service := ModelService
	if p.Role == ticket.RolePlain {
		service = PlainService
	}
	name := service + "-" + string(p.Role) + "-" + p.Zone
	pool := pools[name]
	pool.Service, pool.AvailabilityZone, pool.Role = service, p.Zone, p.Role
	pool.Endpoints = append(pool.Endpoints, ticket.Endpoint{
		Name: p.Name, Address: p.DialAddress(), Places: placesOf(p.Role), Pieces: 64,
		TokensPerSecond: 20000, Link: "link-" + p.Zone, LinkBytesPerSecond: 1e9,
	})
	pools[name] = pool
}

func placesOf(role ticket.Role) int {
	if role == ticket.RolePrefill {
		return 4
	}
	return 8
}

// WriteTicket writes a ticket to a JSON file and returns the path.
func (s *Site) WriteTicket(t ticket.Ticket) (string, error) {
	content, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return "", errors.Newf("encode ticket: %w", err)
	}
	path := filepath.Join(s.Config.Directory, "ticket.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return "", errors.Newf("write ticket: %w", err)
	}
	return path, nil
}

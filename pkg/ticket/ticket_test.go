package ticket_test

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
	"github.com/turmerictide/turmerictide/standin/storesite"
)

func newStore(t *testing.T) (*store.Store, *storesite.Store) {
	site := storesite.NewStore(time.Now)
	server := httptest.NewServer(site.Handler())
	t.Cleanup(server.Close)
	return store.NewGatewayStore([]string{server.URL}, time.Second), site
}

func loadExample(t *testing.T, path string) ticket.Ticket {
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	parsed, err := ticket.Parse(content)
	require.NoError(t, err)
	return parsed
}

const cairoTicketPath = "../../examples/cairo/ticket-1.json"

func TestExamplesAreAccepted(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/ticket-*.json")
	require.NoError(t, err)
	require.Len(t, paths, 2)
	for _, path := range paths {
		s, _ := newStore(t)
		result, err := ticket.Apply(t.Context(), s, loadExample(t, path), "a")
		require.NoError(t, err, path)
		require.Equal(t, ticket.VerdictAccepted, result.Verdict)
	}
}

func TestCheckListsAllFaults(t *testing.T) {
	invalid := loadExample(t, cairoTicketPath)
	invalid.Number = 0
	pool := invalid.Pools["cone-assistant-decode-shubra"]
	pool.Endpoints[0].Places = 0
	pool.Endpoints[1].Name = pool.Endpoints[0].Name
	err := invalid.Check()
	require.ErrorContains(t, err, "number: must be at least 1")
	require.ErrorContains(t, err, "endpoints[0].places: must be above 0")
	require.ErrorContains(t, err, "endpoints[1].name")
}

func TestOneOfManyCompetingTicketsWins(t *testing.T) {
	s, _ := newStore(t)
	var mu sync.Mutex
	verdicts := map[ticket.Verdict]int{}
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			result, err := ticket.Apply(t.Context(), s, loadExample(t, cairoTicketPath), string(rune('a'+i)))
			mu.Lock()
			defer mu.Unlock()
			require.NoError(t, err)
			verdicts[result.Verdict]++
		})
	}
	wg.Wait()
	require.Equal(t, map[ticket.Verdict]int{ticket.VerdictAccepted: 1, ticket.VerdictRefused: 15}, verdicts)
}

func TestLostResponsesAreSettledByReadingHead(t *testing.T) {
	s, site := newStore(t)
	site.SetSwitches(storesite.Switches{DropResponses: 30})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := ticket.Apply(ctx, s, loadExample(t, cairoTicketPath), "a")
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
	site.SetSwitches(storesite.Switches{})
	// Only the response to the write of the head is lost.
	commit := s.Commit
	s.Commit = func(ctx context.Context, c store.Commit) (store.CommitResult, error) {
		if len(c.Compares) > 0 {
			site.SetSwitches(storesite.Switches{DropResponses: 1})
		}
		return commit(ctx, c)
	}
	result, err := ticket.Apply(ctx, s, loadExample(t, cairoTicketPath), "b")
	require.NoError(t, err)
	require.Equal(t, ticket.VerdictAccepted, result.Verdict)
	require.Equal(t, "b", result.Head.Attempt)
}

func TestFollowerIgnoresOlderHead(t *testing.T) {
	s, _ := newStore(t)
	first, err := ticket.Apply(t.Context(), s, loadExample(t, cairoTicketPath), "a")
	require.NoError(t, err)
	second := ticket.Ticket{Number: 2, Remove: []string{"pool/booking-desk-maadi"}}
	result, err := ticket.Apply(t.Context(), s, second, "b")
	require.NoError(t, err)
	follower := ticket.NewFollower(nil)
	require.NoError(t, follower.Follow(t.Context(), time.Now(), result.Head, ticket.NewStoreSource(s)))
	require.NoError(t, follower.Follow(t.Context(), time.Now(), first.Head, ticket.NewStoreSource(s)))
	require.Equal(t, ticket.Number(2), follower.Number())
	require.NotContains(t, follower.Current().Pools, "booking-desk-maadi")
}

func TestDrainChangesOnePool(t *testing.T) {
	s, _ := newStore(t)
	_, err := ticket.Apply(t.Context(), s, loadExample(t, cairoTicketPath), "a")
	require.NoError(t, err)
	state, err := ticket.ReadState(t.Context(), s)
	require.NoError(t, err)
	next, err := state.LeavingTicket("decode-shubra-2", true)
	require.NoError(t, err)
	changes, err := next.Changes(state)
	require.NoError(t, err)
	require.Equal(t, []ticket.Change{{Object: "pool/cone-assistant-decode-shubra", Kind: ticket.ChangeChanged}}, changes)
	result, err := ticket.Apply(t.Context(), s, next, "b")
	require.NoError(t, err)
	require.Equal(t, ticket.VerdictAccepted, result.Verdict)
	state, err = ticket.ReadState(t.Context(), s)
	require.NoError(t, err)
	require.True(t, state.Pools["cone-assistant-decode-shubra"].Endpoints[1].Leaving)
	_, err = state.LeavingTicket("nowhere", true)
	require.ErrorContains(t, err, "nowhere")
}

func TestInconsistentStateIsRejected(t *testing.T) {
	s, _ := newStore(t)
	_, err := ticket.Apply(t.Context(), s, loadExample(t, cairoTicketPath), "a")
	require.NoError(t, err)
	_, err = ticket.Apply(t.Context(), s, ticket.Ticket{Number: 2, Remove: []string{"service/cone-assistant"}}, "b")
	require.ErrorContains(t, err, "no service \"cone-assistant\"")
}

func FuzzParse(f *testing.F) {
	content, err := os.ReadFile(cairoTicketPath)
	require.NoError(f, err)
	f.Add(content)
	f.Add([]byte(`{"number":1,"remove":["pool/x"]}`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		if parsed, err := ticket.Parse(content); err == nil {
			_ = parsed.Check()
		}
	})
}

package directory_test

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/route"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// format reads a configuration from its number, and an endpoint from
// "service,state".
var format = directory.Format{
	ConfigKey: "config", EndpointPrefix: "endpoints/",
	DecodeConfig: func(value []byte) (directory.Config, error) {
		number, err := strconv.ParseUint(string(value), 10, 64)
		return directory.Config{Number: ticket.Number(number), Routes: route.NewTable(nil)}, err
	},
	DecodeEndpoint: func(name string, value []byte) (directory.Endpoint, error) {
		service, state, ok := strings.Cut(string(value), ",")
		if !ok {
			return directory.Endpoint{}, errors.New("entry cannot be read")
		}
		return directory.Endpoint{
			Name: name, Service: service, Leaving: state == "leaving", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}, nil
	},
}

type world struct {
	directory *directory.Directory
	now       time.Time
	content   store.Content
	changes   int
}

func newWorld() *world {
	w := &world{now: time.Unix(1_800_000_000, 0), content: store.Content{Entries: map[string]store.Entry{}}}
	w.directory = directory.New(format, func(*directory.State) { w.changes++ }, func() time.Time { return w.now }, logr.Discard())
	return w
}

// put writes an entry and passes the content on.
func (w *world) put(key, value string) {
	w.content.Revision++
	w.content.Entries[key] = store.Entry{Key: key, Value: []byte(value), Revision: w.content.Revision}
	w.directory.Update(w.content)
}

func (w *world) remove(key string) {
	delete(w.content.Entries, key)
	w.directory.Update(w.content)
}

func TestNothingIsInForceBeforeTheFirstConfiguration(t *testing.T) {
	w := newWorld()
	w.put("endpoints/a", "desk,ready")
	require.Nil(t, w.directory.Current())
	w.put("config", "3")
	require.Len(t, w.directory.Current().Serving("desk"), 1)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld()
	w.put("config", "7")
	w.put("config", "4")
	require.EqualValues(t, 7, w.directory.Number())
	w.put("config", "nonsense")
	require.EqualValues(t, 7, w.directory.Number())
	w.put("config", "9")
	require.EqualValues(t, 9, w.directory.Number())
}

func TestEntryThatCannotBeReadHoldsUpNothing(t *testing.T) {
	w := newWorld()
	w.put("config", "1")
	w.put("endpoints/bad", "nonsense")
	w.put("endpoints/good", "desk,ready")
	require.Len(t, w.directory.Current().Endpoints, 1)
	w.put("endpoints/good", "nonsense")
	require.Empty(t, w.directory.Current().Endpoints, "an entry that another writer spoiled names no endpoint")
}

func TestLeavingEndpointTakesNoNewWork(t *testing.T) {
	w := newWorld()
	w.put("config", "1")
	w.put("endpoints/a", "desk,ready")
	a := w.directory.Current().Endpoints["a"]
	require.True(t, w.directory.Current().IsServing(a))
	w.put("endpoints/a", "desk,leaving")
	require.Empty(t, w.directory.Current().Serving("desk"))
	require.False(t, w.directory.Current().IsServing(a))
}

func TestHeartbeatsChangeNothing(t *testing.T) {
	w := newWorld()
	w.put("config", "1")
	w.put("endpoints/a", "desk,ready")
	before := w.changes
	w.put("endpoints/a", "desk,ready")
	require.Equal(t, before, w.changes)
}

func TestMissingEndpointIsGoneAtOnce(t *testing.T) {
	w := newWorld()
	w.put("config", "1")
	w.put("endpoints/a", "desk,ready")
	w.remove("endpoints/a")
	require.Empty(t, w.directory.Current().Endpoints)
}

func TestEndpointMissingAfterAnOutageMayReturn(t *testing.T) {
	for _, returns := range []bool{true, false} {
		w := newWorld()
		w.put("config", "1")
		w.put("endpoints/a", "desk,ready")
		w.content.LastFailure = w.now
		w.remove("endpoints/a")
		require.Len(t, w.directory.Current().Endpoints, 1)
		w.now = w.now.Add(1900 * time.Millisecond)
		w.directory.Tick(w.now)
		require.Len(t, w.directory.Current().Endpoints, 1)
		if returns {
			w.put("endpoints/a", "desk,ready")
		}
		w.now = w.now.Add(200 * time.Millisecond)
		w.directory.Tick(w.now)
		require.Equal(t, returns, len(w.directory.Current().Endpoints) == 1)
	}
}

func TestLifeThatLeavesByItsWordLeavesUntilItEnds(t *testing.T) {
	w := newWorld()
	w.put("config", "1")
	w.put("endpoints/a", "desk,ready")
	require.True(t, w.directory.Leave(w.now, directory.Life{Name: "a"}))
	require.False(t, w.directory.Leave(w.now, directory.Life{Name: "a"}), "that is no news")
	require.Empty(t, w.directory.Current().Serving("desk"))
	w.put("endpoints/a", "desk,ready")
	require.Empty(t, w.directory.Current().Serving("desk"), "whatever its entry says")
	delete(w.content.Entries, "endpoints/a")
	w.put("config", "2")
	w.put("endpoints/a", "desk,ready")
	require.Len(t, w.directory.Current().Serving("desk"), 1, "another life has the name")
}

func TestLifeIsKnownToLeaveBeforeItsEntryIs(t *testing.T) {
	w := newWorld()
	w.put("config", "1")
	require.True(t, w.directory.Leave(w.now, directory.Life{Name: "a"}))
	require.Len(t, w.directory.Leaving(), 1)
	w.put("endpoints/a", "desk,ready")
	require.Empty(t, w.directory.Current().Serving("desk"))
}

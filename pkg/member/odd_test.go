package member_test

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/store"
)

const membersPrefix = "turmerictide/members/"

// oddRegistrations are entries of the daemon entry-2 that it did not write. The fields are those of
// wireMember.
func oddRegistrations() map[string]any {
	address, incarnation := []byte{10, 0, 0, 2}, uint64(member.NewIncarnation(epoch))
	deep := any("x")
	for range 40 {
		deep = []any{deep}
	}
	return map[string]any{
		"null": nil, "text": "x", "empty": []any{}, "nested": deep, "map": map[string]int{"a": 1},
		"no address":   []any{"entry-2", "a", []byte{}, 80, incarnation, 0, 0},
		"odd address":  []any{"entry-2", "a", []byte{1, 2, 3}, 80, incarnation, 0, 0},
		"port 0":       []any{"entry-2", "a", address, 0, incarnation, 0, 0},
		"port 70000":   []any{"entry-2", "a", address, 70000, incarnation, 0, 0},
		"negative":     []any{"entry-2", "a", address, 80, -1, 0, 0},
		"no host":      []any{"", "a", address, 80, incarnation, 0, 0},
		"another host": []any{"entry-3", "a", address, 80, incarnation, 0, 0},
		"dead":         []any{"entry-2", "a", address, 80, incarnation, 3, 0},
		"odd state":    []any{"entry-2", "a", address, 80, incarnation, 77, 0},
		"processors":   []any{"entry-2", "a", address, 80, incarnation, 0, uint32(math.MaxUint32)},
		"fraction":     []any{"entry-2", "a", address, 80, 1.5, 0, 0},
	}
}

func TestOddEntryOfADaemonIsNotUsed(t *testing.T) {
	sound := registerMember(t, newMember(5))
	for name, value := range oddRegistrations() {
		encoded, err := cbor.Marshal(value)
		require.NoError(t, err)
		r := member.NewRegistration(&store.Store{}, newMember(0), logr.Discard())
		odd := store.Entry{Key: membersPrefix + "entry-2", Value: encoded, Revision: 2}
		own := store.Entry{Key: membersPrefix + "entry-0", Value: encoded, Revision: 3}
		nameless := store.Entry{Key: membersPrefix, Value: encoded, Revision: 4}
		others := r.Update(store.Content{Entries: map[string]store.Entry{sound.Key: sound, odd.Key: odd, own.Key: own, nameless.Key: nameless}})
		require.Equal(t, []member.Member{newMember(5)}, others, name)
	}
}

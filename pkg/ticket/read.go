package ticket

import (
	"bytes"
	"context"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// readValues returns the encoded value of each object that a head lists.
func readValues(ctx context.Context, s *store.Store, head Head) (map[ObjectName][]byte, error) {
	source := NewStoreSource(s)
	values := make(map[ObjectName][]byte, len(head.Objects))
	for name, version := range head.Objects {
		value, err := source.Object(ctx, name, version)
		if err != nil {
			return nil, errors.Newf("read %s: %w", name, err)
		}
		values[name] = value
	}
	return values, nil
}

// ReadState returns the state of the store's head.
func ReadState(ctx context.Context, s *store.Store) (*State, error) {
	head, _, err := ReadHead(ctx, s)
	if err != nil {
		return nil, errors.Newf("read head: %w", err)
	}
	values, err := readValues(ctx, s, head)
	if err != nil {
		return nil, err
	}
	return NewState(head, values)
}

// ChangeKind is the effect of a ticket on an object.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeChanged ChangeKind = "changed"
	ChangeSame    ChangeKind = "same"
	ChangeRemoved ChangeKind = "removed"
)

// Change is the effect of a ticket on one object.
type Change struct {
	Object ObjectName `json:"object"`
	Kind   ChangeKind `json:"kind"`
}

// Changes returns the effect that the ticket would have on each object it contains or
// removes, in the order of their names.
func (t Ticket) Changes(state *State) ([]Change, error) {
	objects, err := t.objects()
	if err != nil {
		return nil, err
	}
	var changes []Change
	for name, value := range objects {
		current, ok := state.values[name]
		kind := ChangeChanged
		switch {
		case !ok:
			kind = ChangeAdded
		case bytes.Equal(current, value):
			kind = ChangeSame
		}
		changes = append(changes, Change{Object: name, Kind: kind})
	}
	for _, name := range t.Remove {
		changes = append(changes, Change{Object: ObjectName(name), Kind: ChangeRemoved})
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Object < changes[j].Object })
	return changes, nil
}

// LeavingTicket returns the next ticket, which only sets or clears the leaving flag of
// an endpoint.
func (s *State) LeavingTicket(endpoint string, leaving bool) (Ticket, error) {
	t := Ticket{Number: s.Head.Number + 1, Pools: map[string]Pool{}}
	for name, pool := range s.Pools {
		for i := range pool.Endpoints {
			if pool.Endpoints[i].Name != endpoint {
				continue
			}
			pool.Endpoints = append([]Endpoint(nil), pool.Endpoints...)
			pool.Endpoints[i].Leaving = leaving
			t.Pools[name] = pool
		}
	}
	if len(t.Pools) == 0 {
		return Ticket{}, errors.Newf("no pool has an endpoint %q", endpoint)
	}
	return t, nil
}

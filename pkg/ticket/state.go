package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// State is the complete operators' state after one ticket. It is immutable.
type State struct {
	Head     Head
	Services map[string]Service
	Pools    map[string]Pool

	values         map[ObjectName][]byte
	serviceByModel map[string]string
	teamByDigest   map[[sha256.Size]byte]team
	internedRanks  map[string][]string
	serviceNames   []string
}

// team is the stored form of a Team. The digest is its map key, and teams with equal
// ranks share one slice.
type team struct {
	name  string
	ranks []string
}

// NewState builds a state from a head and the encoded value of each object.
func NewState(head Head, values map[ObjectName][]byte) (*State, error) {
	s := &State{
		Head:           head,
		Services:       map[string]Service{},
		Pools:          map[string]Pool{},
		values:         values,
		serviceByModel: map[string]string{},
		teamByDigest:   map[[sha256.Size]byte]team{},
		internedRanks:  map[string][]string{},
	}
	for name, value := range values {
		if err := s.add(name, value); err != nil {
			return nil, errors.Newf("build state %d: %w", head.Number, err)
		}
	}
	sort.Strings(s.serviceNames)
	return s, nil
}

func (s *State) add(name ObjectName, value []byte) error {
	kind, rest, _ := strings.Cut(string(name), "/")
	switch kind + "/" {
	case servicePrefix:
		var service Service
		if err := json.Unmarshal(value, &service); err != nil {
			return errors.Newf("decode %s: %w", name, err)
		}
		s.Services[rest] = service
		s.serviceNames = append(s.serviceNames, rest)
		for _, model := range service.Models {
			s.serviceByModel[model] = rest
		}
	case poolPrefix:
		var pool Pool
		if err := json.Unmarshal(value, &pool); err != nil {
			return errors.Newf("decode %s: %w", name, err)
		}
		s.Pools[rest] = pool
	case callersPrefix:
		return s.addCallers(name, value)
	default:
		return errors.Newf("object %s has an unknown kind", name)
	}
	return nil
}

func (s *State) addCallers(name ObjectName, value []byte) error {
	var group CallerGroup
	if err := json.Unmarshal(value, &group); err != nil {
		return errors.Newf("decode %s: %w", name, err)
	}
	for _, t := range group.Teams {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(t.TokenSHA256)); err != nil {
			return errors.Newf("decode token digest of %s: %w", t.Name, err)
		}
		s.teamByDigest[digest] = team{name: t.Name, ranks: s.internRanks(t.Ranks)}
	}
	return nil
}

func (s *State) internRanks(ranks []string) []string {
	key := strings.Join(ranks, "\n")
	if shared, ok := s.internedRanks[key]; ok {
		return shared
	}
	s.internedRanks[key] = ranks
	return ranks
}

// Check returns the faults that can only be found in the complete state, or nil.
func (s *State) Check() error {
	c := &checker{}
	for name, pool := range s.Pools {
		service, ok := s.Services[pool.Service]
		c.require(ok, "pools."+name+".service", "no service %q", pool.Service)
		if ok {
			plain := pool.Role == RolePlain
			c.require(plain == (service.Kind == KindPlain), "pools."+name+".role", "%s does not fit a %s service", pool.Role, service.Kind)
		}
	}
	models := map[string]string{}
	for _, name := range s.serviceNames {
		for _, model := range s.Services[name].Models {
			other, taken := models[model]
			c.require(!taken, "services."+name+".models", "model %q belongs to service %q", model, other)
			models[model] = name
		}
	}
	return c.err()
}

// ServiceOfModel returns the service that serves a model.
func (s *State) ServiceOfModel(model string) (Service, bool) {
	name, ok := s.serviceByModel[model]
	if !ok {
		return Service{}, false
	}
	service, ok := s.Services[name]
	return service, ok
}

// Models returns all model names in alphabetical order.
func (s *State) Models() []string {
	result := make([]string, 0, len(s.serviceByModel))
	for model := range s.serviceByModel {
		result = append(result, model)
	}
	sort.Strings(result)
	return result
}

// TeamOfToken returns the team with a bearer token.
func (s *State) TeamOfToken(token string) (Team, bool) {
	found, ok := s.teamByDigest[sha256.Sum256([]byte(token))]
	return Team{Name: found.name, Ranks: found.ranks}, ok
}

// TeamCount returns the number of teams.
func (s *State) TeamCount() int {
	return len(s.teamByDigest)
}

// Object returns the encoded value of an object if the state contains that version.
func (s *State) Object(name ObjectName, version Version) ([]byte, bool) {
	if s.Head.Objects[name] != version {
		return nil, false
	}
	value, ok := s.values[name]
	return value, ok
}

// RankIndex returns the position of a rank in a service, 0 the most urgent.
func (s Service) RankIndex(name string) (int, bool) {
	for i, rank := range s.Ranks {
		if rank.Name == name {
			return i, true
		}
	}
	return 0, false
}

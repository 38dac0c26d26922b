package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// State is the whole of the operators' state after one ticket. It is immutable.
type State struct {
	Head     Head
	Services map[string]Service
	Pools    map[string]Pool

	values   map[ObjectName][]byte
	models   map[string]string
	teams    map[[sha256.Size]byte]team
	ranks    map[string][]string
	services []string
}

// team is a Team as it is kept: without its digest, which is its key, and with
// one slice for all teams of the same ranks.
type team struct {
	name  string
	ranks []string
}

// NewState builds a state from a head and the encoded value of each object.
func NewState(head Head, values map[ObjectName][]byte) (*State, error) {
	s := &State{
		Head:     head,
		Services: map[string]Service{},
		Pools:    map[string]Pool{},
		values:   values,
		models:   map[string]string{},
		teams:    map[[sha256.Size]byte]team{},
		ranks:    map[string][]string{},
	}
	for name, value := range values {
		if err := s.add(name, value); err != nil {
			return nil, errors.Newf("build state %d: %w", head.Number, err)
		}
	}
	sort.Strings(s.services)
	return s, nil
}

func (s *State) add(name ObjectName, value []byte) error {
	kind, rest, _ := strings.Cut(string(name), "/")
	switch kind + "/" {
	case objectService:
		var service Service
		if err := json.Unmarshal(value, &service); err != nil {
			return errors.Newf("decode %s: %w", name, err)
		}
		s.Services[rest] = service
		s.services = append(s.services, rest)
		for _, model := range service.Models {
			s.models[model] = rest
		}
	case objectPool:
		var pool Pool
		if err := json.Unmarshal(value, &pool); err != nil {
			return errors.Newf("decode %s: %w", name, err)
		}
		s.Pools[rest] = pool
	case objectCallers:
		return s.addCallers(name, value)
	default:
		return errors.Newf("object %s is of no known kind", name)
	}
	return nil
}

func (s *State) addCallers(name ObjectName, value []byte) error {
	var group CallerGroup
	if err := json.Unmarshal(value, &group); err != nil {
		return errors.Newf("decode %s: %w", name, err)
	}
	for _, member := range group.Teams {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(member.TokenSHA256)); err != nil {
			return errors.Newf("decode token digest of %s: %w", member.Name, err)
		}
		s.teams[digest] = team{name: member.Name, ranks: s.sharedRanks(member.Ranks)}
	}
	return nil
}

func (s *State) sharedRanks(ranks []string) []string {
	key := strings.Join(ranks, "\n")
	if shared, ok := s.ranks[key]; ok {
		return shared
	}
	s.ranks[key] = ranks
	return ranks
}

// Check returns the faults that only the whole state shows, or nil.
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
	for _, name := range s.services {
		for _, model := range s.Services[name].Models {
			other, taken := models[model]
			c.require(!taken, "services."+name+".models", "model %q belongs to service %q", model, other)
			models[model] = name
		}
	}
	return c.result()
}

// ServiceOfModel returns the service that serves a model.
func (s *State) ServiceOfModel(model string) (Service, bool) {
	name, ok := s.models[model]
	if !ok {
		return Service{}, false
	}
	service, ok := s.Services[name]
	return service, ok
}

// Models returns all model names in order.
func (s *State) Models() []string {
	result := make([]string, 0, len(s.models))
	for model := range s.models {
		result = append(result, model)
	}
	sort.Strings(result)
	return result
}

// TeamOfToken returns the team whose bearer token this is.
func (s *State) TeamOfToken(token string) (Team, bool) {
	kept, ok := s.teams[sha256.Sum256([]byte(token))]
	return Team{Name: kept.name, Ranks: kept.ranks}, ok
}

// Teams returns the number of teams.
func (s *State) Teams() int {
	return len(s.teams)
}

// Object returns the encoded value of an object if its version is in force.
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

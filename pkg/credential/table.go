package credential

import (
	"maps"
	"slices"
)

// Holder is a team with its keys.
type Holder struct {
	Team Team
	Keys []Digest
}

// Table contains the teams of a configuration. It is immutable.
type Table struct {
	teams []Team
	// teamByName contains the indexes of the teams in teams.
	teamByName map[string]int
	// teamByKey contains the indexes of the teams in teams.
	teamByKey map[Digest]int
	// priorities are the distinct priorities of the teams. allHavePriority is true if there are teams
	// and each of them has one.
	priorities      []int
	allHavePriority bool
	// hasLimits is true if a team has a rate limit.
	hasLimits bool
}

// Conflict names two teams that hold the same key. It belongs to neither.
type Conflict struct {
	First, Second string
}

// NewTable returns the Table of teams and the pairs of teams with keys in conflict, each pair once.
// Of two teams with the same name, the first one counts, with the keys of both.
func NewTable(holders []Holder) (*Table, []Conflict) {
	keys := 0
	for _, h := range holders {
		keys += len(h.Keys)
	}
	t := &Table{teams: make([]Team, 0, len(holders)), teamByKey: make(map[Digest]int, keys), allHavePriority: len(holders) > 0}
	var conflicts []Conflict
	isReported := map[Conflict]bool{}
	indexes := make(map[string]int, len(holders))
	contested := map[Digest]bool{}
	priorities := map[int]bool{}
	for _, h := range holders {
		index, ok := indexes[h.Team.Name]
		if !ok {
			index = len(t.teams)
			indexes[h.Team.Name] = index
			t.teams = append(t.teams, h.Team)
			t.allHavePriority = t.allHavePriority && h.Team.HasPriority
			t.hasLimits = t.hasLimits || h.Team.Limit.Rate > 0
			if h.Team.HasPriority {
				priorities[h.Team.Priority] = true
			}
		}
		for _, key := range h.Keys {
			if other, ok := t.teamByKey[key]; ok && other != index {
				conflict := Conflict{First: t.teams[other].Name, Second: h.Team.Name}
				if !isReported[conflict] {
					isReported[conflict] = true
					conflicts = append(conflicts, conflict)
				}
				contested[key] = true
			}
			t.teamByKey[key] = index
		}
	}
	for key := range contested {
		delete(t.teamByKey, key)
	}
	t.teamByName = indexes
	// Without spare capacity, a caller that appends to the slice does not write to it.
	t.priorities = slices.Clip(slices.Sorted(maps.Keys(priorities)))
	return t, conflicts
}

// HasLimits reports whether a team has a rate limit.
func (t *Table) HasLimits() bool { return t.hasLimits }

// Identify returns the team that holds a key.
func (t *Table) Identify(key Digest) (Team, bool) {
	index, ok := t.teamByKey[key]
	if !ok {
		return Team{}, false
	}
	return t.teams[index], true
}

// Team returns the team with a name.
func (t *Table) Team(name string) (Team, bool) {
	index, ok := t.teamByName[name]
	if !ok {
		return Team{}, false
	}
	return t.teams[index], true
}

// Teams returns all teams. The slice must not be modified.
func (t *Table) Teams() []Team {
	return t.teams
}

// Priorities returns the priorities that the requests of a route with a priority may have. The slice
// must not be modified.
func (t *Table) Priorities(priority int) []int {
	if t.allHavePriority || slices.Contains(t.priorities, priority) {
		return t.priorities
	}
	return append(slices.Clone(t.priorities), priority)
}

package poison_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/poison"
)

const (
	// partWindow is the time after the fifth crash from which maxLatePartRequests applies. From
	// twice that time, sound requests with the same first part must be served.
	partWindow          = 3 * time.Second
	freeCrashes         = 5
	maxLatePartRequests = 3
	// crashDowntime is the time until a crashed endpoint is back.
	crashDowntime = 3200 * time.Millisecond
)

// partLoad is a load of which some requests contain a part that crashes endpoints.
type partLoad struct {
	hosts, endpoints int
	// rate is the number of requests a second, badShare the fraction with a bad part.
	rate, badShare float64
	// firstParts and badParts are the numbers of different first and bad parts.
	firstParts, badParts int
	// lostShare is the fraction of the messages between hosts that are lost.
	lostShare float64
	// killAllAt is the time at which all hosts restart, 0 if they do not. Records that were
	// written to the store are read again.
	killAllAt time.Duration
	// failAllAt is the time at which all endpoints crash by themselves, 0 if they do not.
	failAllAt time.Duration
}

// partSimulation runs a load against one PartRegister for each host.
type partSimulation struct {
	load      partLoad
	random    *rand.Rand
	now       time.Time
	events    eventQueue
	registers []*poison.PartRegister
	// generation changes when all hosts restart.
	generation int
	stored     map[poison.Part][]byte
	endpoints  []*partEndpoint
	requests   int
	// crashes are the times of the crashes by bad requests, late the bad requests that were
	// sent after the window, by part.
	crashes map[poison.Part][]time.Time
	late    map[poison.Part]int
	// soundSent and soundServed count the sound requests after the second window.
	soundSent, soundServed int
}

type partEndpoint struct {
	name      string
	born      time.Time
	downUntil time.Time
	runs      map[*partRun]bool
}

type partRun struct {
	host, request int
	parts         []poison.Part
	isolated      bool
	startedAt     time.Time
	survived      bool
	born          time.Time
}

type simulatedEvent struct {
	at     time.Time
	number int
	run    func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *partSimulation) after(delay time.Duration, run func()) {
	s.requests++
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(delay), number: s.requests, run: run})
}

func (s *partSimulation) delay(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func simulatePartLoad(load partLoad, seed uint64, length time.Duration) *partSimulation {
	s := &partSimulation{
		load: load, random: rand.New(rand.NewPCG(seed, 7)), now: epoch, stored: map[poison.Part][]byte{},
		crashes: map[poison.Part][]time.Time{}, late: map[poison.Part]int{},
	}
	for range load.hosts {
		s.registers = append(s.registers, poison.NewPartRegister())
	}
	for i := range load.endpoints {
		s.endpoints = append(s.endpoints, &partEndpoint{name: fmt.Sprint("decode-", i), born: epoch, runs: map[*partRun]bool{}})
	}
	for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / load.rate) {
		isBad := at > 4*time.Second && s.random.Float64() < load.badShare
		s.after(at, func() { s.arrive(isBad) })
	}
	if load.killAllAt > 0 {
		s.after(load.killAllAt, s.restartHosts)
	}
	if load.failAllAt > 0 {
		s.after(load.failAllAt, func() {
			for _, e := range s.endpoints {
				s.crash(e)
			}
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *partSimulation) restartHosts() {
	s.generation++
	for i := range s.registers {
		s.registers[i] = poison.NewPartRegister()
		for _, payload := range s.stored {
			if record, err := poison.DecodePartRecord(s.now, payload); err == nil {
				s.registers[i].Apply(s.now, record)
			}
		}
	}
}

// broadcast sends a record to the other hosts.
func (s *partSimulation) broadcast(from int, record poison.PartRecord) {
	payload, err := poison.EncodePartRecord(s.now, record)
	if err != nil {
		panic(err)
	}
	generation := s.generation
	for i := range s.registers {
		if i == from || s.random.Float64() < s.load.lostShare {
			continue
		}
		s.after(s.delay(2*time.Millisecond, 250*time.Millisecond), func() {
			if record, err := poison.DecodePartRecord(s.now, payload); err == nil && generation == s.generation {
				s.registers[i].Apply(s.now, record)
			}
		})
	}
}

// isLate reports whether the window after the fifth crash by a part has passed.
func (s *partSimulation) isLate(bad poison.Part, windows time.Duration) bool {
	crashes := s.crashes[bad]
	if s.generation > 0 && s.now.Sub(epoch.Add(s.load.killAllAt)) < windows*partWindow {
		return false
	}
	return len(crashes) >= freeCrashes && s.now.Sub(crashes[freeCrashes-1]) > windows*partWindow
}

// verdict returns the verdict of a host on a prompt. A condemned one is stored, as a daemon
// does when it rejects the request.
func (s *partSimulation) verdict(host int, parts []poison.Part) poison.Verdict {
	verdict, part, _ := s.registers[host].Verdict(s.now, parts)
	if verdict == poison.VerdictCondemned {
		if record, ok := s.registers[host].RecordRejection(s.now, part); ok {
			s.broadcast(host, record)
			s.stored[part], _ = poison.EncodePartRecord(s.now, record)
		}
	}
	return verdict
}

func (s *partSimulation) arrive(isBad bool) {
	host := s.random.IntN(len(s.registers))
	parts := []poison.Part{poison.NewPart(fmt.Sprint("first ", s.random.IntN(s.load.firstParts)))}
	var bad poison.Part
	if isBad {
		bad = poison.NewPart(fmt.Sprint("bad ", s.random.IntN(s.load.badParts)))
		parts = append(parts, bad)
	}
	s.requests++
	run := &partRun{host: host, request: s.requests, parts: parts}
	isCounted := !isBad && s.now.Sub(epoch) > 4*time.Second+2*partWindow+crashDowntime
	if isCounted {
		s.soundSent++
	}
	verdict := s.verdict(host, parts)
	if verdict == poison.VerdictCondemned {
		return
	}
	run.isolated = verdict == poison.VerdictSuspect
	if isBad && s.isLate(bad, 1) {
		s.late[bad]++
	}
	if isCounted {
		s.soundServed++
	}
	generation := s.generation
	s.after(s.delay(30*time.Millisecond, 150*time.Millisecond), func() {
		if generation == s.generation && s.verdict(host, parts) != poison.VerdictCondemned {
			s.decode(run, bad)
		}
	})
}

// chooseEndpoint returns the least used endpoint. A suspect gets one without other suspects.
func (s *partSimulation) chooseEndpoint(run *partRun) *partEndpoint {
	var best *partEndpoint
	for _, i := range s.random.Perm(len(s.endpoints)) {
		e := s.endpoints[i]
		hasSuspect := false
		for other := range e.runs {
			hasSuspect = hasSuspect || other.isolated
		}
		if s.now.Before(e.downUntil) || (run.isolated && hasSuspect) {
			continue
		}
		if best == nil || len(e.runs) < len(best.runs) {
			best = e
		}
	}
	return best
}

func (s *partSimulation) decode(run *partRun, bad poison.Part) {
	e := s.chooseEndpoint(run)
	if e == nil {
		return
	}
	run.startedAt, run.born = s.now, e.born
	e.runs[run] = true
	if bad != 0 {
		s.after(s.delay(40*time.Millisecond, 130*time.Millisecond), func() {
			if e.runs[run] {
				s.crashes[bad] = append(s.crashes[bad], s.now)
				s.crash(e)
			}
		})
		return
	}
	s.after(s.delay(300*time.Millisecond, 400*time.Millisecond), func() {
		if e.runs[run] {
			run.survived = true
			if record, ok := s.registers[run.host].RecordSurvival(decodeScope, run.parts, run.startedAt); ok {
				s.broadcast(run.host, record)
			}
		}
	})
	s.after(s.delay(time.Second, 4*time.Second), func() { delete(e.runs, run) })
}

// crash ends all runs on an endpoint. Their hosts detect it after a short time.
func (s *partSimulation) crash(e *partEndpoint) {
	crashedAt, generation := s.now, s.generation
	for run := range e.runs {
		delete(e.runs, run)
		if run.survived {
			continue
		}
		s.after(s.delay(time.Millisecond, 100*time.Millisecond), func() {
			if generation == s.generation {
				s.broadcast(run.host, s.registers[run.host].AddCrash(s.now, poison.PartCrash{
					Endpoint: e.name, Born: run.born, Scope: decodeScope, Request: poison.Fingerprint(run.request), Isolated: run.isolated,
					RunStartedAt: run.startedAt, CrashedAt: crashedAt, Parts: run.parts,
				}))
			}
		})
	}
	e.downUntil = s.now.Add(crashDowntime)
	e.born = e.downUntil
}

// TestBadPartIsCondemnedAtSevenAndAtThreeHundredHosts replays loads of which some requests
// crash their endpoints. Few of them may be sent once the part must be known, and the sound
// requests with the same first part must be served.
func TestBadPartIsCondemnedAtSevenAndAtThreeHundredHosts(t *testing.T) {
	small := partLoad{hosts: 7, endpoints: 9, rate: 8, badShare: 0.05, firstParts: 1, badParts: 1}
	large := partLoad{hosts: 300, endpoints: 48, rate: 60, badShare: 0.05, firstParts: 3, badParts: 1, lostShare: 0.02}
	loads := map[string]func(l *partLoad){
		"few":            func(l *partLoad) { l.badShare = 0.02 },
		"many":           func(l *partLoad) { l.badShare = 0.2 },
		"rare first":     func(l *partLoad) { l.firstParts = 2000 },
		"two parts":      func(l *partLoad) { l.badParts, l.badShare = 2, 0.1 },
		"messages lost":  func(l *partLoad) { l.lostShare, l.badShare = 0.25, 0.1 },
		"all restarted":  func(l *partLoad) { l.killAllAt, l.badShare = 12*time.Second, 0.1 },
		"endpoints fail": func(l *partLoad) { l.failAllAt, l.badShare = 5*time.Second, 0.1 },
	}
	for _, base := range []partLoad{small, large} {
		for name, change := range loads {
			t.Run(fmt.Sprint(name, " at ", base.hosts), func(t *testing.T) {
				t.Parallel()
				load, seeds := base, 10
				change(&load)
				if load.hosts > 7 {
					seeds = 1
				}
				for seed := range seeds {
					s := simulatePartLoad(load, uint64(seed), 40*time.Second)
					for bad, late := range s.late {
						require.LessOrEqual(t, late, maxLatePartRequests, "seed %d: %d crashes by %s", seed, len(s.crashes[bad]), bad)
					}
					require.GreaterOrEqual(t, 2*s.soundServed, s.soundSent, "seed %d", seed)
				}
			})
		}
	}
}

// TestFailingEndpointsCondemnNoPart replays failures of all endpoints at once without a bad
// part.
func TestFailingEndpointsCondemnNoPart(t *testing.T) {
	for seed := range 10 {
		load := partLoad{hosts: 7, endpoints: 9, rate: 20, firstParts: 1 + seed%3, badParts: 1, failAllAt: time.Duration(seed+1) * time.Second}
		s := simulatePartLoad(load, uint64(seed), 30*time.Second)
		require.Equal(t, s.soundSent, s.soundServed, "seed %d", seed)
	}
}

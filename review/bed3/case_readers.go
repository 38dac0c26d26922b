//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["readers"] = playReaders }

const (
	// drainTime is drain_ms of the small sites.
	drainTime = 2 * time.Second
	// refusalTime is how long the store turns two of eight machines away. The site files name 9 s and a share of
	// 0.33 of the machines.
	refusalTime = 4 * time.Second
	// lingerTime is how long the leaving server serves after drain_ms.
	lingerTime = 350 * time.Millisecond
	rounds     = 3
)

// playReaders lets the store turn two machines away without a response, those of their zone that have read it last.
// Meanwhile a server reports that it is draining. The other machines are in touch.
func playReaders(record string, trouble bool) (verdict, error) {
	s, err := newSite(record)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	for _, zone := range []string{"norte-a", "norte-a", "norte-a", "norte-b", "norte-b", "norte-c", "norte-c"} {
		if _, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", zone, len(s.daemons)+1), zone); err != nil {
			return notRun, err
		}
	}
	s.writeManifest()
	if _, err := s.startServer("i-a", "desk", "", "norte-a"); err != nil {
		return notRun, err
	}
	if _, err := s.startServer("i-b", "desk", "", "norte-b"); err != nil {
		return notRun, err
	}
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		if _, err := s.startServer(fmt.Sprint("i-m", i), "assistant", stage, []string{"norte-a", "norte-b", "norte-c"}[i%3]); err != nil {
			return notRun, err
		}
	}
	for _, d := range s.daemons {
		if err := d.run(); err != nil {
			return notRun, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	added, err := s.addDaemon("edge-norte-a-8", "norte-a")
	if err != nil {
		return notRun, err
	}
	if err := added.run(); err != nil {
		return notRun, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	s.note("7 machines run, and 1 was added in norte-a")
	time.Sleep(10 * time.Second)
	total := 0
	for round := range rounds {
		late, err := s.readersRound(round, trouble)
		if err != nil {
			return notRun, err
		}
		total += late
	}
	if total > 0 {
		return broken, nil
	}
	return held, nil
}

// readersRound returns the number of requests that reached the draining server later than drain_ms.
func (s *site) readersRound(round int, trouble bool) (int, error) {
	leaving, err := s.startServer(fmt.Sprint("i-c", round), "desk", "", "norte-c")
	if err != nil {
		return 0, err
	}
	leaving.work = 150 * time.Millisecond
	time.Sleep(5 * time.Second)
	cut := s.latestReaders("norte-a", 2)
	isCut := map[*daemon]bool{}
	for _, d := range cut {
		isCut[d] = true
		s.note("round %d: %s gets no response from the store: %v", round, d.host, trouble)
		if trouble {
			d.gate.set(gateSilent)
		}
	}
	cutAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	ack := leaving.drain()
	s.note("round %d: the store has acknowledged that %s is draining", round, leaving.id)
	var results []result
	var mu sync.Mutex
	var clients sync.WaitGroup
	time.AfterFunc(time.Until(ack.Add(drainTime+lingerTime)), func() {
		_ = leaving.http.Close()
		s.note("round %d: %s has exited", round, leaving.id)
	})
	ask := func(d *daemon) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := s.request(d, "POST", "/bookings/cones", "6 barriers", 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		}()
	}
	// One request at a time is served by the server of the own zone. Many at once are divided among all.
	for time.Since(ack) < drainTime+100*time.Millisecond {
		for _, d := range s.daemons {
			if d.zone == "norte-a" {
				ask(d)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for time.Since(ack) < drainTime+600*time.Millisecond {
		for _, d := range s.daemons {
			if d.zone == "norte-a" {
				for range 4 {
					ask(d)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(cutAt.Add(refusalTime)))
	for _, d := range cut {
		d.gate.set(gateOpen)
	}
	clients.Wait()
	s.note("round %d: the store serves all machines again", round)
	sent := map[string]result{}
	for _, r := range results {
		sent[r.id] = r
		s.note("sent %.3f to %s, answered %.3f: %s %d %v", s.at(r.sentAt), r.daemon.host, s.at(r.answeredAt), r.id, r.status, r.err)
	}
	late := 0
	for _, a := range leaving.list() {
		r, ok := sent[a.id]
		if !ok {
			continue
		}
		d := r.daemon
		after := a.at.Sub(ack)
		isLate := after > drainTime && !isCut[d]
		s.note("%s reaches %s at %.3f, %.0f ms after the acknowledgment, from %s, in touch %v, late %v, answered %d", a.id, leaving.id, s.at(a.at), after.Seconds()*1000, d.host, !isCut[d], isLate, r.status)
		if isLate {
			late++
		}
	}
	s.note("round %d: %d requests reached %s from machines in touch later than drain_ms", round, late, leaving.id)
	s.store.remove("servers/" + leaving.id)
	time.Sleep(3 * time.Second)
	return late, nil
}

// latestReaders returns the machines of a zone that have read the store's list last.
func (s *site) latestReaders(zone string, count int) []*daemon {
	var found []*daemon
	for len(found) < count {
		var latest *daemon
		for _, d := range s.daemons {
			isFound := false
			for _, f := range found {
				isFound = isFound || f == d
			}
			if d.zone == zone && !isFound && (latest == nil || d.gate.readAt().After(latest.gate.readAt())) {
				latest = d
			}
		}
		found = append(found, latest)
	}
	return found
}

//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["watch"] = playWatch }

// rewatchTime is the time in which the machines watch again.
const rewatchTime = 30 * time.Millisecond

// playWatch cuts the waiting watches of the store, and once more when the machines watch again: their HTTP client repeats
// the first call by itself. Then a server leaves without a report of draining: its entry is removed, and it serves on for
// drain_ms and a little longer.
func playWatch(record string, trouble bool) (verdict, error) {
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
	for _, zone := range []string{"norte-a", "norte-b"} {
		if _, err := s.startServer("i-"+zone, "desk", "", zone); err != nil {
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
	time.Sleep(5 * time.Second)
	total := 0
	for round := range 6 {
		late, err := s.watchRound(round, trouble)
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

// watchRound returns the number of requests that reached a server later than drain_ms after its entry was removed.
func (s *site) watchRound(round int, trouble bool) (int, error) {
	leaving, err := s.startServer(fmt.Sprint("i-c", round), "desk", "", "norte-c")
	if err != nil {
		return 0, err
	}
	leaving.work = 150 * time.Millisecond
	time.Sleep(4 * time.Second)
	if trouble {
		s.note("round %d: the store cuts the watches that wait, twice", round)
		for range 2 {
			for _, d := range s.daemons {
				d.gate.cutWatches()
			}
			time.Sleep(rewatchTime)
		}
	}
	time.Sleep(200 * time.Millisecond)
	ack := leaving.leave()
	s.note("round %d: the store has acknowledged that the entry of %s is removed", round, leaving.id)
	time.AfterFunc(time.Until(ack.Add(drainTime+lingerTime)), func() {
		_ = leaving.http.Close()
		s.note("round %d: %s has exited", round, leaving.id)
	})
	time.Sleep(time.Until(ack.Add(drainTime + 10*time.Millisecond)))
	sent := map[string]result{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for time.Since(ack) < drainTime+lingerTime {
		for _, d := range s.daemons {
			clients.Add(1)
			go func() {
				defer clients.Done()
				r := s.request(d, "POST", "/bookings/cones", "6 barriers", 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				sent[r.id] = r
			}()
		}
		time.Sleep(15 * time.Millisecond)
	}
	clients.Wait()
	late := 0
	for _, a := range leaving.list() {
		r, ok := sent[a.id]
		if !ok {
			continue
		}
		after := a.at.Sub(ack)
		s.note("%s, sent at %.3f to %s, reaches %s at %.3f, %.0f ms after the acknowledgment, and is answered %d", a.id, s.at(r.sentAt), r.daemon.host, leaving.id, s.at(a.at), after.Seconds()*1000, r.status)
		if after > drainTime {
			late++
		}
	}
	s.note("round %d: %d requests, %d reached %s later than drain_ms", round, len(sent), late, leaving.id)
	return late, nil
}

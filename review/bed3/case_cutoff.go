//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cutoff"] = playCutoff }

const (
	streamsTaken = 18
	// storeCutTime is the time from the cut of the machine to its kill. The site file names 5.5 s.
	storeCutTime = 4 * time.Second
)

// playCutoff partitions one machine from the store. Streams begin there, and the machine is killed. Their clients take
// them up at other machines, which nothing has harmed. Servers of two software versions serve.
func playCutoff(record string, trouble bool) (verdict, error) {
	s, err := newSite(record)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	zones := []string{"norte-a", "norte-b", "norte-c"}
	for i := range 7 {
		if _, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", zones[i%3], i+1), zones[i%3]); err != nil {
			return notRun, err
		}
	}
	s.writeManifest()
	for i := range 9 {
		stage := "decode"
		if i < 3 {
			stage = "prefill"
		}
		v, err := s.startServer(fmt.Sprint("i-m", i), "assistant", stage, zones[i%3])
		if err != nil {
			return notRun, err
		}
		v.slots, v.events, v.pause = 12, 120, 90*time.Millisecond
		if i >= 6 {
			v.version = "v2"
		}
		v.report("ready")
	}
	for _, d := range s.daemons {
		if err := d.run(); err != nil {
			return notRun, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(8 * time.Second)
	lost := s.daemons[0]
	s.note("%s is partitioned from the store: %v", lost.host, trouble)
	if trouble {
		lost.gate.set(gateSilent)
	}
	cutAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	taken, fresh := s.takeUp(lost, cutAt.Add(storeCutTime))
	s.note("of %d streams that were taken up %d went on, of %d new ones %d began", taken.tried, taken.succeeded, fresh.tried, fresh.succeeded)
	if taken.tried < 12 {
		return notRun, fmt.Errorf("only %d streams began", taken.tried)
	}
	if float64(taken.succeeded)/float64(taken.tried) < float64(fresh.succeeded)/float64(fresh.tried)/2 {
		return broken, nil
	}
	return held, nil
}

// tally counts streams.
type tally struct{ tried, succeeded int }

// takeUp begins streams at a machine, kills it, and takes them up at the others. New streams begin there at the same time.
func (s *site) takeUp(lost *daemon, killAt time.Time) (taken, fresh tally) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range streamsTaken {
		clients.Add(1)
		go func() {
			defer clients.Done()
			first := s.stream(lost, -1, "", 0)
			if first.last < 0 || first.isComplete {
				s.note("%s does not begin at %s: %s", first.id, lost.host, first.end)
				return
			}
			went := false
			wait := 300 * time.Millisecond
			for try := range 2 {
				time.Sleep(wait)
				d := s.daemons[1+(i+try)%6]
				r := s.stream(d, first.last, first.id, 5)
				s.note("%s takes up %s after event %d at %s: %s", r.id, first.id, first.last, d.host, r.end)
				if went = r.last > first.last; went || r.retryAfter == 0 {
					break
				}
				wait = min(r.retryAfter, 3*time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			taken.tried++
			if went {
				taken.succeeded++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(killAt))
	s.note("%s is killed", lost.host)
	lost.signal(syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	for i := range streamsTaken {
		clients.Add(1)
		go func() {
			defer clients.Done()
			d := s.daemons[1+i%6]
			r := s.stream(d, -1, "", 5)
			s.note("%s is a new stream at %s: %s", r.id, d.host, r.end)
			mu.Lock()
			defer mu.Unlock()
			fresh.tried++
			if r.last >= 0 {
				fresh.succeeded++
			}
		}()
		time.Sleep(40 * time.Millisecond)
	}
	clients.Wait()
	return taken, fresh
}

// streamResult is what a client got of a stream.
type streamResult struct {
	id         string
	last       int
	isComplete bool
	retryAfter time.Duration
	end        string
}

// stream asks for a stream, after an event of an earlier attempt if last is not negative. It leaves after a number of
// events, 0 for all.
func (s *site) stream(d *daemon, last int, resumes string, limit int) streamResult {
	r := streamResult{id: s.newID(), last: last}
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		r.end = err.Error()
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
	head := "POST /drafts/plan HTTP/1.1\r\nHost: desk.example\r\nTurmerictide-Attempt-Id: " + r.id + "\r\nTurmerictide-Deadline-Ms: 14000\r\n" +
		"Turmerictide-Model: m\r\nTurmerictide-Token-Counts: 1000,120\r\nTurmerictide-Prompt-Prefix: aa:200,bb" + r.id[1:] + ":800\r\nContent-Length: 4\r\n"
	if resumes != "" {
		head += "Last-Event-Id: " + strconv.Itoa(last) + "\r\nResumes: " + resumes + "\r\n"
	}
	if _, err := conn.Write([]byte(head + "\r\nplan")); err != nil {
		r.end = err.Error()
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.end = err.Error()
		return r
	}
	r.end = response.Status
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		r.retryAfter = time.Duration(seconds * float64(time.Second))
		text := make([]byte, 100)
		n, _ := response.Body.Read(text)
		r.end += " " + strings.TrimSpace(string(text[:n]))
		return r
	}
	lines, events := bufio.NewScanner(response.Body), 0
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			r.last, _ = strconv.Atoi(text)
			if events++; events == limit {
				r.end += fmt.Sprint(", left after event ", r.last)
				return r
			}
		}
	}
	r.isComplete = lines.Err() == nil
	r.end += fmt.Sprintf(", last event %d, complete %v", r.last, r.isComplete)
	return r
}

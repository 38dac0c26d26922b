//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["polled"] = playPolled }

const (
	// crashes of one server each, crashGap apart, each down for downTime.
	crashes  = 4
	crashGap = 1500 * time.Millisecond
	downTime = 2 * time.Second
	// settleTime is longer than stable_window_ms, and than the last server needs to be back.
	settleTime = 8 * time.Second
	judgedTime = 15 * time.Second
	// pollers is the number of requests that one client has in flight on each route.
	pollers = 4
)

// playPolled crashes one server after the other, while one client polls the same sound request on a route that was added
// later. Other requests go to a first route.
func playPolled(record string, trouble bool) (verdict, error) {
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
	for i, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		v, err := s.startServer(fmt.Sprint("i-", i), "desk", "", zone)
		if err != nil {
			return notRun, err
		}
		v.slots, v.work = 6, 300*time.Millisecond
	}
	for _, d := range s.daemons {
		if err := d.run(); err != nil {
			return notRun, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	s.routes = append(s.routes, route("levels", "idempotent", "desk", 2, false, 800, 300))
	s.writeManifest()
	s.note("the manifest has the new route /levels/")
	time.Sleep(4 * time.Second)
	p := &polls{site: s, end: make(chan struct{})}
	for i := range pollers {
		p.start(i, func() string { return "/levels/stock" })
	}
	for i := range pollers {
		p.start(i, func() string { return "/checks/item-" + s.newID() })
	}
	time.Sleep(4 * time.Second)
	for i := range crashes {
		if trouble {
			s.crash(i % 3)
		}
		time.Sleep(crashGap)
	}
	time.Sleep(settleTime)
	from := time.Now()
	time.Sleep(judgedTime)
	close(p.end)
	p.clients.Wait()
	return p.judge(from), nil
}

// crash ends a server with all that it runs. It is back after downTime under its ID and address.
func (s *site) crash(i int) {
	s.mu.Lock()
	v := s.servers[i]
	s.mu.Unlock()
	s.note("%s crashes, %d requests run there", v.id, v.running.Load())
	v.crash()
	time.AfterFunc(downTime, func() {
		if err := v.restart(); err != nil {
			s.note("%s is not back: %v", v.id, err)
			return
		}
		s.note("%s is back", v.id)
	})
}

// crash closes the listener and resets all channels.
func (v *server) crash() {
	v.stop()
	v.mu.Lock()
	conns := v.conns
	v.conns = map[net.Conn]bool{}
	v.mu.Unlock()
	_ = v.listener.Close()
	for c := range conns {
		if socket, ok := c.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
		_ = c.Close()
	}
}

// polls are the requests of clients that repeat one request after the other.
type polls struct {
	site    *site
	end     chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	results []pollResult
}

type pollResult struct {
	path string
	result
}

func (p *polls) start(i int, path func() string) {
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		for n := i; ; n++ {
			select {
			case <-p.end:
				return
			case <-time.After(100 * time.Millisecond):
			}
			target := path()
			r := p.site.request(p.site.daemons[n%len(p.site.daemons)], http.MethodGet, target, "", 1500*time.Millisecond)
			p.mu.Lock()
			p.results = append(p.results, pollResult{path: target, result: r})
			p.mu.Unlock()
		}
	}()
}

// judge compares how often the requests that were sent after a time were served on the two routes.
func (p *polls) judge(from time.Time) verdict {
	s := p.site
	sent, served := map[bool]float64{}, map[bool]float64{}
	for _, r := range p.results {
		s.note("GET %s, %s, sent %.3f to %s, answered %.3f: %d %q, Retry-After %q", r.path, r.id, s.at(r.sentAt), r.daemon.host, s.at(r.answeredAt), r.status, r.body, r.header.Get("Retry-After"))
		if r.sentAt.Before(from) {
			continue
		}
		isAdded := r.path == "/levels/stock"
		sent[isAdded]++
		if r.status == http.StatusOK && r.err == nil {
			served[isAdded]++
		}
	}
	s.note("from %.3f on: added route %.0f of %.0f served, first route %.0f of %.0f", s.at(from), served[true], sent[true], served[false], sent[false])
	if sent[true] >= 20 && served[true]/sent[true] < served[false]/sent[false]/4 {
		return broken
	}
	return held
}

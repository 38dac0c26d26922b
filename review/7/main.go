//go:build review

// Command 7 adds a route of a second priority to a service between two freezes of the daemon that owns the
// service's shard, and makes one server silent during the second one.
package main

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmerictide/turmerictide/review/stage2"
)

const (
	// freezeTime is the length of each of the two freezes, darkTime that of the server's silence.
	freezeTime = 3 * time.Second
	darkTime   = 4 * time.Second
)

func main() {
	stage2.Main("review/7/record.txt", 110*time.Second, run)
}

func call(n int, prefix string, prompt int) stage2.Call {
	return stage2.Call{
		Attempt: stage2.NewAttempt(), Method: "POST", Host: stage2.HostName, Target: fmt.Sprintf("%s%d", prefix, n), Body: strings.Repeat("x", 500), DeadlineMS: 14000, Kept: true,
		Header: map[string]string{
			"Turmerictide-Model": "m", "Turmerictide-Token-Counts": fmt.Sprintf("%d,120", prompt), "Turmerictide-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%08x:%d", n+1, prompt-200),
		},
	}
}

const (
	premium  = "/lohu930/"
	estandar = "/pufi791/"
)

var ownerPattern = regexp.MustCompile(`"places are granted".*"owner":"([^"]*)"`)

type result struct {
	attempt, kind string
	server        string
	events        int
	outcome       string
	complete      bool
}

func run(ctx context.Context, s *stage2.Stage) (int, error) {
	first, second := stage2.SmallManifest(7), stage2.SmallManifest(8)
	// The first manifest has no route of the second priority to the model servers.
	routes := first["routes"].([]any)
	first["routes"] = append(append([]any(nil), routes[0]), routes[2:]...)
	s.Store.Put("op/config", first)
	newServer := func(id, zone, stage string) *stage2.Server {
		return &stage2.Server{ID: id, Service: "redactor", Zone: zone, Version: "v1", Slots: 12, Stage: stage, Events: 120, Gap: 100 * time.Millisecond}
	}
	var decode []*stage2.Server
	for i, zone := range []string{"norte-a", "norte-a", "norte-b"} {
		if err := s.AddServer(newServer(fmt.Sprintf("i-prefill-%d", i), zone, "prefill")); err != nil {
			return 0, err
		}
	}
	for i, zone := range []string{"norte-a", "norte-b", "norte-b", "norte-c", "norte-c", "norte-c"} {
		server := newServer(fmt.Sprintf("i-decode-%d", i), zone, "decode")
		decode = append(decode, server)
		if err := s.AddServer(server); err != nil {
			return 0, err
		}
	}
	for i, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		if err := s.AddServer(&stage2.Server{ID: fmt.Sprintf("i-pedidos-%d", i), Service: "pedidos", Zone: zone, Version: "v1", Slots: 6, Work: 180 * time.Millisecond}); err != nil {
			return 0, err
		}
	}
	if err := s.AddDaemons(nil); err != nil {
		return 0, err
	}
	if err := s.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	var group sync.WaitGroup
	var mu sync.Mutex
	var results []*result
	send := func(d *stage2.Daemon, c stage2.Call) *result {
		r := &result{attempt: c.Attempt, kind: c.Target}
		s.Log("%s attempt %s is sent to %s", c.Target, c.Attempt, d.Host)
		mu.Lock()
		results = append(results, r)
		mu.Unlock()
		group.Add(1)
		go func() {
			defer group.Done()
			answer := stage2.Stream(ctx, d.Front, c, func(stage2.Event) {
				mu.Lock()
				defer mu.Unlock()
				r.events++
			})
			mu.Lock()
			defer mu.Unlock()
			r.outcome = fmt.Sprintf("status %d %s error %v", answer.Status, strings.TrimSpace(answer.Body), answer.Err)
			r.complete = answer.Err == nil && r.events == 120
			r.server = strings.TrimPrefix(answer.Header.Get("Turmerictide-Server-Seal"), "seal.")
			s.Log("%s attempt %s at %s ended: %s, %d events, server %s", c.Target, c.Attempt, d.Host, r.outcome, r.events, r.server)
		}()
		return r
	}
	// One short look at who owns the shard.
	look, cancelLook := context.WithTimeout(ctx, time.Second)
	stage2.Stream(look, s.Daemons[0].Front, call(1, premium, 1100), func(stage2.Event) {})
	cancelLook()
	match := ownerPattern.FindStringSubmatch(s.Daemons[0].Logs())
	if match == nil || match[1] == "" {
		return 0, fmt.Errorf("no owner found")
	}
	var owner, daemon *stage2.Daemon
	for _, d := range s.Daemons {
		if d.Host == match[1] {
			owner = d
		} else if d.Zone == "norte-a" && daemon == nil {
			daemon = d
		}
	}
	s.Log("%s owns the shard, the requests go to %s", owner.Host, daemon.Host)

	// Orders on channels that are kept, 30 a second.
	ordersEnd := make(chan struct{})
	orders := map[string]stage2.Answer{}
	group.Add(1)
	go func() {
		defer group.Done()
		for n := 0; ; n++ {
			select {
			case <-ordersEnd:
				return
			case <-time.After(33 * time.Millisecond):
			}
			if daemon.HasEnded() {
				continue
			}
			group.Add(1)
			go func() {
				defer group.Done()
				c := stage2.Call{Attempt: stage2.NewAttempt(), Method: "POST", Host: stage2.HostName, Target: fmt.Sprintf("/pule252/%d", n), DeadlineMS: 1500, Body: "an order", Kept: true}
				answer := stage2.Send(ctx, daemon.Front, c)
				s.Log("order %d, attempt %s at %s: status %d, error %v", n, c.Attempt, daemon.Host, answer.Status, answer.Err)
				mu.Lock()
				defer mu.Unlock()
				orders[c.Attempt] = answer
			}()
		}
	}()
	time.Sleep(time.Second)
	// The owner freezes, and the daemon decides on some of the requests itself. They have long prompts.
	begin := time.Now()
	if s.Trouble {
		s.Signal(owner, syscall.SIGSTOP)
	}
	for n := 0; time.Since(begin) < freezeTime; n++ {
		send(daemon, call(100+n, premium, 10900))
		time.Sleep(200 * time.Millisecond)
	}
	if s.Trouble {
		s.Signal(owner, syscall.SIGCONT)
	}
	time.Sleep(500 * time.Millisecond)
	// The operator adds the route of the second priority.
	s.Store.Put("op/config", second)
	s.Log("manifest 8 adds the route %s", estandar)
	time.Sleep(2 * time.Second)
	for n := range 16 {
		send(daemon, call(200+n, estandar, 5200))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	// One server falls silent that runs streams of the new route, and the owner freezes once more.
	counts := map[string]int{}
	for _, r := range s.Servers.AllRuns() {
		if strings.HasPrefix(r.Target, estandar) {
			counts[r.Server]++
		}
	}
	s.Log("streams of the new route by server: %v", counts)
	var dark *stage2.Server
	for _, server := range decode {
		if counts[server.ID] > 0 && server.Zone != daemon.Zone {
			dark = server
		}
	}
	if dark == nil {
		return 0, fmt.Errorf("no server runs streams: %v", counts)
	}
	if s.Trouble {
		dark.SetDark(true)
		s.Log("%s is dark", dark.ID)
	}
	time.Sleep(1200 * time.Millisecond)
	if s.Trouble {
		s.Signal(owner, syscall.SIGSTOP)
	}
	time.Sleep(darkTime - 1200*time.Millisecond)
	dark.SetDark(false)
	time.Sleep(freezeTime + 1200*time.Millisecond - darkTime)
	if s.Trouble {
		s.Signal(owner, syscall.SIGCONT)
	}
	time.Sleep(500 * time.Millisecond)
	close(ordersEnd)
	ended := daemon.HasEnded()
	if ended {
		s.Log("the process of %s has ended by itself", daemon.Host)
		for _, text := range []string{"panic:", "github.com/turmerictide"} {
			s.LogsTo(daemon, text, 12)
		}
	}
	group.Wait()
	s.LogsTo(daemon, "deciding locally", 10)
	s.LogsTo(daemon, "held for a silent stream", 10)
	served := map[string]string{}
	for _, r := range s.Servers.AllRuns() {
		served[r.Attempt] = r.Server
	}
	lost, cut, answered := 0, 0, 0
	for attempt, answer := range orders {
		switch {
		case answer.Status == 200 && answer.Err == nil:
			answered++
		case answer.Status == 0 && served[attempt] != "":
			lost++
			s.Log("LOST: the order of attempt %s ran at %s, and its channel was closed without an answer: %v", attempt, served[attempt], answer.Err)
		}
	}
	for _, r := range results {
		if r.kind != "" && served[r.attempt] != "" && served[r.attempt] != dark.ID && !r.complete {
			cut++
		}
	}
	summary := fmt.Sprintf("the daemon ended by itself: %v; of %d orders %d were answered, %d ran and got no answer; %d streams of sound servers were cut", ended, len(orders), answered, lost, cut)
	s.Log("%s", summary)
	fmt.Println(summary)
	if answered < 20 {
		return 0, fmt.Errorf("too few orders: %s", summary)
	}
	if lost > 3 {
		return stage2.Broken, nil
	}
	return stage2.Held, nil
}

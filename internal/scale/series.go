package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const usageWindow = 10 * time.Second

// measureDaemons varies the number of daemons. It kills one daemon at each size.
func measureDaemons(binaries string) error {
	for _, count := range []int{7, 14, 28, 56, 100} {
		if err := measureDaemonCount(binaries, count); err != nil {
			return errors.Newf("%d daemons: %w", count, err)
		}
	}
	return nil
}

func measureDaemonCount(binaries string, count int) error {
	s, stop, err := startSite(binaries, count, 10)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(5 * time.Second)
	u, err := measureUsage(s.Daemons, usageWindow)
	if err != nil {
		return err
	}
	grantDelay, detectionDelay, err := killOwner(s)
	if err != nil {
		return err
	}
	fmt.Printf("daemons %3d  %s  shard grants again after %s  dead on all daemons after %s\n", count, u, grantDelay.Round(10*time.Millisecond), detectionDelay.Round(10*time.Millisecond))
	return nil
}

// killOwner kills the owner of a shard. It measures how long it takes until the shard
// grants requests again and until all other daemons list the owner as dead.
func killOwner(s *site.Site) (grantDelay, detectionDelay time.Duration, err error) {
	owner, peer := findOwner(s)
	if owner == nil || peer == nil {
		return 0, 0, errors.New("no zone has a shard owner and a second daemon")
	}
	owner.Kill()
	started := time.Now()
	for !sendChat(peer) {
		if time.Since(started) > convergenceTimeout {
			return 0, 0, errors.New("shard does not grant requests after its owner was killed")
		}
	}
	grantDelay = time.Since(started)
	for _, d := range s.Daemons {
		for d != owner {
			status, err := statusOf(d)
			if err == nil && countHosts(status, "dead") == 1 {
				break
			}
			if time.Since(started) > convergenceTimeout {
				return 0, 0, errors.Newf("%s does not list the killed daemon as dead", d.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return grantDelay, time.Since(started), nil
}

// findOwner returns the owner of a model shard and another daemon of its zone.
func findOwner(s *site.Site) (owner, peer *site.Process) {
	for _, d := range s.Daemons {
		status, err := statusOf(d)
		if err != nil {
			continue
		}
		for _, shard := range status.Shards {
			if !shard.Owned || !strings.HasPrefix(shard.Shard, site.ModelService+"/"+d.Zone) {
				continue
			}
			for _, candidate := range s.Daemons {
				if candidate != d && candidate.Zone == d.Zone {
					return d, candidate
				}
			}
		}
	}
	return nil, nil
}

// sendChat sends one short request and reports whether it succeeded.
func sendChat(d *site.Process) bool {
	body := `{"model":"` + site.Model + `","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+d.Address.String()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+site.CallerToken)
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// measureRate varies the request rate at a site of seven daemons.
func measureRate(binaries string) error {
	s, stop, err := startSite(binaries, 7, 10)
	if err != nil {
		return err
	}
	defer stop()
	for _, perSecond := range []int{0, 14, 28, 56, 112} {
		done := make(chan struct{})
		completed := sendAtRate(s, perSecond, done)
		time.Sleep(2 * time.Second)
		u, err := measureUsage(s.Daemons, usageWindow)
		close(done)
		if err != nil {
			return err
		}
		fmt.Printf("requests %3d/s total, %4.1f/s per daemon  %s  succeeded %d\n", perSecond, float64(perSecond)/float64(len(s.Daemons)), u, <-completed)
	}
	return nil
}

// sendAtRate sends requests at a rate until done is closed. It then sends the number of
// successful requests to the returned channel.
func sendAtRate(s *site.Site, perSecond int, done <-chan struct{}) <-chan int {
	result := make(chan int, 1)
	if perSecond == 0 {
		result <- 0
		return result
	}
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		results := make(chan bool, 1<<16)
		sent := 0
		for {
			select {
			case <-done:
				completed := 0
				for range sent {
					if <-results {
						completed++
					}
				}
				result <- completed
				return
			case <-ticker.C:
				d := s.Daemons[sent%len(s.Daemons)]
				sent++
				go func() { results <- sendChat(d) }()
			}
		}
	}()
	return result
}

// measureTeams varies the number of teams and then applies a change of one group.
func measureTeams(binaries string) error {
	for _, teams := range []int{10, 3500, 35000} {
		if err := measureTeamCount(binaries, teams); err != nil {
			return errors.Newf("%d teams: %w", teams, err)
		}
	}
	return nil
}

func measureTeamCount(binaries string, teams int) error {
	s, stop, err := startSite(binaries, 7, teams)
	if err != nil {
		return err
	}
	defer stop()
	full := s.TicketWithTeams(2, teams)
	change := ticket.Ticket{Number: 2, Callers: map[string]ticket.CallerGroup{"group-0": full.Callers["group-0"]}}
	started := time.Now()
	if err := s.Apply(change); err != nil {
		return err
	}
	acceptDelay := time.Since(started)
	for _, d := range s.Daemons {
		for {
			status, err := statusOf(d)
			if err == nil && status.Ticket >= 2 {
				break
			}
			if time.Since(started) > convergenceTimeout {
				return errors.New("the change did not become active")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	activationDelay := time.Since(started)
	u, err := measureUsage(s.Daemons, usageWindow)
	if err != nil {
		return err
	}
	fmt.Printf("teams %5d  %s  change accepted after %s, active on all daemons after %s\n", teams, u, acceptDelay.Round(time.Millisecond), activationDelay.Round(time.Millisecond))
	return nil
}

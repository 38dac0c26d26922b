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

// measureDaemons varies the number of daemons, and kills one at each size.
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
	granted, known, err := killOwner(s)
	if err != nil {
		return err
	}
	fmt.Printf("daemons %3d  %s  granted again after %s  known dead everywhere after %s\n", count, u, granted.Round(10*time.Millisecond), known.Round(10*time.Millisecond))
	return nil
}

// killOwner kills the owner of a shard and measures until its shard grants again
// and until all others hold it dead.
func killOwner(s *site.Site) (granted, known time.Duration, err error) {
	victim, front := findOwner(s)
	if victim == nil || front == nil {
		return 0, 0, errors.New("no owner with another daemon beside it")
	}
	victim.Kill()
	started := time.Now()
	for !chat(front) {
		if time.Since(started) > convergeLimit {
			return 0, 0, errors.New("the shard does not grant again")
		}
	}
	granted = time.Since(started)
	for _, d := range s.Daemons {
		for d != victim {
			status, err := statusOf(d)
			if err == nil && countState(status, "dead") == 1 {
				break
			}
			if time.Since(started) > convergeLimit {
				return 0, 0, errors.Newf("%s does not know of the death", d.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return granted, time.Since(started), nil
}

// findOwner returns the owner of a model shard and another daemon of its zone.
func findOwner(s *site.Site) (owner, other *site.Process) {
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

// chat sends one short request and reports whether its answer was whole.
func chat(d *site.Process) bool {
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
		halt := make(chan struct{})
		served := offer(s, perSecond, halt)
		time.Sleep(2 * time.Second)
		u, err := measureUsage(s.Daemons, usageWindow)
		close(halt)
		if err != nil {
			return err
		}
		fmt.Printf("requests %3d/s in all, %4.1f/s a daemon  %s  whole %d\n", perSecond, float64(perSecond)/float64(len(s.Daemons)), u, <-served)
	}
	return nil
}

// offer sends requests at a rate until halt is closed, and then tells how many
// answers were whole.
func offer(s *site.Site, perSecond int, halt <-chan struct{}) <-chan int {
	result := make(chan int, 1)
	if perSecond == 0 {
		result <- 0
		return result
	}
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		answers := make(chan bool, 1<<16)
		sent := 0
		for {
			select {
			case <-halt:
				whole := 0
				for range sent {
					if <-answers {
						whole++
					}
				}
				result <- whole
				return
			case <-ticker.C:
				d := s.Daemons[sent%len(s.Daemons)]
				sent++
				go func() { answers <- chat(d) }()
			}
		}
	}()
	return result
}

// measureTeams varies the number of teams, and changes one group of them.
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
	accepted := time.Since(started)
	for _, d := range s.Daemons {
		for {
			status, err := statusOf(d)
			if err == nil && status.Ticket >= 2 {
				break
			}
			if time.Since(started) > convergeLimit {
				return errors.New("the change is not in force")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	inForce := time.Since(started)
	u, err := measureUsage(s.Daemons, usageWindow)
	if err != nil {
		return err
	}
	fmt.Printf("teams %5d  %s  change accepted after %s, in force everywhere after %s\n", teams, u, accepted.Round(time.Millisecond), inForce.Round(time.Millisecond))
	return nil
}

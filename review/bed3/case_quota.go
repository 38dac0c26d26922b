//go:build review

package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/turmerictide/turmerictide/pkg/shard"
)

func init() { cases["quota"] = playQuota }

const (
	quotaRate    = 1000.0
	quotaBurst   = 2000.0
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 120000.0
	quotaCost    = 1000
)

// playQuota kills and restarts one process again and again, the one that keeps the account of a tenant.
func playQuota(record string, trouble bool) (verdict, error) {
	s, err := newSite(record)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	s.tenants = []any{map[string]any{"name": "team-1", "api_keys": []string{"key-1"}, "priority": 0, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": quotaRate, "burst": quotaBurst}}
	var hosts []string
	for i, zone := range []string{"norte-a", "norte-a", "norte-a", "norte-b", "norte-b", "norte-c", "norte-c"} {
		d, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, "[revocation]", "strict = true", "within = 5000ms", "[quota]", "window = 8s", "overage = 0.1", "slack = 120000")
		if err != nil {
			return notRun, err
		}
		hosts = append(hosts, d.host)
	}
	s.writeManifest()
	for i, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		v, err := s.startServer(fmt.Sprint("i-", i), "desk", "", zone)
		if err != nil {
			return notRun, err
		}
		v.slots, v.work = 60, 5*time.Millisecond
	}
	for _, d := range s.daemons {
		if err := d.run(); err != nil {
			return notRun, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(12 * time.Second)
	keeper := shard.Owner("quota/team-1", hosts)
	end := time.Now().Add(20 * time.Second)
	sent := map[string]result{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	statuses := map[int]int{}
	for c := range 28 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(end); n++ {
				d := s.daemons[(c+n)%len(s.daemons)]
				r := s.request(d, "GET", "/checks/stock", "", 800*time.Millisecond, "Authorization: Bearer key-1", fmt.Sprintf("Turmerictide-Token-Counts: %d,0", quotaCost))
				mu.Lock()
				sent[r.id] = r
				statuses[r.status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for _, d := range s.daemons {
		if d.host != keeper {
			continue
		}
		for range 9 {
			s.note("%s is killed: %v", d.host, trouble)
			if trouble {
				d.signal(syscall.SIGKILL)
				<-d.done
				time.Sleep(300 * time.Millisecond)
				if err := d.run(); err != nil {
					return notRun, err
				}
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}
	clients.Wait()
	var runs []time.Time
	isSent := map[time.Time]time.Time{}
	for _, v := range s.servers {
		for _, a := range v.list() {
			if r, ok := sent[a.id]; ok && a.ran {
				runs = append(runs, a.at)
				isSent[a.at] = r.sentAt
				s.note("%s was sent at %.3f to %s, ran at %.3f at %s, and was answered %d at %.3f", a.id, s.at(r.sentAt), r.daemon.host, s.at(a.at), v.id, r.status, s.at(r.answeredAt))
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most, mostAt := 0.0, time.Time{}
	for i, from := range runs {
		used := 0.0
		for _, at := range runs[i:] {
			if at.Sub(from) < quotaWindow && !isSent[at].Before(isSent[from]) {
				used += quotaCost
			}
		}
		if used > most {
			most, mostAt = used, from
		}
	}
	s.note("answers by status: %v; %d requests ran, of %d tokens each", statuses, len(runs), quotaCost)
	s.note("most tokens in 8 s: %.0f from %.3f on, allowed %.0f", most, s.at(mostAt), allowed)
	if most > allowed {
		return broken, nil
	}
	return held, nil
}

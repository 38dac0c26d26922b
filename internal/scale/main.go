// Command scale measures what a daemon costs while one size varies and the others
// stay: daemons, request rate, teams, and tickets. Each line of its output is one
// point; docs/CAPACITY.md works out the size of two years from the slopes. The
// processes are real and run on this machine, so times are those of one machine
// under load.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/internal/site"
	"github.com/turmerictide/turmerictide/pkg/operator"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func main() {
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "scale failed:", err)
		os.Exit(1)
	}
}

// measurement is one series of points.
type measurement struct {
	name string
	run  func(binaries string) error
}

var measurements = []measurement{
	{"daemons", measureDaemons},
	{"rate", measureRate},
	{"teams", measureTeams},
	{"profile", profileIdle},
}

func run(binaries string, names []string) error {
	for _, m := range measurements {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		fmt.Println("==", m.name)
		if err := m.run(binaries); err != nil {
			return errors.Newf("measure %s: %w", m.name, err)
		}
	}
	return nil
}

// zones are the availability zones of the size of two years.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// startSite starts daemons spread over the zones, with a ticket in force.
func startSite(binaries string, daemons, teams int) (*site.Site, func(), error) {
	directory, err := os.MkdirTemp("", "turmerictide-scale-")
	if err != nil {
		return nil, nil, errors.Newf("make folder: %w", err)
	}
	s, err := site.Start(site.Config{Binaries: binaries, Directory: directory, Zones: zones, DaemonsPerZone: 1, DecodePerZone: 1, Quiet: true})
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		s.Close()
		_ = os.RemoveAll(directory)
	}
	for i := len(s.Daemons); i < daemons; i++ {
		if _, err := s.StartDaemon(fmt.Sprintf("entry-%d", i), zones[i%len(zones)]); err != nil {
			stop()
			return nil, nil, err
		}
	}
	if err := s.Apply(s.TicketWithTeams(1, teams)); err != nil {
		stop()
		return nil, nil, err
	}
	if err := waitConverged(s); err != nil {
		stop()
		return nil, nil, err
	}
	return s, stop, nil
}

const convergeLimit = 90 * time.Second

// waitConverged waits until all daemons hold the same list of daemons, each of
// them alive, and have ticket 1 in force.
func waitConverged(s *site.Site) error {
	deadline := time.Now().Add(convergeLimit)
	for !isConverged(s) {
		if time.Now().After(deadline) {
			return errors.New("the daemons do not agree on their list")
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func isConverged(s *site.Site) bool {
	digest := ""
	for _, d := range s.Daemons {
		status, err := statusOf(d)
		if err != nil || status.Ticket < 1 || countState(status, "alive") != len(s.Daemons) {
			return false
		}
		if digest != "" && digest != status.HostsDigest {
			return false
		}
		digest = status.HostsDigest
	}
	return true
}

func countState(status operator.Status, state string) int {
	count := 0
	for _, host := range status.Hosts {
		if host.State == state {
			count++
		}
	}
	return count
}

func ask(d *site.Process, path string, value any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Operator.String()+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+site.OperatorToken)
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(value)
}

func statusOf(d *site.Process) (operator.Status, error) {
	var status operator.Status
	err := ask(d, operator.PathStatus, &status)
	return status, err
}

// cost is what one daemon has used so far.
type cost struct {
	sent, received float64
	processor      time.Duration
	resident       float64
}

func costOf(d *site.Process) (cost, error) {
	var metrics map[string]struct {
		Value float64 `json:"value"`
	}
	if err := ask(d, operator.PathMetrics, &metrics); err != nil {
		return cost{}, err
	}
	return cost{
		sent: metrics["link_sent_bytes"].Value, received: metrics["link_received_bytes"].Value,
		processor: time.Duration(metrics["processor_milliseconds"].Value) * time.Millisecond,
		resident:  residentBytes(d.ID()),
	}, nil
}

// residentBytes returns the resident memory of one of our own processes.
func residentBytes(id int) float64 {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(id) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// usage is the mean cost a second of all daemons over a window.
type usage struct {
	sentPerSecond, receivedPerSecond float64
	coreShare                        float64
	residentMegabytes                float64
	worstSentPerSecond               float64
}

func measureUsage(daemons []*site.Process, window time.Duration) (usage, error) {
	before := make([]cost, len(daemons))
	for i, d := range daemons {
		var err error
		if before[i], err = costOf(d); err != nil {
			return usage{}, err
		}
	}
	started := time.Now()
	time.Sleep(window)
	var u usage
	for i, d := range daemons {
		after, err := costOf(d)
		if err != nil {
			return usage{}, err
		}
		seconds := time.Since(started).Seconds() * float64(len(daemons))
		u.sentPerSecond += (after.sent - before[i].sent) / seconds
		u.receivedPerSecond += (after.received - before[i].received) / seconds
		u.coreShare += (after.processor - before[i].processor).Seconds() / seconds
		u.residentMegabytes += after.resident / float64(len(daemons)) / (1 << 20)
		u.worstSentPerSecond = max(u.worstSentPerSecond, (after.sent-before[i].sent)/time.Since(started).Seconds())
	}
	return u, nil
}

func (u usage) String() string {
	return fmt.Sprintf("sent %6.0f B/s (worst %6.0f)  received %6.0f B/s  core %.3f%%  resident %.1f MB",
		u.sentPerSecond, u.worstSentPerSecond, u.receivedPerSecond, 100*u.coreShare, u.residentMegabytes)
}

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

// Command scale measures the resource usage of daemons. Each series varies one size (the
// number of daemons, the request rate or the number of teams) and keeps the others
// constant. Each line of the output is one data point. docs/CAPACITY.md extrapolates the
// slopes to the size expected in two years. All processes run on this machine, so the
// measured times are those of one machine under load.
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
)

func main() {
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "scale failed:", err)
		os.Exit(1)
	}
}

// measurement is a named series of data points, or a CPU profile.
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

// zones has the number of availability zones that is expected in two years.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// startSite starts daemons in all zones, applies ticket 1 and waits until it is active.
func startSite(binaries string, daemons, teams int) (*site.Site, func(), error) {
	directory, err := os.MkdirTemp("", "turmerictide-scale-")
	if err != nil {
		return nil, nil, errors.Newf("create directory: %w", err)
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

const convergenceTimeout = 90 * time.Second

// waitConverged waits until all daemons have the same member list, with every daemon alive,
// and ticket 1 is active on each of them.
func waitConverged(s *site.Site) error {
	deadline := time.Now().Add(convergenceTimeout)
	for !isConverged(s) {
		if time.Now().After(deadline) {
			return errors.New("daemons did not converge on one member list and ticket")
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func isConverged(s *site.Site) bool {
	digest := ""
	for _, d := range s.Daemons {
		status, err := statusOf(d)
		if err != nil || status.Ticket < 1 || countHosts(status, "alive") != len(s.Daemons) {
			return false
		}
		if digest != "" && digest != status.HostsDigest {
			return false
		}
		digest = status.HostsDigest
	}
	return true
}

func countHosts(status operator.Status, state string) int {
	count := 0
	for _, host := range status.Hosts {
		if host.State == state {
			count++
		}
	}
	return count
}

func getJSON(d *site.Process, path string, value any) error {
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
	err := getJSON(d, operator.PathStatus, &status)
	return status, err
}

// counters are the resources that one daemon has used since it started.
type counters struct {
	sent, received float64
	processorTime  time.Duration
	residentBytes  float64
}

func readCounters(d *site.Process) (counters, error) {
	var metrics map[string]struct {
		Value float64 `json:"value"`
	}
	if err := getJSON(d, operator.PathMetrics, &metrics); err != nil {
		return counters{}, err
	}
	return counters{
		sent: metrics["link_sent_bytes"].Value, received: metrics["link_received_bytes"].Value,
		processorTime: time.Duration(metrics["processor_milliseconds"].Value) * time.Millisecond,
		residentBytes: residentBytes(d.ID()),
	}, nil
}

// residentBytes returns the resident memory of a process of the site, or 0 if it cannot be
// read.
func residentBytes(id int) float64 {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(id) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// usage is the resource usage of the daemons over a window. Its values are means per daemon,
// except worstSentPerSecond, which is the rate of the daemon that sent most.
type usage struct {
	sentPerSecond, receivedPerSecond float64
	coreShare                        float64
	residentMegabytes                float64
	worstSentPerSecond               float64
}

func measureUsage(daemons []*site.Process, window time.Duration) (usage, error) {
	before := make([]counters, len(daemons))
	for i, d := range daemons {
		var err error
		if before[i], err = readCounters(d); err != nil {
			return usage{}, err
		}
	}
	started := time.Now()
	time.Sleep(window)
	var u usage
	for i, d := range daemons {
		after, err := readCounters(d)
		if err != nil {
			return usage{}, err
		}
		seconds := time.Since(started).Seconds() * float64(len(daemons))
		u.sentPerSecond += (after.sent - before[i].sent) / seconds
		u.receivedPerSecond += (after.received - before[i].received) / seconds
		u.coreShare += (after.processorTime - before[i].processorTime).Seconds() / seconds
		u.residentMegabytes += after.residentBytes / float64(len(daemons)) / (1 << 20)
		u.worstSentPerSecond = max(u.worstSentPerSecond, (after.sent-before[i].sent)/time.Since(started).Seconds())
	}
	return u, nil
}

func (u usage) String() string {
	return fmt.Sprintf("sent %6.0f B/s (worst %6.0f)  received %6.0f B/s  core %.3f%%  resident %.1f MB",
		u.sentPerSecond, u.worstSentPerSecond, u.receivedPerSecond, 100*u.coreShare, u.residentMegabytes)
}

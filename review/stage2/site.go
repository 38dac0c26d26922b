//go:build review

package stage2

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Daemon is one daemon process.
type Daemon struct {
	Host, Zone     string
	Front, Ready   string
	settings, logs string
	process        *exec.Cmd
	ended          chan struct{}
}

// Stage is a site of daemon processes beside a store and servers.
type Stage struct {
	Store   *Store
	Servers *Servers
	Daemons []*Daemon
	// Trouble is false if the disruption is left out.
	Trouble bool

	prefix  string
	folder  string
	next    int
	started time.Time
	mu      sync.Mutex
	record  *os.File
}

// Open returns a Stage that writes its record to a file.
func Open(record string) (*Stage, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &Stage{
		Servers: NewServers(), Trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: file, started: time.Now(),
		prefix: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250)), next: 10,
	}
	s.Log("trouble: %v", s.Trouble)
	s.Store, err = StartStore(s.NewIP() + ":0")
	return s, err
}

// Log writes a line to the record.
func (s *Stage) Log(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Seconds returns the time of a moment in the record.
func (s *Stage) Seconds(at time.Time) float64 { return at.Sub(s.started).Seconds() }

// NewIP returns another loopback address.
func (s *Stage) NewIP() string {
	s.next++
	return fmt.Sprintf("%s%d", s.prefix, s.next)
}

// FreePorts returns different free ports on an address.
func FreePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// They are closed together, so that no port is returned twice.
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// AddServer starts a server and registers it.
func (s *Stage) AddServer(server *Server) error {
	if err := s.Servers.Start(server, s.NewIP()+":0"); err != nil {
		return err
	}
	s.Store.Put("servers/"+server.ID, server.Entry("ready"))
	return nil
}

// AddDaemons adds daemons in the zones of a small deployment: 3, 2 and 2.
func (s *Stage) AddDaemons(storeOf func(host string) string) error {
	zones := []string{"norte-a", "norte-a", "norte-a", "norte-b", "norte-b", "norte-c", "norte-c"}
	var ips, seeds []string
	var ports [][]int
	for i := range zones {
		ip := s.NewIP()
		own, err := FreePorts(ip, 5)
		if err != nil {
			return err
		}
		ips, ports = append(ips, ip), append(ports, own)
		if i == 0 || i == 3 || i == 5 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, own[2]))
		}
	}
	for i, zone := range zones {
		host, ip := fmt.Sprintf("edge-%s-%d", zone, i+1), ips[i]
		address := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[i][n]) }
		store := s.Store.Address
		if storeOf != nil {
			store = storeOf(host)
		}
		d := &Daemon{
			Host: host, Zone: zone, Front: address(0), Ready: address(1),
			settings: filepath.Join(s.folder, host+".ini"), logs: filepath.Join(s.folder, host+".log"),
		}
		text := strings.Join([]string{
			"[daemon]", "host = " + host, "availability_zone = " + zone, "",
			"[listen]", "caller = " + d.Front, "ready = " + d.Ready, "operator = " + address(3), "metrics = " + address(4), "peer = " + address(2), "",
			"[platform]", "protocol = platform", "store = http://" + store, "request_timeout = 1s", "",
			"[peers]", "seeds = " + strings.Join(seeds, ","), "key = entry-hosts-of-one-site", "",
			"[operator]", "token = entry-hosts-of-one-site", "",
			"[machine]", "memory_mb = 284", "descriptors = 4100", "processors = 0.4", "",
			"[limits]", "shutdown_timeout = 8s", "",
			"[budget]", "share = 0.2", "slack = 54", "window = 10s", "",
			"[revocation]", "", "[quota]", "", "[log]", "verbosity = 0", "",
		}, "\n")
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.Daemons = append(s.Daemons, d)
	}
	for _, d := range s.Daemons {
		if err := s.Start(d); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a daemon with the command of the deploy file.
func (s *Stage) Start(d *Daemon) error {
	logs, err := os.OpenFile(d.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command("target/turmerictided", "--settings", d.settings)
	d.process.Stdout, d.process.Stderr = logs, logs
	if err := d.process.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		_ = logs.Close()
		close(ended)
	}(d.process, d.ended)
	return nil
}

// Signal sends a signal to a daemon.
func (s *Stage) Signal(d *Daemon, signal os.Signal) {
	s.Log("%s gets %s", d.Host, signal)
	_ = d.process.Process.Signal(signal)
}

// Kill kills a daemon and waits for its end.
func (s *Stage) Kill(d *Daemon) {
	s.Signal(d, os.Kill)
	<-d.ended
}

// HasEnded reports whether the process of a daemon has ended.
func (d *Daemon) HasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Logs returns what a daemon has written.
func (d *Daemon) Logs() string {
	text, _ := os.ReadFile(d.logs)
	return string(text)
}

// LogsTo copies the lines of a daemon that contain a text to the record.
func (s *Stage) LogsTo(d *Daemon, text string, most int) {
	for line := range strings.Lines(d.Logs()) {
		if most > 0 && strings.Contains(line, text) {
			most--
			s.Log("log of %s: %s", d.Host, strings.TrimSpace(line))
		}
	}
}

// IsReady reports whether a daemon says that it is ready.
func (s *Stage) IsReady(d *Daemon) bool {
	response, err := http.Get("http://" + d.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (s *Stage) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, d := range s.Daemons {
		for !s.IsReady(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %.300s", d.Host, d.Logs())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.Log("all daemons are ready")
	return nil
}

// Close ends all processes, writes the runs of the servers to the record and closes it.
func (s *Stage) Close() {
	for _, r := range s.Servers.AllRuns() {
		s.Log("run at %.3f: %s of %s, attempt %s, %s %s, answer lost: %v", s.Seconds(r.At), r.Server, r.Service, r.Attempt, r.Method, r.Target, r.LostAnswer)
	}
	for _, d := range s.Daemons {
		if d.process == nil || d.process.Process == nil {
			continue
		}
		_ = d.process.Process.Kill()
		<-d.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(s.folder)
	}
	_ = s.record.Close()
}

// Main runs a case and exits with its code. All processes have ended then.
func Main(record string, limit time.Duration, run func(ctx context.Context, s *Stage) (int, error)) {
	s, err := Open(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		code, err := run(ctx, s)
		if err != nil {
			s.Log("cannot run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			code = CannotRun
		}
		done <- code
	}()
	code := CannotRun
	select {
	case code = <-done:
	case <-ctx.Done():
		s.Log("the case was ended early")
	}
	stop()
	cancel()
	s.Log("exit code %d", code)
	s.Close()
	os.Exit(code)
}

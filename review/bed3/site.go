//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// site is a small deployment: the store, servers, and daemons as processes.
type site struct {
	dir     string
	store   *store
	servers []*server
	daemons []*daemon
	version int
	routes  []any
	service []any
	beats   atomic.Bool
	limits  map[string]any
	tenants []any

	// mu guards servers.
	mu       sync.Mutex
	recordMu sync.Mutex
	record   *os.File
	start    time.Time
	count    atomic.Int64
}

// daemon is one process of the system.
type daemon struct {
	site     *site
	host     string
	zone     string
	front    string
	ready    string
	metrics  string
	peer     string
	operator string
	gate     *gate
	settings string
	memory   int
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
}

func newSite(record string) (*site, error) {
	dir, err := os.MkdirTemp("", "bed3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: newStore(), record: f, start: time.Now(), version: 3}
	s.beats.Store(true)
	s.limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	s.service = []any{
		map[string]any{"name": "desk", "health_path": "/health", "max_conns": 100},
		map[string]any{"name": "assistant", "health_path": "/health", "max_conns": 156, "engine": map[string]any{
			"slots": 12, "kv_tokens": 106421, "kv_token_bytes": 35136, "link_mbps": 5900000.0, "stride": 1, "kv_hold_s": 0.5,
		}},
	}
	s.routes = []any{
		route("bookings", "non_idempotent", "desk", 1, false, 800, 300), route("checks", "idempotent", "desk", 2, false, 800, 300),
		route("drafts", "streaming", "assistant", 2, true, 14000, 800), route("digests", "streaming", "assistant", 1, false, 14000, 2000),
	}
	return s, nil
}

func route(name, kind, service string, attempts int, resumable bool, timeout, target int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
		"priority": 0, "service": service, "max_attempts": attempts, "resumable": resumable, "gap_aim_ms": 300,
	}
}

// writeManifest writes the next version of the manifest and returns the time of its acknowledgment.
func (s *site) writeManifest() time.Time {
	s.version += 2
	manifest := map[string]any{"version": s.version, "routes": s.routes, "services": s.service, "limits": s.limits}
	if s.tenants != nil {
		manifest["tenants"] = s.tenants
	}
	return s.store.put("op/config", manifest)
}

// note writes a line of the record.
func (s *site) note(format string, arguments ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// at returns a time as in the record.
func (s *site) at(t time.Time) float64 { return t.Sub(s.start).Seconds() }

// freeAddress returns an address that nobody listens at, outside the ports that the system gives to connections.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprint(loopback, ":", 10000+rand.IntN(20000))
		if _, isUsed := addresses.LoadOrStore(address, true); isUsed {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	return ""
}

// loopback is the loopback address of this run, so that runs beside each other don't meet.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// addresses are those that freeAddress has returned.
var addresses sync.Map

// addDaemon prepares a daemon with the settings of deploy/settings.ini.tmpl for a machine of a small site.
func (s *site) addDaemon(host, zone string, extra ...string) (*daemon, error) {
	d := &daemon{site: s, host: host, zone: zone, front: freeAddress(), ready: freeAddress(), metrics: freeAddress(), peer: freeAddress(), operator: freeAddress(), memory: 284}
	var err error
	if d.gate, err = s.store.open(freeAddress()); err != nil {
		return nil, err
	}
	seeds := []string{d.peer}
	for _, other := range s.daemons {
		if len(seeds) < 3 {
			seeds = append(seeds, other.peer)
		}
	}
	lines := []string{
		"[daemon]", "host = " + host, "availability_zone = " + zone,
		"[listen]", "caller = " + d.front, "ready = " + d.ready, "operator = " + d.operator, "metrics = " + d.metrics, "peer = " + d.peer,
		"[platform]", "protocol = platform", "store = http://" + d.gate.address(), "request_timeout = 1s",
		"[peers]", "seeds = " + strings.Join(seeds, ","), "key = entry-hosts-of-one-site",
		"[operator]", "token = entry-hosts-of-one-site",
		"[machine]", fmt.Sprint("memory_mb = ", d.memory), "descriptors = 4100", "processors = 0.4",
		"[limits]", "shutdown_timeout = 8s",
		"[budget]", "share = 0.2", "slack = 54", "window = 10s",
		"[log]", "verbosity = 0",
	}
	lines = append(lines, extra...)
	d.settings = filepath.Join(s.dir, host+".ini")
	if err := os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(s.dir, host+".log")); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, nil
}

// run starts the process with the command of the deploy file.
func (d *daemon) run() error {
	d.cmd = exec.Command(program, "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.done = make(chan struct{})
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done, cmd := d.done, d.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// program is the daemon that the build line of the deploy file makes.
var program = "target/turmerictided"

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, d := range s.daemons {
			ready = ready && d.isReady()
		}
		if ready {
			return nil
		}
	}
	return errors.New("daemons are not ready")
}

// close ends all processes.
func (s *site) close() {
	for _, d := range s.daemons {
		if d.cmd == nil {
			continue
		}
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	if keep := os.Getenv("BED3_KEEP"); keep == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
	_ = s.record.Close()
}

// result is what a client saw of a request.
type result struct {
	id         string
	daemon     *daemon
	sentAt     time.Time
	answeredAt time.Time
	status     int
	header     http.Header
	body       string
	err        error
}

// newID returns the ID of a client attempt.
func (s *site) newID() string { return fmt.Sprintf("a%06d", s.count.Add(1)) }

// request sends one request on a new channel, as a client does.
func (s *site) request(d *daemon, method, path, body string, budget time.Duration, headers ...string) result {
	r := result{id: s.newID(), daemon: d, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(budget + time.Second))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: desk.example\r\nTurmerictide-Attempt-Id: %s\r\nTurmerictide-Deadline-Ms: %d\r\nConnection: close\r\n", method, path, r.id, budget.Milliseconds())
	for _, h := range headers {
		text.WriteString(h + "\r\n")
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	r.sentAt = time.Now()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		r.err = err
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.err, r.answeredAt = err, time.Now()
		return r
	}
	content, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.err, r.answeredAt = response.StatusCode, response.Header, string(content), err, time.Now()
	return r
}

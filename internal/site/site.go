// Package site runs a small site on loopback. Each stand-in and each daemon is a
// separate process. Demos and failure tests use it.
package site

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// Tokens and the peer key of every site.
const (
	OperatorToken = "operator-secret"
	CallerToken   = "foreman-secret"
	OfficeToken   = "office-secret"
	peerKey       = "peer-secret"
)

// Config sets the size and the options of a site.
type Config struct {
	// Binaries is the directory that contains the compiled programs.
	Binaries string
	// Directory is where settings, logs and traces are written.
	Directory      string
	Zones          []string
	DaemonsPerZone int
	// DecodePerZone is the number of decode engines in each zone.
	DecodePerZone int
	// TokenGap is the time between output tokens of an engine. The zero value means 5 ms.
	TokenGap time.Duration
	// ShutdownTimeout limits the graceful shutdown of a daemon. The zero value means one minute.
	ShutdownTimeout time.Duration
	// EngineFlags are appended to the command line of each engine.
	EngineFlags []string
	// Relays adds a Relay in front of the store and of each endpoint.
	Relays bool
	// Quiet disables traces and request logs.
	Quiet bool
}

// Process is a program that the site runs. It can be killed and started again.
type Process struct {
	Name string
	Zone string
	// Address is where a stand-in listens, or where a daemon listens for callers.
	Address  netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort
	// Role is set for endpoints only.
	Role ticket.Role
	// Relay is the relay in front of the program, or nil.
	Relay *Relay

	arguments []string
	log       string
	command   *exec.Cmd
	exited    chan struct{}
	exitCode  int
}

// Site is a running site.
type Site struct {
	Config    Config
	Store     *Process
	Hosts     *Process
	Endpoints []*Process
	Daemons   []*Process
}

// Start starts all processes and waits until the daemons are healthy. The caller must
// close the site.
func Start(config Config) (*Site, error) {
	s := &Site{Config: config}
	if err := s.start(); err != nil {
		s.Close()
		return nil, errors.Newf("start site: %w", err)
	}
	return s, nil
}

func (s *Site) start() error {
	var err error
	if s.Store, err = s.startStandin("store", "", "store"); err != nil {
		return err
	}
	if s.Hosts, err = s.startStandin("hosts", "", "hosts", "--lag", "500ms"); err != nil {
		return err
	}
	for _, zone := range s.Config.Zones {
		if err := s.startEndpoints(zone); err != nil {
			return err
		}
	}
	for _, zone := range s.Config.Zones {
		for i := range s.Config.DaemonsPerZone {
			if _, err := s.StartDaemon(fmt.Sprintf("entry-%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	for _, d := range s.Daemons {
		if err := WaitForURL("http://"+d.Operator.String()+"/healthz", startTimeout); err != nil {
			return err
		}
	}
	return nil
}

const startTimeout = 10 * time.Second

func (s *Site) startEndpoints(zone string) error {
	gap := s.Config.TokenGap
	if gap == 0 {
		gap = 5 * time.Millisecond
	}
	prefill, err := s.startStandin("prefill-"+zone, zone, append([]string{"engine", "--places", "16"}, s.Config.EngineFlags...)...)
	if err != nil {
		return err
	}
	prefill.Role = ticket.RolePrefill
	s.Endpoints = append(s.Endpoints, prefill)
	for i := range s.Config.DecodePerZone {
		name := fmt.Sprintf("decode-%s-%d", zone, i+1)
		decode, err := s.startStandin(name, zone, append([]string{"engine", "--token-gap", gap.String()}, s.Config.EngineFlags...)...)
		if err != nil {
			return err
		}
		decode.Role = ticket.RoleDecode
		s.Endpoints = append(s.Endpoints, decode)
	}
	plain, err := s.startStandin("desk-"+zone, zone, "plain")
	if err != nil {
		return err
	}
	plain.Role = ticket.RolePlain
	s.Endpoints = append(s.Endpoints, plain)
	return nil
}

func (s *Site) startStandin(name, zone string, arguments ...string) (*Process, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name: name, Zone: zone, Address: address,
		log: filepath.Join(s.Config.Directory, name+".log"),
	}
	p.arguments = append([]string{filepath.Join(s.Config.Binaries, "standin")}, arguments...)
	p.arguments = append(p.arguments, "--listen", address.String())
	if s.Config.Relays {
		if p.Relay, err = NewRelay(address); err != nil {
			return nil, err
		}
	}
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, WaitForPort(address, startTimeout)
}

// DialAddress returns the address that daemons connect to: that of the relay if there is
// one, otherwise that of the program.
func (p *Process) DialAddress() netip.AddrPort {
	if p.Relay != nil {
		return p.Relay.Address
	}
	return p.Address
}

// Start starts the program. It may be called again after the program has exited.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Newf("open log of %s: %w", p.Name, err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.arguments[0], p.arguments[1:]...)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return errors.Newf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		p.exitCode = command.ProcessState.ExitCode()
		close(exited)
	}(p.command, p.exited)
	return nil
}

func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Kill kills the program, even if it is stopped, and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.exited
}

// Exited returns a channel that is closed when the program has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code. It is valid only after Exited is closed.
func (p *Process) ExitCode() int { return p.exitCode }

// Log returns everything the program has written to its standard output and error.
func (p *Process) Log() string {
	content, _ := os.ReadFile(p.log)
	return string(content)
}

// Close kills each process of the site by its process ID, and closes the relays.
func (s *Site) Close() {
	var all []*Process
	all = append(all, s.Daemons...)
	all = append(all, s.Endpoints...)
	for _, p := range append(all, s.Store, s.Hosts) {
		if p != nil && p.command != nil {
			p.Kill()
		}
		if p != nil && p.Relay != nil {
			p.Relay.Close()
		}
	}
}

// StartDaemon starts an additional daemon. The daemons that are already in the site are its
// seeds.
func (s *Site) StartDaemon(name, zone string) (*Process, error) {
	var addresses [3]netip.AddrPort
	for i := range addresses {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	d := &Process{
		Name: name, Zone: zone, Address: addresses[0], Operator: addresses[1], Peer: addresses[2],
		log: filepath.Join(s.Config.Directory, name+".log"),
	}
	path := filepath.Join(s.Config.Directory, name+".ini")
	if err := os.WriteFile(path, []byte(s.settings(d)), 0o600); err != nil {
		return nil, errors.Newf("write settings: %w", err)
	}
	d.arguments = []string{filepath.Join(s.Config.Binaries, "turmerictided"), "--settings", path}
	if err := d.Start(); err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	return d, nil
}

func (s *Site) settings(d *Process) string {
	var seeds []string
	for _, other := range s.Daemons {
		seeds = append(seeds, other.Peer.String())
	}
	shutdownTimeout := s.Config.ShutdownTimeout
	if shutdownTimeout == 0 {
		shutdownTimeout = time.Minute
	}
	return fmt.Sprintf(`[daemon]
host = %s
availability_zone = %s

[listen]
caller = %s
operator = %s
peer = %s

[platform]
store = http://%s
hosts = http://%s/hosts
request_timeout = 1s

[peers]
seeds = %s
key = %s

[operator]
token = %s

[limits]
shutdown_timeout = %s

%s`, d.Name, d.Zone, d.Address, d.Operator, d.Peer, s.Store.DialAddress(), s.Hosts.Address,
		strings.Join(seeds, ", "), peerKey, OperatorToken, shutdownTimeout, s.observabilitySettings(d))
}

// observabilitySettings returns the settings sections for logs and traces.
func (s *Site) observabilitySettings(d *Process) string {
	if s.Config.Quiet {
		return ""
	}
	return fmt.Sprintf("[log]\nverbosity = 1\n\n[trace]\nexporter = file\ntarget = %s\n", s.TracePath(d))
}

// TracePath returns the path of the file that a daemon writes its spans to.
func (s *Site) TracePath(d *Process) string {
	return filepath.Join(s.Config.Directory, d.Name+".trace.json")
}

// WaitForPort waits until an address accepts TCP connections.
func WaitForPort(address netip.AddrPort, timeout time.Duration) error {
	return poll(timeout, func() error {
		connection, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err != nil {
			return err
		}
		return connection.Close()
	})
}

// WaitForURL waits until a GET request to a URL returns status 200.
func WaitForURL(url string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	return poll(timeout, func() error {
		response, err := client.Get(url)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.Newf("%s: status %d", url, response.StatusCode)
		}
		return nil
	})
}

func poll(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("timed out after %s: %w", timeout, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TokenHash returns the hash of a caller's token in the form that tickets contain.
func TokenHash(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

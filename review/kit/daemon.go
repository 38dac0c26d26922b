//go:build review

package kit

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the open record.txt.
var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
	daemons    []*Daemon
	tempDir    string
)

// OpenRecord creates record.txt in a folder.
func OpenRecord(folder string) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = f
	if tempDir, err = os.MkdirTemp("", "review"); err != nil {
		Fail(err)
	}
}

// Log writes a line to the record.
func Log(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(started).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	if recordFile != nil {
		_, _ = recordFile.WriteString(line)
	}
	fmt.Print(line)
}

// Exit ends all daemons and the program.
func Exit(code int) {
	for _, d := range daemons {
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
	}
	for _, d := range daemons {
		<-d.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
	Log("exit code %d", code)
	os.Exit(code)
}

// Fail ends a case that could not run.
func Fail(err error) {
	Log("the case could not run: %v", err)
	Exit(2)
}

// Daemon is one process of the router.
type Daemon struct {
	Name string
	IP   string
	// Front and Ready are its addresses for clients and for the platform.
	Front   string
	Ready   string
	command *exec.Cmd
	exited  chan struct{}
	LogFile string
}

// Pid is the id of its process.
func (d *Daemon) Pid() int { return d.command.Process.Pid }

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// HasExited reports whether the process has ended.
func (d *Daemon) HasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// Exited is closed when the process has ended.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// MemoryKB is the resident memory of the process.
func (d *Daemon) MemoryKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.Pid()))
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// Options are the settings of a daemon.
type Options struct {
	Name, Zone, IP, Store string
	Seeds                 []string
	// Extra lines are added to the settings.
	Extra string
}

// The ports of daemons lie below the range from which the kernel takes those of outgoing connections, so
// that no connection takes one between its choice and its use.
const (
	firstPort = 15000
	portCount = 17000
)

var takenPorts = map[int]bool{}

// Address returns a free address of an IP, which it returns only once.
func Address(ip string) string {
	for range 1000 {
		port := firstPort + rand.IntN(portCount)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		if takenPorts[port] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			takenPorts[port] = true
			return address
		}
	}
	Fail(errors.New("no free port"))
	return ""
}

// StartDaemon starts a daemon. Another program may take one of its ports between the choice and the
// use; then it starts once more with others.
func StartDaemon(o Options) *Daemon {
	for range 4 {
		d := startDaemon(o)
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if d.HasExited() {
				break
			}
			if c, err := net.Dial("tcp", d.Front); err == nil {
				_ = c.Close()
				return d
			}
		}
		text, _ := os.ReadFile(d.LogFile)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		Log("daemon %s does not serve: %s", o.Name, lines[len(lines)-1])
		if !strings.Contains(string(text), "address already in use") {
			break
		}
	}
	Fail(fmt.Errorf("daemon %s does not start", o.Name))
	return nil
}

// startDaemon starts target/turmerictided with the project's settings template filled in.
func startDaemon(o Options) *Daemon {
	d := &Daemon{Name: o.Name, IP: o.IP, Front: Address(o.IP), Ready: Address(o.IP), exited: make(chan struct{})}
	peer, operator := Address(o.IP), Address(o.IP)
	metrics := Address(o.IP)
	text, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		Fail(err)
	}
	replaced := strings.NewReplacer(
		"{{node}}", o.Name, "{{zone}}", o.Zone, "{{listen.front}}", d.Front, "{{listen.ready}}", d.Ready, "{{listen.control}}", peer,
		"{{ip}}:{{internal_ports.0}}", operator, "{{ip}}:7661", metrics, "{{platform.address}}", o.Store, "{{seeds}}", strings.Join(append(o.Seeds, peer), ","),
		"{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100", "{{limits.cpu_share}}", "0.4", "{{bounds.grace_s}}", "8",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "54", "{{bounds.budget_window_s}}", "10",
	).Replace(string(text))
	for _, name := range []string{"limits.memory_mb", "limits.max_fds", "limits.cpu_share", "bounds.grace_s", "bounds.retry_budget_ratio", "bounds.retry_budget_slack", "bounds.budget_window_s"} {
		replaced = strings.ReplaceAll(strings.ReplaceAll(replaced, "{{#"+name+"}}", ""), "{{/"+name+"}}", "")
	}
	path := filepath.Join(tempDir, o.Name+".ini")
	if err := os.WriteFile(path, []byte(replaced+o.Extra), 0o600); err != nil {
		Fail(err)
	}
	d.LogFile = filepath.Join(tempDir, o.Name+".log")
	log, err := os.Create(d.LogFile)
	if err != nil {
		Fail(err)
	}
	d.command = exec.Command("target/turmerictided", "--settings", path)
	d.command.Stdout, d.command.Stderr = log, log
	// The daemon ends with this program, however that ends. The thread that starts it must live as long.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		Fail(err)
	}
	daemons = append(daemons, d)
	Log("daemon %s started, front %s, pid %d", d.Name, d.Front, d.Pid())
	go func() {
		err := d.command.Wait()
		Log("daemon %s ended: %v", d.Name, err)
		close(d.exited)
	}()
	return d
}

// IsReady asks the daemon as the platform does.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.Ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func AwaitReady(list ...*Daemon) {
	for _, d := range list {
		for deadline := time.Now().Add(15 * time.Second); !d.IsReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				Fail(fmt.Errorf("daemon %s is not ready", d.Name))
			}
		}
	}
}

// Proxy relays TCP connections to a target. It can be silent.
type Proxy struct {
	Addr   string
	target string
	mu     sync.Mutex
	silent bool
	conns  []net.Conn
}

// NewProxy starts a proxy in front of a target.
func NewProxy(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail(err)
	}
	p := &Proxy{Addr: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// SetSilent makes the proxy hold back all bytes.
func (p *Proxy) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if !silent {
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.conns = nil
	}
}

func (p *Proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *Proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, t)
	p.mu.Unlock()
	relay := func(from, to net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for p.isSilent() {
				time.Sleep(10 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = from.Close()
		_ = to.Close()
	}
	go relay(c, t)
	relay(t, c)
}

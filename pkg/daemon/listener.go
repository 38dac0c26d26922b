package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/net/netutil"

	"github.com/turmerictide/turmerictide/pkg/certificate"
	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/link"
	"github.com/turmerictide/turmerictide/pkg/operator"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

// listener is an HTTP server that runs as a supervised service.
type listener struct {
	name            string
	bindAddress     netip.AddrPort
	connectionLimit int
	// guard, if set, limits and inspects the heads of requests. Its Connections are set to
	// connectionLimit.
	guard *connection.GuardConfig
	// certificate, if set, makes this a TLS listener.
	certificate *certificate.Keeper
	server      *http.Server
	socket      net.Listener
	closed      atomic.Bool
	done        chan struct{}
}

func newListener(name string, bindAddress netip.AddrPort, connectionLimit int, server *http.Server) *listener {
	return &listener{name: name, bindAddress: bindAddress, connectionLimit: connectionLimit, server: server, done: make(chan struct{})}
}

func (l *listener) open() error {
	socket, err := net.Listen("tcp", l.bindAddress.String())
	if err != nil {
		return errors.Newf("open %s listener: %w", l.name, err)
	}
	l.socket = socket
	if l.guard == nil {
		l.socket = netutil.LimitListener(socket, l.connectionLimit)
	}
	if l.certificate != nil {
		l.socket = tls.NewListener(l.socket, l.certificate.Config())
	}
	if l.guard != nil {
		l.guard.Connections = l.connectionLimit
		l.socket = connection.Guard(l.socket, *l.guard)
	}
	return nil
}

func (l *listener) address() string {
	return l.socket.Addr().String()
}

// Serve accepts connections until the server is shut down.
func (l *listener) Serve(ctx context.Context) error {
	defer close(l.done)
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) || l.closed.Load() {
		return suture.ErrDoNotRestart
	}
	return errors.Newf("serve %s listener: %w", l.name, err)
}

// close stops accepting connections. Open connections are still served.
func (l *listener) close() {
	l.closed.Store(true)
	_ = l.socket.Close()
}

// Done is closed when Serve has returned.
func (l *listener) Done() <-chan struct{} {
	return l.done
}

// internalConnectionLimit limits the connections of each listener that does not serve
// callers: peer, operator, ready and metrics.
const internalConnectionLimit = 4096

func (d *Daemon) buildListeners() error {
	limits := d.settings.Limits
	server := newServer(d.front.Handler(), limits.HeaderBytes)
	server.ConnContext = connection.GuardContext
	d.caller = newListener("caller", d.settings.Listen.Caller, limits.Connections, server)
	d.caller.guard = &connection.GuardConfig{
		Limits:   func() connection.HeadLimits { return connection.HeadLimits{Bytes: limits.HeaderBytes} },
		OnReject: d.logRejectedHead, Now: d.now,
	}
	admin := operator.NewHandler(operator.Config{
		Token: d.settings.Operator.Token, Status: d.status, State: d.follower.Current, Metrics: d.metrics,
	})
	d.operator = newListener("operator", d.settings.Listen.Operator, internalConnectionLimit, newServer(admin, limits.HeaderBytes))
	d.peer = newListener("peer", d.settings.Listen.Peer, internalConnectionLimit, newServer(d.peerHandler(), limits.HeaderBytes))
	files := d.settings.TLS
	if files.CertificateFile == "" {
		return nil
	}
	keeper, err := certificate.Open(files.CertificateFile, files.KeyFile, d.now, d.log.WithName("certificate"))
	if err != nil {
		return errors.Newf("open certificate: %w", err)
	}
	d.caller.certificate, d.operator.certificate = keeper, keeper
	return nil
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, d.mesh)
	mux.HandleFunc(ticket.PeerHeadPath, d.requireSignature(d.follower.ServePeerHead))
	mux.HandleFunc(ticket.PeerObjectPath, d.requireSignature(d.follower.ServePeerObject))
	return mux
}

// requireSignature rejects requests that no peer has signed.
func (p *peers) requireSignature(next http.HandlerFunc) http.HandlerFunc {
	keys := link.Keys(p.settings.Peers.Keys)
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Verify(r, p.now()); err != nil {
			http.Error(w, "not authorized", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (p *peers) logRejectedHead(remote net.Addr, status int) {
	p.log.Info("head of request was rejected", "remote", remote.String(), "status", status)
}

func openAll(listeners ...*listener) error {
	for _, l := range listeners {
		if err := l.open(); err != nil {
			return err
		}
	}
	return nil
}

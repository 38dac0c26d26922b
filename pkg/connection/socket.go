package connection

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer whose connections fail within a few seconds after the network
// path is interrupted, even when the peer never resets them.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(descriptor uintptr) {
				failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, failure)
		},
	}
}

// dial opens a connection that ends with a reset. closeInOrder closes it without one.
func dial(ctx context.Context, address netip.AddrPort) (*OrderlyConn, error) {
	conn, err := NewDialer(dialTimeout).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	socket := conn.(*net.TCPConn)
	// The connection ends with a reset unless it is closed in order, also when the process ends.
	if err := socket.SetLinger(0); err != nil {
		_ = socket.Close()
		return nil, errors.Newf("set how a connection is closed: %w", err)
	}
	return NewOrderlyConn(socket), nil
}

// closeInOrder closes a connection after the endpoint has acknowledged everything.
func closeInOrder(socket *OrderlyConn) {
	_ = socket.SetLinger(-1)
	_ = socket.Close()
}

// isReusable reports whether a connection is open and has no byte to read. An unread close
// or stray response makes it unusable.
func isReusable(conn *OrderlyConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

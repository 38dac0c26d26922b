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

func dial(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error) {
	conn, err := NewDialer(dialTimeout).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// isReusable reports whether a connection is open and has no byte to read. An unread close
// or stray response makes it unusable.
func isReusable(conn *net.TCPConn) bool {
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

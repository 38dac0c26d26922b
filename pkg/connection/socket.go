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

// NewDialer returns a dialer whose connections notice within a few seconds that
// their path is gone, also when the peer never resets them.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount,
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

// isQuiet reports whether a connection is open and has no byte to read, so that
// neither a close nor a stray response waits on it.
func isQuiet(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

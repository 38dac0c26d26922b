package site

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The range of ports for listeners. It is below the ephemeral port range of the system, so
// that no outgoing connection takes a port before its listener does.
const (
	firstPort = 10000
	lastPort  = 30000
)

// nextPort is the offset of the next port to try. Its initial value depends on the process
// ID, so that processes try different ports.
var nextPort atomic.Uint32

// HostAddress returns the loopback address of this process. Processes that choose ports at the
// same time have different addresses, as a port may be taken between its choice and its use.
func HostAddress() netip.Addr {
	id := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + id>>16), byte(id >> 8), byte(id)})
}

// FreeAddress returns an address of this process that no process listens on. A process does not
// get the same address twice until the range of ports wraps around.
func FreeAddress() (netip.AddrPort, error) {
	listener, address, err := listenFree()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return address, listener.Close()
}

// listenFree listens on a loopback address that is not in use.
func listenFree() (net.Listener, netip.AddrPort, error) {
	nextPort.CompareAndSwap(0, uint32(os.Getpid()*37))
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(HostAddress(), uint16(port))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		return listener, address, nil
	}
	return nil, netip.AddrPort{}, errors.New("no free port")
}

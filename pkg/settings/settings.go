// Package settings reads the daemon's INI file.
//
// The flow is: Load reads the file, each section is decoded by its own
// function, every fault is collected, and the caller receives either complete
// Settings or one Faults error that lists all faults at once. Token and key
// settings may name a file instead of a value, so that secrets stay out of the
// INI file itself.
package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"
)

// Settings is everything a daemon learns from its file.
type Settings struct {
	Daemon   Daemon
	Listen   Listen
	Platform Platform
	Peers    Peers
	Operator Operator
	TLS      TLS
	Machine  Machine
	Limits   Limits
	Budget   Budget
	Log      Log
	Trace    Trace
}

// Daemon names the host that the process runs on.
type Daemon struct {
	Host             string
	AvailabilityZone string
}

// Listen holds the addresses of the listeners. Ready and Metrics are optional:
// they answer without a token whether the daemon takes requests, and with its
// metrics.
type Listen struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort
	Ready    netip.AddrPort
	Metrics  netip.AddrPort
}

// Protocol names what is spoken with callers, endpoints and the store.
type Protocol string

// The protocols. ProtocolTickets is the project's own interface with tickets in
// an etcd store; ProtocolPlatform is that of the users' platform.
const (
	ProtocolTickets  Protocol = "tickets"
	ProtocolPlatform Protocol = "platform"
)

// Platform locates the services that the platform provides.
type Platform struct {
	Protocol Protocol
	// StoreURLs are base URLs of the platform's key-value service.
	StoreURLs []string
	// HostsURL is the address of the platform's list of live and leaving hosts.
	HostsURL string
	// RequestTimeout bounds one call to the platform.
	RequestTimeout time.Duration
}

// Peers tells how daemons find and authenticate each other.
type Peers struct {
	Seeds []netip.AddrPort
	// Keys authenticate peer links. The first key signs; every key verifies.
	Keys []string
}

// TLS names the files of the certificate of the caller and operator listeners, which
// speak plain HTTP without it. They are read again when they change.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Operator holds the credentials of the operator listener.
type Operator struct {
	Token string
}

// Machine is what the host has for this process, zero where it is not known.
type Machine struct {
	MemoryBytes int64
	Descriptors int
	// Processors is the part of a processor, or the number of processors.
	Processors float64
}

const (
	// bytesPerMegabyte is the unit of memory_mb.
	bytesPerMegabyte = 1 << 20
	// defaultConnections and defaultBufferedBytes are the limits of a machine of which
	// nothing is known.
	defaultConnections   = 20000
	defaultBufferedBytes = 32 << 20
	// callerShare is the part of the descriptors that callers' connections may take;
	// the rest is for endpoints, other daemons and files.
	callerShare = 0.7
	// bufferShare is the part of the memory that the bodies of requests may take.
	bufferShare = 0.25
)

// connections returns the connections of callers that the descriptors allow.
func (m Machine) connections() int {
	if m.Descriptors == 0 {
		return defaultConnections
	}
	return max(min(defaultConnections, int(callerShare*float64(m.Descriptors))), 1)
}

// bufferedBytes returns the bytes of bodies that the memory allows.
func (m Machine) bufferedBytes() int {
	if m.MemoryBytes == 0 {
		return defaultBufferedBytes
	}
	return max(min(defaultBufferedBytes, int(bufferShare*float64(m.MemoryBytes))), 1<<20)
}

// shutdownTimeouts are the times for a shutdown where none is set. A platform that does
// not tell how long it waits may soon end the process.
var shutdownTimeouts = map[Protocol]time.Duration{
	ProtocolTickets:  5 * time.Minute,
	ProtocolPlatform: 5 * time.Second,
}

// Limits bounds what callers may hold.
type Limits struct {
	BodyBytes int64
	// BufferedBytes bounds the bodies of all requests together.
	BufferedBytes   int64
	HeaderBytes     int
	Connections     int
	ShutdownTimeout time.Duration
}

// Budget bounds the requests that all daemons together send to a second
// endpoint, in any window of time.
type Budget struct {
	// Share is the part of a service's requests.
	Share float64
	// Slack is the number beyond that.
	Slack float64
	// Window is the length of a window.
	Window time.Duration
}

// Log selects the verbosity: 0 reports changes of state, 1 each request.
type Log struct {
	Verbosity int
}

// Exporter names a destination for spans.
type Exporter string

// The exporters that a daemon can use.
const (
	ExporterNone Exporter = "none"
	ExporterFile Exporter = "file"
	ExporterOTLP Exporter = "otlp"
)

// Trace selects where spans go.
type Trace struct {
	Exporter Exporter
	// Target is a file path for ExporterFile and a URL for ExporterOTLP.
	Target string
}

// Equal reports whether two settings are the same.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// Fault is one thing wrong with a settings file.
type Fault struct {
	Section string
	Key     string
	Value   string
	Allowed string
	// Essential is true when no default can stand in for the setting.
	Essential bool
}

// Error describes the fault with its place and what is allowed there.
func (f Fault) Error() string {
	return fmt.Sprintf("[%s] %s = %q: want %s", f.Section, f.Key, f.Value, f.Allowed)
}

// Faults is the error of a settings file with at least one fault.
type Faults []Fault

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Package settings reads the daemon's INI file.
//
// Load reads the file and decodes all sections. It returns either complete
// Settings or one Faults error that lists all faults. Instead of a secret, a
// setting may name a file that contains the secret, so that secrets stay out of
// the INI file.
package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"
)

// Settings contains all settings of a daemon.
type Settings struct {
	Daemon     Daemon
	Listen     Listen
	Platform   Platform
	Peers      Peers
	Operator   Operator
	TLS        TLS
	Machine    Machine
	Limits     Limits
	Budget     Budget
	Revocation Revocation
	Quota      Quota
	Capacity   Capacity
	Log        Log
	Trace      Trace
}

// Daemon names the host of the process and the host's availability zone.
type Daemon struct {
	Host             string
	AvailabilityZone string
}

// Listen contains the addresses of the listeners. Ready and Metrics need no token.
// They serve the readiness and the metrics of the daemon, and are optional except
// with ProtocolPlatform.
type Listen struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort
	Ready    netip.AddrPort
	Metrics  netip.AddrPort
}

// Protocol is the protocol between the daemon and callers, endpoints and the store.
type Protocol string

// The protocols. ProtocolTickets is the project's own protocol, with tickets in
// an etcd store. ProtocolPlatform is that of the users' platform.
const (
	ProtocolTickets  Protocol = "tickets"
	ProtocolPlatform Protocol = "platform"
)

// Platform contains the addresses of the platform's services.
type Platform struct {
	Protocol Protocol
	// StoreURLs are the base URLs of the platform's key-value service.
	StoreURLs []string
	// HostsURL is the URL of the platform's list of live and leaving hosts.
	HostsURL string
	// RequestTimeout limits one call to the platform.
	RequestTimeout time.Duration
}

// Peers configures how daemons find and authenticate each other.
type Peers struct {
	Seeds []netip.AddrPort
	// Keys authenticate peer links. The first key signs, and all keys verify.
	Keys []string
}

// TLS names the certificate files of the caller and operator listeners, which serve plain
// HTTP if no files are set. Changed files are read again.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Operator contains the bearer token of the operator listener.
type Operator struct {
	Token string
}

// Machine contains the resources of the host for this process. A value of 0 means unknown.
type Machine struct {
	MemoryBytes int64
	Descriptors int
	// Processors is the number of processors, which may be a fraction.
	Processors float64
}

const (
	// bytesPerMegabyte is the unit of memory_mb.
	bytesPerMegabyte = 1 << 20
	// defaultConnections and defaultBufferedBytes are the limits if the resources of the
	// machine are unknown.
	defaultConnections   = 20000
	defaultBufferedBytes = 32 << 20
	// callerDescriptorShare is the fraction of the descriptors that callers' connections
	// may use. The rest is for endpoints, other daemons and files.
	callerDescriptorShare = 0.7
	// bufferMemoryShare is the fraction of the memory that the bodies of requests may use.
	bufferMemoryShare = 0.25
)

// connections returns the default limit on callers' connections, by the number of
// descriptors.
func (m Machine) connections() int {
	if m.Descriptors == 0 {
		return defaultConnections
	}
	return max(min(defaultConnections, int(callerDescriptorShare*float64(m.Descriptors))), 1)
}

// bufferedBytes returns the default limit on buffered request bodies, by the size of the
// memory.
func (m Machine) bufferedBytes() int {
	if m.MemoryBytes == 0 {
		return defaultBufferedBytes
	}
	return max(min(defaultBufferedBytes, int(bufferMemoryShare*float64(m.MemoryBytes))), 1<<20)
}

// shutdownTimeouts contains the default shutdown timeouts. The timeout of ProtocolPlatform
// is short, since a platform that does not state how long it waits for a shutdown may soon
// kill the process.
var shutdownTimeouts = map[Protocol]time.Duration{
	ProtocolTickets:  5 * time.Minute,
	ProtocolPlatform: 5 * time.Second,
}

// Limits contains the limits on callers, and the shutdown timeout.
type Limits struct {
	BodyBytes int64
	// BufferedBytes limits the total size of the bodies of all requests.
	BufferedBytes   int64
	HeaderBytes     int
	Connections     int
	ShutdownTimeout time.Duration
}

// Budget limits the requests that all daemons together retry at a second endpoint, in
// any window of time.
type Budget struct {
	// Share is the fraction of a service's requests that may be retried.
	Share float64
	// Slack is the number of retries that are allowed in addition to Share.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
}

// Revocation limits how long a revoked key may be accepted.
type Revocation struct {
	// Strict is true if a daemon that cannot confirm its configuration rejects requests with keys.
	Strict bool
	// Within is the time after which a confirmation of the configuration is too old.
	Within time.Duration
}

// Quota limits the use of a team beyond its rate limit: in any window, all daemons together serve at
// most (rate x window + burst) x (1 + Overage) + Slack.
type Quota struct {
	Window  time.Duration
	Overage float64
	// Slack is a number of tokens.
	Slack float64
}

// Capacity selects what hosts learn together of the endpoints.
type Capacity struct {
	// Shared is true if hosts report how plain endpoints serve them, and use the evidence of all
	// hosts to divide and limit their requests.
	Shared bool
	// DecodeSpeeds is true if decodes are placed by the learned speeds of their endpoints.
	DecodeSpeeds bool
}

// Log selects the verbosity: 0 logs changes of state, 1 each request.
type Log struct {
	Verbosity int
}

// Exporter is the kind of destination for spans.
type Exporter string

// The supported exporters.
const (
	ExporterNone Exporter = "none"
	ExporterFile Exporter = "file"
	ExporterOTLP Exporter = "otlp"
)

// Trace configures the export of spans.
type Trace struct {
	Exporter Exporter
	// Target is a file path for ExporterFile and a URL for ExporterOTLP.
	Target string
}

// Equal reports whether two settings are the same.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// Fault is one invalid setting, unknown key or unknown section.
type Fault struct {
	Section string
	Key     string
	Value   string
	Allowed string
	// Essential is true if there is no default for the setting.
	Essential bool
}

// Error returns the section, the key, the value and the allowed values.
func (f Fault) Error() string {
	return fmt.Sprintf("[%s] %s = %q: want %s", f.Section, f.Key, f.Value, f.Allowed)
}

// Faults is the error of a settings file with at least one fault.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

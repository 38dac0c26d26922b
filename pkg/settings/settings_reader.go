package settings

import (
	"math"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Load reads and checks the file at path. The error is a Faults value if the file is an
// INI file with at least one fault.
func Load(path string) (Settings, error) {
	result, defaulted, err := LoadForStart(path)
	if err == nil && len(defaulted) > 0 {
		err = defaulted
	}
	if err != nil {
		return Settings{}, err
	}
	return result, nil
}

// LoadForStart reads the file at path for a daemon that starts. Invalid settings that have
// a default get it, and their faults are returned. If a fault is essential, the error is
// a Faults value that lists all faults.
func LoadForStart(path string) (Settings, Faults, error) {
	r, err := OpenReader(path)
	if err != nil {
		return Settings{}, nil, err
	}
	result := r.settings()
	r.rejectUnknown()
	if slices.ContainsFunc(r.faults, func(f Fault) bool { return f.Essential }) {
		return Settings{}, nil, r.faults
	}
	return result, r.faults, nil
}

// Reader reads the keys of an INI file and collects all faults. A key that no method has
// read is unknown.
type Reader struct {
	file     *ini.File
	readKeys map[string]map[string]bool
	faults   Faults
}

// OpenReader reads the file at path. It returns an error if the file cannot be read or is
// not an INI file.
func OpenReader(path string) (*Reader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, path)
	if err != nil {
		return nil, errors.Newf("read settings file: %w", err)
	}
	return &Reader{file: file, readKeys: map[string]map[string]bool{}}, nil
}

// Err returns a Faults value with all faults, or nil if there are none. It must be called
// after all keys were read, since it reports the other keys of the file as unknown.
func (r *Reader) Err() error {
	r.rejectUnknown()
	if len(r.faults) > 0 {
		return r.faults
	}
	return nil
}

// Sections returns the names of the sections that begin with prefix, in file order.
func (r *Reader) Sections(prefix string) []string {
	var names []string
	for _, section := range r.file.Sections() {
		if strings.HasPrefix(section.Name(), prefix) {
			names = append(names, section.Name())
		}
	}
	return names
}

func (r *Reader) settings() Settings {
	var s Settings
	s.Daemon.Host = r.required("daemon", "host")
	s.Daemon.AvailabilityZone = r.required("daemon", "availability_zone")
	s.Listen.Caller = r.address("listen", "caller")
	s.Listen.Operator = r.address("listen", "operator")
	s.Listen.Peer = r.address("listen", "peer")
	s.Platform.Protocol = Protocol(r.choice("platform", "protocol", string(ProtocolTickets), string(ProtocolPlatform)))
	listenAddress := r.optionalAddress
	if s.Platform.Protocol == ProtocolPlatform {
		listenAddress = r.address
	}
	s.Listen.Ready = listenAddress("listen", "ready")
	s.Listen.Metrics = listenAddress("listen", "metrics")
	s.Platform.StoreURLs = r.urls("platform", "store")
	s.Platform.HostsURL = r.optionalURL("platform", "hosts")
	s.Platform.RequestTimeout = r.Duration("platform", "request_timeout", 2*time.Second, 50*time.Millisecond, time.Minute)
	s.Peers.Seeds = r.addresses("peers", "seeds")
	s.Peers.Keys = r.secrets("peers", "key", "previous_key")
	s.Operator.Token = r.secret("operator", "token")
	s.TLS = r.tls(s.Platform.Protocol)
	s.Limits.BodyBytes = int64(r.Integer("limits", "body_bytes", 4<<20, 1<<10, 1<<30))
	s.Limits.HeaderBytes = r.Integer("limits", "header_bytes", 32<<10, 1<<10, 1<<20)
	s.Machine.MemoryBytes = int64(r.Number("machine", "memory_mb", 0, 0, 1<<30) * bytesPerMegabyte)
	s.Machine.Descriptors = r.Integer("machine", "descriptors", 0, 0, 1<<30)
	s.Machine.Processors = r.Number("machine", "processors", 0, 0, 1<<20)
	s.Limits.BufferedBytes = int64(r.Integer("limits", "buffered_bytes", s.Machine.bufferedBytes(), 1<<20, 1<<40))
	s.Limits.Connections = r.Integer("limits", "connections", s.Machine.connections(), 1, 1<<20)
	s.Limits.ShutdownTimeout = r.Duration("limits", "shutdown_timeout", shutdownTimeouts[s.Platform.Protocol], 0, 24*time.Hour)
	s.Budget.Share = r.share("budget", "share", 0.2)
	s.Budget.Slack = r.Number("budget", "slack", 50, 0, 1<<20)
	s.Budget.Window = r.Duration("budget", "window", 10*time.Second, 100*time.Millisecond, time.Hour)
	s.Revocation.Strict = r.optionalBool("revocation", "strict")
	s.Revocation.Within = r.Duration("revocation", "within", 5*time.Second, time.Millisecond, 24*time.Hour)
	s.Quota.Window = r.Duration("quota", "window", 8*time.Second, 100*time.Millisecond, time.Hour)
	s.Quota.Overage = r.Number("quota", "overage", 0.1, 0, 100)
	s.Quota.Slack = r.Number("quota", "slack", 0, 0, 1<<40)
	s.Capacity.Shared = r.Bool("capacity", "shared")
	s.Capacity.DecodeSpeeds = r.Bool("capacity", "decode_speeds")
	s.Log.Verbosity = r.Integer("log", "verbosity", 0, 0, 2)
	s.Trace.Exporter = Exporter(r.choice("trace", "exporter", string(ExporterNone), string(ExporterFile), string(ExporterOTLP)))
	s.Trace.Target = r.Text("trace", "target", "")
	if s.Trace.Exporter != ExporterNone && s.Trace.Target == "" {
		r.AddFault("trace", "target", "", "a file path for exporter file, a URL for exporter otlp")
	}
	return s
}

// AddFault adds an essential fault: an invalid value without a default. allowed describes
// the valid values.
func (r *Reader) AddFault(section, key, value, allowed string) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Value: value, Allowed: allowed, Essential: true})
}

// addDefaultedFault adds a fault for an invalid value that is replaced by its default.
func (r *Reader) addDefaultedFault(section, key, value, allowed string) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Value: value, Allowed: allowed})
}

// Text returns the value of a key, or fallback if it is not set.
func (r *Reader) Text(section, key, fallback string) string {
	if r.readKeys[section] == nil {
		r.readKeys[section] = map[string]bool{}
	}
	r.readKeys[section][key] = true
	value := strings.TrimSpace(r.file.Section(section).Key(key).String())
	if value == "" {
		return fallback
	}
	return value
}

func (r *Reader) required(section, key string) string {
	value := r.Text(section, key, "")
	if value == "" {
		r.AddFault(section, key, value, "a name")
	}
	return value
}

func (r *Reader) address(section, key string) netip.AddrPort {
	value := r.Text(section, key, "")
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.AddFault(section, key, value, "an IP number and port such as 10.0.0.1:8080")
	}
	return address
}

// optionalAddress returns the zero address if the key is not set.
func (r *Reader) optionalAddress(section, key string) netip.AddrPort {
	if r.Text(section, key, "") == "" {
		return netip.AddrPort{}
	}
	return r.address(section, key)
}

// share reads a fraction from 0 to 1.
func (r *Reader) share(section, key string, fallback float64) float64 {
	return r.Number(section, key, fallback, 0, 1)
}

// Number reads a number from minimum to maximum. An invalid value is a fault and gives
// fallback.
func (r *Reader) Number(section, key string, fallback, minimum, maximum float64) float64 {
	text := func(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }
	value := r.Text(section, key, text(fallback))
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= minimum && number <= maximum) {
		r.addDefaultedFault(section, key, value, "a number from "+text(minimum)+" to "+text(maximum))
		return fallback
	}
	return number
}

// Bool reads true or false. It returns false if the key is not set.
func (r *Reader) Bool(section, key string) bool {
	return r.choice(section, key, "false", "true") == "true"
}

// optionalBool reads a boolean in any of the notations of strconv.ParseBool. An invalid value is a
// fault and gives false.
func (r *Reader) optionalBool(section, key string) bool {
	value := r.Text(section, key, "false")
	result, err := strconv.ParseBool(value)
	if err != nil {
		r.addDefaultedFault(section, key, value, "true or false")
	}
	return result
}

// List returns the values of a key, which are separated by commas.
func (r *Reader) List(section, key string) []string {
	value := r.Text(section, key, "")
	if value == "" {
		return nil
	}
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func (r *Reader) addresses(section, key string) []netip.AddrPort {
	var result []netip.AddrPort
	for _, value := range r.List(section, key) {
		address, err := netip.ParseAddrPort(value)
		if err != nil {
			r.addDefaultedFault(section, key, value, "IP numbers and ports separated by commas")
			continue
		}
		result = append(result, address)
	}
	return result
}

func isURL(value string) bool {
	parsed, err := url.Parse(value)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

func (r *Reader) urls(section, key string) []string {
	result := r.List(section, key)
	if len(result) == 0 {
		r.AddFault(section, key, "", "one or more http or https URLs separated by commas")
	}
	for _, value := range result {
		if !isURL(value) {
			r.AddFault(section, key, value, "an http or https URL")
		}
	}
	return result
}

func (r *Reader) optionalURL(section, key string) string {
	value := r.Text(section, key, "")
	if value != "" && !isURL(value) {
		r.AddFault(section, key, value, "an http or https URL")
	}
	return value
}

// Integer reads an integer from minimum to maximum. The value may have an exponent or a
// fraction of zero, as in 1e3 or 5.0. An invalid value is a fault and gives fallback.
func (r *Reader) Integer(section, key string, fallback, minimum, maximum int) int {
	value := r.Text(section, key, strconv.Itoa(fallback))
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || number != math.Trunc(number) || !(number >= float64(minimum) && number <= float64(maximum)) {
		r.addDefaultedFault(section, key, value, "a whole number from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum))
		return fallback
	}
	return int(number)
}

// Duration reads a duration from minimum to maximum. An invalid value is a fault and gives
// fallback.
func (r *Reader) Duration(section, key string, fallback, minimum, maximum time.Duration) time.Duration {
	value := r.Text(section, key, fallback.String())
	length, err := parseDuration(value)
	if err != nil || length < minimum || length > maximum {
		r.addDefaultedFault(section, key, value, "a duration from "+minimum.String()+" to "+maximum.String())
		return fallback
	}
	return length
}

// parseDuration parses a duration whose number may have an exponent, as in 8e0s.
func parseDuration(text string) (time.Duration, error) {
	length, err := time.ParseDuration(text)
	if err == nil {
		return length, nil
	}
	number := strings.TrimRight(text, "nuµmsh")
	unit, unitErr := time.ParseDuration("1" + text[len(number):])
	count, countErr := strconv.ParseFloat(number, 64)
	if unitErr != nil || countErr != nil {
		return 0, errors.Newf("parse duration: %w", err)
	}
	nanoseconds := count * float64(unit)
	if !(math.Abs(nanoseconds) < math.MaxInt64) {
		return 0, errors.Newf("duration %s is out of range", text)
	}
	return time.Duration(nanoseconds), nil
}

func (r *Reader) choice(section, key string, allowed ...string) string {
	value := r.Text(section, key, allowed[0])
	for _, candidate := range allowed {
		if candidate == value {
			return value
		}
	}
	r.AddFault(section, key, value, "one of "+strings.Join(allowed, ", "))
	return value
}

// secret reads a secret from key, or from the file that key_file names.
func (r *Reader) secret(section, key string) string {
	value := r.optionalSecret(section, key)
	if value == "" {
		r.AddFault(section, key, "", "a secret, or its file in "+key+"_file")
	}
	return value
}

func (r *Reader) optionalSecret(section, key string) string {
	value := r.Text(section, key, "")
	path := r.Text(section, key+"_file", "")
	if path == "" {
		return value
	}
	content, err := os.ReadFile(path)
	if err != nil {
		r.AddFault(section, key+"_file", path, "a readable file")
		return ""
	}
	return strings.TrimSpace(string(content))
}

// tls reads the certificate files. Either both or none must be set.
func (r *Reader) tls(protocol Protocol) TLS {
	files := TLS{CertificateFile: r.Text("tls", "certificate_file", ""), KeyFile: r.Text("tls", "key_file", "")}
	if (files.CertificateFile == "") != (files.KeyFile == "") {
		r.AddFault("tls", "key_file", files.KeyFile, "a file if certificate_file is set, and no value otherwise")
	}
	if files.CertificateFile != "" && protocol == ProtocolPlatform {
		r.AddFault("tls", "certificate_file", files.CertificateFile, "no value, since the platform protocol uses plain HTTP")
	}
	return files
}

func (r *Reader) secrets(section, currentKey, previousKey string) []string {
	result := []string{r.secret(section, currentKey)}
	if old := r.optionalSecret(section, previousKey); old != "" {
		result = append(result, old)
	}
	return result
}

func (r *Reader) rejectUnknown() {
	for _, section := range r.file.Sections() {
		keys, ok := r.readKeys[section.Name()]
		if !ok && len(section.Keys()) > 0 {
			r.addDefaultedFault(section.Name(), "", "", "a known section")
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				r.addDefaultedFault(section.Name(), key.Name(), key.Value(), "a known key")
			}
		}
	}
}

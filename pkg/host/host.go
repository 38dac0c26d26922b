// Package host reads the platform's list of live and leaving hosts. The list may be out
// of date, so it is used only to stop sending work to an endpoint, never to start sending
// it.
package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// State is the state of a host as reported by the platform.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry in the list.
type Host struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	State            State  `json:"state"`
}

const (
	// pollInterval is the interval between reads of the list.
	pollInterval = time.Second
	// reportInterval is the interval between reports of the same leaving hosts.
	reportInterval = 3 * time.Second
	// maxListBytes limits the size of the list.
	maxListBytes = 8 << 20
)

// Watcher polls the list and reports the leaving hosts.
type Watcher struct {
	url       string
	client    *http.Client
	isReader  func() bool
	onLeaving func(hosts []string)
	now       func() time.Time
	log       logr.Logger
	done      chan struct{}
}

// NewWatcher returns a Watcher. It polls url while isReader returns true, and passes the
// sorted names of leaving hosts to onLeaving.
func NewWatcher(url string, timeout time.Duration, isReader func() bool, onLeaving func([]string), now func() time.Time, log logr.Logger) *Watcher {
	return &Watcher{
		url: url, client: &http.Client{Timeout: timeout}, isReader: isReader,
		onLeaving: onLeaving, now: now, log: log, done: make(chan struct{}),
	}
}

// Done is closed when Serve has returned.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Serve polls the list until ctx is done. Without a URL it does nothing until then.
func (w *Watcher) Serve(ctx context.Context) error {
	defer close(w.done)
	if w.url == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	var lastNames []string
	var lastReportedAt time.Time
	for {
		if w.isReader() {
			names, err := w.read(ctx)
			now := w.now()
			switch {
			case err != nil:
				w.log.V(1).Info("list of hosts is not readable", "error", err.Error())
			case !slices.Equal(names, lastNames) || (len(names) > 0 && now.Sub(lastReportedAt) >= reportInterval):
				lastNames, lastReportedAt = names, now
				w.onLeaving(names)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// read returns the sorted names of the leaving hosts.
func (w *Watcher) read(ctx context.Context) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url, nil)
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, errors.Newf("read list of hosts: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("read list of hosts: status %d", response.StatusCode)
	}
	var hosts []Host
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&hosts); err != nil {
		return nil, errors.Newf("decode list of hosts: %w", err)
	}
	var leaving []string
	for _, h := range hosts {
		if h.State == StateLeaving {
			leaving = append(leaving, h.Name)
		}
	}
	slices.Sort(leaving)
	return leaving, nil
}

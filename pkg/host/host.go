// Package host reads the platform's list of live and leaving hosts. The list
// lags, so it only takes work away from an endpoint and never gives it any.
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

// State is what the platform says of a host.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	State            State  `json:"state"`
}

const (
	// pollPeriod spaces the readings of the list.
	pollPeriod = time.Second
	// repeatPeriod spaces the repeated reports of an unchanged list.
	repeatPeriod = 3 * time.Second
	// maxListBytes bounds the list.
	maxListBytes = 8 << 20
)

// Watcher polls the list and reports the hosts that leave.
type Watcher struct {
	url      string
	client   *http.Client
	isReader func() bool
	leaving  func(hosts []string)
	now      func() time.Time
	log      logr.Logger
	done     chan struct{}
}

// NewWatcher returns a Watcher that polls url while isReader says so, and
// passes the names of leaving hosts to leaving.
func NewWatcher(url string, timeout time.Duration, isReader func() bool, leaving func([]string), now func() time.Time, log logr.Logger) *Watcher {
	return &Watcher{
		url: url, client: &http.Client{Timeout: timeout}, isReader: isReader,
		leaving: leaving, now: now, log: log, done: make(chan struct{}),
	}
}

// Done is closed when Serve has returned.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Serve polls until ctx ends. Without an address it only waits.
func (w *Watcher) Serve(ctx context.Context) error {
	defer close(w.done)
	if w.url == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	var last []string
	var lastAt time.Time
	for {
		if w.isReader() {
			names, err := w.read(ctx)
			now := w.now()
			switch {
			case err != nil:
				w.log.V(1).Info("list of hosts is not readable", "error", err.Error())
			case !slices.Equal(names, last) || (len(names) > 0 && now.Sub(lastAt) >= repeatPeriod):
				last, lastAt = names, now
				w.leaving(names)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
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

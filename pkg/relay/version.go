package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/connection"
	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// recordTimeout limits the wait for the record of a stream's version after its first event has
	// arrived. Without the record, the stream can be taken up at this host alone.
	recordTimeout = 100 * time.Millisecond
	// stateTimeout limits the wait for the state of this host to be as recent as the store. A host that
	// reads its peers learns a change within a second.
	stateTimeout = time.Second
	// statePollInterval is the interval between checks of the state in that time.
	statePollInterval = 10 * time.Millisecond
	// maxCheckInterval is the interval between checks of the store's availability from which on the
	// process was paused.
	maxCheckInterval = time.Second
	// versionRetryAfter is the time in which a crashed endpoint of a version is back, or a store
	// that is away.
	versionRetryAfter = 3 * time.Second
	// streamLives is the number of route timeouts for which events of a stream may be at a caller:
	// one for the attempt that began it, and one for the attempts after it.
	streamLives = 2
)

// versionHistory contains the software versions of each service's endpoints and when each was last
// registered.
type versionHistory struct {
	services map[string]*serviceVersions
	// staleAt is the last time at which the registered endpoints may not have been known. checkedAt is
	// the last time at which that was checked, zero before the first.
	staleAt   time.Time
	checkedAt time.Time
}

type serviceVersions struct {
	since    time.Time
	current  map[string]bool
	lastSeen map[string]time.Time
}

// check records whether the registered endpoints are known at now. They were not while the process was
// paused.
func (h *versionHistory) check(now time.Time, isCurrent bool) {
	if !isCurrent || h.wasPaused(now) {
		h.staleAt = now
	}
	h.checkedAt = now
}

// wasPaused reports whether the process was paused since the last check.
func (h *versionHistory) wasPaused(now time.Time) bool {
	return !h.checkedAt.IsZero() && now.Sub(h.checkedAt) > maxCheckInterval
}

// update records the registered endpoints.
func (h *versionHistory) update(now time.Time, state *directory.State) {
	current := map[string]map[string]bool{}
	for _, e := range state.Endpoints {
		if e.Role == ticket.RolePrefill {
			continue
		}
		if current[e.Service] == nil {
			current[e.Service] = map[string]bool{}
		}
		current[e.Service][e.Version] = true
	}
	for service, versions := range current {
		if h.services[service] == nil {
			h.services[service] = &serviceVersions{since: now, lastSeen: map[string]time.Time{}}
		}
		for version := range versions {
			h.services[service].lastSeen[version] = now
		}
	}
	for service, known := range h.services {
		for version := range known.current {
			known.lastSeen[version] = now
		}
		known.current = current[service]
	}
}

// only returns the version of all streams of a service that have begun in a period before now. It
// returns false if there may have been several.
func (h *versionHistory) only(now time.Time, service string, period time.Duration) (string, bool) {
	known := h.services[service]
	if known == nil || h.wasPaused(now) || now.Sub(known.since) < period || now.Sub(h.staleAt) < period {
		return "", false
	}
	only, count := "", 0
	for version, at := range known.lastSeen {
		switch {
		case known.current[version] || now.Sub(at) < period:
			only, count = version, count+1
		default:
			delete(known.lastSeen, version)
		}
	}
	return only, count == 1
}

// findOrigin finds the software version that began the stream which a call resumes. The error is the
// Fault for a version that is not known: events of two versions must not be joined.
func (r *Relay) findOrigin(ctx context.Context, j *job) error {
	source := "record"
	version, revision, err := r.config.Origins.Version(ctx, j.call.Resumes, r.config.Now().Add(streamLives*j.route.Timeout))
	j.version, j.isTakenUp = version, version != ""
	known := j.isTakenUp
	if !known && err == nil && r.awaitRevision(ctx, revision) {
		source = "only version"
		r.mu.Lock()
		j.version, known = r.versions.only(r.config.Now(), j.service.Name, streamLives*j.route.Timeout)
		r.mu.Unlock()
	}
	fields := []any{"request_id", j.call.ID, "resumes", j.call.Resumes, "last_event", j.call.LastEvent, "version", j.version, "source", source}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	if !known {
		r.config.Log.Info("version of a resumed stream is not known", fields...)
		return &Fault{Cause: CauseVersionUnknown, RetryAfter: versionRetryAfter}
	}
	r.config.Log.Info("version of a resumed stream is known", fields...)
	return nil
}

// awaitRevision waits until the state contains the store's changes up to a revision, and reports whether
// it does in time.
func (r *Relay) awaitRevision(ctx context.Context, revision store.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for r.config.Revision() < revision {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// servesVersion reports whether an endpoint that can stream accepts new work at a version.
func servesVersion(state *directory.State, service, version string) bool {
	for _, e := range state.Serving(service) {
		if e.Version == version && e.Role != ticket.RolePrefill {
			return true
		}
	}
	return false
}

// servesOneVersion reports whether all endpoints of a service that can stream have one version.
func servesOneVersion(state *directory.State, service string) bool {
	only, isKnown := "", false
	for _, e := range state.Serving(service) {
		if e.Role == ticket.RolePrefill {
			continue
		}
		if isKnown && e.Version != only {
			return false
		}
		only, isKnown = e.Version, true
	}
	return isKnown
}

// recordOrigin starts to write the version that is about to begin a stream which its caller may
// take up, unless it was the last one to be written.
func (m *modelRun) recordOrigin(version string) {
	j := m.job
	if !j.route.Resumable || j.call.LastEvent != NoEvent || m.stream.eventCount > 0 || (m.record != nil && m.recordedVersion == version) {
		return
	}
	m.record = m.relay.config.Origins.Record(j.call.ID, m.records, version, m.relay.config.Now().Add(streamLives*j.route.Timeout))
	m.recordedVersion = version
	m.records++
}

// beginStream makes the stream one of the version of its first endpoint, before the first event is
// forwarded. While a service has several versions, the record is written only now: one of an endpoint
// that then rejects the stream may be in a copy of the store that lacks the one after it. If there is
// such a record all the same, the present one must be written first.
func (m *modelRun) beginStream(ctx context.Context, version string) error {
	j := m.job
	if j.version == "" {
		j.version = version
	}
	m.recordOrigin(version)
	if m.record == nil {
		return nil
	}
	m.relay.config.Origins.Remember(j.call.ID, version)
	if m.records > 1 {
		return m.awaitRecord(ctx)
	}
	if m.relay.config.IsStoreCurrent() {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		_ = m.awaitRecord(ctx)
	}
	return nil
}

// awaitRecord waits until the last record of the stream's version is written.
func (m *modelRun) awaitRecord(ctx context.Context) error {
	select {
	case <-m.record.Done():
		if err := m.record.Err(); err != nil {
			return errors.Newf("record version: %v: %w", err, connection.ErrBroken)
		}
		return nil
	case <-ctx.Done():
		return errors.Newf("record version: %w", errors.Mark(context.Cause(ctx), connection.ErrBroken))
	}
}

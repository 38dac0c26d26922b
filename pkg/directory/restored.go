package directory

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/store"
)

const (
	// restoredEntryTTL is the time for which an entry of a restored copy is not used if the copy
	// is from before the end of its endpoint. The entry of an endpoint that has ended expires
	// within this time.
	restoredEntryTTL = 5 * time.Second
	// departureRetention is the time for which the end of an endpoint is remembered. It is well
	// above the age of a copy.
	departureRetention = 10 * time.Minute
)

// departure is the last known state of an endpoint that is leaving or has no entry any more.
type departure struct {
	endpoint Endpoint
	// revision is that of the endpoint's last known entry.
	revision store.Revision
	at       time.Time
}

// restoredEntry is an entry of a copy that is not used until a time.
type restoredEntry struct {
	entry store.Entry
	until time.Time
}

// recordDeparture records that an endpoint is leaving or has lost its entry. mu must be held.
func (d *Directory) recordDeparture(now time.Time, known decodedEndpoint) {
	d.departures[known.endpoint.Name] = departure{endpoint: known.endpoint, revision: known.revision, at: now}
}

// isHeldBack reports whether an entry is from a copy that was made before its endpoint ended. The
// platform's server writes its entry anew, with a later revision, if it still runs. mu must be
// held.
func (d *Directory) isHeldBack(now time.Time, name string, entry store.Entry) bool {
	departed, ok := d.departures[name]
	if !ok || entry.Revision.Number() > departed.revision.Number() {
		delete(d.restored, name)
		return false
	}
	held, ok := d.restored[name]
	if !ok {
		held.until = now.Add(restoredEntryTTL)
		d.log.Info("entry of a restored copy is not used", "endpoint", name, "revision", entry.Revision.String(), "last_revision", departed.revision.String())
	}
	held.entry = entry
	d.restored[name] = held
	return now.Before(held.until)
}

// hasDeparted reports whether an incarnation was known to be leaving in an earlier era than that of
// its entry. mu must be held.
func (d *Directory) hasDeparted(e Endpoint, revision store.Revision) bool {
	departed, ok := d.departures[e.Name]
	return ok && departed.endpoint.Leaving && revision.Era() > departed.revision.Era() &&
		!e.Born.IsZero() && departed.endpoint.Born.Equal(e.Born)
}

// updateRestored uses the entries that were not used before and still exist. It reports whether
// this changed the endpoints. mu must be held.
func (d *Directory) updateRestored(now time.Time) bool {
	changed := false
	for name, held := range d.restored {
		if now.Before(held.until) {
			continue
		}
		changed = d.updateEndpoint(now, name, held.entry) || changed
		delete(d.restored, name)
	}
	for name, departed := range d.departures {
		if now.Sub(departed.at) > departureRetention {
			delete(d.departures, name)
		}
	}
	return changed
}

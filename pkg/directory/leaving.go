package directory

import "time"

// Incarnation identifies one incarnation of an endpoint.
type Incarnation struct {
	Name string
	// Born is the start time, zero if the platform does not provide it.
	Born time.Time
}

func IncarnationOf(e Endpoint) Incarnation {
	return Incarnation{Name: e.Name, Born: e.Born}
}

// drainNotice records that an incarnation of an endpoint reported in a response that it is
// leaving.
type drainNotice struct {
	born       time.Time
	receivedAt time.Time
}

// drainNoticeRetention is how long the drain notice of an endpoint without an entry is kept.
// It is well above the time that the platform allows a server for draining.
const drainNoticeRetention = 10 * time.Minute

// MarkLeaving records a drain notice: an incarnation of an endpoint reported in a response
// that it is leaving. The notice overrides the endpoint's entry. MarkLeaving reports whether
// this is new. It is not new if the incarnation is already known to be leaving, or has
// terminated.
func (d *Directory) MarkLeaving(now time.Time, incarnation Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.decoded[incarnation.Name]
	if ok && known.endpoint.Born.After(incarnation.Born) {
		return false
	}
	if notice, ok := d.drainNotices[incarnation.Name]; ok && !incarnation.Born.After(notice.born) {
		return false
	}
	d.drainNotices[incarnation.Name] = drainNotice{born: incarnation.Born, receivedAt: now}
	isNews := !ok || !known.endpoint.Leaving
	d.log.Info("endpoint reported that it is leaving", "endpoint", incarnation.Name, "born", incarnation.Born, "is_known", ok, "is_news", isNews)
	if ok && isNews && d.config.Number > 0 {
		d.publish()
	}
	return isNews
}

// hasDrainNotice reports whether there is a drain notice of an endpoint's current
// incarnation. mu must be held.
func (d *Directory) hasDrainNotice(e Endpoint) bool {
	notice, ok := d.drainNotices[e.Name]
	return ok && notice.born.Equal(e.Born)
}

// pruneDrainNotices removes the drain notices of incarnations that have terminated. mu must
// be held.
func (d *Directory) pruneDrainNotices(now time.Time) {
	for name, notice := range d.drainNotices {
		known, ok := d.decoded[name]
		if (ok && known.endpoint.Born.After(notice.born)) || (!ok && now.Sub(notice.receivedAt) > drainNoticeRetention) {
			delete(d.drainNotices, name)
		}
	}
}

// LeavingIncarnations returns the incarnations that have sent a drain notice.
func (d *Directory) LeavingIncarnations() []Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnations := make([]Incarnation, 0, len(d.drainNotices))
	for name, notice := range d.drainNotices {
		incarnations = append(incarnations, Incarnation{Name: name, Born: notice.born})
	}
	return incarnations
}

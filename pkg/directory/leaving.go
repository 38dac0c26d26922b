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

type leavingReport struct {
	born       time.Time
	receivedAt time.Time
}

// leavingRetention is how long the leaving report of an endpoint without an entry is
// kept. It is well above the time that the platform allows a server for draining.
const leavingRetention = 10 * time.Minute

// MarkLeaving marks an incarnation of an endpoint as leaving, because the endpoint
// reported so in a response. The mark overrides the endpoint's entry. MarkLeaving reports
// whether the information is new. It is not new if the incarnation is already known to be
// leaving, or has ended.
func (d *Directory) MarkLeaving(now time.Time, incarnation Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.decoded[incarnation.Name]
	if ok && known.endpoint.Born.After(incarnation.Born) {
		return false
	}
	if report, ok := d.reportedLeaving[incarnation.Name]; ok && !incarnation.Born.After(report.born) {
		return false
	}
	d.reportedLeaving[incarnation.Name] = leavingReport{born: incarnation.Born, receivedAt: now}
	isNews := !ok || !known.endpoint.Leaving
	d.log.Info("endpoint reported that it is leaving", "endpoint", incarnation.Name, "born", incarnation.Born, "is_known", ok, "is_news", isNews)
	if ok && isNews && d.config.Number > 0 {
		d.publish()
	}
	return isNews
}

// isLeaving reports whether the current incarnation of an endpoint reported that it is
// leaving. mu must be held.
func (d *Directory) isLeaving(e Endpoint) bool {
	report, ok := d.reportedLeaving[e.Name]
	return ok && report.born.Equal(e.Born)
}

// pruneLeaving removes the reports of incarnations that have ended. mu must be held.
func (d *Directory) pruneLeaving(now time.Time) {
	for name, report := range d.reportedLeaving {
		known, ok := d.decoded[name]
		if (ok && known.endpoint.Born.After(report.born)) || (!ok && now.Sub(report.receivedAt) > leavingRetention) {
			delete(d.reportedLeaving, name)
		}
	}
}

// Leaving returns the incarnations that reported that they are leaving.
func (d *Directory) Leaving() []Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnations := make([]Incarnation, 0, len(d.reportedLeaving))
	for name, report := range d.reportedLeaving {
		incarnations = append(incarnations, Incarnation{Name: name, Born: report.born})
	}
	return incarnations
}

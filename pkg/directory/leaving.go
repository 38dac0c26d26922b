package directory

import "time"

// Life is one life of an endpoint.
type Life struct {
	Name string
	// Born is the start of the life, zero where the platform does not tell it.
	Born time.Time
}

// LifeOf returns the life that an endpoint has.
func LifeOf(e Endpoint) Life {
	return Life{Name: e.Name, Born: e.Born}
}

type leavingLife struct {
	born    time.Time
	heardAt time.Time
}

// leavingMemory is the time for which an endpoint without an entry is remembered as
// leaving: well above the time that the platform gives a server to leave.
const leavingMemory = 10 * time.Minute

// Leave notes that a life of an endpoint leaves, by its own word in an answer, whatever
// its entry says. It reports whether that is news: it is not for a life that is known to
// leave, or to have ended.
func (d *Directory) Leave(now time.Time, life Life) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.decoded[life.Name]
	if ok && known.endpoint.Born.After(life.Born) {
		return false
	}
	if told, ok := d.leaving[life.Name]; ok && !life.Born.After(told.born) {
		return false
	}
	d.leaving[life.Name] = leavingLife{born: life.Born, heardAt: now}
	isNews := !ok || !known.endpoint.Leaving
	d.log.Info("endpoint leaves by its own word", "endpoint", life.Name, "born", life.Born, "is_known", ok, "is_news", isNews)
	if ok && isNews && d.config.Number > 0 {
		d.publish()
	}
	return isNews
}

// isLeaving reports whether the present life of an endpoint has said that it leaves. The
// caller holds the lock.
func (d *Directory) isLeaving(e Endpoint) bool {
	told, ok := d.leaving[e.Name]
	return ok && told.born.Equal(e.Born)
}

// forgetLeaving forgets the lives that have ended. The caller holds the lock.
func (d *Directory) forgetLeaving(now time.Time) {
	for name, told := range d.leaving {
		known, ok := d.decoded[name]
		if (ok && known.endpoint.Born.After(told.born)) || (!ok && now.Sub(told.heardAt) > leavingMemory) {
			delete(d.leaving, name)
		}
	}
}

// Leaving returns the lives that have said that they leave.
func (d *Directory) Leaving() []Life {
	d.mu.Lock()
	defer d.mu.Unlock()
	lives := make([]Life, 0, len(d.leaving))
	for name, told := range d.leaving {
		lives = append(lives, Life{Name: name, Born: told.born})
	}
	return lives
}

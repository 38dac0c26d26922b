package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmationInterval is the shortest interval between the confirmations that a host sends to a
	// source. At 81 hosts, a keeper sends 160 acknowledgments a second then.
	confirmationInterval = 500 * time.Millisecond
	// hostsPerInterval and keepersPerInterval limit the confirmations that a keeper receives and a host
	// sends in a confirmationInterval. The interval is longer with more hosts or keepers.
	hostsPerInterval, keepersPerInterval = 100, 8
	// lateLimit is the largest delay of a confirmation that counts.
	lateLimit = 300 * time.Millisecond
	// silenceLimit is the time without a reply after which a keeper's deputy is confirmed.
	silenceLimit = 600 * time.Millisecond
	// doubtLimit is the time without a reply after which confirmations are suspended, so that less
	// time passes until the next source may be confirmed.
	doubtLimit = 200 * time.Millisecond
	// answerLimit is the largest round trip of a reply to a confirmation. Leases of a slower keeper would
	// arrive too late.
	answerLimit = 2 * replyTimeout
	// settledPeriod is the time without a change after which a list of keepers gets start votes. While
	// all hosts start, their lists change several times.
	settledPeriod = 100 * time.Millisecond
	// maxStartVotes is the number of lists in a window for which a host gives start votes.
	maxStartVotes = 2
)

// intervalFor returns the interval between the confirmations of a source.
func intervalFor(hosts, keepers int) time.Duration {
	factor := max((hosts+hostsPerInterval-1)/hostsPerInterval, (keepers+keepersPerInterval-1)/keepersPerInterval, 1)
	return time.Duration(factor) * confirmationInterval
}

// validityFor returns the time from the receipt of a confirmation to its end.
func validityFor(interval time.Duration) time.Duration { return interval + confirmationInterval }

// digest returns the digest of a sorted list of keepers.
func digest(keepers []string) uint64 {
	d := xxhash.New()
	for _, k := range keepers {
		_, _ = d.WriteString(k)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// confirmation is the part of a message with which a host confirms a source.
type confirmation struct {
	_ struct{} `cbor:",toarray"`
	// Digest is that of the host's list of keepers.
	Digest uint64
	// Keeper is the silent keeper for whose teams a deputy is confirmed. It is empty if the keeper
	// itself is.
	Keeper string
	// Stamp is the source's clock in its last acknowledgment, Held the time since its arrival, both in
	// milliseconds. The time since Stamp without Held is an upper bound of the message's age.
	Stamp, Held uint32
	// Validity is the time in milliseconds for which the source counts the host, 0 if it must not.
	Validity uint32
	// IsStart allows the source to grant the host's part of the start level.
	IsStart bool
}

// period is a time in which a host confirms a source without a gap.
type period struct{ since, until time.Time }

// tally contains the confirmations that a source holds.
type tally struct {
	periods map[string]period
	// ended is the sum of the periods that have ended.
	ended time.Duration
	// started are the hosts whose parts of the start level were granted.
	started map[string]bool
}

func newTally() *tally {
	return &tally{periods: map[string]period{}, started: map[string]bool{}}
}

func (t *tally) confirm(now time.Time, host string, validity time.Duration) {
	p, ok := t.periods[host]
	if !ok || now.After(p.until) {
		t.end(p)
		p = period{since: now}
	}
	if until := now.Add(validity); until.After(p.until) {
		p.until = until
	}
	t.periods[host] = p
}

func (t *tally) end(p period) { t.ended += p.until.Sub(p.since) }

// read returns the confirmations among a number of hosts.
func (t *tally) read(now time.Time, hosts int) support {
	s := support{sum: t.ended, hosts: float64(max(hosts, 1))}
	for host, p := range t.periods {
		if now.After(p.until) {
			t.end(p)
			s.sum += p.until.Sub(p.since)
			delete(t.periods, host)
			continue
		}
		s.sum += now.Sub(p.since)
		s.fraction++
	}
	s.fraction = min(s.fraction/s.hosts, 1)
	s.started = min(float64(len(t.started))/s.hosts, 1)
	return s
}

// support is the state of the confirmations of a source.
type support struct {
	// sum is the time for which hosts have confirmed it since it was new, summed over them.
	sum   time.Duration
	hosts float64
	// fraction is the fraction of the hosts that confirm it, started that of the hosts whose parts of
	// the start level it may grant.
	fraction, started float64
}

// stamp is the clock of a source in an acknowledgment.
type stamp struct {
	value     uint32
	arrivedAt time.Time
	// hasSameList is true if the source's list of keepers was that of this host.
	hasSameList bool
}

// keeperLink is what a host knows of a keeper.
type keeperLink struct {
	// sentAt is the time of the last quota_confirmation to the keeper, unansweredAt that of the first
	// message since its last reply in time.
	sentAt, unansweredAt time.Time
	// boundUntil is the time until which the keeper may count this host.
	boundUntil time.Time
	// deputy is the host that was confirmed last for the keeper's teams, and may count this host until
	// deputyBoundUntil. deputySentAt is the time of the last quota_confirmation to a deputy.
	deputy                         string
	deputySentAt, deputyBoundUntil time.Time
}

// confirmer decides which sources this host confirms. It confirms one source for each team at a time.
type confirmer struct {
	host   string
	window time.Duration
	digest uint64
	// changedAt is the time of the last change of the list of keepers. No source is confirmed before
	// earliest, since the sources of the former list, or of the process before, may count this host.
	changedAt, earliest time.Time
	// boundUntil is the time until which any source may count this host.
	boundUntil time.Time
	links      map[string]*keeperLink
	stamps     map[string]stamp
	// votedFor is the digest of the list that gets start votes. votes are the times of the changes to
	// it, without the list with which the process started.
	votedFor uint64
	hasVoted bool
	votes    []time.Time
	// number is that of the last acknowledgment that was requested, sentAts those without one.
	number  uint32
	sentAts map[uint32]sentConfirmation
}

type sentConfirmation struct {
	host string
	at   time.Time
}

// newConfirmer returns the confirmer of a process that starts. The process before it may have confirmed
// sources until now.
func newConfirmer(now time.Time, host string, window time.Duration, interval time.Duration) *confirmer {
	return &confirmer{
		host: host, window: window, earliest: now.Add(validityFor(interval) + lateLimit), links: map[string]*keeperLink{}, stamps: map[string]stamp{}, sentAts: map[uint32]sentConfirmation{},
	}
}

// setList records the list of keepers. It reports whether it has changed.
func (c *confirmer) setList(now time.Time, digest uint64) bool {
	if digest == c.digest {
		return false
	}
	c.digest, c.changedAt = digest, now
	if c.boundUntil.After(c.earliest) {
		c.earliest = c.boundUntil
	}
	clear(c.links)
	for host, s := range c.stamps {
		s.hasSameList = false
		c.stamps[host] = s
	}
	return true
}

func (c *confirmer) link(keeper string) *keeperLink {
	l, ok := c.links[keeper]
	if !ok {
		l = &keeperLink{}
		c.links[keeper] = l
	}
	return l
}

// confirm returns the confirmation for a message to a keeper. The keeper counts this host only if no
// other source may.
func (c *confirmer) confirm(now time.Time, keeper string, interval time.Duration) confirmation {
	l := c.link(keeper)
	if keeper != c.host && l.unansweredAt.IsZero() {
		l.unansweredAt = now
	}
	message, isBinding := c.message(now, keeper, interval, !l.isUnanswered(now, doubtLimit) && !now.Before(l.deputyBoundUntil))
	if isBinding {
		l.boundUntil = c.boundUntil
	}
	message.IsStart = c.isStart(now)
	return message
}

// isUnanswered reports whether the keeper has not replied in time for a length.
func (l *keeperLink) isUnanswered(now time.Time, length time.Duration) bool {
	return !l.unansweredAt.IsZero() && now.Sub(l.unansweredAt) >= length
}

// isDoubted reports whether confirmations of a keeper are suspended since it has not replied in time.
func (c *confirmer) isDoubted(now time.Time, keeper string) bool {
	l, ok := c.links[keeper]
	return ok && l.isUnanswered(now, doubtLimit)
}

// mayConfirmDeputy reports whether a deputy may count this host for the keeper's teams.
func (l *keeperLink) mayConfirmDeputy(now time.Time, deputy string) bool {
	return l.isUnanswered(now, silenceLimit) && !now.Before(l.boundUntil) && (deputy == l.deputy || !now.Before(l.deputyBoundUntil))
}

// confirmDeputy returns the confirmation for a message to the deputy of a keeper.
func (c *confirmer) confirmDeputy(now time.Time, keeper, deputy string, interval time.Duration) confirmation {
	l := c.link(keeper)
	message, isBinding := c.message(now, deputy, interval, l.mayConfirmDeputy(now, deputy))
	if isBinding {
		l.deputy, l.deputyBoundUntil = deputy, c.boundUntil
	}
	message.Keeper = keeper
	return message
}

// isDeputyDue reports whether a confirmation should be sent to a keeper's deputy, and counts it as sent if
// so. While the keeper may only be slow, it asks for the deputy's clock.
func (c *confirmer) isDeputyDue(now time.Time, keeper, deputy string, interval time.Duration) bool {
	if deputy == "" || !c.isDoubted(now, keeper) {
		return false
	}
	l := c.links[keeper]
	isFirst := l.mayConfirmDeputy(now, deputy) && (l.deputy != deputy || now.After(l.deputyBoundUntil))
	if !isFirst && now.Sub(l.deputySentAt) < interval {
		return false
	}
	l.deputySentAt = now
	return true
}

// message returns a confirmation for a source. It is binding only if isAllowed.
func (c *confirmer) message(now time.Time, source string, interval time.Duration, isAllowed bool) (confirmation, bool) {
	message := confirmation{Digest: c.digest}
	s, ok := c.stamps[source]
	if ok {
		message.Stamp, message.Held = s.value, uint32(now.Sub(s.arrivedAt).Milliseconds())
	}
	if !isAllowed || now.Before(c.earliest) || !s.hasSameList && source != c.host {
		return message, false
	}
	message.Validity = uint32(validityFor(interval).Milliseconds())
	if until := now.Add(validityFor(interval) + lateLimit); until.After(c.boundUntil) {
		c.boundUntil = until
	}
	return message, true
}

// isStart reports whether the current list gets start votes.
func (c *confirmer) isStart(now time.Time) bool {
	switch {
	case c.hasVoted && c.votedFor == c.digest:
		return true
	case c.hasVoted && now.Sub(c.changedAt) < settledPeriod:
		return false
	case c.hasVoted && len(c.votes) >= maxStartVotes && now.Sub(c.votes[len(c.votes)-maxStartVotes]) < c.window:
		return false
	case c.hasVoted:
		c.votes = append(c.votes[max(len(c.votes)-maxStartVotes, 0):], now)
	}
	c.votedFor, c.hasVoted = c.digest, true
	return true
}

// isVoteDue reports whether the current list gets start votes now, and did not before.
func (c *confirmer) isVoteDue(now time.Time) bool {
	return !(c.hasVoted && c.votedFor == c.digest) && c.isStart(now)
}

// isDue reports whether a confirmation should be sent to a keeper, and counts it as sent if so.
func (c *confirmer) isDue(now time.Time, keeper string, interval time.Duration) bool {
	l := c.link(keeper)
	if !l.unansweredAt.IsZero() {
		interval = confirmationInterval
	}
	if now.Sub(l.sentAt) < interval {
		return false
	}
	l.sentAt = now
	return true
}

// expect returns the number of a confirmation that asks for an acknowledgment.
func (c *confirmer) expect(now time.Time, host string) uint32 {
	for number, sent := range c.sentAts {
		if now.Sub(sent.at) > answerLimit {
			delete(c.sentAts, number)
		}
	}
	c.number++
	c.sentAts[c.number] = sentConfirmation{host: host, at: now}
	return c.number
}

// acknowledged records an acknowledgment. hasOtherList is true if the source has another list of keepers.
func (c *confirmer) acknowledged(now time.Time, host string, number, value uint32, hasOtherList bool) {
	sent, ok := c.sentAts[number]
	if !ok || sent.host != host {
		return
	}
	delete(c.sentAts, number)
	hadSameList := c.stamps[host].hasSameList
	c.stamps[host] = stamp{value: value, arrivedAt: now, hasSameList: !hasOtherList}
	if now.Sub(sent.at) <= answerLimit {
		c.answered(host)
	}
	if l, ok := c.links[host]; ok && !hadSameList {
		// It can be confirmed now, or may learn of the same list soon.
		l.sentAt = time.Time{}
	}
}

// answered records a reply in time.
func (c *confirmer) answered(host string) {
	if l, ok := c.links[host]; ok {
		l.unansweredAt = time.Time{}
	}
}

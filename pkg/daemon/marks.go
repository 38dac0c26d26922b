package daemon

import (
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

// spreadMark tells the other daemons which endpoints ended under a request.
func (p *peers) spreadMark(mark poison.CrashRecord) {
	payload, err := poison.EncodeCrashRecord(p.now(), mark)
	if err != nil {
		p.log.Error(err, "rumour was not encoded")
		return
	}
	p.members.Spread(member.GossipPoison, payload)
}

// hearMark takes a mark from another daemon, which is passed on.
func (p *peers) hearMark(origin string, payload []byte) bool {
	mark, err := poison.DecodeCrashRecord(p.now(), payload)
	if err != nil {
		return false
	}
	p.applyMark(mark, origin)
	return true
}

// applyMark takes a mark of another daemon, and logs it when it is news.
func (p *peers) applyMark(mark poison.CrashRecord, origin string) {
	now := p.now()
	if !p.poison.Apply(now, mark) {
		return
	}
	verdict, _ := p.poison.Verdict(now, mark.Fingerprint)
	p.log.Info("ends of endpoints under a request are known", "fingerprint", mark.Fingerprint.String(), "ends", len(mark.Crashes),
		"cleared", len(mark.Cleared), "verdict", verdict.String(), "origin", origin)
}

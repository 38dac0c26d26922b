package daemon

import (
	"github.com/turmerictide/turmerictide/pkg/member"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

// broadcastCrashRecord sends a crash record of a request to the other daemons.
func (p *peers) broadcastCrashRecord(record poison.CrashRecord) {
	payload, err := poison.EncodeCrashRecord(p.now(), record)
	if err != nil {
		p.log.Error(err, "gossip message was not encoded")
		return
	}
	p.members.Broadcast(member.GossipPoison, payload)
}

// handleCrashRecord processes a crash record from a peer, and reports whether to forward
// it. A record that cannot be decoded is not forwarded.
func (p *peers) handleCrashRecord(origin string, payload []byte) bool {
	record, err := poison.DecodeCrashRecord(p.now(), payload)
	if err != nil {
		return false
	}
	p.applyCrashRecord(record, origin)
	return true
}

// applyCrashRecord applies the crash record of another daemon, and logs it if it is new.
func (p *peers) applyCrashRecord(record poison.CrashRecord, origin string) {
	now := p.now()
	if !p.poison.Apply(now, record) {
		return
	}
	verdict, _ := p.poison.Verdict(now, record.Fingerprint)
	p.log.Info("crash record of a request was received", "fingerprint", record.Fingerprint.String(), "ends", len(record.Crashes),
		"cleared", len(record.Cleared), "survivals", len(record.Survivals), "verdict", verdict.String(), "origin", origin)
}

// broadcastPartRecord sends a record of prompt parts to the other daemons.
func (p *peers) broadcastPartRecord(record poison.PartRecord) {
	payload, err := poison.EncodePartRecord(p.now(), record)
	if err != nil {
		p.log.Error(err, "gossip message was not encoded")
		return
	}
	p.members.Broadcast(member.GossipPromptPart, payload)
}

// handlePartRecord processes a record of prompt parts from a peer, and reports whether to
// forward it. Only one that changes the evidence or renews a condemnation is forwarded.
func (p *peers) handlePartRecord(origin string, payload []byte) bool {
	record, err := poison.DecodePartRecord(p.now(), payload)
	if err != nil {
		return false
	}
	isChanged := p.applyPartRecord(record, origin)
	return p.parts.ForwardRenewal(p.now(), record) || isChanged
}

// applyPartRecord applies the record of another daemon, and logs the verdicts that it changes.
// It reports whether the evidence has changed.
func (p *peers) applyPartRecord(record poison.PartRecord, origin string) bool {
	now := p.now()
	isChanged := p.parts.Apply(now, record)
	for _, change := range p.parts.TakeChanges(now) {
		poison.LogPartChange(p.log.WithValues("origin", origin), change)
	}
	return isChanged
}

package poison

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/link"
)

// wirePartRecord is the encoding of a PartRecord.
type wirePartRecord struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []wirePartCrash
	Survivals []wireSurvival
}

type wirePartCrash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// BornMilliseconds is the Unix time at which the endpoint's incarnation started, 0 if it is
	// not known.
	BornMilliseconds int64
	Scope            Scope
	Request          Fingerprint
	Isolated         bool
	// AgeMilliseconds is the time since the crash, and RanMilliseconds the time from the start
	// of the run until then. They are durations because the clocks of hosts differ.
	AgeMilliseconds int64
	RanMilliseconds int64
	Parts           []Part
}

type wireSurvival struct {
	_     struct{} `cbor:",toarray"`
	Part  Part
	Scope Scope
	// AgeMilliseconds is the time since the start of the run.
	AgeMilliseconds int64
}

// EncodePartRecord encodes a record for messages and the store.
func EncodePartRecord(now time.Time, record PartRecord) ([]byte, error) {
	var wire wirePartRecord
	for _, c := range record.Crashes {
		encoded := wirePartCrash{
			Endpoint: c.Endpoint, Scope: c.Scope, Request: c.Request, Isolated: c.Isolated, Parts: c.Parts,
			AgeMilliseconds: now.Sub(c.CrashedAt).Milliseconds(), RanMilliseconds: c.CrashedAt.Sub(c.RunStartedAt).Milliseconds(),
		}
		if !c.Born.IsZero() {
			encoded.BornMilliseconds = c.Born.UnixMilli()
		}
		wire.Crashes = append(wire.Crashes, encoded)
	}
	for _, s := range record.Survivals {
		wire.Survivals = append(wire.Survivals, wireSurvival{Part: s.Part, Scope: s.Scope, AgeMilliseconds: now.Sub(s.RunStartedAt).Milliseconds()})
	}
	payload, err := link.Encode(wire)
	if err != nil {
		return nil, errors.Newf("encode record of prompt parts: %w", err)
	}
	return payload, nil
}

// DecodePartRecord decodes a record that was received at now.
func DecodePartRecord(now time.Time, payload []byte) (PartRecord, error) {
	var wire wirePartRecord
	if err := link.Decode(payload, &wire); err != nil {
		return PartRecord{}, errors.Newf("decode record of prompt parts: %w", err)
	}
	var record PartRecord
	for _, c := range wire.Crashes {
		age, ran := clampDuration(c.AgeMilliseconds), clampDuration(c.RanMilliseconds)
		decoded := PartCrash{
			Endpoint: c.Endpoint, Scope: c.Scope, Request: c.Request, Isolated: c.Isolated, Parts: c.Parts,
			CrashedAt: now.Add(-age), RunStartedAt: now.Add(-age - ran),
		}
		if c.BornMilliseconds != 0 {
			decoded.Born = time.UnixMilli(c.BornMilliseconds)
		}
		record.Crashes = append(record.Crashes, decoded)
	}
	for _, s := range wire.Survivals {
		record.Survivals = append(record.Survivals, Survival{Part: s.Part, Scope: s.Scope, RunStartedAt: now.Add(-clampDuration(s.AgeMilliseconds))})
	}
	return record, nil
}

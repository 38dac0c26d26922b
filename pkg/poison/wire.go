package poison

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/link"
)

// wireRecord is the encoding of a CrashRecord.
type wireRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Ends        []wireCrash
	Cleared     []CrashID
}

// wireSurvivalRecord is the encoding of a CrashRecord with survivals. Daemons of earlier versions
// cannot decode it.
type wireSurvivalRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Ends        []wireCrash
	Cleared     []CrashID
	Survivals   []wireSurvivals
}

type wireSurvivals struct {
	_     struct{} `cbor:",toarray"`
	Crash CrashID
	Runs  []RunID
}

type wireCrash struct {
	_        struct{} `cbor:",toarray"`
	ID       CrashID
	Endpoint string
	// BornMilliseconds is the Unix time at which the endpoint's incarnation started, 0 if it is
	// not known.
	BornMilliseconds int64
	Stage            string
	Alone            bool
	// AgeMilliseconds is the time since the run was interrupted, and RanMilliseconds the time
	// from its start until then. They are durations because the clocks of hosts differ.
	AgeMilliseconds int64
	RanMilliseconds int64
}

// EncodeCrashRecord encodes a record for messages and the store.
func EncodeCrashRecord(now time.Time, record CrashRecord) ([]byte, error) {
	wire := wireRecord{Fingerprint: record.Fingerprint, Cleared: record.Cleared}
	for _, c := range record.Crashes {
		encoded := wireCrash{ID: c.ID, Endpoint: c.Endpoint, Stage: c.Stage, Alone: c.Isolated, AgeMilliseconds: now.Sub(c.CrashedAt).Milliseconds(), RanMilliseconds: c.CrashedAt.Sub(c.RunStartedAt).Milliseconds()}
		if !c.Born.IsZero() {
			encoded.BornMilliseconds = c.Born.UnixMilli()
		}
		wire.Ends = append(wire.Ends, encoded)
	}
	var value any = wire
	if len(record.Survivals) > 0 {
		extended := wireSurvivalRecord{Fingerprint: wire.Fingerprint, Ends: wire.Ends, Cleared: wire.Cleared}
		for _, s := range record.Survivals {
			extended.Survivals = append(extended.Survivals, wireSurvivals{Crash: s.Crash, Runs: s.Runs})
		}
		value = extended
	}
	payload, err := link.Encode(value)
	if err != nil {
		return nil, errors.Newf("encode crash record: %w", err)
	}
	return payload, nil
}

// DecodeCrashRecord decodes a record that was received at now.
func DecodeCrashRecord(now time.Time, payload []byte) (CrashRecord, error) {
	var wire wireSurvivalRecord
	if err := link.Decode(payload, &wire); err != nil {
		var short wireRecord
		if err := link.Decode(payload, &short); err != nil {
			return CrashRecord{}, errors.Newf("decode crash record: %w", err)
		}
		wire = wireSurvivalRecord{Fingerprint: short.Fingerprint, Ends: short.Ends, Cleared: short.Cleared}
	}
	record := CrashRecord{Fingerprint: wire.Fingerprint, Cleared: wire.Cleared}
	for _, c := range wire.Ends {
		age, ran := clampDuration(c.AgeMilliseconds), clampDuration(c.RanMilliseconds)
		decoded := Crash{ID: c.ID, Endpoint: c.Endpoint, Stage: c.Stage, Isolated: c.Alone, CrashedAt: now.Add(-age), RunStartedAt: now.Add(-age - ran)}
		if c.BornMilliseconds != 0 {
			decoded.Born = time.UnixMilli(c.BornMilliseconds)
		}
		record.Crashes = append(record.Crashes, decoded)
	}
	for _, s := range wire.Survivals {
		record.Survivals = append(record.Survivals, CrashSurvivals{Crash: s.Crash, Runs: s.Runs[:min(len(s.Runs), survivalsPerCrash)]})
	}
	return record, nil
}

// maxRecordAge limits the ages in records. A condemnation lasts while its request is received, so
// its crashes may be much older than CondemnationTTL.
const maxRecordAge = 365 * 24 * time.Hour

// clampDuration returns a duration from a record, limited to 0 to maxRecordAge, as the value may
// be invalid.
func clampDuration(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxRecordAge.Milliseconds())) * time.Millisecond
}

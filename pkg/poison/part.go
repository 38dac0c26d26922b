package poison

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Part identifies one part of a prompt, whatever the rest of the prompt contains.
type Part uint64

// NewPart returns the Part with a name.
func NewPart(name string) Part {
	return Part(xxhash.Sum64String(name))
}

// String returns the part in hexadecimal, as in logs.
func (p Part) String() string {
	return strconv.FormatUint(uint64(p), 16)
}

// MaxParts limits the parts of a prompt that are tracked.
const MaxParts = 512

// anyPart stands for every part in the survivals of a scope.
const anyPart Part = 0

// maxLoggedParts limits the parts in one log line.
const maxLoggedParts = 8

// FormatParts returns the first and last parts of a prompt for a log line.
func FormatParts(parts []Part) string {
	var names []string
	for i, p := range parts {
		if i < maxLoggedParts/2 || i >= len(parts)-maxLoggedParts/2 {
			names = append(names, p.String())
		} else if i == maxLoggedParts/2 {
			names = append(names, "...")
		}
	}
	return strings.Join(names, ",")
}

// SurvivalDelay is the time after the first output from which a crash of the endpoint is not put
// down to the prompt of a run.
const SurvivalDelay = 250 * time.Millisecond

// Scope is a stage of a service. A run shows nothing about the runs of another scope.
type Scope string

// NewScope returns the scope of a stage.
func NewScope(service, stage string) Scope {
	return Scope(service + "/" + stage)
}

// PartCrash is the crash of an endpoint during a run that had not yet survived.
type PartCrash struct {
	Endpoint string
	// Born is the start time of the endpoint's incarnation, or zero if it is not known.
	Born  time.Time
	Scope Scope
	// Request is the fingerprint of the request that ran.
	Request Fingerprint
	// Isolated is true when the request ran as a suspect, and so without another suspect on
	// the endpoint.
	Isolated     bool
	RunStartedAt time.Time
	CrashedAt    time.Time
	// Parts are the parts of the prompt, in order.
	Parts []Part
}

// Survival is the latest run of a scope whose prompt contained a part and that its endpoint
// survived.
type Survival struct {
	Part         Part
	Scope        Scope
	RunStartedAt time.Time
}

// PartRecord contains crashes and survivals. Daemons send it to each other.
type PartRecord struct {
	Crashes   []PartCrash
	Survivals []Survival
}

// renewedPart returns the part whose condemnation a record renews. The record of a rejection
// contains only this part of the prompts.
func (r PartRecord) renewedPart() (Part, bool) {
	if len(r.Crashes) == 0 || len(r.Crashes[0].Parts) != 1 {
		return 0, false
	}
	p := r.Crashes[0].Parts[0]
	for _, c := range r.Crashes {
		if len(c.Parts) != 1 || c.Parts[0] != p {
			return 0, false
		}
	}
	return p, true
}

// PartEvidence is what a verdict on a part is based on, without the crashes that a survival or
// another part explains.
type PartEvidence struct {
	Part    Part
	Verdict Verdict
	// Score is the weighted number of consecutive crashes.
	Score     int
	Crashes   int
	Requests  int
	Endpoints int
	// Survived is true if a run with the part is known that its endpoint survived.
	Survived bool
}

// LogPartChange logs a verdict on a part of prompts and its evidence.
func LogPartChange(log logr.Logger, e PartEvidence) {
	log.Info("verdict on a prompt part has changed", "part", e.Part.String(), "verdict", e.Verdict.String(), "score", e.Score,
		"crashes", e.Crashes, "requests", e.Requests, "endpoints", e.Endpoints, "survived_before", e.Survived)
}

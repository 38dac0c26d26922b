package experiment

import (
	"math"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/turmerictide/turmerictide/pkg/emulator"
	"github.com/turmerictide/turmerictide/pkg/settings"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

const (
	// integerLimit limits the integers of a load file, so that a run fits into memory.
	integerLimit = 1 << 20
	// durationLimit limits the durations of a load file.
	durationLimit = 24 * time.Hour
)

// The prefixes of sections that have a name, such as [rank urgent].
const (
	rankPrefix  = "rank "
	burstPrefix = "burst "
)

// ReadFile reads a load from an INI file. The error is a settings.Faults value if the file
// can be read but contains invalid values.
func ReadFile(path string) (Experiment, error) {
	r, err := settings.OpenReader(path)
	if err != nil {
		return Experiment{}, err
	}
	e := Experiment{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	e.Bounds.RankInTarget = map[int]float64{}
	readLoad(r, &e)
	readEngines(r, &e.Scenario)
	readRanks(r, &e)
	readBursts(r, &e.Scenario)
	readFaults(r, &e.Scenario)
	e.Bounds.InTarget = r.Number("bounds", "in_target", 0, 0, 1)
	e.Bounds.InTargetOfCapacity = r.Number("bounds", "of_capacity", 0, 0, 1)
	e.Bounds.ServedOfCapacity = r.Number("bounds", "served_of_capacity", 0, 0, 1)
	e.Bounds.WastedPrefill = r.Number("bounds", "wasted_prefill", 0, 0, 1)
	return e, r.Err()
}

func readLoad(r *settings.Reader, e *Experiment) {
	s := &e.Scenario
	s.Name = e.Name
	s.Duration = r.Duration("load", "duration", 5*time.Minute, time.Second, durationLimit)
	s.WarmUp = r.Duration("load", "warm_up", 30*time.Second, 0, durationLimit)
	s.Load = r.Number("load", "of_capacity", 0.7, 0.01, 100)
	s.WaveAmplitude = r.Number("load", "wave", 0, 0, 1)
	s.WavePeriod = r.Duration("load", "wave_period", 0, 0, durationLimit)
	s.Callers = r.Integer("load", "callers", 24, 1, integerLimit)
	s.CancelledShare = r.Number("load", "cancelled", 0, 0, 1)
	s.RetryLimit = r.Integer("load", "returns", 0, 0, 100)
	s.ReturnTargets = r.Number("load", "return_targets", 0, 0, 100)
	s.ImpatientShare = r.Number("load", "impatient", 0, 0, 1)
	for _, text := range r.List("load", "seeds") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			r.AddFault("load", "seeds", text, "whole numbers separated by commas")
		}
		e.Seeds = append(e.Seeds, seed)
	}
	if len(e.Seeds) == 0 {
		e.Seeds = []uint64{1}
	}
	e.Contenders = readContenders(r)
}

// readContenders returns the contenders that a file names, or all if it names none.
func readContenders(r *settings.Reader) []emulator.Contender {
	names := r.List("load", "contenders")
	if len(names) == 0 {
		return emulator.Contenders
	}
	var result []emulator.Contender
	var knownNames []string
	for _, c := range emulator.Contenders {
		knownNames = append(knownNames, c.Name)
	}
	for _, name := range names {
		found := false
		for _, c := range emulator.Contenders {
			if c.Name == name {
				result = append(result, c)
				found = true
			}
		}
		if !found {
			r.AddFault("load", "contenders", name, "one of "+strings.Join(knownNames, ", "))
		}
	}
	return result
}

func readEngines(r *settings.Reader, s *emulator.Scenario) {
	s.Prefill = r.Integer("engines", "prefill", 3, 1, 676)
	s.Decode = r.Integer("engines", "decode", 7, 1, 676)
	s.PrefillRate = r.Number("engines", "prompt_tokens_per_second", 12_000, 1, math.MaxInt32)
	s.Places = r.Integer("engines", "places", 12, 1, integerLimit)
	s.Pieces = r.Integer("engines", "pieces", 48, 1, integerLimit)
	s.GapBase = r.Duration("engines", "token_gap", 25*time.Millisecond, time.Microsecond, time.Minute)
	s.GapSlope = r.Duration("engines", "token_gap_per_request", 1250*time.Microsecond, 0, time.Minute)
	s.KVBytesPerToken = r.Integer("engines", "kv_bytes_per_token", 100_000, 0, math.MaxInt32)
	s.LinkRate = r.Number("engines", "link_bytes_per_second", 10e9, 1, math.MaxFloat32)
	s.OutputLimit = r.Integer("engines", "output_limit", 1024, 2, integerLimit)
}

func readRanks(r *settings.Reader, e *Experiment) {
	for i, section := range r.Sections(rankPrefix) {
		e.Scenario.Ranks = append(e.Scenario.Ranks, emulator.RankLoad{
			Rank: ticket.Rank{
				Name:             strings.TrimPrefix(section, rankPrefix),
				FirstTokenTarget: ticket.Duration(r.Duration(section, "first_token", 2*time.Second, time.Millisecond, durationLimit)),
				TokenGapTarget:   ticket.Duration(r.Duration(section, "gap", 100*time.Millisecond, time.Millisecond, durationLimit)),
				Worth:            r.Number(section, "worth", 1, 0, math.MaxInt32),
				FloorShare:       r.Number(section, "floor_share", 0, 0, 1),
			},
			Share:       r.Number(section, "share", 1, 0, integerLimit),
			PromptMean:  r.Number(section, "prompt", 2000, 1, integerLimit),
			PromptLimit: r.Integer(section, "prompt_limit", 24_000, 1, integerLimit),
			OutputMean:  r.Number(section, "output", 300, 2, integerLimit),
		})
		if bound := r.Number(section, "in_target", 0, 0, 1); bound > 0 {
			e.Bounds.RankInTarget[i] = bound
		}
	}
	if len(e.Scenario.Ranks) == 0 {
		r.AddFault(rankPrefix+"NAME", "", "", "at least one rank, the most urgent first")
	}
}

func readBursts(r *settings.Reader, s *emulator.Scenario) {
	for _, section := range r.Sections(burstPrefix) {
		name := r.Text(section, "rank", "")
		rank := -1
		for i, load := range s.Ranks {
			if load.Rank.Name == name {
				rank = i
			}
		}
		if rank < 0 {
			r.AddFault(section, "rank", name, "the name of a rank")
		}
		s.Bursts = append(s.Bursts, emulator.Burst{
			Rank: rank, Factor: r.Number(section, "factor", 2, 0, integerLimit),
			From: r.Duration(section, "from", 0, 0, durationLimit), Duration: r.Duration(section, "for", time.Minute, 0, durationLimit),
		})
	}
}

func readFaults(r *settings.Reader, s *emulator.Scenario) {
	s.FloodingCaller = r.Bool("trouble", "flooding_caller")
	s.FrozenReports = r.Bool("trouble", "frozen_reports")
	s.SecondOwner = r.Bool("trouble", "second_owner")
	s.DecodeCrashes = r.Integer("trouble", "lost_decode", 0, 0, s.Decode-1)
}

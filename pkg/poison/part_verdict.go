package poison

import (
	"cmp"
	"slices"
	"time"
)

// A crash of an endpoint is explained by one part of one of the prompts that ran there, so
// several parts compete for it. A part is condemned when consecutive runs of different requests
// with it crashed their endpoints, no run with it has survived since, and other runs of the
// same scope have survived since. The last condition excludes failures of the whole service.
// A part that was never seen to survive needs less evidence than one that was: the latter may
// be in many prompts, and condemning it wrongly would reject them all. The crashes of a
// condemned part no longer count against the other parts that were involved in them.
const (
	// survivedThreshold is the number of consecutive crashes that condemns a part that was
	// seen to survive before.
	survivedThreshold = 3
	// survivalTimeout is the time without a survival after which such a part may be
	// condemned. It is longer than a run and the delivery of its record take.
	survivalTimeout = 2500 * time.Millisecond
	// minCrashedRequests is the number of different requests whose runs crashed. A single
	// request is condemned by its own fingerprint.
	minCrashedRequests = 2
)

// evaluate determines the verdicts if the evidence may have changed. r.mu must be held.
func (r *PartRegister) evaluate(now time.Time) {
	age := now.Sub(r.evaluatedAt)
	if !r.isStale && age >= 0 && age < evaluationInterval {
		return
	}
	r.removeExpired(now)
	r.isStale, r.evaluatedAt = false, now
	remaining := make([]*storedPartCrash, 0, len(r.crashes))
	for _, c := range r.crashes {
		remaining = append(remaining, c)
	}
	verdicts := map[Part]PartEvidence{}
	for {
		candidates := r.candidates(remaining)
		var best *candidate
		for _, c := range candidates {
			if r.isGuilty(now, c) && (best == nil || c.compare(best) > 0) {
				best = c
			}
		}
		if best == nil {
			for _, c := range candidates {
				verdict := VerdictClear
				if !c.survived {
					verdict = VerdictSuspect
				}
				verdicts[c.part] = c.evidence(verdict)
			}
			break
		}
		verdicts[best.part] = best.evidence(VerdictCondemned)
		remaining = r.withoutExplained(remaining, best)
	}
	r.replaceVerdicts(verdicts)
}

// replaceVerdicts stores new verdicts and the changes. r.mu must be held.
func (r *PartRegister) replaceVerdicts(verdicts map[Part]PartEvidence) {
	for p, e := range verdicts {
		if e.Verdict != r.verdicts[p].Verdict {
			r.changes = append(r.changes, e)
		}
	}
	for p, e := range r.verdicts {
		if _, ok := verdicts[p]; !ok && e.Verdict != VerdictClear {
			r.changes = append(r.changes, PartEvidence{Part: p, Verdict: VerdictClear})
			delete(r.renewals, p)
		}
	}
	r.changes = r.changes[max(len(r.changes)-maxPartCrashes, 0):]
	r.verdicts = verdicts
}

// candidate is a part that may explain crashes.
type candidate struct {
	part     Part
	survived bool
	// depth is the largest position of the part in the prompts.
	depth   int
	crashes []*storedPartCrash
	score   int
	length  int
}

// candidates returns the parts that may explain some crashes. r.mu must be held.
func (r *PartRegister) candidates(crashes []*storedPartCrash) map[Part]*candidate {
	candidates := map[Part]*candidate{}
	isolated := map[incarnation][]*storedPartCrash{}
	for _, c := range crashes {
		if c.Isolated {
			isolated[c.incarnation()] = append(isolated[c.incarnation()], c)
		}
		for depth, p := range c.Parts {
			if r.isSurvived(p, c) {
				continue
			}
			found, ok := candidates[p]
			if !ok {
				_, survived := r.survivals.latest(p, c.Scope)
				found = &candidate{part: p, survived: survived}
				candidates[p] = found
			}
			found.depth = max(found.depth, depth)
			found.crashes = append(found.crashes, c)
		}
	}
	for _, c := range candidates {
		c.crashes = latestCrashes(c.crashes)
		c.score = chainScore(c.crashes, func(crash *storedPartCrash) int { return crashWeight(c.part, crash, isolated) })
		c.length = chainScore(c.crashes, func(*storedPartCrash) int { return 1 })
	}
	return candidates
}

// crashWeight returns what a crash adds to the score of a part. An isolated crash counts more,
// unless a request without the part also ran isolated on the endpoint.
func crashWeight(p Part, crash *storedPartCrash, isolated map[incarnation][]*storedPartCrash) int {
	if !crash.Isolated {
		return 1
	}
	for _, other := range isolated[crash.incarnation()] {
		if !slices.Contains(other.Parts, p) {
			return 1
		}
	}
	return isolatedCrashWeight
}

// chainScore returns the largest sum of weights of consecutive crashes: the run of each started
// after the crash before. Crashes at the same time are often one failure of several endpoints.
// The crashes must be sorted by time.
func chainScore(crashes []*storedPartCrash, weight func(*storedPartCrash) int) int {
	best := 0
	scores := make([]int, len(crashes))
	for i, c := range crashes {
		for j, earlier := range crashes[:i] {
			if !earlier.CrashedAt.After(c.RunStartedAt) {
				scores[i] = max(scores[i], scores[j])
			}
		}
		scores[i] += weight(c)
		best = max(best, scores[i])
	}
	return best
}

// isGuilty reports whether the evidence condemns a part. r.mu must be held.
func (r *PartRegister) isGuilty(now time.Time, c *candidate) bool {
	first := c.crashes[0]
	if c.countRequests() < minCrashedRequests || !r.isScopeAlive(c.crashes) {
		return false
	}
	if c.survived {
		return c.length >= survivedThreshold && now.Sub(first.CrashedAt) >= survivalTimeout
	}
	return c.score >= condemnationThreshold
}

// isScopeAlive reports whether any run has survived since the first of some crashes. r.mu must
// be held.
func (r *PartRegister) isScopeAlive(crashes []*storedPartCrash) bool {
	at, ok := r.survivals.latest(anyPart, crashes[0].Scope)
	return ok && at.After(crashes[0].CrashedAt)
}

func (c *candidate) countRequests() int {
	requests := map[Fingerprint]bool{}
	for _, crash := range c.crashes {
		requests[crash.Request] = true
	}
	return len(requests)
}

// compare returns a positive number if a candidate is more likely than another one to explain
// the crashes that they have in common. A part deeper in the prompts is in fewer of them.
func (c *candidate) compare(other *candidate) int {
	switch {
	case c.survived != other.survived && other.survived:
		return 1
	case c.survived != other.survived:
		return -1
	}
	return cmp.Or(cmp.Compare(c.score, other.score), cmp.Compare(c.depth, other.depth), cmp.Compare(c.part, other.part))
}

func (c *candidate) evidence(verdict Verdict) PartEvidence {
	endpoints := map[incarnation]bool{}
	for _, crash := range c.crashes {
		endpoints[crash.incarnation()] = true
	}
	return PartEvidence{
		Part: c.part, Verdict: verdict, Score: c.score, Crashes: len(c.crashes), Requests: c.countRequests(),
		Endpoints: len(endpoints), Survived: c.survived,
	}
}

// withoutExplained returns the crashes of the endpoints on which no run with a condemned part
// crashed. r.mu must be held.
func (r *PartRegister) withoutExplained(crashes []*storedPartCrash, condemned *candidate) []*storedPartCrash {
	explained := map[incarnation]bool{}
	for _, c := range crashes {
		if slices.Contains(c.Parts, condemned.part) && !r.isSurvived(condemned.part, c) {
			explained[c.incarnation()] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c *storedPartCrash) bool { return explained[c.incarnation()] })
}

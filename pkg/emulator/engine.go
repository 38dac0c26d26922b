package emulator

import (
	"math"
	"time"
)

type prefillEngine struct {
	queue []*job
	// advancedAt is the time up to which the work is accounted for.
	advancedAt time.Time
	// timerVersion invalidates timers of earlier schedules.
	timerVersion int
}

type decodeEngine struct {
	running    map[int]*job
	queue      []*job
	usedPieces int
	// tokensPerRequest is the number of tokens that a request would have produced if it had
	// run since the start.
	tokensPerRequest float64
	// advancedAt is the time up to which tokensPerRequest is computed.
	advancedAt time.Time
	// timerVersion invalidates timers of earlier schedules.
	timerVersion int
	crashed      bool
}

// sendPrefill adds a job to the queue of a prefill engine.
func (sm *simulation) sendPrefill(j *job, engine int) {
	if j.isFinished() {
		return
	}
	sm.advancePrefill(engine)
	j.prefillEngine, j.state, j.prefillLeft = engine, statePrefill, float64(j.prompt)
	e := sm.prefill[engine]
	e.queue = append(e.queue, j)
	sm.schedulePrefill(engine)
}

// mostUrgent returns the job that a prefill engine computes, or nil.
func (e *prefillEngine) mostUrgent() *job {
	var best *job
	for _, j := range e.queue {
		if best == nil || j.priority < best.priority {
			best = j
		}
	}
	return best
}

func (sm *simulation) advancePrefill(engine int) {
	e := sm.prefill[engine]
	if j := e.mostUrgent(); j != nil {
		work := min(sm.now.Sub(e.advancedAt).Seconds()*sm.scenario.PrefillRate, j.prefillLeft)
		j.prefillLeft -= work
		sm.prefillDone += work
	}
	e.advancedAt = sm.now
}

func (sm *simulation) schedulePrefill(engine int) {
	e := sm.prefill[engine]
	e.timerVersion++
	version := e.timerVersion
	j := e.mostUrgent()
	if j == nil {
		return
	}
	sm.scheduleAfter(time.Duration(math.Ceil(j.prefillLeft/sm.scenario.PrefillRate*1e9)), func() {
		if e.timerVersion != version {
			return
		}
		sm.advancePrefill(engine)
		if j.prefillLeft < 1 {
			e.queue = removeJob(e.queue, j)
			sm.finishPrefill(j)
		}
		sm.schedulePrefill(engine)
	})
}

// finishPrefill exports the KV cache. The policy then chooses where to transfer it.
func (sm *simulation) finishPrefill(j *job) {
	j.state, j.prefilledAt = stateTransfer, sm.now
	j.kvExpiresAt = sm.now.Add(kvExportTimeout)
	sm.policy.prefilled(j)
}

// transfer sends a job's KV cache to its decode engine over the link.
func (sm *simulation) transfer(j *job, engine int) {
	if j.isFinished() {
		return
	}
	j.decodeEngine = engine
	seconds := float64(j.prompt*sm.scenario.KVBytesPerToken) / sm.scenario.LinkRate
	if sm.linkFree.Before(sm.now) {
		sm.linkFree = sm.now
	}
	sm.linkFree = sm.linkFree.Add(time.Duration(seconds * 1e9))
	sm.schedule(sm.linkFree, func() { sm.admitDecode(j) })
}

func (s Scenario) memoryPieces(j *job) int { return (j.prompt + j.outputLimit + 4095) / 4096 }

func (sm *simulation) admitDecode(j *job) {
	if j.isFinished() {
		return
	}
	e := sm.decode[j.decodeEngine]
	if e.crashed {
		sm.discardPrefill(j)
		return
	}
	if len(e.running) < sm.scenario.Places && e.usedPieces+sm.scenario.memoryPieces(j) <= sm.scenario.Pieces {
		sm.startDecode(j)
		return
	}
	j.state = stateQueued
	e.queue = append(e.queue, j)
	sm.schedule(j.kvExpiresAt, func() {
		if j.state == stateQueued {
			e.queue = removeJob(e.queue, j)
			sm.discardPrefill(j)
		}
	})
}

// discardPrefill marks a job as failed, because its KV cache is lost. The policy may retry the
// job.
func (sm *simulation) discardPrefill(j *job) {
	sm.prefillWasted += float64(j.prompt)
	j.state, j.endedAt = stateFailed, sm.now
	sm.policy.decodeFailed(j)
}

func (sm *simulation) startDecode(j *job) {
	e := sm.decode[j.decodeEngine]
	sm.advanceDecode(j.decodeEngine)
	j.state = stateDecode
	j.endTokens = e.tokensPerRequest + float64(j.output)
	e.running[j.id] = j
	e.usedPieces += sm.scenario.memoryPieces(j)
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = sm.now.Add(sm.scenario.tokenGap(j.decodeEngine, len(e.running)))
	}
	sm.policy.started(j)
	sm.scheduleDecode(j.decodeEngine)
}

func (sm *simulation) advanceDecode(engine int) {
	e := sm.decode[engine]
	if n := len(e.running); n > 0 {
		e.tokensPerRequest += sm.now.Sub(e.advancedAt).Seconds() / sm.scenario.tokenGap(engine, n).Seconds()
	}
	e.advancedAt = sm.now
}

func (sm *simulation) scheduleDecode(engine int) {
	e := sm.decode[engine]
	e.timerVersion++
	version := e.timerVersion
	var next *job
	for _, j := range e.running {
		if next == nil || j.endTokens < next.endTokens || (j.endTokens == next.endTokens && j.id < next.id) {
			next = j
		}
	}
	if next == nil {
		return
	}
	seconds := max(next.endTokens-e.tokensPerRequest, 0) * sm.scenario.tokenGap(engine, len(e.running)).Seconds()
	sm.scheduleAfter(time.Duration(math.Ceil(seconds*1e9)), func() {
		if e.timerVersion != version {
			return
		}
		sm.finishDecode(next)
	})
}

func (sm *simulation) finishDecode(j *job) {
	sm.removeFromDecode(j)
	j.state, j.endedAt = stateServed, sm.now
	sm.policy.finished(j)
}

func (sm *simulation) removeFromDecode(j *job) {
	sm.advanceDecode(j.decodeEngine)
	e := sm.decode[j.decodeEngine]
	delete(e.running, j.id)
	e.usedPieces -= sm.scenario.memoryPieces(j)
	for len(e.queue) > 0 && len(e.running) < sm.scenario.Places && e.usedPieces+sm.scenario.memoryPieces(e.queue[0]) <= sm.scenario.Pieces {
		next := e.queue[0]
		e.queue = e.queue[1:]
		sm.startDecode(next)
	}
	sm.scheduleDecode(j.decodeEngine)
}

// crashDecodeEngines crashes decode engines. Their running and queued requests fail.
func (sm *simulation) crashDecodeEngines() {
	for i := range sm.scenario.DecodeCrashes {
		e := sm.decode[i]
		e.crashed = true
		e.timerVersion++
		for _, j := range sm.jobs {
			if j.decodeEngine == i && (j.state == stateDecode || j.state == stateQueued) {
				if j.state == stateDecode {
					delete(e.running, j.id)
				}
				e.queue = removeJob(e.queue, j)
				j.state, j.endedAt = stateFailed, sm.now
				sm.policy.decodeFailed(j)
			}
		}
		sm.policy.decodeCrashed(i)
	}
}

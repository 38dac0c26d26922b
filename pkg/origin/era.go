package origin

import (
	"context"
	"time"
)

// awaitSettled waits until the hosts have written their records again in a new era. It returns false
// if there is nothing to wait for, or if ctx ended.
func (k *Keeper) awaitSettled(ctx context.Context) bool {
	k.mu.Lock()
	wait := k.settledAt.Sub(k.config.Now())
	k.mu.Unlock()
	if wait <= 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// ObserveEra records the era of the store. The records of earlier eras are written again.
func (k *Keeper) ObserveEra(now time.Time, era int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	isNew := k.era != unknownEra && era > k.era
	k.era = max(k.era, era)
	if isNew {
		k.settledAt = now.Add(eraDelay + k.rewriteSpread())
		k.loseEarlier()
	}
}

// rewriteSpread returns the time over which the hosts spread the writes of their records in a new era.
func (k *Keeper) rewriteSpread() time.Duration {
	return min(time.Duration(max(k.config.Hosts(), 1))*rewriteSpacing, maxRewriteSpread)
}

// loseEarlier moves the kept records of earlier eras to lost. mu must be held.
func (k *Keeper) loseEarlier() {
	kept := k.kept[:0]
	for _, w := range k.kept {
		if w.era >= k.era {
			kept = append(kept, w)
			continue
		}
		delete(k.keptByKey, w.key)
		k.lost = append(k.lost, w)
	}
	clear(k.kept[len(kept):])
	k.kept = kept
	if len(k.lost) > 0 {
		k.signal()
	}
}

// keep keeps records that are in the store. The era may have ended since they were written or read.
func (k *Keeper) keep(records ...*Write) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range records {
		if known := k.keptByKey[w.key]; known != nil {
			known.expiry = later(known.expiry, w.expiry)
			continue
		}
		k.keptByKey[w.key] = w
		k.kept = append(k.kept, w)
	}
	for len(k.kept) > maxRemembered {
		delete(k.keptByKey, k.kept[0].key)
		k.kept[0] = nil
		k.kept = k.kept[1:]
	}
	k.loseEarlier()
}

// scheduleLost adds the records that the store has lost to those whose write has failed. Each host draws
// the time of its write, as all of them learn of a new era at once.
func (k *Keeper) scheduleLost() {
	k.mu.Lock()
	lost := k.lost
	k.lost = nil
	spread := k.rewriteSpread()
	k.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	k.config.Log.Info("versions of streams are written again in a new era of the store", "streams", len(lost))
	k.failed = append(k.failed, lost...)
	k.retryDelay = initialRetryDelay
	k.retryAt = k.config.Now().Add(k.config.Jitter(spread))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package relay

import (
	"time"

	"github.com/turmerictide/turmerictide/pkg/directory"
	"github.com/turmerictide/turmerictide/pkg/poison"
)

// completedRun is a run whose response was complete.
type completedRun struct {
	run         run
	completedAt time.Time
}

// completedRuns watches the endpoints of runs for a short time after their complete responses. A
// request may crash its endpoint just after the last byte.
type completedRuns struct {
	byEndpoint map[incarnation][]completedRun
	count      int
}

func newCompletedRuns() *completedRuns {
	return &completedRuns{byEndpoint: map[incarnation][]completedRun{}}
}

// add stores a completed run, unless maxInterruptedRuns are stored.
func (c *completedRuns) add(now time.Time, u run) {
	if c.count >= maxInterruptedRuns {
		return
	}
	key := incarnationOf(u.endpoint)
	c.byEndpoint[key] = append(c.byEndpoint[key], completedRun{run: u, completedAt: now})
	c.count++
}

// takeDue removes and returns the runs that completed at least poison.SurvivalDelay ago, by the
// incarnation of their endpoint and in the order of completion.
func (c *completedRuns) takeDue(now time.Time) [][]completedRun {
	var result [][]completedRun
	for key, runs := range c.byEndpoint {
		due := 0
		for due < len(runs) && now.Sub(runs[due].completedAt) >= poison.SurvivalDelay {
			due++
		}
		if due == 0 {
			continue
		}
		result = append(result, runs[:due])
		c.count -= due
		if due == len(runs) {
			delete(c.byEndpoint, key)
		} else {
			c.byEndpoint[key] = runs[due:]
		}
	}
	return result
}

// watchCompleted watches the endpoint of a run after its complete response.
func (r *Relay) watchCompleted(u run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed.add(r.config.Now(), u)
}

// checkCompletedRuns keeps the completed runs whose endpoints may have crashed since, until it is
// known whether they did. Those are the endpoints that have closed their connections. An endpoint
// that leaves closes them too. A new start time alone does not show a crash, as an entry may be
// rewritten, and a crash closes the connections as well.
func (r *Relay) checkCompletedRuns(now time.Time, state *directory.State) {
	r.mu.Lock()
	due := r.completed.takeDue(now)
	r.mu.Unlock()
	for _, runs := range due {
		for _, c := range runs {
			endpoint := c.run.endpoint
			current, ok := state.Endpoints[endpoint.Name]
			if !ok || current.Leaving || !r.config.Transport.HasClosed(endpoint, c.completedAt) {
				continue
			}
			r.config.Log.Info("endpoint may have crashed after its complete response", c.run.logFields()...)
			c.run.survived = false
			c.run.keepInterruptedAt(c.completedAt)
		}
	}
}

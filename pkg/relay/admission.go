package relay

import (
	"context"
	"time"

	"github.com/turmerictide/turmerictide/pkg/credential"
)

// staleRetryAfter is the time in which a daemon whose configuration is stale may confirm it, or
// the platform directs the caller to another one.
const staleRetryAfter = 500 * time.Millisecond

// isConfigurationFresh reports whether keys may be accepted on the basis of a state that is read
// after this call. The other order would accept a revoked key if a stale state is read just before a
// newer one is confirmed.
func (r *Relay) isConfigurationFresh() bool {
	return r.config.IsConfigurationFresh == nil || r.config.IsConfigurationFresh()
}

// StaleRefusals returns the number of calls that were rejected since the configuration was stale.
func (r *Relay) StaleRefusals() int64 {
	return r.staleRefusals.Load()
}

// admit decides whether a call on a route may be served, and determines its priority and whose share
// of the service it uses. isFresh was determined before the state of the job was read.
func (r *Relay) admit(j *job, isFresh bool) error {
	j.priority, j.caller = j.route.Priority, j.call.Caller
	j.isAnonymous = j.state.Config.Credentials == nil
	team, err := r.identify(j, j.state.Config.Credentials, j.route.IsExempt, isFresh)
	if err != nil || team.Name == "" {
		return err
	}
	j.team, j.caller = team, team.Name
	if team.HasPriority {
		j.priority = team.Priority
	}
	return nil
}

// charge charges a call to the rate limit of its team. It is called once for each call, after all
// decisions that reject a call without its team's limit, so that no call is charged that cannot be
// served here.
func (r *Relay) charge(ctx context.Context, j *job) error {
	limit := j.team.Limit
	if r.config.Quotas == nil || limit.Rate == 0 {
		return nil
	}
	result := r.config.Quotas.Acquire(ctx, j.team.Name, limit, j.cost())
	switch {
	case result.Granted:
		return nil
	case ctx.Err() != nil:
		return context.Cause(ctx)
	}
	return &Fault{Cause: CauseOverLimit, RetryAfter: result.RetryAfter}
}

// refund returns the charge for a call that ended with an error, if certainly no endpoint ran it.
func (r *Relay) refund(j *job) {
	if r.config.Quotas != nil && j.team.Limit.Rate != 0 && !j.mayHaveRun && j.prefills == 0 && !j.writer.Started() {
		r.config.Quotas.Return(j.team.Name, j.cost())
	}
}

// cost returns the cost of a call in the unit of its team's rate limit.
func (j *job) cost() float64 {
	return j.team.Limit.Cost(j.call.PromptTokens, j.call.OutputTokens, j.call.HasTokenCounts)
}

// authorize decides again, directly before a call is sent to an endpoint, whether it may be served:
// its key may have been revoked, its route may need a key, or it may have been given up for lack of
// memory, since it arrived. It completes the options of the send. Once it succeeds, the call is not
// given up.
func (r *Relay) authorize(j *job, options *SendOptions) error {
	isFresh := r.isConfigurationFresh()
	state, isExempt := r.config.State(), j.route.IsExempt
	if state.Config.Number != j.state.Config.Number {
		if matched, ok := state.Config.Routes.Match(j.call.Host, j.call.Path); ok {
			isExempt = matched.IsExempt
		}
	}
	table := state.Config.Credentials
	team, err := r.identify(j, table, isExempt, isFresh)
	if err != nil {
		r.config.Log.Info("call is not sent", "request_id", j.call.ID, "error", err.Error())
		return err
	}
	options.Team = team.Name
	if table == nil && j.isAnonymous {
		options.Authorization = j.call.Authorization
	}
	if !j.call.Claim.Send() {
		return &Fault{Cause: CauseMemory, RetryAfter: memoryRetryAfter}
	}
	return nil
}

// identify returns the team of a call, zero if it needs no key.
func (r *Relay) identify(j *job, table *credential.Table, isExempt, isFresh bool) (credential.Team, error) {
	team, verdict := credential.Authorize(table, j.call.Credential, isExempt, isFresh)
	switch verdict {
	case credential.Unknown:
		return credential.Team{}, &Fault{Cause: CauseUnauthenticated}
	case credential.Stale:
		r.staleRefusals.Add(1)
		return credential.Team{}, &Fault{Cause: CauseStale, RetryAfter: staleRetryAfter}
	default:
		return team, nil
	}
}

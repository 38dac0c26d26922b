package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/turmerictide/turmerictide/pkg/credential"
	"github.com/turmerictide/turmerictide/pkg/freshness"
	"github.com/turmerictide/turmerictide/pkg/quota"
	"github.com/turmerictide/turmerictide/pkg/shard"
)

// quotaHosts are the hosts among which the keepers and the deputies of teams are chosen.
type quotaHosts struct {
	mu sync.Mutex
	// owners are the hosts that may be keepers, zone are those of this availability zone.
	owners, zone []string
	// since is the time of the last change.
	since time.Time
}

// update reads the lists with list, which is called under the lock so that an older list never replaces
// a newer one.
func (q *quotaHosts) update(now time.Time, list func() (owners, zone []string)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	owners, zone := list()
	slices.Sort(owners)
	slices.Sort(zone)
	if slices.Equal(owners, q.owners) && slices.Equal(zone, q.zone) {
		return
	}
	q.owners, q.zone, q.since = owners, zone, now
}

func (q *quotaHosts) keeper(team string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return shard.Owner("quota/"+team, q.owners)
}

// keepers returns the sorted list of the hosts that may be keepers.
func (q *quotaHosts) keepers() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owners
}

// deputy returns the host of this availability zone that decides on the teams of a silent keeper.
func (q *quotaHosts) deputy(keeper string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return shard.Owner("quota_deputy/"+keeper, slices.DeleteFunc(slices.Clone(q.zone), func(host string) bool { return host == keeper }))
}

func (q *quotaHosts) changedAt() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.since
}

func (q *quotaHosts) zoneSize() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.zone)
}

// newQuotaClock returns the clock for the rate limits of teams: the time of day at the start, and the time
// since then on a clock that includes the time in which the machine was suspended. It does not follow
// changes of the time of day.
func newQuotaClock(now time.Time, clock freshness.Clock) func() time.Time {
	start, startedAt := now.Round(0), clock()
	return func() time.Time { return start.Add(clock() - startedAt) }
}

// listQuotaHosts returns the hosts that may be keepers, and those of this availability zone.
func (d *PlatformDaemon) listQuotaHosts() (owners, zone []string) {
	return d.members.EligibleOwners(d.members.Hosts("")), d.members.Hosts(d.self.AvailabilityZone)
}

func (d *PlatformDaemon) newQuotas() *quota.Gate {
	bounds := d.settings.Quota
	return quota.NewGate(quota.GateConfig{
		Host: d.self.Host, Rule: quota.Rule{Window: bounds.Window, Overage: bounds.Overage, Slack: bounds.Slack},
		Publish: d.mesh.Publish, Keepers: d.quotaHosts.keepers, Keeper: d.quotaHosts.keeper, Deputy: d.quotaHosts.deputy, Since: d.quotaHosts.changedAt,
		Share: d.limitShare, ZoneShare: d.zoneShare, Hosts: d.countPeakDaemons, Members: func() []string { return d.members.Hosts("") },
		Limit: d.teamLimit, HasLimits: d.hasTeamLimits, Now: d.quotaNow, Log: d.log.WithName("quota"),
	})
}

// zoneShare returns the fraction of the daemons that are live and in this availability zone.
func (d *PlatformDaemon) zoneShare() float64 {
	return float64(d.quotaHosts.zoneSize()) / float64(max(d.countPeakDaemons(), 1))
}

// teamLimit returns the rate limit of a team in the current configuration, and false if it has none.
func (d *PlatformDaemon) teamLimit(team string) (credential.Limit, bool) {
	state := d.directory.Current()
	if state == nil || state.Config.Credentials == nil {
		return credential.Limit{}, false
	}
	known, ok := state.Config.Credentials.Team(team)
	return known.Limit, ok && known.Limit.Rate > 0
}

// hasTeamLimits reports whether a team has a rate limit in the current configuration.
func (d *PlatformDaemon) hasTeamLimits() bool {
	state := d.directory.Current()
	return state != nil && state.Config.Credentials != nil && state.Config.Credentials.HasLimits()
}

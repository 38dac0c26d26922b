package daemon

import (
	"os"
	"time"

	"github.com/turmerictide/turmerictide/pkg/settings"
)

// settingsPeriod spaces the looks at whether the settings file has changed, which
// may happen without a signal.
const settingsPeriod = time.Second

// settingsFile is a settings file that is read again when it changes.
type settingsFile struct {
	path     string
	modified time.Time
	lookedAt time.Time
}

// hasChanged reports whether the file was written since the last look. It looks
// at most once a period.
func (f *settingsFile) hasChanged(now time.Time) bool {
	if now.Sub(f.lookedAt) < settingsPeriod {
		return false
	}
	f.lookedAt = now
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modified) {
		return false
	}
	first := f.modified.IsZero()
	f.modified = info.ModTime()
	return !first
}

// reload reads the settings again. A wrong file changes nothing. The retry budget
// and the time for a shutdown change at once, all else with the next start.
func (d *PlatformDaemon) reload() {
	changed, err := settings.Load(d.file.path)
	if err != nil {
		d.log.Error(err, "settings are wrong, the old ones stay in force", "settings", d.file.path)
		return
	}
	d.reloading.Lock()
	defer d.reloading.Unlock()
	before := d.settings
	d.settings.Budget, d.settings.Limits.ShutdownTimeout = changed.Budget, changed.Limits.ShutdownTimeout
	d.relay.SetRetryBudget(budgetSettings(changed))
	before.Budget, before.Limits.ShutdownTimeout = changed.Budget, changed.Limits.ShutdownTimeout
	d.log.Info("settings are reloaded", "settings", d.file.path, "budget_share", changed.Budget.Share, "budget_slack", changed.Budget.Slack,
		"shutdown_timeout_ms", changed.Limits.ShutdownTimeout.Milliseconds(), "needs_restart", !before.Equal(changed))
}

// shutdownTimeout returns the time for a shutdown that is in force.
func (d *PlatformDaemon) shutdownTimeout() time.Duration {
	d.reloading.Lock()
	defer d.reloading.Unlock()
	return d.settings.Limits.ShutdownTimeout
}

package daemon

import (
	"os"
	"time"

	"github.com/turmerictide/turmerictide/pkg/settings"
)

// settingsCheckInterval is the interval between checks whether the settings file has
// changed, since the file may change without a signal.
const settingsCheckInterval = time.Second

// settingsFile detects changes of a settings file.
type settingsFile struct {
	path      string
	modified  time.Time
	checkedAt time.Time
}

// hasChanged reports whether the file was modified between the last two checks. It checks
// at most once per settingsCheckInterval, and returns false in between.
func (f *settingsFile) hasChanged(now time.Time) bool {
	if now.Sub(f.checkedAt) < settingsCheckInterval {
		return false
	}
	f.checkedAt = now
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modified) {
		return false
	}
	first := f.modified.IsZero()
	f.modified = info.ModTime()
	return !first
}

// reload reads the settings file again. A file with a fault changes nothing. The retry
// budget and the shutdown timeout change immediately, all other settings only after a
// restart.
func (d *PlatformDaemon) reload() {
	changed, err := settings.Load(d.file.path)
	if err != nil {
		d.log.Error(err, "settings are wrong, keeping the current ones", "settings", d.file.path)
		return
	}
	d.settingsMu.Lock()
	defer d.settingsMu.Unlock()
	before := d.settings
	d.settings.Budget, d.settings.Limits.ShutdownTimeout = changed.Budget, changed.Limits.ShutdownTimeout
	d.relay.SetRetryBudget(budgetSettings(changed))
	before.Budget, before.Limits.ShutdownTimeout = changed.Budget, changed.Limits.ShutdownTimeout
	d.log.Info("settings are reloaded", "settings", d.file.path, "budget_share", changed.Budget.Share, "budget_slack", changed.Budget.Slack,
		"shutdown_timeout_ms", changed.Limits.ShutdownTimeout.Milliseconds(), "needs_restart", !before.Equal(changed))
}

// shutdownTimeout returns the current shutdown timeout.
func (d *PlatformDaemon) shutdownTimeout() time.Duration {
	d.settingsMu.Lock()
	defer d.settingsMu.Unlock()
	return d.settings.Limits.ShutdownTimeout
}

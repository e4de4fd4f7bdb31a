package main

import (
	"log/slog"
	"reflect"
)

// reload applies the only value that can change while the program runs: the directory's address. It also logs the other
// keys in which updated differs from the configuration at the start, because a change of these needs a restart; each
// further reload logs them again. If err is not nil, the configuration can't be used, and reload only logs err.
func (s *server) reload(updated *config, err error) {
	if err != nil {
		slog.Error("configuration reload failed", "error", err)
		return
	}
	slog.Info("configuration reloaded", "directory_address", updated.DirectoryAddress)
	s.discovery.Migrate(s.loop.Now(), updated.DirectoryAddress)
	if changed := s.cfg.changesNeedingRestart(updated); len(changed) > 0 {
		slog.Warn("restart needed", "settings", changed)
	}
}

// changesNeedingRestart returns the keys in which updated differs from c and that a reload does not apply. It omits the
// seed and the initial endpoints, because they matter only when the process starts.
func (c *config) changesNeedingRestart(updated *config) (changed []string) {
	if c.Name != updated.Name {
		changed = append(changed, "name")
	}
	if c.Listen != updated.Listen {
		changed = append(changed, "listen")
	}
	if c.Limits != updated.Limits {
		changed = append(changed, "limits")
	}
	if !reflect.DeepEqual(c.policy, updated.policy) || !reflect.DeepEqual(c.transport, updated.transport) {
		changed = append(changed, "settings")
	}
	return changed
}

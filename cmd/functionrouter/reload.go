package main

import (
	"log/slog"
	"reflect"
)

// reload applies what can change while the program runs: the directory's address. It logs the other keys in which fresh
// differs from the configuration of the start, since these need a restart: each further reload names them again. A
// configuration that can't be used, for which err says why, changes nothing.
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

// changesNeedingRestart names the keys in which fresh differs from c and that a reload does not apply. The seed and the initial
// endpoints are left out: they matter only when the process starts.
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

package main

import (
	"log/slog"
	"reflect"
)

// reload applies what can change while the program runs: the directory's address. It logs the other keys in which fresh
// differs from the configuration of the start, since these need a restart: each further reload names them again. A
// configuration that can't be used, for which err says why, changes nothing.
func (s *server) reload(fresh *config, err error) {
	if err != nil {
		slog.Error("configuration reload failed", "error", err)
		return
	}
	slog.Info("configuration reloaded", "directory_address", fresh.DirectoryAddress)
	s.discovery.Migrate(s.loop.Now(), fresh.DirectoryAddress)
	if changed := s.cfg.needsRestart(fresh); len(changed) > 0 {
		slog.Warn("restart needed", "settings", changed)
	}
}

// needsRestart names the keys in which fresh differs from c and that a reload does not apply. The seed and the initial
// endpoints are left out: they matter only when the process starts.
func (c *config) needsRestart(fresh *config) (changed []string) {
	if c.Name != fresh.Name {
		changed = append(changed, "name")
	}
	if c.Listen != fresh.Listen {
		changed = append(changed, "listen")
	}
	if c.Limits != fresh.Limits {
		changed = append(changed, "limits")
	}
	if !reflect.DeepEqual(c.policy, fresh.policy) || !reflect.DeepEqual(c.transport, fresh.transport) {
		changed = append(changed, "settings")
	}
	return changed
}

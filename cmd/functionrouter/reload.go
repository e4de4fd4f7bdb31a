package main

import "log/slog"

// reload takes over what can change while the program runs: the directory's address. It names the other settings
// that fresh changes, since they need a restart. A configuration that can't be used changes nothing.
func (s *server) reload(fresh *config, err error) {
	if err != nil {
		slog.Error("configuration reload failed", "error", err)
		return
	}
	slog.Info("configuration reloaded", "directory_address", fresh.Names)
	s.discovery.Migrate(s.loop.Now(), fresh.Names)
	if changed := s.cfg.needsRestart(fresh); len(changed) > 0 {
		slog.Warn("restart needed", "settings", changed)
	}
}

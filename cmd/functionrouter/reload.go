package main

import "log/slog"

// reload applies what can change while the program runs: the directory's address. It logs the other keys that fresh
// changes, since these need a restart. A configuration that can't be used changes nothing.
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

// Command functionrouter is the function router: the decision module of package policy on real sockets.
//
// It takes its configuration from the environment (see readConfig), serves until SIGTERM or SIGINT, takes over a
// moved directory on SIGHUP and logs its counters on SIGUSR1. It writes its log to standard error and exits with
// status 1 where it can't start.
package main

import (
	"fmt"
	"log/slog"
	"os"
)

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "functionrouter: %v\n", err)
		os.Exit(1)
	}
}

// run reads the configuration and serves until a signal ends the program.
func run() error {
	readEnvironment := func() (*config, error) { return readConfig(os.Getenv) }
	cfg, err := readEnvironment()
	if err != nil {
		return err
	}
	return serve(cfg, readEnvironment)
}

// Command functionrouter is the function router: the decision module of package policy on real sockets.
//
// It reads the configuration file that the environment names (environment.go) and serves until SIGTERM or SIGINT, which
// begin a graceful shutdown (shutdown.go). SIGHUP makes it read the file again and apply a new directory address
// (reload.go); SIGUSR1 makes it log its counters (counters.go). The log goes to standard error. The exit status is 1 if the
// program can't start.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"functionrouter/internal/logging"
)

// logCloseTimeout is how long the program, at its end, waits for the reader of its log. It is part of the time that
// flushMargin leaves before the platform kills the program.
const logCloseTimeout = 100 * time.Millisecond

// main runs the router and reports an error of its start in one plain line, after the log.
func main() {
	// The end of the log's reader must not end the router: without this a write to its closed pipe kills the process.
	signal.Ignore(syscall.SIGPIPE)
	log := logging.NewWriter(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	err := run()
	log.Close(logCloseTimeout)
	if err != nil {
		fmt.Fprintf(os.Stderr, "functionrouter: %v\n", err)
		os.Exit(1)
	}
}

// run reads the configuration and serves until a signal ends the program. It returns an error only if the start fails.
func run() error {
	loadConfig := func() (*config, error) { return readConfig(os.Getenv) }
	cfg, err := loadConfig()
	if err != nil {
		return err
	}
	return serve(cfg, loadConfig)
}

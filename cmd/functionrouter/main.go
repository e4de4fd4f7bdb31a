// Command functionrouter runs the function router: it connects the routing policy of package policy to clients, workers
// and the directory over real sockets.
//
// The command reads the configuration file that the environment names (environment.go) and serves requests until
// SIGTERM or SIGINT, which start a graceful shutdown (shutdown.go). On SIGHUP it reads the file again and applies a new
// directory address (reload.go). On SIGUSR1 it logs its counters (counters.go). The log goes to standard error. The
// exit status is 1 if the program can't start.
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

// logCloseTimeout is how long the program waits at its end until its log is written. It is part of the time that
// flushMargin leaves before the platform kills the program.
const logCloseTimeout = 100 * time.Millisecond

// main runs the router. If the start fails, it prints the error on one plain line after the log.
func main() {
	// Without this call, a write to the log would kill the router with SIGPIPE after the reader of the log has closed
	// the pipe.
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

// run reads the configuration and serves requests until a signal ends the program. It returns an error only if the
// start fails.
func run() error {
	loadConfig := func() (*config, error) { return readConfig(os.Getenv) }
	cfg, err := loadConfig()
	if err != nil {
		return err
	}
	return serve(cfg, loadConfig)
}

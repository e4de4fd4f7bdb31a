package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// siteSettings is the example of the wire page for the site, with its prices left out.
const siteSettings = `{"accounts": [],
 "callers": {"marksRetry": false},
 "classes": [
  {"deadlineMs": 4000, "goalTimeMs": 600, "group": "all", "lateWorth": 0.3, "name": "lookup", "semantics": "safe", "streamed": false, "windowMs": 5000, "worth": 1},
  {"deadlineMs": 5000, "goalTimeMs": 1500, "group": "all", "lateWorth": 0.3, "name": "fee-calc", "semantics": "safe", "streamed": false, "windowMs": 5000, "worth": 2},
  {"deadlineMs": 5000, "goalTimeMs": 300, "group": "all", "lateWorth": 0.3, "name": "transfer", "semantics": "unsafe", "streamed": false, "windowMs": 5000, "worth": 5}],
 "countedBy": "request",
 "failureDomains": ["aarhus-1"],
 "family": "warm",
 "granularityMs": 2,
 "kinds": ["std-3core"],
 "layers": ["rule-workers"],
 "limits": {"cancel": true, "cpuUsPerRequest": 0, "cpuUsPerS": 500000, "dialTimeoutMs": 250, "keepaliveMs": 15000, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterMs": 2000, "mayProbe": false, "peers": false, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32},
 "membershipMode": "automatic",
 "overShareWorth": 0.1,
 "peersTotal": 1,
 "report": {"fields": ["queue", "x0", "x1"], "how": "inline"},
 "rules": {"answerSlackMs": 8, "askWithinMs": 10000, "coldFrom": 0.17, "coldMs": 15000, "drainGraceMs": 2000, "fallMs": 1500, "fallMultiple": 3},
 "selfIndex": 0,
 "specifics": {"ifCold": "load", "lingerIdleMs": 11000, "loadFree": 0, "loadPart": 0, "loadWaitMs": 10000, "loadsWithinMs": 0, "memoryMbByKind": [53184], "memoryPrice": 0.15, "notesPeersInHand": false, "placementCalls": false, "warmNotes": false},
 "tier": 0, "weights": "rough", "zone": 0}`

// routerConfig is what a case chooses of a router's configuration.
type routerConfig struct {
	name      string
	memoryMB  int
	sockets   int
	directory string
	serial    uint32
	members   []member
	webhook   string // path of the webhook file; empty: off
}

// router is a process of the router that a case has started.
type router struct {
	address string
	folder  string
	command *exec.Cmd
	config  string
	webhook string
	ended   chan error
	record  *recorder
}

// runCommand returns the value of run in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "run = \""); found {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errors.New("the deploy file has no run")
}

// writeConfig writes the configuration file of a router that listens on address.
func writeConfig(path, address string, c routerConfig) error {
	var known []map[string]any
	for _, m := range c.members {
		phase := "Ready"
		if m.draining {
			phase = "Terminating"
		}
		known = append(known, map[string]any{"id": m.name, "host_port": m.address, "locality": "aarhus-1", "flavor": "std-3core",
			"cell": 0, "phase": phase, "size": 4, "up_since_ms": m.started})
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	text, err := json.MarshalIndent(map[string]any{
		"name": c.name, "listen": address, "seed": hex.EncodeToString(seed[:]),
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"names":  c.directory,
		"known": map[string]any{"offset": c.serial, "batch": []any{map[string]any{"offset": c.serial,
			"topology": map[string]any{"revision": c.serial, "complete": true, "members": known}}}},
		"settings": json.RawMessage(siteSettings),
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// freePort returns a free TCP address on 127.0.0.1.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newRouter returns a router on a free port, with its configuration written. It is not started.
func newRouter(record *recorder, folder string, c routerConfig) (*router, error) {
	r := &router{address: freePort(), config: filepath.Join(folder, c.name+".json"), webhook: c.webhook, folder: folder, record: record}
	return r, writeConfig(r.config, r.address, c)
}

// startLock is held while a process is started. Nothing is started once stopping is set.
var (
	startLock sync.Mutex
	stopping  bool
)

// start starts the process, also again after it has ended, and waits until it is ready.
func (r *router) start(root string) error {
	if err := r.launch(root); err != nil {
		return err
	}
	return r.awaitReady()
}

func (r *router) launch(root string) error {
	startLock.Lock()
	defer startLock.Unlock()
	if stopping {
		return errors.New("the case is at its end")
	}
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(r.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.command = exec.Command("/bin/sh", "-c", command)
	r.command.Dir = root
	r.command.Env = append(os.Environ(), "EDGE_CONFIG="+r.config, "EDGE_LISTEN="+r.address, "FUNCTIONROUTER_WEBHOOK="+r.webhook, "TMPDIR="+r.folder)
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return err
	}
	r.ended = make(chan error, 1)
	go func(command *exec.Cmd, ended chan error) { ended <- command.Wait() }(r.command, r.ended)
	r.record.logf("router started pid=%d", r.command.Process.Pid)
	return nil
}

func (r *router) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		select {
		case err := <-r.ended:
			r.ended <- err
			return fmt.Errorf("the router ended: %v", err)
		default:
		}
		if c, err := dialClient(r.address); err == nil {
			results, err := c.check()
			if err == nil {
				answer := <-results
				c.close()
				if answer.kind == served {
					r.record.logf("router ready")
					return nil
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the router is not ready")
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.record.logf("signal %v", s)
	_ = r.command.Process.Signal(s)
}

// wait waits until the process has ended, and reports whether it did in time.
func (r *router) wait(timeout time.Duration) bool {
	select {
	case err := <-r.ended:
		r.record.logf("router ended: %v", err)
		r.ended <- err
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill ends the process.
func (r *router) kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	_ = r.command.Process.Kill()
	r.wait(5 * time.Second)
}

// newID returns a new id of a request.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

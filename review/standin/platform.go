package main

import (
	"crypto/rand"
	"encoding/hex"
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

// verdicts of a case, which are its exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	readyWait = 30 * time.Second
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// trouble reports whether the case's disruption is to be played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is record.txt: what was sent, answered and run.
type Record struct {
	mu sync.Mutex
	f  *os.File
}

// Log writes one line with the milliseconds since the start of the case.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.1f  %s\n", float64(time.Since(begun).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// hexID returns a new id of 16 hex digits.
func hexID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// Router is the router's process, started as the platform does.
type Router struct {
	Listen string
	cmd    *exec.Cmd
	exited chan struct{}
	dir    string
}

// StartRouter writes the configuration and starts the deploy file's run command from the root of the repository, and
// waits until check answers that it is ready.
func StartRouter(settings string, memoryMB, sockets int, names string, members []Member) (*Router, error) {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	r := &Router{Listen: freeAddr(), dir: dir, exited: make(chan struct{})}
	atExit(r.Stop)
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"seed":%q,"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"names":%q,"known":%s,"settings":%s}`,
		r.Listen, hexID(), memoryMB, sockets, names, Known(members), settings)
	path := filepath.Join(dir, "config.json")
	must(os.WriteFile(path, []byte(config), 0o644))
	temp := filepath.Join(dir, "tmp")
	must(os.Mkdir(temp, 0o755))
	log, err := os.Create(filepath.Join(dir, "router.log"))
	must(err)
	defer func() { _ = log.Close() }()
	r.cmd = exec.Command("/bin/sh", "-c", runCommand())
	r.cmd.Dir = root()
	r.cmd.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_LISTEN="+r.Listen, "EDGE_CONFIG="+path, "TMPDIR="+temp)
	r.cmd.Stdout = log
	r.cmd.Stderr = log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return r, err
	}
	go func() {
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.Exited() {
			return r, fmt.Errorf("the router ended before it was ready: %s", r.LogTail())
		}
		if Check(r.Listen) {
			return r, nil
		}
	}
	return r, fmt.Errorf("the router was not ready after %v", readyWait)
}

// root is the root of the repository: the folder above review/.
func root() string {
	wd, err := os.Getwd()
	must(err)
	for dir := wd; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir
		}
	}
	panic("deploy/balancer.toml not found above " + wd)
}

// runCommand is the value of run in the deploy file.
func runCommand() string {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "balancer.toml"))
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Split(rest, `"`)[1]
		}
	}
	panic("no run command in the deploy file")
}

// Exited reports whether the process has ended.
func (r *Router) Exited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (r *Router) Signal(sig syscall.Signal) { _ = r.cmd.Process.Signal(sig) }

// Stop kills the process if it still runs and removes its folder.
func (r *Router) Stop() {
	if r.cmd != nil && r.cmd.Process != nil && !r.Exited() {
		r.Signal(syscall.SIGKILL)
		<-r.exited
	}
	_ = os.RemoveAll(r.dir)
}

// LogTail returns the last lines of the router's log.
func (r *Router) LogTail() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "router.log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// MemoryMB is the resident memory of the process in MiB, 0 if it has ended.
func (r *Router) MemoryMB() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

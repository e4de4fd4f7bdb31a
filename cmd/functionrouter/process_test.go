package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// asRouter has the test's program be the router itself, with so many descriptors.
const asRouter = "FUNCTIONROUTER_TEST_AS_ROUTER"

func TestMain(m *testing.M) {
	if most := os.Getenv(asRouter); most != "" {
		n, err := strconv.ParseUint(most, 10, 64)
		if err == nil {
			err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		main()
		return
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil))) // as main does
	os.Exit(m.Run())
}

// startProcess runs the router as a process of its own, with no more descriptors than it is told. The
// rig's log and signals do not reach it.
func startProcess(t *testing.T, sockets int, n *names, list ...entry) (*rig, *os.Process) {
	t.Helper()
	return startProcessWith(t, sockets, sockets, n, list...)
}

// startProcessWith runs it with files descriptors, whatever it is told.
func startProcessWith(t *testing.T, sockets, files int, n *names, list ...entry) (*rig, *os.Process) {
	t.Helper()
	r, _ := newRig(t, n, sockets, "", list...)
	return r, r.restart(files)
}

// restart starts the process again, from nothing but its configuration.
func (r *rig) restart(files int) *os.Process {
	r.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+r.path, fmt.Sprintf("%s=%d", asRouter, files))
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	r.dial().check()
	return cmd.Process
}

// Idle clients fill what there is for clients, and go on coming, while the directory is away: what is kept
// back is enough to ask it once it is there, to dial the worker that it tells of, and to take a call.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const sockets = 128
	n := listenNames(t)
	addr := n.addr()
	n.Close() // its port refuses, and each query takes a new socket
	old, w := listenRunner(t), listenRunner(t).accept()
	old.stop()
	r, process := startProcess(t, sockets, n, entry{id: "s-1", addr: old.addr})
	for range 3 * sockets {
		r.dial()
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Pid))
	if err != nil || len(files) < sockets/3 {
		t.Fatalf("the clients fill %d descriptors only, %v", len(files), err)
	}
	r.names = listenNamesAt(t, addr)
	r.names.answer(r.names.query(), 2, entry{id: "s-2", addr: w.addr})
	w.answerAll()
	for verdict := ""; verdict != "served"; { // refused until the list has been read
		c := r.dial()
		c.call("safe", "00000000000000a1", "one")
		verdict, _ = c.answer()
	}
}

// A process that has fewer descriptors than it was told runs out of them: accepts, dials and queries fail, it
// goes on all the same, answers those that it has, and serves again once there are descriptors.
func TestDescriptorsRunOut(t *testing.T) {
	const sockets = 1024
	n := listenNames(t)
	w := listenRunner(t).accept()
	r, _ := startProcessWith(t, sockets, 48, n, entry{id: "s-1", addr: w.addr})
	c := r.dial()
	c.check()
	var idle []*client
	ends := make(chan struct{}, 1000)
	for len(ends) == 0 { // until one is closed at once, since there was no descriptor to take it over
		i := r.dial()
		idle = append(idle, i)
		go func() {
			i.Read(make([]byte, 1))
			ends <- struct{}{}
		}()
	}
	c.call("safe", "00000000000000a1", "one") // there is none left for its dial
	if verdict, _ := c.answer(); verdict != "refused" {
		t.Errorf("a call without a descriptor was %s", verdict)
	}
	for _, i := range idle {
		i.Close()
	}
	w.answerAll()
	for verdict, n := "", 0; verdict != "served"; n++ {
		c.call("safe", fmt.Sprintf("%016x", 0xb0+n), "two")
		verdict, _ = c.answer()
	}
}

// An unusable configuration, and an address that is taken, end the program with a plain message.
func TestUnusableStartEndsPlainly(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	good := configText(t, taken.Addr().String(), "127.0.0.1:9", 256, "")
	for name, text := range map[string]string{
		"half a file":         good[:len(good)/2],
		"no classes":          strings.Replace(good, `"classes"`, `"klasses"`, 1),
		"impossible deadline": strings.Replace(good, `"deadlineMs":6000`, `"deadlineMs":-1`, 1),
		"a taken address":     good,
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, asRouter+"=256")
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
			t.Errorf("%s: ended with %v", name, err)
		}
		if !strings.Contains(string(out), "functionrouter: ") || strings.Contains(string(out), "goroutine") {
			t.Errorf("%s: %s", name, out)
		}
	}
}

// A process is killed just after it accepted a connection and with a call out, and starts again from its old
// list: its clients hear of the end at once, and the new process serves by the list that it is told.
func TestKilledProcessStartsAgain(t *testing.T) {
	first, second := listenRunner(t).accept(), listenRunner(t).accept()
	r, process := startProcess(t, 256, listenNames(t), entry{id: "s-1", addr: first.addr})
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "one")
	a := first.next()
	fresh := r.dial()
	if err := process.Kill(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []*client{c, fresh} {
		if _, _, err := c.read(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a connection to a process that was killed: %v", err)
		}
	}
	first.stop()
	r.restart(256)
	a.answer("HIT", "to nobody")
	second.answerAll()
	for verdict := ""; verdict != "served"; { // the first queries are the old process's
		r.names.answer(r.names.query(), 5, entry{id: "s-2", addr: second.addr})
		again := r.dial()
		again.call("unsafe", "00000000000000a2", "two")
		verdict, _ = again.answer()
	}
}

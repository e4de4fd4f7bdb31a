package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience bounds each wait of a test; none of them is meant to last.
const patience = 20 * time.Second

// rig is a router on real sockets, with a directory, workers and clients in the test's hands.
type rig struct {
	t      *testing.T
	path   string // of the configuration
	text   string
	listen string
	names  *names
	log    *logTap
	reread chan error // of each SIGHUP
	ended  chan error
}

// entry is a worker as the directory has it.
type entry struct {
	id, addr string
	draining bool
	started  int64
}

// startRig runs a router that starts out knowing list. More goes into its settings beside the classes: safe,
// which may be repeated, and unsafe, which may not.
func startRig(t *testing.T, more string, list ...entry) *rig {
	t.Helper()
	r, cfg := newRig(t, listenNames(t), 1024, more, list...)
	// One that comes as the router ends must not end the tests too.
	kept := make(chan os.Signal, 1)
	signal.Notify(kept, syscall.SIGTERM)
	t.Cleanup(func() { signal.Stop(kept) })
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(r.log, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	go func() {
		r.ended <- serve(cfg, func() (*config, error) {
			fresh, err := readConfig(func(name string) string { return map[string]string{"EDGE_CONFIG": r.path}[name] })
			r.reread <- err
			return fresh, err
		})
	}()
	t.Cleanup(r.stop)
	r.dial().check()
	return r
}

// newRig writes the configuration of a router that listens at a free address.
func newRig(t *testing.T, n *names, sockets int, more string, list ...entry) (*rig, *config) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	r := &rig{t: t, path: filepath.Join(t.TempDir(), "config.json"), listen: free.Addr().String(), names: n,
		log: &logTap{grown: make(chan struct{})}, reread: make(chan error, 1), ended: make(chan error, 1)}
	r.text = configText(t, r.listen, n.addr(), sockets, more, list...)
	cfg, err := readText(r.path, r.text)
	if err != nil {
		t.Fatal(err)
	}
	return r, cfg
}

func configText(t *testing.T, listen, names string, sockets int, more string, list ...entry) string {
	t.Helper()
	members := []map[string]any{}
	for _, e := range list {
		phase := "Ready"
		if e.draining {
			phase = "Terminating"
		}
		members = append(members, map[string]any{"id": e.id, "host_port": e.addr, "phase": phase, "size": 1, "up_since_ms": e.started})
	}
	known, err := json.Marshal(members)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(`{"name":"n3","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
 "names":%q,"known":{"offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":%s}}]},
 "settings":{%s"classes":[{"name":"safe","deadlineMs":6000,"goalTimeMs":3000,"semantics":"safe","group":"all"},
 {"name":"unsafe","deadlineMs":6000,"goalTimeMs":3000,"semantics":"unsafe","group":"all"}]}}`, listen, sockets, names, known, more)
}

// signal sends the router one.
func (r *rig) signal(s syscall.Signal) {
	r.t.Helper()
	if err := syscall.Kill(syscall.Getpid(), s); err != nil {
		r.t.Fatal(err)
	}
}

// reload has the router read text as its configuration, and returns what came of that.
func (r *rig) reload(text string) error {
	r.t.Helper()
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	return <-r.reread
}

// terminate sends SIGTERM and waits until the router has taken it in.
func (r *rig) terminate(c *client) {
	r.t.Helper()
	r.signal(syscall.SIGTERM)
	for c.check() {
	}
}

// stop ends the router, if it still runs.
func (r *rig) stop() {
	select {
	case err := <-r.ended:
		r.ended <- err
		return
	default:
	}
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	r.over()
}

// over waits for the router's end.
func (r *rig) over() {
	r.t.Helper()
	select {
	case err := <-r.ended:
		if err != nil {
			r.t.Error(err)
		}
		r.ended <- err
	case <-time.After(patience):
		r.t.Error("the router doesn't end")
	}
}

// client is a connection to the router.
type client struct {
	net.Conn
	t   *testing.T
	seq uint32
}

func (r *rig) dial() *client {
	r.t.Helper()
	for end := time.Now().Add(patience); ; { // until it listens
		conn, err := net.Dial("tcp", r.listen)
		if err == nil {
			conn.SetDeadline(time.Now().Add(patience))
			r.t.Cleanup(func() { conn.Close() })
			return &client{Conn: conn, t: r.t}
		}
		select {
		case err := <-r.ended:
			r.ended <- err
			r.t.Fatalf("the router has ended: %v", err)
		default:
		}
		if time.Now().After(end) {
			r.t.Fatal(err)
		}
	}
}

func sized(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// message frames a Thrift message of these arguments.
func message(kind byte, method string, seq uint32, args ...byte) []byte {
	b := sized([]byte{0, 0, 0, 0, 0x80, 1, 0, kind}, method)
	b = append(append(binary.BigEndian.AppendUint32(b, seq), args...), 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// request is the frame of a call.
func (c *client) request(class, id, body string, wait time.Duration) []byte {
	c.seq++
	args := []byte{13, 0, 1, 11, 11, 0, 0, 0, 4}
	for _, s := range []string{"class", class, "id", id, "wait", strconv.FormatInt(wait.Milliseconds(), 10), "key", "7f3a9c21e0b4d655"} {
		args = sized(args, s)
	}
	return message(1, "execute", c.seq, sized(append(args, 11, 0, 2), body)...)
}

func (c *client) send(b []byte) {
	c.t.Helper()
	if _, err := c.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) call(class, id, body string) {
	c.t.Helper()
	c.send(c.request(class, id, body, 5*time.Second))
}

// callUntilRefused calls until the router, which is to end, takes no more.
func (c *client) callUntilRefused() {
	c.t.Helper()
	for verdict := "served"; verdict == "served"; {
		c.call("safe", fmt.Sprintf("%016x", 0xb0000+c.seq), "more")
		verdict, _ = c.answer()
	}
}

// answer reads one: "served" and the body, "refused" or "failed".
func (c *client) answer() (verdict, body string) {
	c.t.Helper()
	verdict, body, err := c.read()
	if err != nil {
		c.t.Fatal(err)
	}
	return verdict, body
}

// frame reads a whole one.
func (c *client) frame() ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(size[:]))
	_, err := io.ReadFull(c, b)
	return b, err
}

func (c *client) read() (verdict, body string, err error) {
	b, err := c.frame()
	if err != nil {
		return "", "", err
	}
	b = b[4+4+binary.BigEndian.Uint32(b[4:])+4:] // version, name and number
	switch field := binary.BigEndian.Uint16(b[1:]); field {
	case 0:
		size := binary.BigEndian.Uint32(b[6:])
		return "served", string(b[10 : 10+size]), nil
	case 1:
		return "refused", "", nil
	default:
		return "failed", "", nil
	}
}

// check asks the router whether it is ready. It also is a gate: once it is answered twice, all that was
// readable before has been read.
func (c *client) check() (good bool) {
	c.t.Helper()
	for range 2 {
		c.seq++
		c.send(message(1, "check", c.seq))
		b, err := c.frame()
		if err != nil {
			c.t.Fatal(err)
		}
		// A struct in field 0 whose boolean in field 3 comes before the two ends.
		good = b[len(b)-3] == 1
	}
	return good
}

func (c *client) interrupt(seq uint32) {
	c.t.Helper()
	c.send(message(4, "interrupt", 0, append([]byte{8, 0, 1}, binary.BigEndian.AppendUint32(nil, seq)...)...))
}

// runner is a worker whose answers the test gives.
type runner struct {
	t    *testing.T
	fd   int
	addr string
	runs chan arrival
	ends chan struct{} // connections that the router ended
	mu   sync.Mutex
	all  []io.Closer // the listener, its connections, and those that fill its queue
}

// arrival is a call as it came to a worker.
type arrival struct {
	conn     net.Conn
	id, body string
}

// listenRunner returns a worker that listens and accepts nothing yet: its kernel takes one connection
// for it, and no dial beside that one ends.
func listenRunner(t *testing.T) *runner {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	w := &runner{t: t, fd: fd, runs: make(chan arrival, 100), ends: make(chan struct{}, 100)}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	in := sa.(*syscall.SockaddrInet4)
	w.addr = netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String()
	t.Cleanup(w.stop)
	return w
}

// full has no further dial to the worker end until it accepts.
func (w *runner) full() *runner {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.all = append(w.all, c)
	return w
}

// accept begins to accept and to read.
func (w *runner) accept() *runner {
	f := os.NewFile(uintptr(w.fd), "worker")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.fd = -1
	w.all = append(w.all, ln)
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.all = append(w.all, c)
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w
}

func (w *runner) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fd >= 0 {
		syscall.Close(w.fd)
		w.fd = -1
	}
	for _, c := range w.all {
		c.Close()
	}
}

func (w *runner) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			w.ends <- struct{}{}
			return
		}
		n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err != nil {
			return
		}
		words := make([]string, n)
		for i := range words {
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
			size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
			b := make([]byte, size+2)
			if _, err := io.ReadFull(in, b); err != nil {
				return
			}
			words[i] = string(b[:size])
		}
		switch {
		case len(words) == 4 && words[0] == "RUN":
			w.runs <- arrival{c, words[1], words[3]}
		case len(words) == 2 && words[0] == "NOOP":
			fmt.Fprintf(c, "*2\r\n$%d\r\n%s\r\n$4\r\nPONG\r\n", len(words[1]), words[1])
		}
	}
}

// answerAll serves all calls from now on.
func (w *runner) answerAll() {
	go func() {
		for a := range w.runs {
			a.answer("HIT", "done")
		}
	}()
}

// next is the next call to come to the worker.
func (w *runner) next() arrival {
	w.t.Helper()
	select {
	case a := <-w.runs:
		return a
	case <-time.After(patience):
		w.t.Fatal("no call came to the worker")
		return arrival{}
	}
}

// either is the next call to come to one of two workers.
func (w *runner) either(other *runner) arrival {
	w.t.Helper()
	select {
	case a := <-w.runs:
		return a
	case a := <-other.runs:
		return a
	case <-time.After(patience):
		w.t.Fatal("no call came to the workers")
		return arrival{}
	}
}

// none checks that no call has come to the worker.
func (w *runner) none() {
	w.t.Helper()
	select {
	case a := <-w.runs:
		w.t.Errorf("the worker was sent %q", a.body)
	default:
	}
}

// text is an answer, as it stands on the wire.
func (a arrival) text(word, body string) string {
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n", len(a.id), a.id, len(word), word, len(body), body)
}

func (a arrival) answer(word, body string) { io.WriteString(a.conn, a.text(word, body)) }

// names is a directory that answers when the test has it do so.
type names struct {
	net.PacketConn
	t *testing.T
}

func listenNames(t *testing.T) *names {
	t.Helper()
	return listenNamesAt(t, "127.0.0.1:0")
}

func listenNamesAt(t *testing.T, addr string) *names {
	t.Helper()
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { c.Close() })
	return &names{c, t}
}

func (n *names) addr() string { return n.LocalAddr().String() }

// query is one that came to a directory.
type query struct {
	text []byte
	from net.Addr
}

// query waits for one. The router takes an answer to any of its last 32.
func (n *names) query() query {
	n.t.Helper()
	buf := make([]byte, 512)
	size, from, err := n.ReadFrom(buf)
	if err != nil {
		n.t.Fatal(err)
	}
	return query{buf[:size], from}
}

// answer tells the whole list under a number.
func (n *names) answer(q query, serial uint32, list ...entry) {
	n.t.Helper()
	b := append([]byte(nil), q.text...)
	b[2] |= 0x80
	record := func(section int, name []byte, typ byte, data []byte) {
		binary.BigEndian.PutUint16(b[section:], binary.BigEndian.Uint16(b[section:])+1)
		b = append(append(b, name...), 0, typ, 0, 1, 0, 0, 0, 0)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
	}
	label := func(s string) []byte { return append([]byte{byte(len(s))}, s...) }
	asked := []byte{0xc0, 12}
	for _, e := range list {
		host := append(append(label(e.id), label("aarhus")...), append(label("hosts"), 0)...)
		to := netip.MustParseAddrPort(e.addr)
		priority := byte(0)
		if e.draining {
			priority = 1
		}
		srv := binary.BigEndian.AppendUint16([]byte{0, priority, 0, 10}, to.Port())
		record(6, asked, 33, append(srv, host...))
	}
	record(8, asked, 6, append(binary.BigEndian.AppendUint32([]byte{0, 0}, serial), make([]byte, 16)...))
	for _, e := range list {
		host := append(append(label(e.id), label("aarhus")...), append(label("hosts"), 0)...)
		ip := netip.MustParseAddrPort(e.addr).Addr().As4()
		record(10, host, 1, ip[:])
		record(10, host, 16, append(label("kind=std"), label(fmt.Sprintf("started=%d", e.started))...))
	}
	if _, err := n.WriteTo(b, q.from); err != nil {
		n.t.Fatal(err)
	}
}

// tell answers a query, and returns once the router follows the list.
func (r *rig) tell(serial uint32, list ...entry) {
	r.t.Helper()
	from := r.log.mark()
	r.names.answer(r.names.query(), serial, list...)
	for _, e := range list {
		r.log.wait(r.t, from, `msg="endpoint updated" worker=`+e.id+" ")
	}
	r.dial().check()
}

// logTap keeps the router's log, so that a test can wait for a line.
type logTap struct {
	mu    sync.Mutex
	text  strings.Builder
	grown chan struct{} // closed at the next line
}

func (l *logTap) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.grown)
	l.grown = make(chan struct{})
	return l.text.Write(b)
}

// mark is where the log ends now.
func (l *logTap) mark() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Len()
}

// wait returns once text stands in the log behind from.
func (l *logTap) wait(t *testing.T, from int, text string) {
	t.Helper()
	for late := time.After(patience); ; {
		l.mu.Lock()
		found, grown := strings.Contains(l.text.String()[from:], text), l.grown
		l.mu.Unlock()
		if found {
			return
		}
		select {
		case <-grown:
		case <-late:
			t.Fatalf("the log lacks %q", text)
		}
	}
}

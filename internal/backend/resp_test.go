package backend

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/internal/standin"
	"functionrouter/policy"
)

// line is a connection whose handler the test drives.
type line struct {
	standin.Line
	h eventloop.DialHandler
}

// sink keeps how attempts, orders and probes ended.
type sink struct {
	ended map[router.AttemptID][]policy.Outcome
	asked map[uint64][]policy.Outcome
	body  map[router.AttemptID]string
}

func (s *sink) AttemptEnded(a router.AttemptID, o policy.Outcome, _ policy.InstanceStatus, body []byte, _ []float64) {
	s.ended[a] = append(s.ended[a], o)
	s.body[a] = string(body)
}
func (s *sink) LoadOrderEnded(tag uint64, o policy.Outcome, _ int) {
	s.asked[tag] = append(s.asked[tag], o)
}
func (s *sink) ProbeEnded(tag uint64, o policy.Outcome, _ []float64) {
	s.asked[tag] = append(s.asked[tag], o)
}

func newPool() (*Pool, *sink, *[]*line) {
	s := &sink{map[router.AttemptID][]policy.Outcome{}, map[uint64][]policy.Outcome{}, map[router.AttemptID]string{}}
	var lines []*line
	p := New(Config{Classes: []string{"dim-level"}, LoadReportFields: []string{"inflight"}, DialTimeout: time.Second,
		IdleTimeout: 30 * time.Second, MaxStreamsPerConnection: 2, MaxConnections: 100, AllowCancel: true, Dial: func(_ string, _ time.Duration, h eventloop.DialHandler) Transport {
			lines = append(lines, &line{h: h})
			return lines[len(lines)-1]
		}}, s)
	p.UpdateEndpoint(1, "127.0.0.1:1", policy.Ready, 0)
	return p, s, &lines
}

func request(id string) *router.Request {
	return &router.Request{ID: id, FunctionKey: "00000000000000aa", Body: []byte("hello")}
}

func TestAnswersAreReadHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s, lines := newPool()
		a := router.AttemptID{Request: 1}
		p.StartAttempt(1, a, request("0123456789abcdef"), time.Second)
		l := (*lines)[0]
		l.h.OnOpen(nil)
		want := "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n"
		if got := l.Wrote.String(); got != want {
			t.Fatalf("wrote %q", got)
		}
		body := rapid.StringN(0, 200, 400).Draw(t, "body")
		text := fmt.Sprintf("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n$29\r\ndetail=hot,use=inflight:7;x:1\r\n$%d\r\n%s\r\n", len(body), body)
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "n")
			l.h.OnData([]byte(text[:n]))
			text = text[n:]
		}
		if len(s.ended[a]) != 1 || s.ended[a][0] != policy.Served || s.body[a] != body || l.HasClosed {
			t.Fatalf("ended %v with %q, closed %v", s.ended[a], s.body[a], l.HasClosed)
		}
	})
}

func TestAnyBytesCloseTheirConnectionAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _, lines := newPool()
		p.Probe(1, 1)
		l := (*lines)[0]
		l.h.OnOpen(nil)
		bits := rapid.SampledFrom([]string{"*", "4", "\r\n", "$", "2", "99999999999", "p1", "PONG", "-", "HIT", "\x00", "*2\r\n"})
		l.h.OnData([]byte(strings.Join(rapid.SliceOfN(bits, 0, 30).Draw(t, "bits"), "")))
	})
	p, _, lines := newPool()
	p.Probe(1, 1)
	l := (*lines)[0]
	l.h.OnOpen(nil)
	if l.h.OnData([]byte("*4\r\n$16449\r\n")); !l.HasClosed {
		t.Error("a bulk string over the cap was waited for")
	}
}

// The model of a connection: every call ends once, with Reset only if it was written, and never by
// an answer to an attempt before it that was given up.
func TestCallsEndOnceAndTruly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s, lines := newPool()
		next, out, up := 0, []router.AttemptID{}, map[*line]bool{}
		drop := func(i int) { out = append(out[:i], out[i+1:]...) }
		wrote := func(id string) (on []*line) {
			for _, l := range *lines {
				if strings.Contains(l.Wrote.String(), id) {
					on = append(on, l)
				}
			}
			return on
		}
		answered := map[*line]map[string]int{}
		runs := func(l *line, id string) int { return strings.Count(l.Wrote.String(), "RUN\r\n$16\r\n"+id) }
		id := func(a router.AttemptID) string { return fmt.Sprintf("%016x", int(a.Request)) }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				next++
				a := router.AttemptID{Request: policy.RequestID(next)}
				p.StartAttempt(1, a, request(id(a)), time.Second)
				out = append(out, a)
			},
			"again": func(t *rapid.T) { // given up, and sent again to the same worker under the same id
				if len(out) == 0 {
					return
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "i")
				a := out[i]
				if len(s.ended[a]) > 0 {
					return
				}
				late := map[*line]bool{} // connections on which an answer to an earlier attempt is due
				for _, l := range *lines {
					late[l] = runs(l, id(a)) > answered[l][id(a)]
				}
				p.CancelAttempt(1, a)
				drop(i)
				b := router.AttemptID{Request: a.Request, Number: a.Number + 1}
				p.StartAttempt(1, b, request(id(b)), time.Second)
				out = append(out, b)
				for _, l := range *lines {
					if late[l] && !l.HasClosed {
						if answered[l] == nil {
							answered[l] = map[string]int{}
						}
						answered[l][id(b)]++
						l.h.OnData([]byte("*4\r\n$16\r\n" + id(b) + "\r\n$3\r\nHIT\r\n$1\r\n-\r\n$3\r\nold\r\n"))
					}
				}
				if s.body[b] == "old" {
					t.Fatal("the answer to the first attempt ended the second")
				}
			},
			"dial": func(t *rapid.T) {
				for _, l := range *lines {
					if !up[l] && !l.HasClosed {
						up[l] = true
						if rapid.Bool().Draw(t, "fails") {
							l.HasClosed = true
							l.h.OnOpen(errors.New("refused"))
						} else {
							l.h.OnOpen(nil)
						}
						return
					}
				}
			},
			"reset": func(t *rapid.T) {
				for _, l := range *lines {
					if up[l] && !l.HasClosed {
						l.HasClosed = true
						l.h.OnClose(errors.New("reset"))
						return
					}
				}
			},
			"drain": func(t *rapid.T) { // what waits behind a dial ends unsent at once
				p.UpdateEndpoint(1, "127.0.0.1:1", policy.Draining, 0)
				for _, a := range out {
					if len(s.ended[a]) == 0 && len(wrote(id(a))) == 0 {
						t.Fatalf("%v still waits to be sent to a draining worker", a)
					}
				}
				p.UpdateEndpoint(1, "127.0.0.1:1", policy.Ready, 0)
			},
			"": func(t *rapid.T) {
				for _, l := range *lines {
					if text := l.Wrote.String(); strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
						t.Fatalf("gave up what was never sent: %q", text)
					}
				}
				for a, o := range s.ended {
					if len(o) != 1 {
						t.Fatalf("%v ended %v", a, o)
					}
					if o[0] == policy.ConnectionReset && len(wrote(id(a))) == 0 {
						t.Fatalf("%v was never written but counts as reset", a)
					}
				}
			},
		})
	})
}

// Guards the drain rule for orders: one queued behind a dial is not sent once its worker drains.
func TestOrderBehindADialIsNotSentToADrainingWorker(t *testing.T) {
	p, s, lines := newPool()
	p.LoadInstance(1, 5, 1, 9)
	p.UpdateEndpoint(1, "127.0.0.1:1", policy.Draining, 0)
	(*lines)[0].h.OnOpen(nil)
	if got := (*lines)[0].Wrote.String(); got != "" || len(s.asked[9]) != 1 || s.asked[9][0] != policy.WorkerOverloaded {
		t.Errorf("wrote %q, ended %v", got, s.asked[9])
	}
}

// Guards against a worker that took over the address of one that has gone.
func TestNewWorkerAtAnOldAddressGetsItsOwnConnection(t *testing.T) {
	p, _, lines := newPool()
	p.Probe(1, 1)
	p.RetainEndpoints(map[policy.WorkerID]bool{2: true})
	p.UpdateEndpoint(2, "127.0.0.1:1", policy.Ready, 0)
	p.StartAttempt(2, router.AttemptID{Request: 1}, request("0123456789abcdef"), time.Second)
	if len(*lines) != 2 {
		t.Errorf("%d connections", len(*lines))
	}
}

func reply(id, word, body string) []byte {
	return fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n", len(id), id, len(word), word, len(body), body)
}

// ran tells on which connections an id was sent.
func ran(lines []*line, id string) (on []int) {
	for i, l := range lines {
		if strings.Contains(l.Wrote.String(), "RUN\r\n$16\r\n"+id) {
			on = append(on, i)
		}
	}
	return on
}

// Guards against a second copy of an answer: of a miss, say, which would have the next attempt of the
// same request count as one that never ran, and an order be sent once more.
func TestSecondCopyEndsNoLaterAttempt(t *testing.T) {
	p, s, lines := newPool()
	const id = "0123456789abcdef"
	first, second := router.AttemptID{Request: 1}, router.AttemptID{Request: 1, Number: 1}
	p.StartAttempt(1, first, request(id), time.Second)
	l := (*lines)[0]
	l.h.OnOpen(nil)
	l.h.OnData(reply(id, "NONE", ""))
	p.StartAttempt(1, second, request(id), time.Second)
	l.h.OnData(reply(id, "NONE", ""))
	l.h.OnData(reply("unknown", "HIT", "ahead"))
	if len(s.ended[second]) != 0 || l.HasClosed || len(*lines) != 2 {
		t.Fatalf("second attempt ended %v on %d connections", s.ended[second], len(*lines))
	}
	(*lines)[1].h.OnOpen(nil)
	(*lines)[1].h.OnData(reply(id, "HIT", "done"))
	if len(s.ended[second]) != 1 || s.body[second] != "done" || len(ran(*lines, id)) != 2 {
		t.Errorf("second attempt ended %v with %q", s.ended[second], s.body[second])
	}
	for now := time.Duration(0); now <= 3*recentIDLifetime; now += SweepInterval {
		p.Sweep(now)
	}
	for _, c := range p.workers[1].connections {
		if len(c.recentIDs.current)+len(c.recentIDs.previous)+len(c.pending) != 0 {
			t.Errorf("a connection still remembers %d ids", len(c.recentIDs.current)+len(c.recentIDs.previous))
		}
	}
}

// Guards against a flood of takebacks: the ids that a connection remembers are bounded, and one that is
// full gives way to another without a reset for the calls that are open on it.
func TestTakebacksCostNobodyElseAConnection(t *testing.T) {
	p, s, lines := newPool()
	stays := router.AttemptID{Request: 9999}
	p.StartAttempt(1, stays, request("00000000000000ff"), time.Second)
	(*lines)[0].h.OnOpen(nil)
	for i := range maxRecentIDs + 10 {
		a := router.AttemptID{Request: policy.RequestID(i)}
		p.StartAttempt(1, a, request(fmt.Sprintf("%016x", 1<<20+i)), time.Second)
		p.CancelAttempt(1, a)
	}
	if (*lines)[0].HasClosed || len(s.ended[stays]) != 0 || len(*lines) != 2 {
		t.Errorf("closed %v, ended %v, %d connections", (*lines)[0].HasClosed, s.ended[stays], len(*lines))
	}
	if n := len(p.workers[1].connections[0].recentIDs.current); n != maxRecentIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// Guards against a connection that was cut off: it stays open and says nothing while its worker is well.
// Nothing more goes over it, and what is open on it ends; a worker that is silent altogether keeps its
// connections, for that is for the module to judge.
func TestSilentConnectionIsLeft(t *testing.T) {
	for _, well := range []bool{true, false} {
		p, s, lines := newPool()
		now := time.Hour
		p.Sweep(now)
		a, b := router.AttemptID{Request: 1}, router.AttemptID{Request: 2}
		p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
		(*lines)[0].h.OnOpen(nil)
		pass := func(d time.Duration) {
			for end := now + d; now < end; {
				now += SweepInterval
				p.Sweep(now)
			}
		}
		pass(healthCheckAfter + SweepInterval)
		if got := (*lines)[0].Wrote.String(); strings.Count(got, "NOOP") != 1 {
			t.Fatalf("not asked for a sign of life: %q", got)
		}
		pass(SweepInterval)
		p.StartAttempt(1, b, request("00000000000000b2"), time.Second)
		if on := ran(*lines, "00000000000000b2"); len(*lines) != 2 || len(on) != 0 {
			t.Fatalf("a silent connection was chosen, of %d", len(*lines))
		}
		(*lines)[1].h.OnOpen(nil)
		if pass(SweepInterval); well {
			(*lines)[1].h.OnData(reply("00000000000000b2", "HIT", ""))
		}
		if (*lines)[0].HasClosed {
			t.Fatal("closed before its time for a sign of life was up")
		}
		pass(healthCheckTimeout + SweepInterval)
		if (*lines)[0].HasClosed != well {
			t.Errorf("worker well: %v, silent connection closed: %v", well, (*lines)[0].HasClosed)
		}
		if (*lines)[0].h.OnClose(nil); len(s.ended[a]) != 1 || s.ended[a][0] != policy.ConnectionReset {
			t.Errorf("ended %v", s.ended[a])
		}
	}
	p, _, lines := newPool() // a sign of life makes it good again
	p.StartAttempt(1, router.AttemptID{Request: 1}, request("00000000000000a1"), time.Second)
	(*lines)[0].h.OnOpen(nil)
	p.Sweep(healthCheckAfter + SweepInterval)
	(*lines)[0].h.OnData([]byte("*2\r\n$2\r\nn1\r\n$4\r\nPONG\r\n"))
	if p.StartAttempt(1, router.AttemptID{Request: 2}, request("00000000000000b2"), time.Second); len(*lines) != 1 || (*lines)[0].HasClosed {
		t.Error("a connection that answered was left")
	}
}

// Guards against an answer that stops short on an open connection: no more bytes, or a few now and then
// that never make it whole.
func TestAnswerThatStopsShortIsNotWaitedFor(t *testing.T) {
	p, s, lines := newPool()
	a := router.AttemptID{Request: 1}
	p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
	l := (*lines)[0]
	l.h.OnOpen(nil)
	whole := reply("00000000000000a1", "HIT", strings.Repeat("x", 1000))
	for i := range int(partialAnswerTimeout/SweepInterval) + 2 {
		p.Sweep(time.Hour + time.Duration(i)*SweepInterval)
		if !l.HasClosed {
			l.h.OnData(whole[i*3 : i*3+3])
		}
	}
	if !l.HasClosed {
		t.Fatal("the rest of an answer is still waited for")
	}
	l.h.OnData(whole[3*(int(partialAnswerTimeout/SweepInterval)+2):]) // too late: nothing that follows counts
	if len(s.ended[a]) != 0 {
		t.Errorf("ended %v by what came after the close", s.ended[a])
	}
	p.StartAttempt(1, router.AttemptID{Request: 2}, request("00000000000000b2"), time.Second)
	if len(*lines) != 2 {
		t.Error("a call went to a connection that we closed")
	}
}

// Guards against copying the beginning of an answer anew for each of its bytes.
func TestBeginningOfAnAnswerIsNotCopiedOver(t *testing.T) {
	p, s, lines := newPool()
	a := router.AttemptID{Request: 1}
	p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
	(*lines)[0].h.OnOpen(nil)
	whole := reply("00000000000000a1", "HIT", strings.Repeat("x", maxBulkSize-64))
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			(*lines)[0].h.OnData(whole[i : i+1])
		}
	})
	if len(s.ended[a]) != 1 || allocs > 60 {
		t.Errorf("ended %v after %v allocations for %d bytes", s.ended[a], allocs, len(whole))
	}
}

// Guards workers that are well against connections that break under a probe: it goes over another one, so
// that only a worker that refuses, or breaks them all, counts as having failed it.
func TestProbeOutlivesItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		resets int
		last   func(l *line)
		want   policy.Outcome
	}{
		"well":   {1, func(l *line) { l.h.OnOpen(nil); l.h.OnData([]byte("*2\r\n$2\r\np7\r\n$4\r\nPONG\r\n")) }, policy.Served},
		"died":   {1, func(l *line) { l.h.OnOpen(errors.New("refused")) }, policy.Unreachable},
		"breaks": {maxProbeResends, func(l *line) { l.h.OnOpen(nil); l.h.OnClose(errors.New("reset")) }, policy.ConnectionReset},
	} {
		p, s, lines := newPool()
		p.Probe(1, 7)
		for i := range c.resets {
			(*lines)[i].h.OnOpen(nil)
			if (*lines)[i].h.OnClose(errors.New("reset")); len(s.asked[7]) != 0 || len(*lines) != i+2 {
				t.Fatalf("%s: ended %v on %d connections", name, s.asked[7], len(*lines))
			}
		}
		c.last((*lines)[c.resets])
		if len(s.asked[7]) != 1 || s.asked[7][0] != c.want || len(*lines) != c.resets+1 {
			t.Errorf("%s: ended %v on %d connections", name, s.asked[7], len(*lines))
		}
	}
}

// Guards the descriptors: connections to all workers together are bounded, and an idle one makes room.
func TestConnectionsAreBoundedTogether(t *testing.T) {
	p, s, lines := newPool()
	p.cfg.MaxConnections = 3
	for w := range policy.WorkerID(5) {
		p.UpdateEndpoint(w+1, fmt.Sprintf("127.0.0.1:%d", w+1), policy.Ready, 0)
		p.StartAttempt(w+1, router.AttemptID{Request: policy.RequestID(w)}, request(fmt.Sprintf("%016x", w)), time.Second)
	}
	if len(*lines) != 3 || s.ended[router.AttemptID{Request: 4}][0] != policy.Unreachable {
		t.Fatalf("%d connections, ended %v", len(*lines), s.ended)
	}
	(*lines)[0].h.OnOpen(nil)
	(*lines)[0].h.OnData(reply(fmt.Sprintf("%016x", 0), "HIT", ""))
	p.StartAttempt(5, router.AttemptID{Request: 9}, request("00000000000000ff"), time.Second)
	if len(*lines) != 4 || !(*lines)[0].HasClosed {
		t.Errorf("%d connections, idle one closed: %v", len(*lines), (*lines)[0].HasClosed)
	}
}

// Guards workers that are well against connections that are reset when new: what waits behind such a dial
// gets another, a few times. One that is refused, or a worker that drains meanwhile, gets none.
func TestResetDialIsTriedAgain(t *testing.T) {
	dial := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	for name, c := range map[string]struct {
		errs  []error
		state policy.WorkerState
		dials int
		ends  bool
	}{
		"reset once":         {[]error{dial(syscall.ECONNRESET), nil}, policy.Ready, 2, false},
		"closed at once":     {[]error{net.ErrClosed, nil}, policy.Ready, 2, false},
		"reset again":        {[]error{dial(syscall.ECONNRESET), dial(syscall.ECONNRESET), dial(syscall.ECONNRESET)}, policy.Ready, 3, true},
		"refused":            {[]error{dial(syscall.ECONNREFUSED)}, policy.Ready, 1, true},
		"reset and draining": {[]error{dial(syscall.ECONNRESET)}, policy.Draining, 1, true},
	} {
		p, s, lines := newPool()
		a := router.AttemptID{Request: 1}
		p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
		p.UpdateEndpoint(1, "", c.state, 0)
		for n, err := range c.errs {
			if n < len(*lines) {
				(*lines)[n].h.OnOpen(err)
			}
		}
		if len(*lines) != c.dials || (len(s.ended[a]) == 1) != c.ends || c.ends && s.ended[a][0] != policy.Unreachable {
			t.Errorf("%s: %d dials, ended %v", name, len(*lines), s.ended[a])
		}
		if on := ran(*lines, "00000000000000a1"); (len(on) == 1) == c.ends {
			t.Errorf("%s: written to %d connections", name, len(on))
		}
	}
}

// Guards calls against each other's connections: one that breaks ends a few of a worker's calls, not most.
func TestBrokenConnectionTakesFewCallsAlong(t *testing.T) {
	p, s, lines := newPool()
	p.cfg.MaxStreamsPerConnection = 32
	const calls = 24
	for n := range calls {
		p.StartAttempt(1, router.AttemptID{Request: policy.RequestID(n)}, request(fmt.Sprintf("%016x", n)), time.Second)
		(*lines)[len(*lines)-1].h.OnOpen(nil)
	}
	if want := calls / attemptsBeforeDial; len(*lines) != want {
		t.Fatalf("%d connections, want %d", len(*lines), want)
	}
	if (*lines)[0].h.OnClose(nil); len(s.ended) != attemptsBeforeDial {
		t.Errorf("%d of %d calls ended with one connection", len(s.ended), calls)
	}
	for n := calls; n < 100; n++ { // at the limit all take their share
		p.StartAttempt(1, router.AttemptID{Request: policy.RequestID(n)}, request(fmt.Sprintf("%016x", n)), time.Second)
		(*lines)[len(*lines)-1].h.OnOpen(nil)
	}
	conns := p.workers[1].connections
	for _, c := range conns {
		if c.attempts < 9 || c.attempts > 10 {
			t.Errorf("%d calls on one of %d connections", c.attempts, len(conns))
		}
	}
}

// Guards the long day: generations of workers come and go, some at an address that was another's, and
// nothing about those that are gone stays.
func TestNothingStaysOfGoneWorkers(t *testing.T) {
	p, _, lines := newPool()
	now := time.Duration(0)
	for g := range 200 {
		w := policy.WorkerID(g + 2)
		p.RetainEndpoints(map[policy.WorkerID]bool{w: true})
		p.UpdateEndpoint(w, "127.0.0.1:1", policy.Ready, 0)
		a := router.AttemptID{Request: policy.RequestID(g)}
		p.StartAttempt(w, a, request(fmt.Sprintf("%016x", g)), time.Second)
		p.LoadInstance(w, 7, 1, uint64(g))
		l := (*lines)[len(*lines)-1]
		if l.h.OnOpen(nil); g%2 == 0 {
			l.h.OnData(reply(fmt.Sprintf("%016x", g), "HIT", ""))
		} else {
			p.CancelAttempt(w, a)
		}
		p.AbandonControl(w, uint64(g))
		p.RetainEndpoints(nil)
		for range 3 {
			now += SweepInterval
			p.Sweep(now)
			for _, l := range *lines {
				if l.HasClosed && l.h != nil {
					l.h.OnClose(nil)
					l.h = nil
				}
			}
		}
	}
	if len(p.workers)+len(p.attempts) != 0 {
		t.Errorf("%d workers and %d calls stay", len(p.workers), len(p.attempts))
	}
}

// Guards workers against cancels that the settings do not allow. A call that has yet to be sent is taken back
// without a word.
func TestStopIsSentOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		p, s, lines := newPool()
		p.cfg.AllowCancel = allowed
		out, waits := router.AttemptID{Request: 1}, router.AttemptID{Request: 2}
		p.StartAttempt(1, out, request("00000000000000a1"), time.Second)
		l := (*lines)[0]
		if l.h.OnOpen(nil); p.WithdrawQueued(out) {
			t.Error("a call that was written was taken back")
		}
		p.CancelAttempt(1, out)
		if got := strings.Contains(l.Wrote.String(), "STOP\r\n"); got != allowed {
			t.Errorf("allowed %v: a cancel was sent: %v", allowed, got)
		}
		p.UpdateEndpoint(1, "127.0.0.1:2", policy.Ready, 0) // the next call waits behind a dial
		p.StartAttempt(1, waits, request("00000000000000a2"), time.Second)
		fresh := (*lines)[1]
		if !p.WithdrawQueued(waits) || p.WithdrawQueued(waits) {
			t.Error("a call that waits was not taken back, or twice")
		}
		if fresh.h.OnOpen(nil); fresh.Wrote.Len() > 0 || len(s.ended) > 0 {
			t.Errorf("wrote %q, ended %v", fresh.Wrote.String(), s.ended)
		}
	}
}

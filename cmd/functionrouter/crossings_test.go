package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// slowDial has a dial last until its worker accepts: the kernel sends the connect anew after a second.
const slowDial = `"limits":{"dialTimeoutMs":15000},`

// A client that has gone has no attempt begin for it, also where the settings allow no cancels: what waits
// behind a dial is taken back.
func TestClientLeavesBehindADial(t *testing.T) {
	for name, leave := range map[string]func(c *client){
		"closes":     func(c *client) { c.Close() },
		"interrupts": func(c *client) { c.interrupt(c.seq) },
	} {
		t.Run(name, func(t *testing.T) {
			w := listenRunner(t).full()
			r := startRig(t, slowDial, entry{id: "s-1", addr: w.addr})
			c, other := r.dial(), r.dial()
			c.call("safe", "00000000000000a1", "of the one that left")
			other.check()
			leave(c)
			other.check()
			other.call("safe", "00000000000000a2", "of the one that stays")
			other.check()
			w.accept()
			if a := w.next(); a.body != "of the one that stays" {
				t.Errorf("the worker was sent %q", a.body)
			} else {
				a.answer("HIT", "done")
			}
			if verdict, _ := other.answer(); verdict != "served" {
				t.Errorf("the client that stayed was %s", verdict)
			}
			w.none()
		})
	}
}

// A dial that comes up after its worker began to drain, or had gone, carries nothing; what waited behind it
// goes elsewhere at once.
func TestDialComesUpAfterDrain(t *testing.T) {
	for name, after := range map[string][]entry{"draining": {{id: "s-1", draining: true}}, "gone": nil} {
		t.Run(name, func(t *testing.T) {
			w, other := listenRunner(t).full(), listenRunner(t).accept()
			r := startRig(t, slowDial, entry{id: "s-1", addr: w.addr})
			c := r.dial()
			c.call("unsafe", "00000000000000a1", "one")
			c.check()
			list := []entry{{id: "s-2", addr: other.addr}}
			for _, e := range after {
				e.addr = w.addr
				list = append(list, e)
			}
			r.tell(2, list...)
			other.next().answer("HIT", "done")
			if verdict, _ := c.answer(); verdict != "served" {
				t.Errorf("the call was %s", verdict)
			}
			w.accept() // the dial comes up
			select {
			case <-w.ends:
			case <-time.After(patience):
				t.Error("a connection that came up too late for its worker is kept")
			}
			w.none()
		})
	}
}

// A dial that comes up after its time-out carries nothing: its call went elsewhere when the time was over.
func TestDialComesUpAfterItsTimeout(t *testing.T) {
	w, other := listenRunner(t).full(), listenRunner(t).accept()
	r := startRig(t, `"limits":{"dialTimeoutMs":300},`, entry{id: "s-1", addr: w.addr})
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "one")
	c.check()
	r.tell(2, entry{id: "s-1", addr: w.addr}, entry{id: "s-2", addr: other.addr})
	other.next().answer("HIT", "done")
	if verdict, _ := c.answer(); verdict != "served" {
		t.Errorf("the call was %s", verdict)
	}
	w.accept() // what the kernel took for the dial meanwhile has been closed
	c.call("unsafe", "00000000000000a2", "two")
	a := w.either(other) // over a dial of its own, or the other's
	if a.body != "two" {
		t.Errorf("a worker was sent %q", a.body)
	}
	a.answer("HIT", "done")
	c.answer()
	w.none()
}

// A list in which all but one of many workers drain costs a call that waits behind a dial one attempt, not
// one for each of them.
func TestManyDrainAtOnce(t *testing.T) {
	var known, drained []entry
	for i := range 12 {
		w := listenRunner(t).full()
		known = append(known, entry{id: fmt.Sprintf("s-%02d", i), addr: w.addr})
		drained = append(drained, entry{id: fmt.Sprintf("s-%02d", i), addr: w.addr, draining: true})
	}
	last := listenRunner(t).accept()
	r := startRig(t, `"limits":{"dialTimeoutMs":15000,"maxAttempts":2},`, known...)
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "one")
	c.check()
	r.tell(2, append(drained, entry{id: "s-99", addr: last.addr})...)
	last.next().answer("HIT", "done")
	if verdict, _ := c.answer(); verdict != "served" {
		t.Errorf("the call was %s", verdict)
	}
}

// A request of which half has come when SIGTERM does is answered, however late its rest comes within the time
// that a message has; so is one on a connection made after SIGTERM.
func TestHalfARequestAtSIGTERM(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	half, c := r.dial(), r.dial()
	frame := half.request("safe", "00000000000000a1", "in two pieces", 5*time.Second)
	half.send(frame[:len(frame)/2])
	c.check()
	r.terminate(c)
	fresh := r.dial()
	fresh.call("safe", "00000000000000a2", "on a new connection")
	w.next().answer("HIT", "done")
	if verdict, _ := fresh.answer(); verdict != "served" {
		t.Errorf("a call on a new connection was %s", verdict)
	}
	w.answerAll()
	c.callUntilRefused()
	half.send(frame[len(frame)/2:])
	if verdict, _ := half.answer(); verdict != "refused" {
		t.Errorf("the rest of a request was %s", verdict)
	}
	r.over()
}

// SIGTERM with a call under way: it gets its answer, however late, and the router ends.
func TestCallsUnderWayAtSIGTERM(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	c, second := r.dial(), r.dial()
	c.call("unsafe", "00000000000000a1", "one")
	a := w.next()
	r.terminate(second)
	w.answerAll()
	second.callUntilRefused()
	a.answer("HIT", "done late")
	if verdict, body := c.answer(); verdict != "served" || body != "done late" {
		t.Errorf("the call was %s with %q", verdict, body)
	}
	r.over()
}

// A reload that moves the directory, and a drain that the new one tells: calls keep off that worker at once,
// and what the old directory still says changes nothing.
func TestReloadThenDrain(t *testing.T) {
	first, second := listenRunner(t).accept(), listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: first.addr})
	late := r.names.query() // of the old directory, unanswered
	old, fresh := r.names, listenNames(t)
	if err := r.reload(strings.Replace(r.text, old.addr(), fresh.addr(), 1)); err != nil {
		t.Fatal(err)
	}
	r.names = fresh
	drained := []entry{{id: "s-1", addr: first.addr, draining: true}, {id: "s-2", addr: second.addr}}
	r.tell(2, drained...)
	old.answer(late, 9, entry{id: "s-1", addr: first.addr}, entry{id: "s-3", addr: first.addr})
	r.tell(3, drained...)
	c := r.dial()
	for n := range 10 {
		c.call("safe", fmt.Sprintf("%016x", 0xa0+n), "after the drain")
		second.next().answer("HIT", "done")
		c.answer()
	}
	first.none()
}

// A directory that is silent, one that is reset and one that answers late: calls go on by the list that is
// known, and what it says at last is followed, as a whole.
func TestDirectoryFallsSilent(t *testing.T) {
	first, second := listenRunner(t).accept(), listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: first.addr})
	c := r.dial()
	serve := func(w *runner, id string) {
		t.Helper()
		c.call("unsafe", id, "a call")
		w.next().answer("HIT", "done")
		if verdict, _ := c.answer(); verdict != "served" {
			t.Errorf("a call was %s", verdict)
		}
	}
	early := r.names.query()
	r.names.query()
	r.names.query() // none of the three was answered yet
	serve(first, "00000000000000a1")
	from := r.log.mark()
	r.names.answer(early, 2, entry{id: "s-1", addr: first.addr}, entry{id: "s-2", addr: second.addr, draining: true})
	r.log.wait(t, from, `msg="endpoint updated" worker=s-2 `)
	serve(first, "00000000000000a2")

	addr := r.names.addr()
	from = r.log.mark()
	r.names.Close() // its port refuses from now on
	r.log.wait(t, from, "directory unreachable")
	serve(first, "00000000000000a3")
	r.names = listenNamesAt(t, addr)
	r.tell(3, entry{id: "s-2", addr: second.addr}) // the whole list: s-1 has gone
	serve(second, "00000000000000a4")
	first.none()
}

// A worker that closes its connection under a call may have run it: a call that may be repeated goes to
// another worker, one that may not fails at once.
func TestCloseCrossesASend(t *testing.T) {
	for class, want := range map[string]string{"safe": "served", "unsafe": "failed"} {
		first, second := listenRunner(t).accept(), listenRunner(t).accept()
		r := startRig(t, `"limits":{"maxAttempts":6},`, entry{id: "s-1", addr: first.addr}, entry{id: "s-2", addr: second.addr})
		c := r.dial()
		c.call(class, "00000000000000a1", "one")
		first.either(second).conn.Close()
		if class == "safe" {
			first.either(second).answer("HIT", "done")
		}
		if verdict, _ := c.answer(); verdict != want {
			t.Errorf("%s: the call was %s", class, verdict)
		}
		first.none()
		second.none()
		r.stop()
	}
}

// A second answer, in one piece with the first and behind it, reaches nobody: neither the client that has its
// answer nor the one whose call comes next on that connection.
func TestSecondAnswerReachesNobody(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "one")
	one := w.next()
	one.conn.Write([]byte(one.text("HIT", "first") + one.text("HIT", "second")))
	if verdict, body := c.answer(); verdict != "served" || body != "first" {
		t.Errorf("the call was %s with %q", verdict, body)
	}
	c.call("unsafe", "00000000000000a2", "two")
	two := w.next()
	one.answer("HIT", "third")
	two.answer("HIT", "of two")
	if verdict, body := c.answer(); verdict != "served" || body != "of two" {
		t.Errorf("the next call was %s with %q", verdict, body)
	}
	// The id of a call that has ended may come again; a late answer to the first must not end it.
	c.call("unsafe", "00000000000000a1", "again")
	again := w.next()
	one.answer("HIT", "fourth")
	c.check() // an answer would stand before those to the checks
	again.answer("HIT", "of the last")
	if verdict, body := c.answer(); verdict != "served" || body != "of the last" {
		t.Errorf("a reused id was %s with %q", verdict, body)
	}
}

// A new worker has the address of one that has gone, with a call still out there: nothing of the new one's
// goes over the old one's connection.
func TestAddressIsUsedAgain(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "to the old one")
	old := w.next()
	r.tell(2, entry{id: "s-2", addr: w.addr})
	c.call("unsafe", "00000000000000a2", "to the new one")
	fresh := w.next()
	if fresh.conn == old.conn {
		t.Error("a call to the new worker went over the old one's connection")
	}
	old.answer("HIT", "done")
	fresh.answer("HIT", "done")
	for range 2 {
		if verdict, _ := c.answer(); verdict != "served" {
			t.Errorf("a call was %s", verdict)
		}
	}
}

// A worker that started anew at its address has dropped what was open to its machine before: a call that may
// not be repeated must not be tried on such a connection.
func TestWorkerStartsAnewAtItsAddress(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "to the old process")
	old := w.next()
	old.answer("HIT", "done")
	c.answer()
	started := time.Now().UnixMilli() + 1 // told in whole milliseconds; the dial may lie in the present one
	r.tell(2, entry{id: "s-1", addr: w.addr, started: started})
	c.call("unsafe", "00000000000000a2", "to the new process")
	if a := w.next(); a.conn == old.conn {
		t.Error("the call went over a connection to the process before")
	} else {
		a.answer("HIT", "done")
	}
	if verdict, _ := c.answer(); verdict != "served" {
		t.Errorf("the call was %s", verdict)
	}
}

// A process that starts with an old list: the workers on it have gone, and one that it does not know serves.
func TestStartsWithAnOldList(t *testing.T) {
	gone, w := listenRunner(t), listenRunner(t).accept()
	gone.stop()
	r := startRig(t, `"limits":{"maxAttempts":6},`, entry{id: "s-1", addr: gone.addr}, entry{id: "s-2", addr: gone.addr})
	r.tell(7, entry{id: "s-3", addr: w.addr})
	c := r.dial()
	c.call("unsafe", "00000000000000a1", "one")
	w.next().answer("HIT", "done")
	if verdict, _ := c.answer(); verdict != "served" {
		t.Errorf("the call was %s", verdict)
	}
}

// A request of which half has come is answered though connections come that make others give way: an idle
// client makes room first, also one that was heard of later.
func TestHalfARequestKeepsItsConnection(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	half := r.dial()
	half.check()
	frame := half.request("safe", "00000000000000a1", "in two pieces", 5*time.Second)
	half.send(frame[:len(frame)/2])
	for range 1024 / 3 { // as many as may be accepted: each has asked, and is heard of later than the half
		r.dial().check()
	}
	half.send(frame[len(frame)/2:])
	w.next().answer("HIT", "done")
	if verdict, _ := half.answer(); verdict != "served" {
		t.Errorf("the request was %s", verdict)
	}
}

// A client that has gone while its call is out gets no further attempt when that one fails.
func TestClientLeavesBeforeARetry(t *testing.T) {
	first, second := listenRunner(t).accept(), listenRunner(t).accept()
	r := startRig(t, `"limits":{"maxAttempts":6},`, entry{id: "s-1", addr: first.addr}, entry{id: "s-2", addr: second.addr})
	other := r.dial()
	for name, leave := range map[string]func(c *client){
		"closes":     func(c *client) { c.Close() },
		"interrupts": func(c *client) { c.interrupt(c.seq) },
	} {
		c := r.dial()
		c.call("safe", "00000000000000a1", "one")
		a := first.either(second)
		leave(c)
		other.check()
		a.answer("FAULT", "")
		a.answer("NONE", "")
		other.check() // both have been read
		first.none()
		second.none()
		if t.Failed() {
			t.Fatal(name)
		}
	}
}

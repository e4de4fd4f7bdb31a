package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// From socket to socket: a call is answered, also after SIGHUP with a file that moves the directory, with
// one that can't be used, and on an open connection after SIGTERM; the program then ends by itself and
// without an error.
func TestServesAndStops(t *testing.T) {
	w := listenRunner(t).accept()
	r := startRig(t, "", entry{id: "s-1", addr: w.addr})
	moved := listenNames(t) // the directory at its next address; neither ever answers
	c := r.dial()
	for i, body := range []string{"before", "moved", "unread", "after"} {
		switch body {
		case "moved":
			if err := r.reload(strings.Replace(r.text, r.names.addr(), moved.addr(), 1)); err != nil {
				t.Errorf("read again: %v", err)
			}
			moved.query()
		case "unread":
			if err := r.reload(r.text[:len(r.text)/2]); err == nil {
				t.Error("half a file was read again")
			}
		case "after":
			r.signal(syscall.SIGTERM)
		}
		c.call("unsafe", fmt.Sprintf("%016x", i), body)
		a := w.next()
		if a.body != body {
			t.Errorf("ran %q", a.body)
		}
		a.answer("HIT", "done "+body)
		if verdict, got := c.answer(); verdict != "served" || got != "done "+body {
			t.Fatalf("the call was %s with %q", verdict, got)
		}
	}
	r.over()
}

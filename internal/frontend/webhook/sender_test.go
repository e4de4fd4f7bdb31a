package webhook

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
)

// Guards the types of notices against renames of the outcomes in the code, because receivers of notices compare them.
func TestNoticeTypes(t *testing.T) {
	for outcome, want := range map[router.RequestOutcome]string{
		router.RequestServed:    "repair-order.served",
		router.RequestRefused:   "repair-order.refused",
		router.RequestFailed:    "repair-order.failed",
		router.RequestCancelled: "repair-order.abandoned",
	} {
		if got := noticeType(outcome); got != want {
			t.Errorf("type of a notice of %v is %q, want %q", outcome, got, want)
		}
	}
}

// fakeDialer records the connections that a sender opens.
type fakeDialer struct {
	connections []*fakeConnection
	addresses   []string
}

// fakeConnection is a connection of a sender. The test acts as the receiver of notices at the other end.
type fakeConnection struct {
	testsupport.Transport
	handler eventloop.DialHandler
}

func (d *fakeDialer) dial(address string, _ time.Duration, h eventloop.DialHandler) Transport {
	c := &fakeConnection{handler: h}
	d.connections = append(d.connections, c)
	d.addresses = append(d.addresses, address)
	return c
}

// takeConnections returns the connections opened since the last call.
func (d *fakeDialer) takeConnections() []*fakeConnection {
	taken := d.connections
	d.connections = nil
	return taken
}

// newTestSender returns a sender to http://hooks.example.org/n with a queue of two notices and three attempts each.
func newTestSender(t *testing.T) (*Sender, *fakeDialer) {
	t.Helper()
	cfg := testConfig(t, "")
	cfg.Sender.URL = "http://hooks.example.org/n"
	cfg.Sender.Queue = 2
	cfg.Sender.Attempts = 3
	cfg.Sender.Key = writeFile(t, exampleKeyFile)
	dialer := &fakeDialer{}
	s, err := NewSender(cfg, noonClock, dialer.dial)
	if err != nil {
		t.Fatal(err)
	}
	return s, dialer
}

// notify queues a notice of an order that was served.
func notify(s *Sender, now time.Duration) {
	s.Notify(now, &router.Request{ID: "9b1f03aa5c7e2d41", FunctionKey: testFunctionKey}, router.RequestServed)
}

// receiveNotice opens the connection, checks the HTTP request that the sender writes and returns its webhook-id.
func (c *fakeConnection) receiveNotice(t *testing.T, secret []byte) string {
	t.Helper()
	c.handler.OnOpen(nil)
	r, err := http.ReadRequest(bufio.NewReader(&c.Written))
	if err != nil || r.Host != "hooks.example.org" || r.URL.Path != "/n" {
		t.Fatalf("HTTP request %v, want one to hooks.example.org/n; error %v", r, err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	id := r.Header.Get(idField)
	signature := r.Header.Get(signatureField)
	if signature != sign(secret, id, r.Header.Get(timestampField), body) || !bytes.Contains(body, []byte(`"repair-order.served"`)) {
		t.Fatalf("notice with signature %q and body %s, want a valid signature and type repair-order.served", signature, body)
	}
	return id
}

// reply sends text byte by byte, closes the connection and checks that the sender has closed its side.
func (c *fakeConnection) reply(t *testing.T, text string) {
	t.Helper()
	for _, b := range []byte(text) {
		c.handler.OnData([]byte{b})
	}
	c.handler.OnClose(nil)
	if !c.Closed {
		t.Errorf("after the reply %q the connection is open, want it closed by the sender", text)
	}
}

// Notices are signed and keep their webhook-id in all attempts. The number of attempts is bounded. If the queue is
// full, notices are dropped and counted.
func TestNotices(t *testing.T) {
	s, dialer := newTestSender(t)
	for range 3 {
		notify(s, time.Hour)
	}
	attempts := map[string]int{} // by webhook-id
	now := time.Hour
	for attempt := 0; s.OpenNotices() > 0; attempt++ {
		next := s.Process(now)
		for i, c := range dialer.takeConnections() {
			attempts[c.receiveNotice(t, s.secret)]++
			if attempt == 2 && i == 0 {
				c.reply(t, "HTTP/1.1 204 No Content\r\n\r\n")
			} else {
				c.reply(t, "HTTP/1.1 500 Sorry\r\n\r\n")
			}
		}
		now = max(next, now+10*time.Minute)
	}
	if want := (SenderCounters{Queued: 2, Dropped: 1, Delivered: 1, Retried: 4, Failed: 1}); s.Counters != want || len(attempts) != 2 {
		t.Errorf("counters %+v, want %+v; attempts by webhook-id %v, want those of two notices", s.Counters, want, attempts)
	}
	for id, n := range attempts {
		if n != 3 {
			t.Errorf("notice %s was sent %d times, want 3", id, n)
		}
	}
	if got := dialer.addresses[0]; got != "hooks.example.org:80" {
		t.Errorf("connected to %s, want hooks.example.org:80", got)
	}
}

// Checks for each kind of reply, and for a missing reply, whether the notice is delivered, retried or failed.
func TestAttemptOutcomes(t *testing.T) {
	delivered := SenderCounters{Queued: 1, Delivered: 1}
	retried := SenderCounters{Queued: 1, Retried: 1}
	failed := SenderCounters{Queued: 1, Failed: 1}
	replyWith := func(text string) func(*testing.T, *Sender, *fakeConnection) {
		return func(t *testing.T, s *Sender, c *fakeConnection) {
			t.Helper()
			c.receiveNotice(t, s.secret)
			c.reply(t, text)
		}
	}
	for name, test := range map[string]struct {
		endAttempt func(*testing.T, *Sender, *fakeConnection)
		want       SenderCounters
	}{
		"accepted":            {replyWith("HTTP/1.1 200 OK\r\n"), delivered},
		"accepted, HTTP/1.0":  {replyWith("HTTP/1.0 299\r\n"), delivered},
		"interim reply first": {replyWith("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"), delivered},
		"redirected":          {replyWith("HTTP/1.1 301 Moved\r\n"), retried},
		"server error":        {replyWith("HTTP/1.1 500 Sorry\r\n"), retried},
		"gone":                {replyWith("HTTP/1.1 410 Gone\r\n"), failed},
		"not HTTP":            {replyWith("SSH-2.0-x\r\n"), retried},
		"long status line":    {replyWith(string(bytes.Repeat([]byte("x"), maxReplyBytes))), retried},
		"no reply":            {replyWith(""), retried},
		"dial failed": {func(_ *testing.T, _ *Sender, c *fakeConnection) {
			c.handler.OnOpen(errors.New("connection refused"))
		}, retried},
		"no reply in time": {func(t *testing.T, s *Sender, c *fakeConnection) {
			t.Helper()
			c.receiveNotice(t, s.secret)
			s.Process(time.Hour + s.settings.Timeout)
		}, retried},
		"opened too late": {func(_ *testing.T, s *Sender, c *fakeConnection) {
			s.Process(time.Hour + s.settings.Timeout)
			c.handler.OnOpen(nil)
		}, retried},
	} {
		t.Run(name, func(t *testing.T) {
			s, dialer := newTestSender(t)
			notify(s, time.Hour)
			if next, want := s.Process(time.Hour), time.Hour+s.settings.Timeout; next != want {
				t.Errorf("Process returned %v, want the attempt's deadline %v", next, want)
			}
			connections := dialer.takeConnections()
			if len(connections) != 1 {
				t.Fatalf("%d connections, want 1", len(connections))
			}
			test.endAttempt(t, s, connections[0])
			if s.Counters != test.want || !connections[0].Closed {
				t.Errorf("counters %+v, want %+v; closed %v, want true", s.Counters, test.want, connections[0].Closed)
			}
			if open := s.OpenNotices(); open != int(test.want.Retried) {
				t.Errorf("%d open notices, want %d", open, test.want.Retried)
			}
		})
	}
}

// The backoff grows fourfold with each attempt, up to maxBackoff. The delay is between half the backoff and the
// backoff.
func TestRetryDelay(t *testing.T) {
	for failed, want := range map[int]time.Duration{1: time.Second, 2: 4 * time.Second, 3: 16 * time.Second, 5: 256 * time.Second, 6: maxBackoff, 20: maxBackoff} {
		for range 100 {
			if got := retryDelay(time.Second, failed); got < want/2 || got > want {
				t.Errorf("delay after %d failed attempts is %v, want %v to %v", failed, got, want/2, want)
			}
		}
	}
}

package discovery

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"functionrouter/internal/testsupport"
)

// An answer with a newer list is reported with all that it says of the workers.
func TestNewerListIsReported(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
}

// unusableAnswers are answers to a client that holds a list with serial 4.
var unusableAnswers = []struct {
	name    string
	message func(c *testClient) []byte
}{
	{"older than the list", func(c *testClient) []byte { return buildResponse(c.sendQuery(), 3) }},
	{"unexpected id", func(c *testClient) []byte { return buildResponse(c.sendQuery()+1, 9, 0) }},
	{"query answered before", func(c *testClient) []byte {
		id := c.sendQuery()
		c.socket.OnData(buildResponse(id, 4, 0, 1))
		return buildResponse(id, 9, 0)
	}},
	{"truncated", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[2] |= flagTruncated >> 8
		return b
	}},
	{"server failure", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[3] |= 2
		return b
	}},
	{"not a response", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[2] &^= flagResponse >> 8
		return b
	}},
	{"other question", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[13] = 'x'
		return b
	}},
	{"worker without an address", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		typeOffset := bytes.LastIndex(b, []byte{0, typeA, 0, classIN})
		b[typeOffset+1] = typeTXT + 1 // a type that isn't used
		return b
	}},
}

func TestUnusableAnswersChangeNothing(t *testing.T) {
	for _, test := range unusableAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := newTestClient(t)
			want := c.receiveTwoWorkers()
			c.socket.OnData(test.message(c))
			c.wantReported(want)
		})
	}
	t.Run("cut short at any byte", func(t *testing.T) {
		c := newTestClient(t)
		want := c.receiveTwoWorkers()
		completeLength := len(buildResponse(0, 9, 0))
		for length := range completeLength {
			c.socket.OnData(buildResponse(c.sendQuery(), 9, 0)[:length])
			if !reflect.DeepEqual(c.reported, want) {
				t.Fatalf("cut at %d of %d: list became %v", length, completeLength, c.reported)
			}
		}
	})
	t.Run("all in turn, then a usable one", func(t *testing.T) {
		c := newTestClient(t)
		want := c.receiveTwoWorkers()
		for _, test := range unusableAnswers {
			c.socket.OnData(test.message(c))
			c.wantReported(want)
		}
		if c.socket.OnData(buildResponse(c.sendQuery(), 5, 0)); len(c.reported) != 1 {
			t.Errorf("list %v, want one worker", c.reported)
		}
	})
}

// A directory slower than the poll interval answers a query that is no longer the latest.
func TestAnswerToEarlierQueryIsAccepted(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
	earlierID := c.sendQuery()
	for range 3 {
		c.sendQuery()
	}
	if c.socket.OnData(buildResponse(earlierID, 5, 0)); len(c.reported) != 1 {
		t.Errorf("after a late answer the list is %v", c.reported)
	}
}

func TestPendingQueryLimitDiscardsOldest(t *testing.T) {
	c := newTestClient(t)
	discardedID := c.sendQuery()
	oldestPendingID := c.sendQuery()
	for range maxPendingQueries - 1 {
		c.sendQuery()
	}
	if c.socket.OnData(buildResponse(discardedID, 4)); c.list.serial != 3 {
		t.Error("an answer to a query that is too old was taken")
	}
	if c.socket.OnData(buildResponse(oldestPendingID, 4)); c.list.serial != 4 {
		t.Error("an answer to the oldest pending query wasn't taken")
	}
}

func TestClosedSocketIsReplaced(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
	c.socket.OnClose(errors.New("refused"))
	if c.socket != nil || c.nextPoll > c.now+redialDelay {
		t.Error("a closed socket isn't replaced after redialDelay")
	}
	c.Poll(c.nextPoll)
	c.socket.OnOpen(nil)
	if c.socket.OnData(buildResponse(c.sendQuery(), 6, 0, 0, 0)); len(c.reported) != 3 {
		t.Errorf("after a new socket the list is %v", c.reported)
	}
}

// Guards a reload: the new directory is polled at once, at its address, with the list and its serial kept;
// nothing that arrives late on a socket to the old one counts, in whatever order dials and closes end.
func TestMigrate(t *testing.T) {
	for _, test := range []struct {
		name string
		open bool
	}{
		{"while the old socket is open", true},
		{"while the old socket is dialed", false},
	} {
		t.Run(test.name, func(t *testing.T) { testMigrate(t, test.open) })
	}
}

func testMigrate(t *testing.T, open bool) {
	t.Helper()
	c := newTestClient(t)
	pendingID := uint16(0)
	if open {
		pendingID = c.sendQuery()
	} else {
		c.socket.OnClose(errors.New("refused"))
		c.Poll(c.nextPoll)
	}
	replacedSocket := c.socket
	replacedTransport := c.lastTransport()
	c.Migrate(c.now+time.Millisecond, "new")
	c.Poll(c.now + time.Millisecond)
	if !replacedTransport.Closed || c.addresses[len(c.addresses)-1] != "new" || c.socket == replacedSocket {
		t.Fatalf("dialed %v, old socket closed: %v", c.addresses, replacedTransport.Closed)
	}

	currentSocket := c.socket
	replacedSocket.OnOpen(nil)
	replacedSocket.OnData(buildResponse(pendingID, 8, 0, 0))
	replacedSocket.OnClose(errors.New("late"))
	if c.socket != currentSocket || len(c.reported) != 1 || c.list.serial != 3 {
		t.Fatalf("the old socket changed the list to %v", c.reported)
	}
	currentSocket.OnOpen(nil)
	if c.nextPoll > c.now {
		t.Error("the new directory isn't polled at once")
	}

	currentSocket.OnData(buildResponse(c.sendQuery(), 2, 0, 0)) // older than the list
	if c.list.serial != 3 {
		t.Errorf("the serial fell to %d", c.list.serial)
	}
	if currentSocket.OnData(buildResponse(c.sendQuery(), 4, 0, 0)); len(c.reported) != 2 {
		t.Errorf("list %v, want two workers", c.reported)
	}

	dialCount := len(c.addresses)
	c.Migrate(c.now, "new") // a repeated signal changes nothing
	if c.Poll(c.now); c.socket != currentSocket || len(c.addresses) != dialCount {
		t.Error("the same address was dialed again")
	}
}

// A directory that fails several times a second is logged once until it answers again.
func TestFailuresAreLoggedOnce(t *testing.T) {
	logged := testsupport.CaptureLog(t)
	c := newTestClient(t)
	wantLines := func(event string, want int) {
		t.Helper()
		if got := strings.Count(logged.String(), event); got != want {
			t.Errorf("%d lines %q, want %d, in:\n%s", got, event, want, logged.String())
		}
	}
	for range 3 {
		c.socket.OnClose(errors.New("refused"))
		c.Poll(c.nextPoll)
		c.socket.OnOpen(nil)
		c.socket.OnData(nil)
	}
	wantLines("directory unreachable", 1)
	wantLines("directory answer not usable", 0)
	c.receiveTwoWorkers()
	c.socket.OnData(nil)
	c.socket.OnData(nil)
	wantLines("directory answer not usable", 1)
	c.Migrate(c.now, "new")
	c.Poll(c.now)
	c.socket.OnClose(errors.New("refused"))
	wantLines("directory unreachable", 2)
}

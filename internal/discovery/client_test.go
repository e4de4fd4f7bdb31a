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

// The list of an answer with a higher serial is reported with all attributes of its workers.
func TestNewerListIsReported(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
}

// unusableAnswers are answers that must not change the list of a client whose list has serial 4.
var unusableAnswers = []struct {
	name    string
	message func(c *testClient) []byte
}{
	{"older than the list", func(c *testClient) []byte { return buildResponse(c.sendQuery(), 3) }},
	{"unexpected id", func(c *testClient) []byte { return buildResponse(c.sendQuery()+1, 9, 0) }},
	{"query that was already answered", func(c *testClient) []byte {
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
	{"question for another name", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[13] = 'x'
		return b
	}},
	{"worker without an address", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		typeOffset := bytes.LastIndex(b, []byte{0, typeA, 0, classIN})
		b[typeOffset+1] = typeTXT + 1 // a type that the client ignores
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
	t.Run("usable answer after all unusable ones", func(t *testing.T) {
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

// An answer that takes longer than the poll interval belongs to a query that is no longer the latest. The client must
// accept it.
func TestAnswerToEarlierQueryIsAccepted(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
	earlierID := c.sendQuery()
	for range 3 {
		c.sendQuery()
	}
	if c.socket.OnData(buildResponse(earlierID, 5, 0)); len(c.reported) != 1 {
		t.Errorf("after the answer to an earlier query the list is %v, want one worker", c.reported)
	}
}

// When maxPendingQueries queries are pending, the next query discards the oldest one, whose answer is then rejected.
func TestPendingQueryLimitDiscardsOldest(t *testing.T) {
	c := newTestClient(t)
	discardedID := c.sendQuery()
	oldestPendingID := c.sendQuery()
	for range maxPendingQueries - 1 {
		c.sendQuery()
	}
	if c.socket.OnData(buildResponse(discardedID, 4)); c.list.serial != 3 {
		t.Error("the answer to a discarded query was accepted")
	}
	if c.socket.OnData(buildResponse(oldestPendingID, 4)); c.list.serial != 4 {
		t.Error("the answer to the oldest pending query was not accepted")
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
		t.Errorf("after an answer on the new socket the list is %v, want three workers", c.reported)
	}
}

// After a reload with another directory address, the client polls the new directory at once and keeps the list and its
// serial. Late events of the socket to the old directory are ignored, in whichever order dials and closes complete.
func TestMigrate(t *testing.T) {
	for _, test := range []struct {
		name string
		open bool
	}{
		{"while the old socket is open", true},
		{"while the old socket is being dialed", false},
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
		t.Fatalf("events of the old socket had an effect: list %v", c.reported)
	}
	currentSocket.OnOpen(nil)
	if c.nextPoll > c.now {
		t.Error("the new directory isn't polled at once")
	}

	currentSocket.OnData(buildResponse(c.sendQuery(), 2, 0, 0)) // older than the list
	if c.list.serial != 3 {
		t.Errorf("an older answer changed the serial from 3 to %d", c.list.serial)
	}
	if currentSocket.OnData(buildResponse(c.sendQuery(), 4, 0, 0)); len(c.reported) != 2 {
		t.Errorf("list %v, want two workers", c.reported)
	}

	dialCount := len(c.addresses)
	c.Migrate(c.now, "new") // a reload with the same address has no effect
	if c.Poll(c.now); c.socket != currentSocket || len(c.addresses) != dialCount {
		t.Error("the same address was dialed again")
	}
}

// A directory that is unreachable or sends unusable answers causes several failures a second. Only the first one is
// logged until the next usable answer or change of the directory's address.
func TestFailuresAreLoggedOnce(t *testing.T) {
	logged := testsupport.CaptureLog(t)
	c := newTestClient(t)
	wantLines := func(event string, want int) {
		t.Helper()
		if got := strings.Count(logged.String(), event); got != want {
			t.Errorf("%d log lines %q, want %d, in:\n%s", got, event, want, logged.String())
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

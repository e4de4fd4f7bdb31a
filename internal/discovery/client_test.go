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

// If the serial of an answer is higher than that of the client's list, the list of the answer must be reported with all
// attributes of its workers.
func TestNewerListIsReported(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
}

// unusableOrOlderAnswers are answers after which the client must keep its list, which has serial 4. The answer with an
// older list is usable; all other answers are unusable.
var unusableOrOlderAnswers = []struct {
	name    string
	message func(c *testClient) []byte
}{
	{"older list", func(c *testClient) []byte { return buildResponse(c.sendQuery(), 3) }},
	{"unexpected id", func(c *testClient) []byte { return buildResponse(c.sendQuery()+1, 9, 0) }},
	{"second answer to a query", func(c *testClient) []byte {
		id := c.sendQuery()
		c.socket.OnData(buildResponse(id, 4, 0, 1))
		return buildResponse(id, 9, 0)
	}},
	{"truncation flag (TC) set", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[2] |= flagTruncated >> 8
		return b
	}},
	{"response code of a server failure", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[3] |= 2
		return b
	}},
	{"query instead of an answer", func(c *testClient) []byte {
		b := buildResponse(c.sendQuery(), 9, 0)
		b[2] &^= flagResponse >> 8
		return b
	}},
	{"answer to a question for another name", func(c *testClient) []byte {
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

func TestListIsKeptAfterUnusableOrOlderAnswer(t *testing.T) {
	for _, test := range unusableOrOlderAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := newTestClient(t)
			want := c.receiveTwoWorkers()
			c.socket.OnData(test.message(c))
			c.wantReported(want)
		})
	}
	t.Run("message cut short at any byte", func(t *testing.T) {
		c := newTestClient(t)
		want := c.receiveTwoWorkers()
		completeLength := len(buildResponse(0, 9, 0))
		for length := range completeLength {
			c.socket.OnData(buildResponse(c.sendQuery(), 9, 0)[:length])
			if !reflect.DeepEqual(c.reported, want) {
				t.Fatalf("answer cut after %d of %d bytes: reported list %v, want %v",
					length, completeLength, c.reported, want)
			}
		}
	})
	t.Run("newer list after unusable and older answers", func(t *testing.T) {
		c := newTestClient(t)
		want := c.receiveTwoWorkers()
		for _, test := range unusableOrOlderAnswers {
			c.socket.OnData(test.message(c))
			c.wantReported(want)
		}
		if c.socket.OnData(buildResponse(c.sendQuery(), 5, 0)); len(c.reported) != 1 {
			t.Errorf("after the answer with the newer list the reported list is %v, want one worker", c.reported)
		}
	})
}

// If the directory takes longer than the poll interval to answer a query, the client has sent another query when the
// answer arrives. The client must accept the answer.
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
		t.Errorf("after the answer to a discarded query the serial is %d, want 3", c.list.serial)
	}
	if c.socket.OnData(buildResponse(oldestPendingID, 4)); c.list.serial != 4 {
		t.Errorf("after the answer to the oldest pending query the serial is %d, want 4", c.list.serial)
	}
}

func TestClosedSocketIsReplaced(t *testing.T) {
	c := newTestClient(t)
	c.receiveTwoWorkers()
	c.socket.OnClose(errors.New("refused"))
	if c.socket != nil || c.nextPoll > c.now+redialDelay {
		t.Errorf("socket dropped after its close: %v, want true; next dial due %v after the last poll, want at most %v",
			c.socket == nil, c.nextPoll-c.now, redialDelay)
	}
	c.Poll(c.nextPoll)
	c.socket.OnOpen(nil)
	if c.socket.OnData(buildResponse(c.sendQuery(), 6, 0, 0, 0)); len(c.reported) != 3 {
		t.Errorf("after an answer on the new socket the list is %v, want three workers", c.reported)
	}
}

// After Migrate to another address, the client must poll the new directory at once and keep the list and its serial. It
// must ignore the events of the replaced socket that arrive while the new directory is being dialed.
func TestMigrateKeepsListAndIgnoresReplacedSocket(t *testing.T) {
	for _, test := range []struct {
		name string
		open bool
	}{
		{"while the socket is open", true},
		{"while the socket is being dialed", false},
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
		t.Fatalf("replaced socket closed: %v, want true; dialed %v, want the last address %q; "+
			"socket replaced: %v, want true",
			replacedTransport.Closed, c.addresses, "new", c.socket != replacedSocket)
	}

	currentSocket := c.socket
	replacedSocket.OnOpen(nil)
	replacedSocket.OnData(buildResponse(pendingID, 8, 0, 0))
	replacedSocket.OnClose(errors.New("late"))
	if c.socket != currentSocket || len(c.reported) != 1 || c.list.serial != 3 {
		t.Fatalf("after events of the replaced socket: reported list %v with serial %d, want one worker and serial 3; "+
			"new socket kept: %v, want true", c.reported, c.list.serial, c.socket == currentSocket)
	}
	currentSocket.OnOpen(nil)
	if c.nextPoll > c.now {
		t.Errorf("next query due %v after the dial of the new directory, want at once", c.nextPoll-c.now)
	}

	currentSocket.OnData(buildResponse(c.sendQuery(), 2, 0, 0)) // older than the list
	if c.list.serial != 3 {
		t.Errorf("after an answer with an older list the serial is %d, want 3", c.list.serial)
	}
	if currentSocket.OnData(buildResponse(c.sendQuery(), 4, 0, 0)); len(c.reported) != 2 {
		t.Errorf("after the new directory's answer with a newer list the reported list is %v, want two workers", c.reported)
	}

	dialCount := len(c.addresses)
	c.Migrate(c.now, "new") // has no effect, because the address is unchanged
	if c.Poll(c.now); c.socket != currentSocket || len(c.addresses) != dialCount {
		t.Errorf("after Migrate to the same address: %d dials, want %d; socket kept: %v, want true",
			len(c.addresses), dialCount, c.socket == currentSocket)
	}
}

// A directory that is unreachable or sends unusable answers causes several failures a second. Only the first one is
// logged until the next usable answer or until Migrate changes the directory's address.
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

package thrift

import (
	"bytes"
	"errors"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/internal/testsupport"
)

// Guards against corrupted input that does more than close its connection: a panic, a second request, or an incomplete
// frame that stays buffered after the close. Input beyond a limit must close the connection.
func TestCorruptInputOnlyClosesItsConnection(t *testing.T) {
	t.Run("changed bytes", rapid.MakeCheck(func(t *rapid.T) {
		c, requests, transport := newTestConnection()
		b := executeFrame(1, "body", validFields...)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "position")] = rapid.Byte().Draw(t, "value")
		}
		c.OnData(b)
		if len(requests.submitted) > 1 || transport.Closed && c.partialFrame != nil {
			t.Fatalf("%d requests submitted, want at most 1; connection closed: %v; %d bytes buffered, want 0 if it is closed",
				len(requests.submitted), transport.Closed, len(c.partialFrame))
		}
	}))
	for _, test := range []struct {
		name  string
		frame []byte
	}{
		{"frame too large", []byte{0, 0, 0x60, 0}},
		{"value nested too deeply", nestedFrame(20)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, _, transport := newTestConnection()
			c.OnData(test.frame)
			if !transport.Closed {
				t.Error("the connection is open after the input, want it closed")
			}
		})
	}
}

// nestedFrame returns the frame of an execute call whose argument is depth nested structs.
func nestedFrame(depth int) []byte {
	b := appendHeaders(nil, messageCall, methodExecute, 1)
	b = append(b, bytes.Repeat([]byte{byte(typeStruct), 0, 9}, depth)...)
	b = append(b, make([]byte, depth)...)
	return closeFrame(b)
}

// Guards against a protocol violation that is not detected, or that is reported as a different one. Each error must
// also wrap errProtocol.
func TestViolationsReturnTheMatchingError(t *testing.T) {
	arguments := func(b ...byte) []byte { // returns the frame of an execute call with these encoded arguments
		return closeFrame(append(appendHeaders(nil, messageCall, methodExecute, 1), b...))
	}
	// extended returns the frame of a valid execute call with more bytes between the call and the end of the frame.
	extended := func(b ...byte) []byte {
		frame := append(executeFrame(1, "body", validFields...), b...)
		setFrameLength(frame, 0)
		return frame
	}
	execute := executeFrame(2, "other body", validFields...)
	bodyTwice := appendString(appendFieldHeader(executeFrame(1, "body", validFields...), executeBodyField, typeString), "x")
	bodyTwice = closeFrame(slices.Delete(bodyTwice, len(extended())-1, len(extended()))) // without the first end
	badVersion := executeFrame(1, "", validFields...)
	badVersion[frameHeaderBytes] = 0
	for _, test := range []struct {
		name  string
		frame []byte
		want  error
	}{
		{"frame too large", []byte{0, 0, 0x60, 0}, errFrameTooLarge},
		{"empty frame", []byte{0, 0, 0, 0}, errTruncated},
		{"string beyond the frame", arguments(byte(typeString), 0, 2, 0, 0, 1, 0), errTruncated},
		{"string with a negative length", arguments(byte(typeString), 0, 2, 0xff, 0xff, 0xff, 0xff), errTruncated},
		{"bad version", badVersion, errBadVersion},
		{"method name too long", emptyFrame(messageCall, strings.Repeat("x", 65), 1), errMethodNameTooLong},
		{"reply message", emptyFrame(messageReply, methodExecute, 1), errUnexpectedMessage},
		{"unknown message type", emptyFrame(9, methodExecute, 1), errUnexpectedMessage},
		{"unknown value type", arguments(99, 0, 3), errUnknownType},
		{"value nested too deeply", nestedFrame(20), errNestedTooDeep},
		{"too many list elements", arguments(byte(typeList), 0, 3, byte(typeBool), 0, 0, 4, 1), errTooManyElements},
		{"too many request fields", executeFrame(1, "", make([]string, 2*(maxRequestFields+1))...), errTooManyElements},
		{"map of numbers", arguments(byte(typeMap), 0, 1, byte(typeString), byte(typeI16), 0, 0, 0, 1), errNotStringMap},
		{"body too large", executeFrame(1, string(make([]byte, maxBodyBytes+1)), validFields...), errBodyTooLarge},
		{"byte after the message", extended(0), errTrailingBytes},
		{"message within the frame of another", extended(execute...), errTrailingBytes},
		{"body twice", bodyTwice, errDuplicateField},
		{"request field twice", executeFrame(1, "", append(slices.Clone(validFields), fieldWait, "9")...), errDuplicateField},
		{"oneway execute", emptyFrame(messageOneway, methodExecute, 1), errUnexpectedMessage},
		{"oneway check", emptyFrame(messageOneway, methodCheck, 1), errUnexpectedMessage},
		{"sequence ID 0", executeFrame(0, "", validFields...), errSequenceID},
		{"negative sequence ID", executeFrame(math.MaxInt32+1, "", validFields...), errSequenceID},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, requests, _ := newTestConnection()
			_, err := c.handleFrames(test.frame)
			if !errors.Is(err, test.want) || !errors.Is(err, errProtocol) || len(requests.submitted) != 0 {
				t.Errorf("got error %v, want %v; %d requests submitted, want 0",
					err, test.want, len(requests.submitted))
			}
		})
	}
}

// Guards the texts for unexpected messages that operators search the log for, also for a message type that the protocol
// does not define.
func TestUnexpectedMessagesAreDescribed(t *testing.T) {
	for messageType, want := range map[messageType]string{
		messageReply: `reply "execute"`,
		9:            `message type 9 "execute"`,
	} {
		c, _, _ := newTestConnection()
		_, err := c.handleFrames(emptyFrame(messageType, methodExecute, 1))
		if err == nil || !strings.HasSuffix(err.Error(), want) {
			t.Errorf("got error %v, want it to end with %s", err, want)
		}
	}
}

// Guards against a client that fills the log with a line for each protocol violation.
func TestViolationsAreLoggedAtMostOncePerSecond(t *testing.T) {
	lines := testsupport.CaptureLog(t)
	now := testNow
	server := New(Config{Router: &fakeRouter{}, Clock: func() time.Duration { return now }})
	violate := func() {
		server.newConnection(&testsupport.Transport{}, nil, netip.AddrPort{}).OnData([]byte{0, 0, 0x60, 0})
	}
	for _, step := range []struct {
		name       string
		at         time.Duration
		violations int
		wantCount  string // text in the log line; empty if nothing must be logged
	}{
		{"first violation", testNow, 1, "count=1 "},
		{"violations one second later", testNow + time.Second, 3, ""},
		{"violation more than one second later", testNow + time.Second + 1, 1, "count=4 "},
	} {
		t.Run(step.name, func(t *testing.T) {
			lines.Reset()
			now = step.at
			for range step.violations {
				violate()
			}
			got := lines.String()
			wantLine := step.wantCount != ""
			if strings.Contains(got, "frontend=thrift") != wantLine || !strings.Contains(got, step.wantCount) ||
				strings.Count(got, "\n") > 1 {
				t.Errorf("logged %q, want one line with %q, or no line if that text is empty", got, step.wantCount)
			}
		})
	}
}

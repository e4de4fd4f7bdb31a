package main

import (
	"bytes"
	"encoding/hex"
	"errors"
	"strings"
	"testing"
)

// replyStart begins a reply to execute: version, the method's name, and the sequence number 1.
const replyStart = "80010002 00000007 65786563757465 00000001"

// answers are replies of the router, and what must be printed for them.
var answers = []struct {
	name   string
	digits string // of the frame, after replyStart
	want   string
}{
	{
		"served", "0c 0000 0b 0001 00000002 6f6b 0d 0002 0b 0b 00000000 02 0003 01 00 00",
		"status: served\nbody:   ok\n",
	},
	{
		"served with bytes", "0c 0000 0b 0001 00000002 ff01 0d 0002 0b 0b 00000000 02 0003 01 00 00",
		"status: served\nbody:\n" + hex.Dump([]byte{0xff, 0x01}),
	},
	{
		"refused", "0c 0001 0d 0001 0b 0b 00000001 00000005 6166746572 00000002 3530 00 00",
		"status: refused\nfield:  after = 50\n",
	},
	{"failed", "0c 0002 0d 0001 0b 0b 00000000 00 00", "status: failed\n"},
}

// frameOf decodes the hexadecimal digits of a frame.
func frameOf(t *testing.T, digits string) []byte {
	t.Helper()
	frame, err := hex.DecodeString(strings.Join(strings.Fields(replyStart+digits), ""))
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestAnswerIsPrintedAsText(t *testing.T) {
	for _, test := range answers {
		t.Run(test.name, func(t *testing.T) {
			answer, err := decodeAnswer(frameOf(t, test.digits))
			if got := answer.String(); err != nil || got != test.want {
				t.Errorf("printed %q (%v), want %q", got, err, test.want)
			}
		})
	}
}

// A frame that ends too early is malformed, wherever it ends before the last struct does.
func TestTruncatedAnswer(t *testing.T) {
	for _, test := range answers {
		t.Run(test.name, func(t *testing.T) {
			whole := frameOf(t, test.digits)
			for length := range len(whole) - len("\x00\x00") {
				if _, err := decodeAnswer(whole[:length]); !errors.Is(err, errMalformedAnswer) {
					t.Fatalf("cut at %d: %v", length, err)
				}
			}
		})
	}
}

// The bytes of a call are those that the router's frontend is documented to read; they must not change.
func TestExecuteFrame(t *testing.T) {
	want := "\x00\x00\x00\x39\x80\x01\x00\x01\x00\x00\x00\x07execute\x00\x00\x00\x01" +
		"\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x05class\x00\x00\x00\x04safe" +
		"\x0b\x00\x02\x00\x00\x00\x04body\x00"
	if got := executeFrame([]field{{"class", "safe"}}, "body"); !bytes.Equal(got, []byte(want)) {
		t.Errorf("the frame is\n%x, want\n%x", got, want)
	}
}

package main

import (
	"bytes"
	"encoding/hex"
	"errors"
	"strings"
	"testing"
)

// replyHeaderDigits are the hexadecimal digits of a reply's first bytes: the version, the method's name "execute" and
// the sequence ID 1.
const replyHeaderDigits = "80010002 00000007 65786563757465 00000001"

// answerTests are replies of the router and the text that is printed for each.
var answerTests = []struct {
	name   string
	digits string // hexadecimal digits of the frame after replyHeaderDigits
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

// decodeFrame decodes the hexadecimal digits of a frame, which replyHeaderDigits precede.
func decodeFrame(t *testing.T, digits string) []byte {
	t.Helper()
	frame, err := hex.DecodeString(strings.Join(strings.Fields(replyHeaderDigits+digits), ""))
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestAnswerIsPrintedAsText(t *testing.T) {
	for _, test := range answerTests {
		t.Run(test.name, func(t *testing.T) {
			answer, err := decodeAnswer(decodeFrame(t, test.digits))
			if got := answer.String(); err != nil || got != test.want {
				t.Errorf("printed %q (error %v), want %q", got, err, test.want)
			}
		})
	}
}

// A frame that is cut off before the end of the answer's struct is malformed.
func TestTruncatedAnswer(t *testing.T) {
	for _, test := range answerTests {
		t.Run(test.name, func(t *testing.T) {
			frame := decodeFrame(t, test.digits)
			for length := range len(frame) - len("\x00\x00") {
				if _, err := decodeAnswer(frame[:length]); !errors.Is(err, errMalformedAnswer) {
					t.Fatalf("frame cut off after %d bytes: got error %v, want %v", length, err, errMalformedAnswer)
				}
			}
		})
	}
}

// The bytes of a call must not change: they are the documented input of the router's Thrift frontend.
func TestExecuteFrame(t *testing.T) {
	want := "\x00\x00\x00\x39\x80\x01\x00\x01\x00\x00\x00\x07execute\x00\x00\x00\x01" +
		"\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x05class\x00\x00\x00\x04safe" +
		"\x0b\x00\x02\x00\x00\x00\x04body\x00"
	if got := encodeExecuteFrame([]field{{"class", "safe"}}, "body"); !bytes.Equal(got, []byte(want)) {
		t.Errorf("the frame is\n%x, want\n%x", got, want)
	}
}

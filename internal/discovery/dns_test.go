package discovery

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a list that lacks a worker because its record can't be read: the router would take the worker for gone,
// and close its connections.
func TestParseResponseErrors(t *testing.T) {
	const id = 7
	response := buildResponse(id, 9, 0)
	withByte := func(offset int, value byte) []byte {
		b := bytes.Clone(response)
		b[offset] = value
		return b
	}
	withoutSOA := encodeQuery(id)
	withoutSOA[2] |= flagResponse >> 8
	pointerLoop := bytes.Clone(response[:headerLength])
	pointerLoop = append(pointerLoop, 0xc0, headerLength, 0, typeSRV, 0, classIN)
	withCount := func(offset int, change uint16) []byte {
		b := buildResponse(id, 9, 0, 0)
		binary.BigEndian.PutUint16(b[offset:], binary.BigEndian.Uint16(b[offset:])+change)
		return b
	}
	serviceRecord := append([]byte{0, 0, 0, 40, 0x27, 0x60}, "\x03s-9\x04east\x05hosts\x00"...)
	with := func(recordType uint16, data ...byte) []byte {
		return appendRecord(buildResponse(id, 9, 0), additionalCountField, questionNamePointer, recordType, data)
	}
	otherClass := with(typeSRV, serviceRecord...)
	otherClass[len(otherClass)-len(serviceRecord)-recordFixedLength+classOffset+1] = 3
	for _, test := range []struct {
		name    string
		message []byte
		want    error
	}{
		{"record that the counts leave out", withCount(additionalCountField, ^uint16(0)), errMalformed},
		{"byte after the last record", append(bytes.Clone(response), 0), errMalformed},
		{"SRV record without a target", with(typeSRV, serviceRecord[:srvFixedLength]...), errMalformed},
		{"SRV record with bytes after its target", with(typeSRV, append(bytes.Clone(serviceRecord), 0)...), errMalformed},
		{"SRV record that ends within its target", append(with(typeSRV, serviceRecord[:12]...), serviceRecord[12:]...), errMalformed},
		{"SRV record of another class", otherClass, errMalformed},
		{"address of five bytes", with(typeA, 10, 1, 0, 1, 0), errMalformed},
		{"empty", nil, errMalformed},
		{"header cut short", response[:headerLength-1], errMalformed},
		{"question cut short", response[:headerLength+3], errMalformed},
		{"records cut short", response[:len(response)-1], errMalformed},
		{"too many records", withByte(answerCountField, 0xff), errMalformed},
		{"name that points to itself", pointerLoop, errMalformed},
		{"query instead of a response", withByte(2, 0), errNotResponse},
		{"truncated", withByte(2, 0x82), errTruncated},
		{"response to a question for another name", withByte(13, 'x'), errQuestionMismatch},
		{"no SOA record", withoutSOA, errNoSerial},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := parseResponse(test.message); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
	t.Run("response code", func(t *testing.T) {
		gotID, _, err := parseResponse(withByte(3, 3))
		var code responseCodeError
		if !errors.As(err, &code) || code != 3 || gotID != id {
			t.Errorf("got id %d and error %v, want id %d and response code 3", gotID, err, id)
		}
	})
}

func TestParseNameRejectsLongNames(t *testing.T) {
	label := "\x3f" + strings.Repeat("x", 63)
	if _, _, err := parseName([]byte(strings.Repeat(label, 5)+"\x00"), 0); !errors.Is(err, errMalformed) {
		t.Errorf("a name of more than %d bytes: got error %v, want %v", maxNameLength, err, errMalformed)
	}
}

// Changed bytes and a cut at any length must not make parseResponse panic or return more workers than the original
// message holds.
func TestParseResponseOfCorruptedMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := buildResponse(1, 9, 0, 1, 0)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			b[rapid.IntRange(2, len(b)-1).Draw(t, "offset")] = rapid.Byte().Draw(t, "value")
		}
		_, r, err := parseResponse(b[:rapid.IntRange(0, len(b)).Draw(t, "length")])
		if err == nil && len(r.services) > 3 {
			t.Fatalf("parsed %d SRV records from a message with 3", len(r.services))
		}
	})
}

package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"functionrouter/policy"
)

// fromHex decodes hexadecimal digits; spaces and line breaks between them are ignored.
func fromHex(tb testing.TB, digits string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// sampleBatch is the example batch of the simulator's description of the wire format.
const sampleBatch = `0000000c 00000042 00000003 40c06e2000000000
	0a 0003 5d3a91c4 0000 44610000 01 0000007c55d20a01 40000000 43c00000 0000 4028000000000000 406e000000000000
	07 0003 000000000000004d
	03 0005 0e6f2b19`

func TestReadBatchDecodesTheSampleFrame(t *testing.T) {
	got, err := ReadBatch(bytes.NewReader(fromHex(t, sampleBatch)))
	if err != nil {
		t.Fatal(err)
	}
	want := Batch{
		Seq: 12,
		Now: 8412250 * time.Microsecond,
		Records: []Record{
			{3, policy.RequestArrived{
				Request:     0x5d3a91c4,
				Function:    0x7c55d20a01,
				Concurrency: 2,
				MemoryMB:    384,
				LoadTime:    900 * time.Millisecond,
				WorkHint:    12 * time.Millisecond,
				TimeLeft:    240 * time.Millisecond,
			}},
			{3, policy.TimerFired{Token: 77}},
			{5, policy.ClientCancelled{Request: 0x0e6f2b19}},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestReadBatchErrors(t *testing.T) {
	sample := fromHex(t, sampleBatch)
	changed := func(offset int, value byte) []byte {
		b := bytes.Clone(sample)
		b[offset] = value
		return b
	}
	for _, test := range []struct {
		name  string
		input []byte
		want  error
	}{
		{"end of input", nil, io.EOF},
		{"header cut short", sample[:batchHeaderLength-1], io.ErrUnexpectedEOF},
		{"body cut short", sample[:len(sample)-1], errTruncated},
		{"unknown record code", changed(20, 99), unknownCodeError{"record code", 99}},
		{"record count too large", changed(11, 9), errTruncated},
		{"record count too small", changed(11, 2), errTrailingBytes},
		{"length too small", changed(7, 0x41), errTruncated},
		{"length too large", changed(4, 0xff), errFrameTooLong},
		{"negative clock", changed(12, 0xff), errClockOutOfRange},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ReadBatch(bytes.NewReader(test.input)); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
	t.Run("cut short at any byte", func(t *testing.T) {
		for length := 1; length < len(sample); length++ {
			_, err := ReadBatch(bytes.NewReader(sample[:length]))
			if err == nil || errors.Is(err, io.EOF) {
				t.Fatalf("cut short after %d bytes: got error %v, want one other than io.EOF", length, err)
			}
		}
	})
}

func FuzzReadBatch(f *testing.F) {
	f.Add(fromHex(f, sampleBatch))
	f.Add(fromHex(f, "00000001 00000000 00000000 40c06e2000000000"))
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := ReadBatch(bytes.NewReader(b))
		if err == nil && batch.Now < 0 {
			t.Errorf("clock %v is negative", batch.Now)
		}
	})
}

package main

import (
	"bytes"
	"encoding/hex"
	"testing"
)

// fromHex decodes hexadecimal digits.
func fromHex(t *testing.T, digits string) []byte {
	t.Helper()
	b, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	in := fromHex(t, "00000001"+"00000000"+"00000000"+"40c06e2000000000")
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil || !bytes.Equal(out.Bytes(), in[:8]) {
		t.Errorf("got reply %x and error %v, want an empty reply and no error", out.Bytes(), err)
	}
}

func TestInvalidBatchFailsWithoutAReply(t *testing.T) {
	for _, test := range []struct {
		name   string
		digits string
	}{
		{"header cut short", "0000000100000000"},
		{"record cut short after its code", "00000001" + "00000001" + "00000001" + "40c06e2000000000" + "63"},
		{
			"settings without classes", "00000001" + "00000011" + "00000001" + "40c06e2000000000" +
				"09" + "0003" + "0000000000000009" + "00000002" + "7b7d",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(bytes.NewReader(fromHex(t, test.digits)), &out); err == nil || out.Len() > 0 {
				t.Errorf("got error %v and reply %x, want an error and no reply", err, out.Bytes())
			}
		})
	}
}

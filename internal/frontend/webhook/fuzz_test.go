package webhook

import (
	"bytes"
	"strings"
	"testing"
)

// badTimestamps are event times that the JSON decoder accepts and RFC 3339 does not allow.
var badTimestamps = []string{"2026-12-01T12:00:00+24:00", "2026-12-01T12:00:00-24:00", "2026-12-01T12:00:00+23:60"}

// payloadWithTimestamp returns the payload of an order with this text as its timestamp.
func payloadWithTimestamp(text string) []byte {
	payload := requestPayload("repair-order", "x", noon)
	return bytes.Replace(payload, []byte("2026-12-01T12:00:00Z"), []byte(text), 1)
}

// Guards against an order that ends the process: the ledger's writer panicked on a timestamp with an offset of 24 hours,
// which the payload's decoder accepts.
func TestOrderThatTheLedgerCannotStoreIsRefused(t *testing.T) {
	for _, timestamp := range badTimestamps {
		requests := &fakeRouter{}
		receiver, _ := newTestReceiver(t, requests, t.TempDir()+"/ledger")
		transport := deliver(receiver, signedDelivery(activeSecret, "m", noon, payloadWithTimestamp(timestamp)))
		closeReceiver(t, receiver) // waits for the writer
		if got := statuses(t, transport); len(got) != 1 || got[0] != 400 || receiver.deliveries.find("m") != nil {
			t.Errorf("timestamp %s: statuses %v, want one 400; remembered: %v, want false",
				timestamp, got, receiver.deliveries.find("m") != nil)
		}
	}
}

// FuzzLedgerID checks that every webhook-id is read back from the ledger as it was written.
func FuzzLedgerID(f *testing.F) {
	for _, id := range []string{"m", "", "order-S\xf8borg-18", "\xff\xfe", "\ufffd", "\x00\x7f<&>\u2028\"\\"} {
		f.Add(id)
	}
	f.Fuzz(func(t *testing.T, id string) {
		read, err := decodeEntry(encodeEntry(ledgerEntry{ID: id, EventTime: noon, State: orderBegun}))
		if err != nil || read.ID != id {
			t.Errorf("wrote the id %q, read %q and error %v", id, read.ID, err)
		}
	})
}

// FuzzPayload checks that whatever the parser of payloads accepts can be written to the ledger and read back equal.
func FuzzPayload(f *testing.F) {
	f.Add(string(requestPayload("repair-order", "x", noon)))
	f.Add(string(requestPayload("dim-level", "", noon.Add(-1e18))))
	for _, timestamp := range append(badTimestamps, "2026-12-01T12:00:00.123456789+23:59", "0000-01-01T00:00:00-23:59") {
		f.Add(string(payloadWithTimestamp(timestamp)))
		f.Add(strings.Replace(string(payloadWithTimestamp(timestamp)), "repair-order", "dim-level", 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		receiver, _ := newTestReceiver(t, &fakeRouter{}, "")
		delivered, err := receiver.parsePayload([]byte(text))
		if err != nil {
			return
		}
		written := ledgerEntry{ID: "m", EventTime: delivered.eventTime, Digest: payloadDigest([]byte(text)), State: orderBegun}
		read, err := decodeEntry(encodeEntry(written))
		if err != nil || !read.EventTime.Equal(written.EventTime) || read.Digest != written.Digest || read.State != written.State {
			t.Errorf("wrote %+v, read %+v and error %v", written, read, err)
		}
	})
}

package webhook

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

// The stored format of the ledger must not change. The files under testdata were written by an earlier release and must
// not be regenerated. appended.ledger has the lines that a running program appends; compacted.ledger is the result of
// opening appended.ledger at noon.
var (
	storedDigest = "356101d9d2084545607e4c6b981c39c1" // of requestPayload("repair-order", "x", noon)

	storedEventTime = time.Date(2026, 12, 1, 11, 59, 58, 123456789, time.FixedZone("", 2*60*60))

	appendedEntries = []ledgerEntry{
		{ID: "msg_served", EventTime: storedEventTime, Digest: storedDigest, State: orderBegun},
		{ID: "msg_in_flight", EventTime: noon.Add(-time.Hour), Digest: storedDigest, State: orderBegun},
		{ID: "msg_expired", EventTime: noon.Add(-73 * time.Hour), Digest: "202122232425262728292a2b2c2d2e2f", State: orderBegun},
		{ID: "msg_released", EventTime: noon.Add(-time.Minute), Digest: "303132333435363738393a3b3c3d3e3f", State: orderBegun},
		{ID: "msg_<&>é\"\\", EventTime: noon, Digest: "404142434445464748494a4b4c4d4e4f", State: orderBegun},
		{ID: "msg_served", EventTime: storedEventTime, Digest: storedDigest, State: orderEnded, Status: http.StatusOK, Body: []byte("done\n\x00\xff")},
		{ID: "msg_released", EventTime: noon.Add(-time.Minute), Digest: "303132333435363738393a3b3c3d3e3f", State: orderReleased},
		{ID: "msg_expired", EventTime: noon.Add(-73 * time.Hour), Digest: "202122232425262728292a2b2c2d2e2f", State: orderEnded, Status: http.StatusOK},
		{ID: "msg_<&>é\"\\", EventTime: noon, Digest: "404142434445464748494a4b4c4d4e4f", State: orderEnded, Status: http.StatusGatewayTimeout},
	}
	compactedEntries = []ledgerEntry{appendedEntries[5], appendedEntries[1], appendedEntries[8]}
)

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// copyTestdata returns the path of a copy of a file under testdata. Tests open a copy, because opening a ledger
// rewrites it.
func copyTestdata(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ledger")
	if err := os.WriteFile(path, readFile(t, filepath.Join("testdata", name)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestStoredLedgerIsReadAndRewrittenByteForByte(t *testing.T) {
	for _, name := range []string{"appended.ledger", "compacted.ledger"} {
		t.Run(name, func(t *testing.T) {
			path := copyTestdata(t, name)
			l, entries, err := openLedger(path, testMaxLedgerBytes, 72*time.Hour, noonClock)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.close(); err != nil {
				t.Fatal(err)
			}
			if len(entries) != len(compactedEntries) {
				t.Fatalf("%d entries, want %d", len(entries), len(compactedEntries))
			}
			for i, want := range compactedEntries {
				got := entries[i]
				if !got.EventTime.Equal(want.EventTime) {
					t.Errorf("event time of %s is %v, want %v", want.ID, got.EventTime, want.EventTime)
				}
				got.EventTime = want.EventTime // compared above
				if !reflect.DeepEqual(got, want) {
					t.Errorf("entry %d is %+v, want %+v", i, got, want)
				}
			}
			if got, want := readFile(t, path), readFile(t, "testdata/compacted.ledger"); !bytes.Equal(got, want) {
				t.Errorf("after the rewrite:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

func TestLinesAreAppendedInTheStoredForm(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l, _, err := openLedger(path, testMaxLedgerBytes, 72*time.Hour, noonClock)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range appendedEntries {
		if e.State != orderBegun {
			l.recordEnd(e)
			continue
		}
		written := make(chan error, 1)
		l.recordStart(e, func(err error) { written <- err })
		if err := <-written; err != nil {
			t.Fatal(err)
		}
	}
	if err := l.close(); err != nil {
		t.Fatal(err)
	}
	if got, want := readFile(t, path), readFile(t, "testdata/appended.ledger"); !bytes.Equal(got, want) {
		t.Errorf("the file holds:\n%s\nwant:\n%s", got, want)
	}
}

// A redelivery of an order that has ended is answered with the stored outcome. An order that was in flight may have
// run, so its redelivery is answered with 502. An order that never ran is submitted to the router.
func TestOutcomesAreReplayedFromTheStoredLedger(t *testing.T) {
	requests := &fakeRouter{}
	receiver, loopCalls := newTestReceiver(t, requests, copyTestdata(t, "appended.ledger"))
	defer closeReceiver(t, receiver)
	for _, test := range []struct {
		id              string
		want            []int
		wantBody        string
		isFirstDelivery bool
	}{
		{id: "msg_served", want: []int{http.StatusOK}, wantBody: "done\n\x00\xff"},
		{id: "msg_in_flight", want: []int{http.StatusBadGateway}},
		{id: "msg_released", isFirstDelivery: true},
	} {
		t.Run(test.id, func(t *testing.T) {
			transport := deliver(receiver, orderDelivery(test.id))
			if test.isFirstDelivery {
				(<-loopCalls)()
			}
			if got := statuses(t, transport); !slices.Equal(got, test.want) {
				t.Errorf("statuses %v, want %v", got, test.want)
			}
			if !bytes.HasSuffix(transport.Written.Bytes(), []byte(test.wantBody)) {
				t.Errorf("got %q, want the body %q", transport.Written.String(), test.wantBody)
			}
		})
	}
	if len(requests.requests) != 1 || requests.requests[0].ClientReference != "msg_released" {
		t.Errorf("the router received %+v, want only the request of msg_released", requests.requests)
	}
}

package webhook

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"functionrouter/internal/standin"
)

// The stored form of the ledger is fixed: the files under testdata were written by an earlier release and are
// never written anew. appended.ledger has the lines as a running program appends them; compacted.ledger is what
// opening that file at noon leaves of it.
var (
	storedDigest = "356101d9d2084545607e4c6b981c39c1" // of call("repair-order", "x", noon)

	storedAt = time.Date(2026, 12, 1, 11, 59, 58, 123456789, time.FixedZone("", 2*60*60))

	storedLines = []entry{
		{ID: "msg_served", At: storedAt, Sum: storedDigest, State: begun},
		{ID: "msg_in_flight", At: noon.Add(-time.Hour), Sum: storedDigest, State: begun},
		{ID: "msg_expired", At: noon.Add(-73 * time.Hour), Sum: "202122232425262728292a2b2c2d2e2f", State: begun},
		{ID: "msg_released", At: noon.Add(-time.Minute), Sum: "303132333435363738393a3b3c3d3e3f", State: begun},
		{ID: "msg_<&>é\"\\", At: noon, Sum: "404142434445464748494a4b4c4d4e4f", State: begun},
		{ID: "msg_served", At: storedAt, Sum: storedDigest, State: ended, Status: http.StatusOK, Body: []byte("done\n\x00\xff")},
		{ID: "msg_released", At: noon.Add(-time.Minute), Sum: "303132333435363738393a3b3c3d3e3f", State: freed},
		{ID: "msg_expired", At: noon.Add(-73 * time.Hour), Sum: "202122232425262728292a2b2c2d2e2f", State: ended, Status: http.StatusOK},
		{ID: "msg_<&>é\"\\", At: noon, Sum: "404142434445464748494a4b4c4d4e4f", State: ended, Status: http.StatusGatewayTimeout},
	}
	storedEntries = []entry{storedLines[5], storedLines[1], storedLines[8]}
)

func readStored(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// copyStored returns the path of a copy of a file under testdata: opening a ledger writes it anew.
func copyStored(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ledger")
	if err := os.WriteFile(path, readStored(t, filepath.Join("testdata", name)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestStoredLedgerIsReadAndRewrittenByteForByte(t *testing.T) {
	for _, name := range []string{"appended.ledger", "compacted.ledger"} {
		t.Run(name, func(t *testing.T) {
			path := copyStored(t, name)
			l, entries, err := openLedger(path, 1<<20, 72*time.Hour, wall)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.close(); err != nil {
				t.Fatal(err)
			}
			if len(entries) != len(storedEntries) {
				t.Fatalf("%d entries, want %d", len(entries), len(storedEntries))
			}
			for i, want := range storedEntries {
				got := entries[i]
				if !got.At.Equal(want.At) {
					t.Errorf("%s is of %v, want %v", want.ID, got.At, want.At)
				}
				got.At, want.At = time.Time{}, time.Time{}
				if !reflect.DeepEqual(got, want) {
					t.Errorf("entry %d is %+v, want %+v", i, got, want)
				}
			}
			if got, want := readStored(t, path), readStored(t, "testdata/compacted.ledger"); !bytes.Equal(got, want) {
				t.Errorf("after the rewrite:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

func TestLinesAreAppendedInTheStoredForm(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l, _, err := openLedger(path, 1<<20, 72*time.Hour, wall)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range storedLines {
		if e.State != begun {
			l.settle(e)
			continue
		}
		written := make(chan error, 1)
		l.begin(e, func(err error) { written <- err })
		if err := <-written; err != nil {
			t.Fatal(err)
		}
	}
	if err := l.close(); err != nil {
		t.Fatal(err)
	}
	if got, want := readStored(t, path), readStored(t, "testdata/appended.ledger"); !bytes.Equal(got, want) {
		t.Errorf("the file holds:\n%s\nwant:\n%s", got, want)
	}
}

// An order that has ended is answered with the stored outcome, one that was in flight with 502, since it may
// have run; one that never ran is handed to the router.
func TestOutcomesAreReplayedFromTheStoredLedger(t *testing.T) {
	k := &core{}
	v, posts := newReceiver(t, k, copyStored(t, "appended.ledger"))
	for id, want := range map[string]string{"msg_served": "[200]", "msg_in_flight": "[502]", "msg_released": "[]"} {
		l := &standin.Line{}
		v.serve(l, netip.AddrPort{}).OnData(deliveryOf(secret, id, noon, call("repair-order", "x", noon)))
		if id == "msg_released" {
			(<-posts)()
		}
		if got := fmt.Sprint(statuses(t, l)); got != want {
			t.Errorf("%s is answered with %s, want %s", id, got, want)
		}
		if id == "msg_served" && !bytes.HasSuffix(l.Wrote.Bytes(), []byte("done\n\x00\xff")) {
			t.Errorf("%s is answered with %q", id, l.Wrote.String())
		}
	}
	if len(k.taken) != 1 || k.taken[0].ClientReference != "msg_released" {
		t.Errorf("the router has %+v", k.taken)
	}
	if err := v.Close(); err != nil {
		t.Error(err)
	}
}

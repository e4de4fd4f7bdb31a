package webhook

import (
	"errors"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ledgerModel is a ledger and the entries that must be found in it after a crash.
type ledgerModel struct {
	path   string
	ledger *ledger
	want   map[string]ledgerEntry // by webhook-id
}

// open opens the ledger and returns its entries by webhook-id.
func (m *ledgerModel) open(t *rapid.T) map[string]ledgerEntry {
	l, entries, err := openLedger(m.path, testMaxLedgerBytes, time.Hour, noonClock)
	if err != nil {
		t.Fatal(err)
	}
	m.ledger = l
	found := map[string]ledgerEntry{}
	for _, e := range entries {
		found[e.ID] = e
	}
	return found
}

// write writes an entry in any state and waits until it is on the disk.
func (m *ledgerModel) write(t *rapid.T, e ledgerEntry) {
	written := make(chan error, 1)
	m.ledger.queue <- pendingWrite{entry: e, onDurable: func(err error) { written <- err }}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	if e.State == orderReleased || noon.Sub(e.EventTime) > time.Hour {
		delete(m.want, e.ID)
		return
	}
	m.want[e.ID] = e
}

// crash appends an incomplete line, as a crash during a write does, and opens the ledger again.
func (m *ledgerModel) crash(t *rapid.T) {
	torn := encodeEntry(ledgerEntry{ID: "torn", EventTime: noon, State: orderBegun})
	if _, err := m.ledger.file.Write(torn[:rapid.IntRange(0, len(torn)-1).Draw(t, "cut")]); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openLedger(m.path, testMaxLedgerBytes, time.Hour, noonClock); !errors.Is(err, errLedgerInUse) {
		t.Fatalf("opening a ledger that is in use: error %v, want %v", err, errLedgerInUse)
	}
	m.close(t)
	found := m.open(t)
	if len(found) != len(m.want) {
		t.Fatalf("found %v, want %v", found, m.want)
	}
	for id, e := range m.want {
		if found[id].State != e.State {
			t.Fatalf("state of %s is %q, want %q", id, found[id].State, e.State)
		}
	}
}

func (m *ledgerModel) close(t *rapid.T) {
	if err := m.ledger.close(); err != nil {
		t.Fatal(err)
	}
}

// Checks the ledger against a model: an entry whose write was acknowledged is found after a crash, and an incomplete
// last line is ignored.
func TestLedgerKeepsAcknowledgedEntries(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		model := &ledgerModel{path: filepath.Join(dir, strconv.Itoa(run)), want: map[string]ledgerEntry{}}
		model.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				model.write(t, ledgerEntry{
					ID:        rapid.StringN(1, 3, 9).Draw(t, "id"),
					EventTime: noon.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Minute),
					State:     rapid.SampledFrom([]orderState{orderBegun, orderEnded, orderReleased}).Draw(t, "state"),
					Status:    http.StatusOK,
					Body:      []byte("\n"),
				})
			},
			"crash": model.crash,
		})
		model.close(t)
	})
}

// After a fault of the ledger, every order is refused with 503 and is not submitted to the router, not only the first.
func TestOrdersAreRefusedIfTheLedgerCannotWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger") // shared by all cases: a failure must not affect the next start
	for _, test := range []struct {
		name          string
		fault         func(*testing.T, *ledger)
		closeSucceeds bool
	}{
		{"full", func(_ *testing.T, l *ledger) { l.maxBytes = 10 }, true},
		{"failed write", func(t *testing.T, l *ledger) {
			t.Helper()
			if err := l.file.Close(); err != nil {
				t.Fatal(err)
			}
		}, false},
		{"full after a failed write", func(_ *testing.T, l *ledger) { l.maxBytes = 10 }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests := &fakeRouter{}
			receiver, loopCalls := newTestReceiver(t, requests, path)
			test.fault(t, receiver.ledger)
			for i := range 2 {
				transport := deliver(receiver, orderDelivery(strconv.Itoa(i)))
				(<-loopCalls)()
				if got := statuses(t, transport); !slices.Equal(got, []int{http.StatusServiceUnavailable}) || len(requests.requests) > 0 {
					t.Errorf("order %d: statuses %v, want one 503; %d requests, want 0", i, got, len(requests.requests))
				}
			}
			if got := receiver.Counters.LedgerRefused; got != 2 {
				t.Errorf("%d orders counted as refused, want 2", got)
			}
			if err := receiver.Close(); (err == nil) != test.closeSucceeds {
				t.Errorf("error of Receiver.Close is %v, want no error: %v", err, test.closeSucceeds)
			}
		})
	}
}

func TestLedgerErrors(t *testing.T) {
	write := func(t *testing.T, l *ledger) error {
		t.Helper()
		written := make(chan error, 1)
		l.recordStart(ledgerEntry{ID: "m", EventTime: noon}, func(err error) { written <- err })
		return <-written
	}
	open := func(t *testing.T) *ledger {
		t.Helper()
		l, _, err := openLedger(filepath.Join(t.TempDir(), "ledger"), testMaxLedgerBytes, time.Hour, noonClock)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	t.Run("full", func(t *testing.T) {
		l := open(t)
		l.maxBytes = 10
		if err := write(t, l); !errors.Is(err, errLedgerFull) {
			t.Errorf("error %v, want %v", err, errLedgerFull)
		}
		if err := l.close(); err != nil {
			t.Errorf("error of close is %v, want none", err)
		}
	})
	t.Run("after a failed write", func(t *testing.T) {
		l := open(t)
		if err := l.file.Close(); err != nil {
			t.Fatal(err)
		}
		if err := write(t, l); err == nil || errors.Is(err, errLedgerFailed) {
			t.Errorf("error of the failed write is %v, want the error of the file, not %v", err, errLedgerFailed)
		}
		if err := write(t, l); !errors.Is(err, errLedgerFailed) {
			t.Errorf("error of the next write is %v, want %v", err, errLedgerFailed)
		}
		if err := l.close(); err == nil {
			t.Error("close returned no error, want one because the file can't be synced")
		}
	})
}

// Guards against an event loop that waits for a slow disk: with a full queue, recordStart fails and recordEnd drops the
// entry, without waiting for the writer.
func TestLedgerQueueIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l, _, err := openLedger(path, testMaxLedgerBytes, time.Hour, noonClock)
	if err != nil {
		t.Fatal(err)
	}
	writerStopped := make(chan struct{})
	writerMayContinue := make(chan struct{})
	l.recordStart(ledgerEntry{ID: "first", EventTime: noon}, func(error) {
		close(writerStopped)
		<-writerMayContinue
	})
	<-writerStopped
	for i := range ledgerQueueLength {
		l.recordEnd(ledgerEntry{ID: strconv.Itoa(i), EventTime: noon, State: orderEnded})
	}
	l.recordEnd(ledgerEntry{ID: "dropped", EventTime: noon, State: orderEnded})
	var refusal error
	l.recordStart(ledgerEntry{ID: "refused", EventTime: noon}, func(err error) { refusal = err })
	if !errors.Is(refusal, errLedgerFull) {
		t.Errorf("error of recordStart with a full queue is %v, want %v", refusal, errLedgerFull)
	}
	close(writerMayContinue)
	if err := l.close(); err != nil {
		t.Fatal(err)
	}
	entries, err := readLastEntries(path)
	if err != nil || len(entries) != 1+ledgerQueueLength {
		t.Errorf("%d entries, want %d; error %v", len(entries), 1+ledgerQueueLength, err)
	}
}

// A damaged ledger must not be opened, because it is unknown which orders ran.
func TestDamagedLedgerIsNotOpened(t *testing.T) {
	validLine := string(encodeEntry(ledgerEntry{ID: "m", EventTime: noon, State: orderBegun}))
	for name, text := range map[string]string{
		"wrong checksum":       "00000000 {}\n",
		"checksum is not hex":  "x" + validLine[1:],
		"empty line":           "\n" + validLine,
		"short line":           validLine[:9] + "\n",
		"changed text":         validLine[:12] + "x" + validLine[13:],
		"damage in the middle": validLine + validLine[:20] + "\n" + validLine,
		"empty JSON text":      "00000000 \n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := openLedger(writeFile(t, text), testMaxLedgerBytes, time.Hour, noonClock)
			if !errors.Is(err, errLedgerDamaged) {
				t.Errorf("error %v for the text %q, want %v", err, text, errLedgerDamaged)
			}
		})
	}
}

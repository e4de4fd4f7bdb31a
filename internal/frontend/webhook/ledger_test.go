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

// ledgerModel is a ledger with what must be found in it after a crash.
type ledgerModel struct {
	path   string
	ledger *ledger
	want   map[string]ledgerEntry
}

// open opens the ledger and returns what is found in it.
func (m *ledgerModel) open(t *rapid.T) map[string]ledgerEntry {
	l, entries, err := openLedger(m.path, testLedgerBytes, time.Hour, noonClock)
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

// write writes an entry in any state, and waits until it is on the disk.
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

// crash leaves the beginning of a line behind, as a crash in a write does, and opens the ledger again.
func (m *ledgerModel) crash(t *rapid.T) {
	torn := encodeEntry(ledgerEntry{ID: "torn", EventTime: noon, State: orderBegun})
	if _, err := m.ledger.file.Write(torn[:rapid.IntRange(0, len(torn)-1).Draw(t, "cut")]); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openLedger(m.path, testLedgerBytes, time.Hour, noonClock); !errors.Is(err, errLedgerInUse) {
		t.Fatalf("a ledger in use was opened again: %v", err)
	}
	m.close(t)
	found := m.open(t)
	if len(found) != len(m.want) {
		t.Fatalf("found %v, want %v", found, m.want)
	}
	for id, e := range m.want {
		if found[id].State != e.State {
			t.Fatalf("%s is %q, want %q", id, found[id].State, e.State)
		}
	}
}

func (m *ledgerModel) close(t *rapid.T) {
	if err := m.ledger.close(); err != nil {
		t.Fatal(err)
	}
}

// The model of the ledger: an entry whose write was acknowledged is there after a crash, and an incomplete line does no
// harm.
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

// An order that the ledger can't record is refused with 503 and not handed to the router, and so is the next one.
func TestOrdersAreRefusedIfTheLedgerCannotWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger") // one failure leaves nothing behind for the next
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
		{"full again", func(_ *testing.T, l *ledger) { l.maxBytes = 10 }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests := &fakeRouter{}
			receiver, loopCalls := newTestReceiver(t, requests, path)
			test.fault(t, receiver.ledger)
			for i := range 2 { // also the one after it
				transport := deliver(receiver, orderDelivery(strconv.Itoa(i)))
				(<-loopCalls)()
				if got := statuses(t, transport); !slices.Equal(got, []int{http.StatusServiceUnavailable}) || len(requests.requests) > 0 {
					t.Errorf("order %d: statuses %v, %d requests", i, got, len(requests.requests))
				}
			}
			if got := receiver.Counters.LedgerRefused; got != 2 {
				t.Errorf("%d orders counted as refused", got)
			}
			if err := receiver.Close(); (err == nil) != test.closeSucceeds {
				t.Errorf("close: %v", err)
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
		l, _, err := openLedger(filepath.Join(t.TempDir(), "ledger"), testLedgerBytes, time.Hour, noonClock)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	t.Run("full", func(t *testing.T) {
		l := open(t)
		l.maxBytes = 10
		if err := write(t, l); !errors.Is(err, errLedgerFull) {
			t.Error(err)
		}
		if err := l.close(); err != nil {
			t.Error(err)
		}
	})
	t.Run("after a failed write", func(t *testing.T) {
		l := open(t)
		if err := l.file.Close(); err != nil {
			t.Fatal(err)
		}
		if err := write(t, l); err == nil || errors.Is(err, errLedgerFailed) {
			t.Errorf("the write that failed: %v", err)
		}
		if err := write(t, l); !errors.Is(err, errLedgerFailed) {
			t.Errorf("the one after it: %v", err)
		}
		if err := l.close(); err == nil {
			t.Error("close hides that the file can't be synced")
		}
	})
}

// If the disk is too slow, the event loop's goroutine never waits for it: orders are refused, and the ends of orders are
// dropped.
func TestLedgerQueueIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l, _, err := openLedger(path, testLedgerBytes, time.Hour, noonClock)
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
		t.Errorf("with a full queue: %v", refusal)
	}
	close(writerMayContinue)
	if err := l.close(); err != nil {
		t.Fatal(err)
	}
	entries, err := readLastEntries(path)
	if err != nil || len(entries) != 1+ledgerQueueLength {
		t.Errorf("%d entries, error %v", len(entries), err)
	}
}

// With damage it is unknown which orders ran: such a ledger must not be used.
func TestDamagedLedgerIsNotOpened(t *testing.T) {
	validLine := string(encodeEntry(ledgerEntry{ID: "m", EventTime: noon, State: orderBegun}))
	for name, text := range map[string]string{
		"wrong checksum":       "00000000 {}\n",
		"checksum is no hex":   "x" + validLine[1:],
		"empty line":           "\n" + validLine,
		"short line":           validLine[:9] + "\n",
		"changed text":         validLine[:12] + "x" + validLine[13:],
		"damage in the middle": validLine + validLine[:20] + "\n" + validLine,
		"valid, but no JSON":   "00000000 \n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := openLedger(writeFile(t, text), testLedgerBytes, time.Hour, noonClock)
			if !errors.Is(err, errLedgerDamaged) {
				t.Errorf("opened with error %v", err)
			}
		})
	}
}

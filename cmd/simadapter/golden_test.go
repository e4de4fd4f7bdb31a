package main

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// update rewrites the golden files from what the program answers now.
var update = flag.Bool("update", false, "rewrite the golden files")

// goldenScenarios play the decision module in closed loop: each world reacts to the actions that it is
// answered with. Together they bring every event of the wire and every action that the module emits.
var goldenScenarios = []scenario{
	{
		name: "load-on-miss", seed: 11, instances: 2, workers: 8, functions: 40, batches: 3000, arrivalsPerSecond: 90,
		settings: `{"peersTotal": 2, "granularityMs": 2, "membershipMode": "automatic",
			"report": {"fields": ["queue", "x0", "x1"], "how": "inline"},
			"classes": [
				{"deadlineMs": 4000, "goalTimeMs": 600, "semantics": "safe", "group": "all", "worth": 1, "lateWorth": 0.3},
				{"deadlineMs": 5000, "goalTimeMs": 1500, "semantics": "safe", "group": "all", "worth": 2, "lateWorth": 0.3},
				{"deadlineMs": 5000, "goalTimeMs": 300, "semantics": "unsafe", "group": "all", "worth": 5, "lateWorth": 0.3}],
			"limits": {"retryAfter": true, "maxAttempts": 6, "maxRetryAfterMs": 2000},
			"rules": {"coldFrom": 0.17, "coldMs": 15000, "drainGraceMs": 2000, "fallMs": 1500, "fallMultiple": 3},
			"specifics": {"ifCold": "load", "lingerIdleMs": 11000, "loadWaitMs": 10000}}`,
	},
	{
		name: "orders-and-gossip", seed: 12, instances: 3, workers: 10, functions: 60, batches: 3000, arrivalsPerSecond: 60,
		missWhenCold: true, lists: true,
		settings: `{"peersTotal": 3, "granularityMs": 2, "membershipMode": "subscribe",
			"report": {"fields": ["inflight", "queue"], "how": "on_probe"},
			"classes": [
				{"deadlineMs": 3000, "goalTimeMs": 400, "semantics": "keyed", "group": "zone", "windowMs": 2500, "worth": 1},
				{"deadlineMs": 3000, "goalTimeMs": 800, "semantics": "keyed", "group": "all", "windowMs": 900, "worth": 3},
				{"deadlineMs": 2500, "goalTimeMs": 300, "semantics": "unsafe", "group": "cell", "worth": 4, "streamed": true}],
			"limits": {"cancel": true, "mayProbe": true, "peers": true, "maxAttempts": 4},
			"rules": {"askWithinMs": 800, "coldFrom": 0.25, "coldMs": 8000, "drainGraceMs": 500, "fallMs": 2000, "fallMultiple": 2},
			"specifics": {"ifCold": "miss", "placementCalls": true, "warmNotes": true, "notesPeersInHand": true,
				"lingerIdleMs": 9000, "loadWaitMs": 6000, "loadsWithinMs": 5000, "loadFree": 4, "loadPart": 0.3}}`,
	},
	{
		name: "tenants-in-overload", seed: 13, instances: 1, workers: 4, functions: 25, batches: 3000, arrivalsPerSecond: 160,
		workHints: true,
		settings: `{"peersTotal": 40, "granularityMs": 4, "membershipMode": "automatic", "countedBy": "work", "overShareWorth": 0.2,
			"accounts": [{"allowancePerS": 1200}, {"allowancePerS": 300}],
			"report": {"fields": ["queue"], "how": "inline"},
			"classes": [
				{"deadlineMs": 2000, "goalTimeMs": 300, "semantics": "safe", "worth": 1, "lateWorth": 0.2},
				{"deadlineMs": 3000, "goalTimeMs": 500, "semantics": "keyed", "group": "cell", "windowMs": 1500, "worth": 6}],
			"limits": {"cancel": true, "mayProbe": true, "retryAfter": true, "maxAttempts": 3, "maxRetryAfterMs": 700},
			"rules": {"coldFrom": 0.4, "coldMs": 6000, "fallMs": 1000, "fallMultiple": 2.5},
			"specifics": {"ifCold": "load", "warmNotes": true, "lingerIdleMs": 5000}}`,
	},
}

// TestActionsMatchTheGoldenFiles guards the module's decisions: the same events must be answered with the
// same actions, byte for byte. A change that is meant to decide otherwise rewrites the files with -update.
func TestActionsMatchTheGoldenFiles(t *testing.T) {
	met := map[byte]int{}
	for _, s := range goldenScenarios {
		t.Run(s.name, func(t *testing.T) {
			replies, codes := play(t, s)
			for code, n := range codes {
				met[code] += n
			}
			path := filepath.Join("testdata", "golden", s.name+".actions.gz")
			if *update {
				writeGolden(t, path, replies)
				return
			}
			compareReplies(t, replies, readGolden(t, path))
		})
	}
	for code := byte(eventFirst); code <= eventLoaded; code++ {
		if met[code] == 0 {
			t.Errorf("no scenario brings events of code %d", code)
		}
	}
	for _, code := range []byte{actionTimer, actionFail, actionSend, actionGossip, actionSubscribe, actionLoad, actionProbe,
		actionCancel, actionRefuse} { // the other actions of the wire are never emitted by this module
		if met[code] == 0 {
			t.Errorf("no scenario draws actions of code %d", code)
		}
	}
}

// play runs the program against a scenario's world. It returns all replies, and how often each event and
// action code was seen.
func play(t *testing.T, s scenario) (replies []byte, codes map[byte]int) {
	t.Helper()
	events, toProgram := io.Pipe()
	fromProgram, actions := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := run(events, actions)
		actions.CloseWithError(io.EOF)
		ended <- err
	}()
	world := newWorld(s)
	for seq := range uint32(s.batches) {
		if _, err := toProgram.Write(world.nextBatch(seq)); err != nil {
			t.Fatalf("batch %d: %v", seq, err)
		}
		head := make([]byte, 8)
		if _, err := io.ReadFull(fromProgram, head); err != nil {
			t.Fatalf("batch %d: %v, %v", seq, err, errors.Join(<-ended))
		}
		body := make([]byte, binary.BigEndian.Uint32(head[4:]))
		if _, err := io.ReadFull(fromProgram, body); err != nil {
			t.Fatalf("batch %d: %v", seq, err)
		}
		replies = append(append(replies, head...), body...)
		if err := world.takeReply(body); err != nil {
			t.Fatalf("batch %d: %v", seq, err)
		}
	}
	toProgram.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return replies, world.codes
}

// compareReplies reports the first reply that differs.
func compareReplies(t *testing.T, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	for len(got) >= 8 && len(want) >= 8 {
		g := got[:min(len(got), 8+int(binary.BigEndian.Uint32(got[4:])))]
		w := want[:min(len(want), 8+int(binary.BigEndian.Uint32(want[4:])))]
		if !bytes.Equal(g, w) {
			t.Fatalf("the reply to batch %d differs:\ngot  %x\nwant %x", binary.BigEndian.Uint32(w), g, w)
		}
		got, want = got[len(g):], want[len(w):]
	}
	t.Fatalf("%d bytes of replies left, want %d", len(got), len(want))
}

func readGolden(t *testing.T, path string) []byte {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func writeGolden(t *testing.T, path string, b []byte) {
	t.Helper()
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := z.Write(b); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

package main

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// update makes TestActionsMatchTheGoldenFiles rewrite the golden files with what the program answers now.
var update = flag.Bool("update", false, "rewrite the golden files")

// emittedActions are the codes of the actions that the module emits today. policy.Action names the others.
var emittedActions = []byte{
	actionSetTimer,
	actionFailRequest,
	actionSendAttempt,
	actionSendGossip,
	actionSubscribe,
	actionLoadInstance,
	actionCheckHealth,
	actionCancelAttempt,
	actionRefuseRequest,
}

// TestActionsMatchTheGoldenFiles guards the module's decisions: the same events must be answered with the
// same actions, byte for byte. A change that is meant to decide otherwise rewrites the files with -update.
func TestActionsMatchTheGoldenFiles(t *testing.T) {
	seen := map[byte]int{}
	for _, s := range goldenScenarios {
		t.Run(s.name, func(t *testing.T) {
			world := newWorld(s)
			replies := play(t, world)
			for code, n := range world.seen {
				seen[code] += n
			}
			path := filepath.Join("testdata", "golden", s.name+".actions.gz")
			if *update {
				writeGolden(t, path, replies)
				return
			}
			compareReplies(t, replies, readGolden(t, path))
		})
	}
	for code := byte(eventResponseStarted); code <= eventLoadCommandEnded; code++ {
		if seen[code] == 0 {
			t.Errorf("no scenario brings events of code %d", code)
		}
	}
	for _, code := range emittedActions {
		if seen[code] == 0 {
			t.Errorf("no scenario draws actions of code %d", code)
		}
	}
}

// play runs the program against a world, which reacts to each reply, and returns all replies with their headers.
func play(t *testing.T, w *world) (replies []byte) {
	t.Helper()
	events, toProgram := io.Pipe()
	fromProgram, actions := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := run(events, actions)
		actions.CloseWithError(err) // nil means io.EOF to the reader; so a wait for a reply ends
		events.CloseWithError(err)
		ended <- err
	}()
	// This ends the program if the test fails early. Closing a pipe can't fail.
	t.Cleanup(func() {
		_ = toProgram.Close()
		_ = fromProgram.Close()
	})
	for seq := range uint32(w.batches) {
		if _, err := toProgram.Write(w.nextBatch(seq)); err != nil {
			t.Fatalf("batch %d: %v", seq, err)
		}
		reply, err := readReply(fromProgram)
		if err != nil {
			t.Fatalf("batch %d: %v", seq, err)
		}
		replies = append(replies, reply...)
		if err := w.applyReply(reply[replyHeaderLength:]); err != nil {
			t.Fatalf("batch %d: %v", seq, err)
		}
	}
	if err := toProgram.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return replies
}

// readReply reads a reply with its header.
func readReply(r io.Reader) ([]byte, error) {
	reply := make([]byte, replyHeaderLength)
	if _, err := io.ReadFull(r, reply); err != nil {
		return nil, err
	}
	records := make([]byte, binary.BigEndian.Uint32(reply[4:]))
	if _, err := io.ReadFull(r, records); err != nil {
		return nil, err
	}
	return append(reply, records...), nil
}

// compareReplies reports the first reply that differs.
func compareReplies(t *testing.T, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	for len(got) >= replyHeaderLength && len(want) >= replyHeaderLength {
		gotReply := got[:min(len(got), replyLength(got))]
		wantReply := want[:min(len(want), replyLength(want))]
		if !bytes.Equal(gotReply, wantReply) {
			seq := binary.BigEndian.Uint32(wantReply)
			t.Fatalf("the reply to batch %d differs:\ngot  %x\nwant %x", seq, gotReply, wantReply)
		}
		got = got[len(gotReply):]
		want = want[len(wantReply):]
	}
	t.Fatalf("%d bytes of replies left, want %d", len(got), len(want))
}

// replyLength returns the length of the reply that b begins with.
func replyLength(b []byte) int { return replyHeaderLength + int(binary.BigEndian.Uint32(b[4:])) }

// readGolden reads and unpacks a golden file.
func readGolden(t *testing.T, path string) []byte {
	t.Helper()
	packed, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// writeGolden packs and writes a golden file.
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

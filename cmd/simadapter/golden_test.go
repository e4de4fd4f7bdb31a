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

// update makes TestActionsMatchTheGoldenFiles replace the content of the golden files with the current replies.
var update = flag.Bool("update", false, "rewrite the golden files")

// emittedActions holds the codes of the actions that package policy emits. The comment of policy.Action lists the
// actions that it does not emit.
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

// TestActionsMatchTheGoldenFiles guards against unintended changes of the policy's decisions: the same events must be
// answered with the same actions, byte for byte. After an intended change of the decisions, -update rewrites the files.
func TestActionsMatchTheGoldenFiles(t *testing.T) {
	recordCounts := map[byte]int{}
	for _, s := range goldenScenarios {
		t.Run(s.name, func(t *testing.T) {
			world := newWorld(s)
			replies := simulate(t, world)
			for code, n := range world.recordCounts {
				recordCounts[code] += n
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
		if recordCounts[code] == 0 {
			t.Errorf("no scenario sends an event of code %d", code)
		}
	}
	for _, code := range emittedActions {
		if recordCounts[code] == 0 {
			t.Errorf("no scenario receives an action of code %d", code)
		}
	}
}

// simulate sends the batches of a world to run, applies each reply to the world and returns all replies with their
// headers.
func simulate(t *testing.T, w *world) (replies []byte) {
	t.Helper()
	events, toProgram := io.Pipe()
	fromProgram, actions := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := run(events, actions)
		actions.CloseWithError(err) // ends the wait in readReply; a nil err becomes io.EOF
		events.CloseWithError(err)
		ended <- err
	}()
	// Closing the pipes makes run return if the test fails early. Closing a pipe never returns an error.
	t.Cleanup(func() {
		_ = toProgram.Close()
		_ = fromProgram.Close()
	})
	for seq := range uint32(w.batches) {
		if _, err := toProgram.Write(w.nextBatch(seq)); err != nil {
			t.Fatalf("write batch %d: %v", seq, err)
		}
		reply, err := readReply(fromProgram)
		if err != nil {
			t.Fatalf("read the reply to batch %d: %v", seq, err)
		}
		replies = append(replies, reply...)
		if err := w.applyReply(reply[replyHeaderLength:]); err != nil {
			t.Fatalf("apply the reply to batch %d: %v", seq, err)
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

// readReply reads one reply and returns it with its header.
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

// compareReplies fails the test at the first reply that differs.
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
	t.Fatalf("got %d bytes after the last equal reply, want %d", len(got), len(want))
}

// replyLength returns the length of the reply at the front of b, including its header.
func replyLength(b []byte) int { return replyHeaderLength + int(binary.BigEndian.Uint32(b[4:])) }

// readGolden reads and decompresses a golden file.
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

// writeGolden compresses and writes a golden file.
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

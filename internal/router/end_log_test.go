package router

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A request that a disconnected client left behind is in the log with its id and age; one that its client interrupted
// is not.
func TestEndLogNamesDisconnectedRequests(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	l := newEndLog()
	p := &pendingRequest{Request: Request{ID: "00000000000000a1", ReceivedAt: testStart, Deadline: testStart + 50*ms}}
	l.record(testStart+20*ms, p, RequestCancelled, ClientDisconnected.String())
	l.record(testStart+21*ms, p, RequestCancelled, ClientDisconnected.String())
	want := `requests=1 id=00000000000000a1 class=0 outcome=cancelled cause=client_disconnected age=20ms time_left=30ms attempts=0`
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, want+"\n") {
		t.Errorf("logged %s, want %s", got, want)
	}
}

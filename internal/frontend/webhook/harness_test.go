package webhook

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
	"functionrouter/policy"
)

var (
	noon          = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	activeSecret  = bytes.Repeat([]byte("active"), 5)
	retiredSecret = bytes.Repeat([]byte("retire"), 5)
	testKeys      = []signingKey{{secret: activeSecret}, {secret: retiredSecret, retiredAt: noon}}
	testClasses   = []Class{
		{Name: "dim-level", MaxWait: 2 * time.Second},
		{Name: "repair-order", CarriesOrders: true, MaxWait: 3 * time.Second},
	}
)

const (
	testFunctionKey    = "7f3a9c21e0b4d655"
	testMaxReplayBytes = 16 << 20
	testMaxLedgerBytes = 1 << 20
	testSocketTimeout  = 20 * time.Second
)

// noonClock is the wall clock of all tests; it always returns noon.
func noonClock() time.Time { return noon }

// statuses returns the status codes of the responses written so far.
func statuses(tb rapid.TB, transport *testsupport.Transport) (codes []int) {
	tb.Helper()
	for in := bufio.NewReader(bytes.NewReader(transport.Written.Bytes())); ; {
		if _, err := in.Peek(1); errors.Is(err, io.EOF) {
			return codes
		}
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			tb.Fatalf("reading the head of a response: %v; written bytes: %q", err, transport.Written.String())
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			tb.Fatalf("reading the body of a response: %v; written bytes: %q", err, transport.Written.String())
		}
		codes = append(codes, r.StatusCode)
	}
}

// fakeRouter records the requests that are submitted to it. The ID of a request is its index in requests plus 1.
type fakeRouter struct {
	requests  []router.Request
	begun     bool // whether attempts of the requests have begun
	abandoned map[policy.RequestID]bool
}

func (f *fakeRouter) Abandon(_ time.Duration, id policy.RequestID) (ended bool) {
	if f.abandoned == nil {
		f.abandoned = map[policy.RequestID]bool{}
	}
	f.abandoned[id] = true
	return !f.begun
}

func (f *fakeRouter) Resume(id policy.RequestID) { delete(f.abandoned, id) }

func (f *fakeRouter) Submit(_ time.Duration, r router.Request) policy.RequestID {
	f.requests = append(f.requests, r)
	return policy.RequestID(len(f.requests))
}

// testConfig returns the default settings with a ledger at ledgerPath, or without a ledger if ledgerPath is empty.
func testConfig(tb rapid.TB, ledgerPath string) *Config {
	tb.Helper()
	c, err := parseConfig("test", `receiver.path = "/hooks"`)
	if err != nil {
		tb.Fatal(err)
	}
	c.Receiver.Ledger.Path = ledgerPath
	return c
}

// newTestReceiver returns a receiver and a channel with the functions that it passes to RunOnLoop.
func newTestReceiver(tb rapid.TB, requests RequestRouter, ledgerPath string) (*Receiver, chan func()) {
	tb.Helper()
	loopCalls := make(chan func(), 100)
	r, err := NewReceiver(ReceiverOptions{
		File:           testConfig(tb, ledgerPath),
		Router:         requests,
		Classes:        testClasses,
		MaxReplayBytes: testMaxReplayBytes,
		Now:            func() time.Duration { return time.Hour },
		WallClock:      noonClock,
		RunOnLoop:      func(f func()) { loopCalls <- f },
	})
	if err != nil {
		tb.Fatal(err)
	}
	r.keys = testKeys
	return r, loopCalls
}

// closeReceiver closes a receiver and reports an error of its ledger as a test failure.
func closeReceiver(tb rapid.TB, r *Receiver) {
	tb.Helper()
	if err := r.Close(); err != nil {
		tb.Errorf("error of Receiver.Close is %v, want none", err)
	}
}

// deliver passes b to a new connection of the receiver and returns its transport.
func deliver(r *Receiver, b []byte) *testsupport.Transport {
	transport := &testsupport.Transport{}
	r.newConnection(transport, netip.AddrPort{}).OnData(b)
	return transport
}

// requestPayload returns a payload with a request of this class, body and event time.
func requestPayload(class, body string, eventTime time.Time) []byte {
	p := payload{Type: payloadType, Timestamp: eventTime, Data: callData{Class: class, FunctionKey: testFunctionKey, Body: []byte(body)}}
	text, err := json.Marshal(p)
	if err != nil {
		panic(err) // json.Marshal can't fail for strings, numbers, bytes and the times of the tests
	}
	return text
}

// signedDelivery returns an HTTP request that delivers the payload body, signed with secret at signedAt.
func signedDelivery(secret []byte, id string, signedAt time.Time, body []byte) []byte {
	timestamp := strconv.FormatInt(signedAt.Unix(), 10)
	head := fmt.Sprintf("POST /hooks HTTP/1.1\r\nHost: hooks.example.org\r\nContent-Length: %d\r\nwebhook-id: %s\r\n"+
		"webhook-timestamp: %s\r\nwebhook-signature: v1a,other %s\r\n\r\n", len(body), id, timestamp, sign(secret, id, timestamp, body))
	return append([]byte(head), body...)
}

// orderDelivery returns a delivery with webhook-id id of an order whose event was at noon.
func orderDelivery(id string) []byte {
	return signedDelivery(activeSecret, id, noon, requestPayload("repair-order", "x", noon))
}

// writeKeyFile writes a key file with this secret and returns its path.
func writeKeyFile(t *testing.T, secret []byte) string {
	t.Helper()
	return writeFile(t, secretPrefix+base64.StdEncoding.EncodeToString(secret))
}

// writeFile writes a file with this text and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

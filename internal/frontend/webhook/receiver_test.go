package webhook

import (
	"bytes"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
)

func TestRefusedDeliveriesHaveNoEffect(t *testing.T) {
	body := requestPayload("dim-level", "x", noon)
	valid := string(signedDelivery(activeSecret, "m", noon, body))
	replace := func(from, to string) []byte { return []byte(strings.Replace(valid, from, to, 1)) }
	for name, test := range map[string]struct {
		status  int
		request []byte
	}{
		"retired key":                {401, signedDelivery(retiredSecret, "m", noon, body)},
		"unknown key":                {401, signedDelivery([]byte("somebody else's secret..."), "m", noon, body)},
		"stale timestamp":            {401, signedDelivery(activeSecret, "m", noon.Add(-6*time.Minute), body)},
		"future timestamp":           {401, signedDelivery(activeSecret, "m", noon.Add(6*time.Minute), body)},
		"other id":                   {401, replace("webhook-id: m", "webhook-id: n")},
		"other time":                 {401, replace("webhook-timestamp: 1", "webhook-timestamp: 01")},
		"other body":                 {401, replace(`"dim-level"`, `"dim-levex"`)},
		"dotted id":                  {401, signedDelivery(activeSecret, "m.1", noon, body)},
		"no signature":               {401, replace("webhook-signature", "x-signature")},
		"two ids":                    {401, replace("webhook-id: m", "webhook-id: m\r\nwebhook-id: m")},
		"unknown class":              {400, signedDelivery(activeSecret, "m", noon, requestPayload("lift", "x", noon))},
		"invalid JSON":               {400, signedDelivery(activeSecret, "m", noon, []byte("{"))},
		"request body too large":     {400, signedDelivery(activeSecret, "m", noon, requestPayload("dim-level", strings.Repeat("x", maxRequestBodyBytes+1), noon))},
		"two lengths":                {400, replace("Content-Length", "Content-Length: 3\r\nContent-Length")},
		"length and transfer coding": {400, replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length")},
		"length with a plus sign":    {400, replace("Content-Length: ", "Content-Length: +")},
		"no length":                  {400, replace("Content-Length", "X-Length")},
		"no host":                    {400, replace("Host", "X-Host")},
		"bare line feed":             {400, replace("\r\n", "\n")},
		"folded line":                {400, replace("webhook-id: m", "webhook-id: m\r\n x")},
		"space before colon":         {400, replace("Host:", "Host :")},
		"old version":                {400, replace("HTTP/1.1", "HTTP/1.0")},
		"other path":                 {404, replace("/hooks", "/hook")},
		"other method":               {405, replace("POST", "PUT")},
		"HTTP body too large":        {413, replace("Content-Length: ", "Content-Length: 99")},
		"head too large":             {431, replace("Host: ", "Host: "+strings.Repeat("x", maxHeadBytes))},
		"too many header fields":     {431, replace("Host: ", strings.Repeat("A: b\r\n", maxHeaderFields)+"Host: ")},
		"order, no ledger":           {503, signedDelivery(activeSecret, "m", noon, requestPayload("repair-order", "x", noon))},
	} {
		t.Run(name, func(t *testing.T) {
			requests := &fakeRouter{}
			receiver, _ := newTestReceiver(t, requests, "")
			transport := deliver(receiver, test.request)
			if got := statuses(t, transport); !slices.Equal(got, []int{test.status}) || len(requests.requests) > 0 {
				t.Errorf("statuses %v, want one %d; %d requests, want 0", got, test.status, len(requests.requests))
			}
		})
	}
}

// An order that is older than the ledger's retention must be refused, because the ledger may have forgotten that it
// ran.
func TestOrderOlderThanTheRetentionIsRefused(t *testing.T) {
	requests := &fakeRouter{}
	receiver, _ := newTestReceiver(t, requests, filepath.Join(t.TempDir(), "ledger"))
	defer closeReceiver(t, receiver)
	payload := requestPayload("repair-order", "x", noon.Add(-72*time.Hour))
	transport := deliver(receiver, signedDelivery(activeSecret, "old", noon, payload))
	if got := statuses(t, transport); !slices.Equal(got, []int{http.StatusBadRequest}) || len(requests.requests) > 0 {
		t.Errorf("statuses %v, want one 400; %d requests, want 0", got, len(requests.requests))
	}
}

// Guards against a second run of an order after a crash: an order that was in flight may have run, so its redelivery is
// answered with 502 and is not submitted to the router.
//
// The webhook-id may be any bytes. One that is not UTF-8 was written to the ledger in another form, so that its redelivery
// ran the order a second time.
func TestOrderInFlightAtACrashIsNotRunAgain(t *testing.T) {
	for _, id := range []string{"m", "order-S\xf8borg-18", "\xff", "\ufffd"} {
		t.Run(strconv.Quote(id), func(t *testing.T) { testOrderInFlightAtACrash(t, id) })
	}
}

func testOrderInFlightAtACrash(t *testing.T, id string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ledger")
	request := orderDelivery(id)

	t.Run("before the crash", func(t *testing.T) {
		requests := &fakeRouter{}
		receiver, loopCalls := newTestReceiver(t, requests, path)
		defer closeReceiver(t, receiver)
		transport := deliver(receiver, request)
		(<-loopCalls)() // handleRecorded: the entry is on the disk, and the order is submitted to the router
		if got := statuses(t, transport); len(requests.requests) != 1 || len(got) > 0 {
			t.Errorf("%d requests, want 1; statuses %v, want none", len(requests.requests), got)
		}
	})
	t.Run("after the crash", func(t *testing.T) {
		requests := &fakeRouter{}
		receiver, _ := newTestReceiver(t, requests, path)
		defer closeReceiver(t, receiver)
		transport := deliver(receiver, request)
		if got := statuses(t, transport); len(requests.requests) != 0 || !slices.Equal(got, []int{http.StatusBadGateway}) {
			t.Errorf("%d requests, want 0; statuses %v, want one 502", len(requests.requests), got)
		}
	})
}

// Guards against a second run when a redelivery arrives while the order is being recorded or run. The redelivery must
// wait for the outcome of the first delivery, even if the client of the first delivery has disconnected.
func TestRedeliveryWaitsForThePendingRequest(t *testing.T) {
	requests := &fakeRouter{}
	receiver, loopCalls := newTestReceiver(t, requests, filepath.Join(t.TempDir(), "ledger"))
	defer closeReceiver(t, receiver)
	request := orderDelivery("m")

	firstTransport := &testsupport.Transport{}
	first := receiver.newConnection(firstTransport, netip.AddrPort{})
	first.OnData(request)
	whileRecorded := deliver(receiver, request)
	(<-loopCalls)()
	whileRunning := deliver(receiver, request)
	first.OnClose(nil)
	if len(requests.requests) != 1 || requests.requests[0].ClientReference != "m" {
		t.Fatalf("the router received %+v, want only the request of m", requests.requests)
	}
	requests.requests[0].Responder.Respond(router.Response{Status: router.Served, Body: []byte("done")})

	for name, test := range map[string]struct {
		transport *testsupport.Transport
		want      []int
	}{
		"first, disconnected": {firstTransport, nil},
		"while recorded":      {whileRecorded, []int{http.StatusOK}},
		"while running":       {whileRunning, []int{http.StatusOK}},
	} {
		if got := statuses(t, test.transport); !slices.Equal(got, test.want) {
			t.Errorf("%s: statuses %v, want %v", name, got, test.want)
		}
	}
}

// Sweep must keep an outcome until dedupe_for has passed, and a pending delivery until it completes.
func TestSweepForgetsOnlyExpiredOutcomes(t *testing.T) {
	requests := &fakeRouter{}
	receiver, _ := newTestReceiver(t, requests, "")
	for _, id := range []string{"completed", "pending"} {
		deliver(receiver, signedDelivery(activeSecret, id, noon, requestPayload("dim-level", id, noon)))
	}
	requests.requests[0].Responder.Respond(router.Response{Status: router.Served, Body: []byte("done")})
	expiry := receiver.now() + receiver.settings.DedupeFor

	receiver.Sweep(expiry)
	if receiver.deliveries.find("completed") == nil || receiver.deliveries.bodyBytes != len("done") {
		t.Errorf("at the expiry: outcome remembered %v, want true; %d bytes of bodies, want %d",
			receiver.deliveries.find("completed") != nil, receiver.deliveries.bodyBytes, len("done"))
	}
	receiver.Sweep(expiry + 1)
	if receiver.deliveries.find("completed") != nil || receiver.deliveries.bodyBytes != 0 {
		t.Errorf("after the expiry: outcome remembered %v, want false; %d bytes of bodies, want 0",
			receiver.deliveries.find("completed") != nil, receiver.deliveries.bodyBytes)
	}
	if receiver.deliveries.find("pending") == nil {
		t.Error("a pending delivery was forgotten, want it kept until it completes")
	}
}

// Guards against attempts that begin after the client has closed its connection, as it does when it gives up. A delivery
// of which no attempt has begun must be forgotten, so that its redelivery runs; one that may have run must be kept.
func TestRequestOfAClientThatHasGoneIsAbandoned(t *testing.T) {
	for _, test := range []struct {
		name          string
		request       []byte
		whileRecorded bool // the client goes while the ledger records the order
		begun         bool
		wantRequests  int // including that of the redelivery
	}{
		{"request", signedDelivery(activeSecret, "m", noon, requestPayload("dim-level", "x", noon)), false, false, 2},
		{"request that may have run", signedDelivery(activeSecret, "m", noon, requestPayload("dim-level", "x", noon)), false, true, 1},
		{"order", orderDelivery("m"), false, false, 2},
		{"order that may have run", orderDelivery("m"), false, true, 1},
		{"order that is being recorded", orderDelivery("m"), true, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests := &fakeRouter{begun: test.begun}
			receiver, loopCalls := newTestReceiver(t, requests, filepath.Join(t.TempDir(), "ledger"))
			defer closeReceiver(t, receiver)
			recorded := func() {
				if bytes.Equal(test.request, orderDelivery("m")) && receiver.deliveries.find("m").requestID == 0 {
					(<-loopCalls)()
				}
			}
			first := receiver.newConnection(&testsupport.Transport{}, netip.AddrPort{})
			first.OnData(test.request)
			if !test.whileRecorded {
				recorded()
			}
			first.OnClose(nil)
			if test.whileRecorded {
				recorded()
			}
			if known := receiver.deliveries.find("m") != nil; known != test.begun {
				t.Errorf("the delivery is remembered: %v, want %v", known, test.begun)
			}
			redelivery := deliver(receiver, test.request)
			recorded()
			if len(requests.requests) != test.wantRequests || len(requests.abandoned) > 0 && test.begun {
				t.Fatalf("%d requests submitted, want %d; abandoned %v, want none with a redelivery that waits",
					len(requests.requests), test.wantRequests, requests.abandoned)
			}
			requests.requests[test.wantRequests-1].Responder.Respond(router.Response{Status: router.Served})
			if got := statuses(t, redelivery); !slices.Equal(got, []int{http.StatusOK}) {
				t.Errorf("statuses of the redelivery %v, want one 200", got)
			}
		})
	}
}

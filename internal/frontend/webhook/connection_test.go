package webhook

import (
	"bytes"
	"net/http"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
)

// expectedStatus returns the status of the response to a first delivery, and whether the outcome is kept for
// redeliveries.
func expectedStatus(answer router.Response) (status int, kept bool) {
	kept = answer.Status != router.Refused || answer.MayHaveRun
	switch {
	case answer.Status == router.Served:
		status = http.StatusOK
	case answer.DeadlineExceeded:
		status = http.StatusGatewayTimeout
	case !kept:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	return status, kept
}

// Checks a connection against a model. Each request reaches the router regardless of how the bytes of its delivery are
// split. Each delivery is answered once and in sequence, with the status that its outcome maps to. The request of a
// webhook-id is submitted once; after a refusal of a request that never ran, the next delivery submits it again.
func TestConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := &fakeRouter{}
		transport := &testsupport.Transport{}
		receiver, _ := newTestReceiver(t, requests, "")
		c := receiver.newConnection(transport, netip.AddrPort{})
		var want []int
		keptStatuses := map[string]int{} // status of the kept outcome, by webhook-id
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
				for b := signedDelivery(activeSecret, id, noon, requestPayload("dim-level", id, noon)); len(b) > 0; {
					n := rapid.IntRange(1, len(b)).Draw(t, "n")
					c.OnData(bytes.Clone(b[:n]))
					b = b[n:]
				}
				if status, ok := keptStatuses[id]; ok {
					want = append(want, status)
					if c.HasOpenRequests() {
						t.Fatal("the redelivery has no response yet, want the kept outcome")
					}
					return
				}
				if !c.HasOpenRequests() || string(requests.requests[len(requests.requests)-1].Body) != id {
					t.Fatalf("open requests %v, want true; %d requests submitted, want the last one with the body %q",
						c.HasOpenRequests(), len(requests.requests), id)
				}
				answer := router.Response{
					Status:           router.Status(rapid.IntRange(0, 2).Draw(t, "status")),
					MayHaveRun:       rapid.Bool().Draw(t, "may have run"),
					DeadlineExceeded: rapid.Bool().Draw(t, "deadline exceeded"),
				}
				status, kept := expectedStatus(answer)
				if kept {
					keptStatuses[id] = status
				}
				want = append(want, status)
				requests.requests[len(requests.requests)-1].Responder.Respond(answer)
			},
			"": func(t *rapid.T) {
				if got := statuses(t, transport); !slices.Equal(got, want) || c.HasOpenRequests() || transport.Closed {
					t.Fatalf("statuses %v, want %v; open requests %v and closed %v, want false for both",
						got, want, c.HasOpenRequests(), transport.Closed)
				}
			},
		})
	})
}

// Guards against unbounded input: the connection is closed if the client keeps sending after an HTTP request that can't
// be parsed, or keeps sending without waiting for a response.
func TestConnectionClosesAfterTooMuchInput(t *testing.T) {
	t.Run("after a malformed request", func(t *testing.T) {
		receiver, _ := newTestReceiver(t, &fakeRouter{}, "")
		transport := &testsupport.Transport{}
		c := receiver.newConnection(transport, netip.AddrPort{})
		c.OnData([]byte("\n"))
		c.OnData(make([]byte, maxDiscardedBytes))
		if transport.Closed {
			t.Error("connection closed at the limit, want it open until the limit is exceeded")
		}
		c.OnData([]byte("x"))
		if got := statuses(t, transport); !transport.Closed || !slices.Equal(got, []int{http.StatusBadRequest}) {
			t.Errorf("closed %v, want true; statuses %v, want one 400", transport.Closed, got)
		}
	})
	t.Run("while a response is pending", func(t *testing.T) {
		receiver, _ := newTestReceiver(t, &fakeRouter{}, "")
		transport := &testsupport.Transport{}
		c := receiver.newConnection(transport, netip.AddrPort{})
		c.OnData(signedDelivery(activeSecret, "m", noon, requestPayload("dim-level", "x", noon)))
		c.OnData(make([]byte, maxHeadBytes+maxHTTPBodyBytes))
		if transport.Closed {
			t.Error("connection closed at the limit, want it open until the limit is exceeded")
		}
		c.OnData([]byte("x"))
		if got := statuses(t, transport); !transport.Closed || len(got) > 0 {
			t.Errorf("closed %v, want true; statuses %v, want none", transport.Closed, got)
		}
	})
}

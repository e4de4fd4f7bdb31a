package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// sentDelivery is a delivery and the status that the response to it must have.
type sentDelivery struct {
	request     []byte
	requestBody string // body of the request in its payload
	wantStatus  int
}

// drawDeliveries returns deliveries of a number of orders. Each order has a delivery that is signed at noon, one to
// three redeliveries that are signed up to 99 seconds later, a delivery whose webhook-id was tampered with, and a
// delivery that is signed with a retired key.
func drawDeliveries(rng *rand.Rand, orders int) (all []sentDelivery) {
	for i := range orders {
		order := fmt.Sprintf("order-%d", i)
		id := fmt.Sprintf("msg_%d", i)
		body := requestPayload("repair-order", order, noon)
		first := signedDelivery(activeSecret, id, noon, body)
		want := http.StatusOK
		if losesConnection(order) {
			want = http.StatusBadGateway
		}
		all = append(all, sentDelivery{first, order, want})
		for range 1 + rng.IntN(3) {
			signedAt := noon.Add(time.Duration(rng.IntN(100)) * time.Second)
			all = append(all, sentDelivery{signedDelivery(activeSecret, id, signedAt, body), order, want})
		}
		tampered := bytes.Replace(first, []byte("webhook-id: msg_"), []byte("webhook-id: msg_x"), 1)
		all = append(all,
			sentDelivery{tampered, order, http.StatusUnauthorized},
			sentDelivery{signedDelivery(retiredSecret, id+"r", noon, body), order, http.StatusUnauthorized})
	}
	return all
}

// deliverAll sends the deliveries, up to four of them concurrently, and checks the responses.
func (s *testServer) deliverAll(t *testing.T, all []sentDelivery) {
	t.Helper()
	const concurrency = 4
	var group sync.WaitGroup
	for first := range concurrency {
		group.Go(func() {
			for i := first; i < len(all); i += concurrency {
				sent := all[i]
				status, body, err := s.deliver(sent.request)
				if err != nil || status != sent.wantStatus || status == http.StatusOK && body != "done "+sent.requestBody {
					t.Errorf("delivery of %s: status %d, body %q, want status %d, and with 200 the body %q; error %v",
						sent.requestBody, status, body, sent.wantStatus, "done "+sent.requestBody, err)
				}
			}
		})
	}
	group.Wait()
}

// Guards against an order that runs twice: a server at hooks.example.org replays, reorders and tampers with signed
// orders, before and after a restart of the program. It also sends the notices that it receives back as deliveries.
// Each order must run once and must have one notice.
func TestOrderRunsOnceDespiteReplaysAndRestart(t *testing.T) {
	const orders = 30
	ledgerPath := filepath.Join(t.TempDir(), "ledger")
	runs := map[string]int{}
	rng := rand.New(rand.NewPCG(1, 2))
	all := drawDeliveries(rng, orders)
	notices := startNoticeReceiver(t)

	runServer := func(t *testing.T, whileRunning func()) {
		t.Helper()
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		server := startServer(t, ledgerPath, notices.address, runs)
		server.deliverAll(t, all)
		whileRunning()
		server.stop(t)
		for i := range orders {
			if n := runs[fmt.Sprintf("order-%d", i)]; n != 1 {
				t.Errorf("order %d ran %d times, want once", i, n)
			}
		}
	}
	t.Run("first start", func(t *testing.T) {
		runServer(t, func() {
			for range orders {
				<-notices.accepted
			}
			notices.mu.Lock()
			defer notices.mu.Unlock()
			for _, notice := range notices.deliveries { // the signature is valid, but the type is not payloadType
				all = append(all, sentDelivery{notice, "notice", http.StatusBadRequest})
			}
		})
	})
	t.Run("restart", func(t *testing.T) { runServer(t, func() {}) })
	notices.checkNotices(t, orders)
}

// A delivery that is signed with a retired key is answered with one refusal and with nothing after it.
func TestRetiredKeyGetsOneFinalAnswer(t *testing.T) {
	runs := map[string]int{}
	server := startServer(t, filepath.Join(t.TempDir(), "ledger"), "", runs)
	c, err := server.dialServer()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // an error has no effect: the connection is not used afterwards
	request := signedDelivery(retiredSecret, "m", noon, requestPayload("repair-order", "x", noon))
	if _, err := c.Write(bytes.Replace(request, []byte("Host:"), []byte("Connection: close\r\nHost:"), 1)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	server.stop(t)
	if n := strings.Count(string(text), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(text), "HTTP/1.1 401 ") || runs["x"] != 0 {
		t.Errorf("%d responses, want one 401; %d runs, want 0; received %q", n, runs["x"], text)
	}
}

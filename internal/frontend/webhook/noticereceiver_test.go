package webhook

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// noticeReceiver is the server at hooks.example.org. It rejects the first attempt of each notice and accepts the second
// one, and it keeps the notices.
type noticeReceiver struct {
	address  string
	accepted chan struct{} // receives one value for each notice that was accepted

	mu                 sync.Mutex
	attemptsByNoticeID map[string]int    // number of attempts by the notice's webhook-id
	orderIDByNoticeID  map[string]string // the order's webhook-id by the notice's webhook-id
	deliveries         [][]byte          // the accepted notices, as deliveries to the receiver under test
}

func startNoticeReceiver(t *testing.T) *noticeReceiver {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &noticeReceiver{
		address:            listener.Addr().String(),
		accepted:           make(chan struct{}, 1000),
		attemptsByNoticeID: map[string]int{},
		orderIDByNoticeID:  map[string]string{},
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.serve(t, w, r) })}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Errorf("error of Close is %v, want none", err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("error of Serve is %v, want %v", err, http.ErrServerClosed)
		}
	})
	return n
}

func (n *noticeReceiver) serve(t *testing.T, w http.ResponseWriter, r *http.Request) {
	t.Helper()
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get(idField)
	var p noticePayload
	if err != nil || json.Unmarshal(body, &p) != nil || r.Host != "hooks.example.org" ||
		r.Header.Get(signatureField) != sign(activeSecret, id, r.Header.Get(timestampField), body) {
		t.Errorf("notice for host %q with header %v, body %s, error %v; want host hooks.example.org, a JSON body and its signature",
			r.Host, r.Header, body, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attemptsByNoticeID[id]++
	if n.attemptsByNoticeID[id] == 1 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	n.orderIDByNoticeID[id] = p.Data.WebhookID
	n.deliveries = append(n.deliveries, signedDelivery(activeSecret, id, noon, body))
	n.accepted <- struct{}{}
}

// checkNotices checks that notices of this number of orders arrived: one per order, accepted at its second attempt.
func (n *noticeReceiver) checkNotices(t *testing.T, orders int) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	notices := map[string]int{} // by the order's webhook-id
	for id, order := range n.orderIDByNoticeID {
		notices[order]++
		if n.attemptsByNoticeID[id] != 2 || notices[order] != 1 {
			t.Errorf("notice %s of %s: %d attempts, want 2; %d notices of the order, want 1", id, order, n.attemptsByNoticeID[id], notices[order])
		}
	}
	if len(notices) != orders {
		t.Errorf("notices of %d orders, want %d", len(notices), orders)
	}
}

package webhook

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// testServer is a complete program except for the workers: sockets, receiver, sender, router and policy.
type testServer struct {
	*fakeWorkers
	loop     *eventloop.Loop
	receiver *Receiver
	sender   *Sender
	address  string
	loopDone chan struct{}
	stopOnce sync.Once
}

// fakeWorkers is a worker pool that ends each attempt immediately and counts the attempts by request body. The event
// loop's goroutine calls its methods.
type fakeWorkers struct {
	router *router.Router
	mu     sync.Mutex
	runs   map[string]int
}

func (w *fakeWorkers) StartAttempt(_ policy.WorkerID, a router.AttemptID, r *router.Request, _ time.Duration) {
	body := string(r.Body)
	w.mu.Lock()
	w.runs[body]++
	w.mu.Unlock()
	outcome := policy.Served
	if losesConnection(body) {
		outcome = policy.ConnectionReset // the order may have run
	}
	w.router.AttemptEnded(a, router.AttemptResult{Outcome: outcome, InstanceStatus: policy.InstanceWarm, Body: []byte("done " + body)})
}

func (w *fakeWorkers) SendableAttempts(ids []router.AttemptID) []router.AttemptID { return ids }

func (w *fakeWorkers) SendAttempt(router.AttemptID) {}

func (w *fakeWorkers) CancelUnsent(router.AttemptID) bool { return false }

func (w *fakeWorkers) CancelAttempt(policy.WorkerID, router.AttemptID) {}

func (w *fakeWorkers) LoadInstance(_ policy.WorkerID, _ policy.FunctionID, _ int, control router.ControlID) {
	w.router.LoadCommandEnded(control, policy.Served, 1)
}

func (w *fakeWorkers) CheckHealth(_ policy.WorkerID, control router.ControlID) {
	w.router.HealthCheckEnded(control, policy.Served, nil)
}

func (w *fakeWorkers) CancelControl(policy.WorkerID, router.ControlID) {}

func (w *fakeWorkers) UnloadInstance(policy.WorkerID, policy.FunctionID) {}

func (w *fakeWorkers) CloseIdleConnections(policy.WorkerID) {}

// losesConnection reports whether the fake workers end the attempt of the order with this body with a connection reset.
func losesConnection(body string) bool { return strings.HasSuffix(body, "7") }

// requestEndHandler is the type of router.Config.OnRequestEnd.
type requestEndHandler = func(now time.Duration, req *router.Request, outcome router.RequestOutcome)

// newTestRouter returns a fake worker pool and its router, which has two workers.
func newTestRouter(t *testing.T, runs map[string]int, onRequestEnd requestEndHandler) *fakeWorkers {
	t.Helper()
	decisions, err := policy.New(policy.Config{
		RouterCount:       1,
		Tick:              4 * time.Millisecond,
		MaxAttempts:       3,
		AllowCancel:       true,
		AllowHealthChecks: true,
		OverQuotaWeight:   1,
		InstanceKeepAlive: 10 * time.Second,
		AllowRetryAfter:   true,
		MaxRetryAfter:     time.Second,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3},
			{LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, PriorityWeight: 5},
		},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	limits := router.Limits{MaxOpenRequests: 100, MaxBodyBytes: 1 << 20, MaxAttempts: 3, HealthCheckTimeout: time.Second}
	workers := &fakeWorkers{runs: runs}
	workers.router = router.New(router.Config{
		Policy:        decisions,
		Limits:        limits,
		NewWorkerPool: func(*router.Router) router.WorkerPool { return workers },
		OnRequestEnd:  onRequestEnd,
	})
	workers.router.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{
		{Worker: 1, State: policy.Ready}, {Worker: 2, State: policy.Ready},
	}})
	return workers
}

// startServer starts a server that sends notices to noticeAddress, or no notices if noticeAddress is empty. The workers
// count the runs of each request body in runs, which may be read after the server has stopped.
func startServer(t *testing.T, ledgerPath, noticeAddress string, runs map[string]int) *testServer {
	t.Helper()
	s := &testServer{
		loop:     eventloop.New(eventloop.Config{MaxAcceptedConnections: 50}),
		loopDone: make(chan struct{}),
	}
	s.fakeWorkers = newTestRouter(t, runs, func(now time.Duration, req *router.Request, outcome router.RequestOutcome) {
		if noticeAddress != "" {
			s.sender.Notify(now, req, outcome)
		}
	})
	var err error
	s.receiver, err = NewReceiver(ReceiverOptions{
		File:           testConfig(t, ledgerPath),
		Router:         s.router,
		Classes:        testClasses,
		MaxReplayBytes: testMaxReplayBytes,
		Now:            s.loop.Now,
		WallClock:      noonClock,
		RunOnLoop:      s.loop.Post,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.receiver.keys = testKeys
	cfg := testConfig(t, "")
	cfg.Sender.URL = "http://hooks.example.org/notices"
	cfg.Sender.Connect = noticeAddress
	cfg.Sender.Backoff = time.Millisecond
	cfg.Sender.Key = writeKeyFile(t, activeSecret)
	s.sender, err = NewSender(cfg, noonClock, func(address string, timeout time.Duration, h eventloop.DialHandler) Transport {
		return s.loop.Dial(address, timeout, h)
	})
	if err != nil {
		t.Fatal(err)
	}
	s.loop.Listen("127.0.0.1:0", s.receiver.Accept)
	if err := s.loop.Start(); err != nil {
		t.Fatal(err)
	}
	s.address = s.loop.Addrs()[0]
	go s.run()
	t.Cleanup(func() { s.stop(t) })
	return s
}

// run runs the event loop until stop ends it.
func (s *testServer) run() {
	defer close(s.loopDone)
	s.loop.Run(s.router.SetNow, func(now time.Duration) time.Duration { return min(s.router.Process(now), s.sender.Process(now)) })
}

// stop ends the goroutines of the event loop and of the ledger. Only the first call has an effect. startServer
// registers it as a cleanup.
func (s *testServer) stop(t *testing.T) {
	t.Helper()
	s.stopOnce.Do(func() {
		s.loop.Post(s.loop.Stop)
		<-s.loopDone
		closeReceiver(t, s.receiver)
	})
}

// dialServer opens a connection to the receiver.
func (s *testServer) dialServer() (net.Conn, error) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	return c, c.SetDeadline(time.Now().Add(testSocketTimeout))
}

// deliver sends one delivery on a new connection and returns the response.
func (s *testServer) deliver(b []byte) (status int, body string, err error) {
	c, err := s.dialServer()
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }() // an error has no effect: the connection is not used afterwards
	if _, err := c.Write(b); err != nil {
		return 0, "", err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

package backend

import (
	"fmt"
	"strings"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
	"functionrouter/policy"
)

const (
	workerID      = policy.WorkerID(1) // the worker of a testPool
	workerAddress = "127.0.0.1:1"
)

// fakeTransport records what the pool writes to a worker. The test calls the handler's methods in place of the worker.
type fakeTransport struct {
	testsupport.Transport
	handler     eventloop.DialHandler
	unsent      int
	undelivered int
}

func (f *fakeTransport) Unsent() int      { return f.unsent }
func (f *fakeTransport) Undelivered() int { return f.undelivered }

// wrote reports whether text was written.
func (f *fakeTransport) wrote(text string) bool { return strings.Contains(f.Written.String(), text) }

// attemptsWritten returns the number of attempts with this wire ID that were written.
func (f *fakeTransport) attemptsWritten(id string) int {
	return strings.Count(f.Written.String(), "RUN\r\n$16\r\n"+id)
}

// resultRecorder is a ResultHandler that records the outcomes of attempts, load commands and health checks.
type resultRecorder struct {
	attempts map[router.AttemptID][]policy.Outcome
	bodies   map[router.AttemptID]string
	// corrupted holds the attempts whose results say that an answer was corrupted.
	corrupted map[router.AttemptID]bool
	controls  map[router.ControlID][]policy.Outcome // outcomes of load commands and health checks
}

func (r *resultRecorder) AttemptEnded(a router.AttemptID, result router.AttemptResult) {
	r.attempts[a] = append(r.attempts[a], result.Outcome)
	r.bodies[a] = string(result.Body)
	r.corrupted[a] = result.AnswerCorrupted
}

func (r *resultRecorder) LoadCommandEnded(control router.ControlID, o policy.Outcome, _ int) {
	r.controls[control] = append(r.controls[control], o)
}

func (r *resultRecorder) HealthCheckEnded(control router.ControlID, o policy.Outcome, _ []float64) {
	r.controls[control] = append(r.controls[control], o)
}

// sendingHandler sends the attempts that waited for a dial when the dial ends, as the router does at the end of the turn.
type sendingHandler struct {
	eventloop.DialHandler
	pool *testPool
}

func (h *sendingHandler) OnOpen(err error) {
	h.DialHandler.OnOpen(err)
	h.pool.sendAttempts()
}

func (h *sendingHandler) OnClose(err error) {
	h.DialHandler.OnClose(err)
	h.pool.sendAttempts()
}

// testPool is a Pool with one ready worker and fake transports, which are stored in the order of their dials. It sends
// attempts as soon as they can be sent, unless holdAttempts is set.
type testPool struct {
	*Pool
	recorder     *resultRecorder
	transports   []*fakeTransport
	holdAttempts bool
	turnAge      time.Duration // how long the present turn has lasted
}

func newTestPool() *testPool {
	p := &testPool{recorder: &resultRecorder{
		attempts: map[router.AttemptID][]policy.Outcome{},
		bodies:   map[router.AttemptID]string{},

		corrupted: map[router.AttemptID]bool{},
		controls:  map[router.ControlID][]policy.Outcome{},
	}}
	p.Pool = New(Config{
		Classes:                 []string{"dim-level"},
		LoadReportFields:        []string{"inflight"},
		DialTimeout:             time.Second,
		IdleTimeout:             30 * time.Second,
		RecentIDLifetime:        8 * time.Second,
		MaxStreamsPerConnection: 2,
		MaxConnections:          100,
		AllowCancel:             true,
		ReadClock:               func() time.Duration { return p.now + p.turnAge },
		Dial: func(_ string, _ time.Duration, h eventloop.DialHandler) Transport {
			p.transports = append(p.transports, &fakeTransport{handler: &sendingHandler{DialHandler: h, pool: p}})
			return p.lastTransport()
		},
	}, p.recorder)
	p.UpdateEndpoint(workerID, workerAddress, policy.Ready, 0)
	return p
}

// lastTransport returns the most recently dialed transport.
func (p *testPool) lastTransport() *fakeTransport { return p.transports[len(p.transports)-1] }

// start sends attempt a with this wire ID to the worker, with a budget of one second.
func (p *testPool) start(a router.AttemptID, id string) {
	p.StartAttempt(workerID, a, testRequest(id), time.Second)
	p.sendAttempts()
}

// sendAttempts sends the attempts that can be sent now.
func (p *testPool) sendAttempts() {
	if p.holdAttempts {
		return
	}
	for _, id := range p.SendableAttempts(nil) {
		p.SendAttempt(id)
	}
}

// startOnOpenConnection calls start, lets the first dial succeed and returns its transport.
func (p *testPool) startOnOpenConnection(a router.AttemptID, id string) *fakeTransport {
	p.start(a, id)
	p.transports[0].handler.OnOpen(nil)
	return p.transports[0]
}

// transportsWithAttempt returns the indices of the transports to which an attempt with this wire ID was written.
func (p *testPool) transportsWithAttempt(id string) (indices []int) {
	for i, transport := range p.transports {
		if transport.attemptsWritten(id) > 0 {
			indices = append(indices, i)
		}
	}
	return indices
}

func testRequest(id string) *router.Request {
	return &router.Request{ID: id, FunctionKey: "00000000000000aa", Body: []byte("hello")}
}

// firstAttempt returns the ID of the first attempt of the request with this number.
func firstAttempt(request int) router.AttemptID {
	return router.AttemptID{Request: policy.RequestID(request)}
}

// hexID returns n in the format of a request ID.
func hexID(n int) string { return fmt.Sprintf("%016x", n) }

// encodeAnswer returns an answer without fields.
func encodeAnswer(id, status, body string) []byte {
	return fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n",
		len(id), id, len(status), status, len(body), body)
}

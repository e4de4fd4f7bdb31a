package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/policy"
)

// TestEachRequestGetsOneCorrectAnswer plays random events against a model of what a request is owed: one final answer, in
// time, true to what may have run, and no further attempt of a request that must not run twice and may have run.
func TestEachRequestGetsOneCorrectAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRouterModel(t)
		m.updateEndpoints(t)
		t.Repeat(map[string]func(*rapid.T){
			"attempt ends":      m.endAttempt,
			"cancel":            m.cancel,
			"endpoint update":   m.updateEndpoints,
			"load command ends": m.endLoadCommand,
			"health check ends": m.endHealthCheck,
			"submit":            m.submit,
			"time passes":       m.advanceClock,
			"":                  m.processAndCheck,
		})
	})
}

// routerModel is a router together with what its clients and workers have seen.
type routerModel struct {
	router       *Router
	workers      *fakeWorkerPool
	now          time.Duration
	submitted    int
	requests     map[policy.RequestID]*requestModel
	reportedEnds map[string]int // calls of Config.OnRequestEnd, by Request.ID
}

// requestModel is what is known of a request that the router accepted.
type requestModel struct {
	clientID               string
	responder              *recordingResponder
	class                  int
	deadline               time.Duration
	cancelled              bool
	mayHaveRun             bool // an attempt ended without proof that it never ran
	attemptsWhenMayHaveRun int  // attempts sent when the last such attempt ended
}

func newRouterModel(t *rapid.T) *routerModel {
	m := &routerModel{now: testStart, requests: map[policy.RequestID]*requestModel{}, reportedEnds: map[string]int{}}
	m.router, m.workers = newTestRouter(t, rapid.Uint64().Draw(t, "seed"))
	m.router.onRequestEnd = func(_ time.Duration, req *Request, _ RequestOutcome) { m.reportedEnds[req.ID]++ }
	return m
}

func (m *routerModel) updateEndpoints(t *rapid.T) {
	states := []policy.WorkerState{policy.Ready, policy.Ready, policy.Draining, policy.Gone}
	update := policy.EndpointUpdate{Kind: policy.FullUpdate}
	for id := policy.WorkerID(1); id <= 4; id++ {
		update.Endpoints = append(update.Endpoints, policy.Endpoint{
			Worker: id, State: rapid.SampledFrom(states).Draw(t, "state"),
			Weight: 1,
		})
	}
	m.router.UpdateEndpoints(update)
}

func (m *routerModel) submit(t *rapid.T) {
	req := &requestModel{class: rapid.IntRange(0, 1).Draw(t, "class"), responder: &recordingResponder{}}
	req.deadline = m.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*ms
	m.submitted++
	req.clientID = fmt.Sprintf("%016x", m.submitted)
	id := m.router.Submit(m.now, Request{
		Responder: req.responder, ID: req.clientID, Class: req.class,
		FunctionKey: "00000000000000aa", Function: policy.FunctionID(rapid.IntRange(1, 3).Draw(t, "function")),
		Concurrency: 1, LoadTime: 500 * ms, Body: make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")),
		Deadline: req.deadline,
	})
	if id != 0 {
		m.requests[id] = req
		return
	}
	// The limits had no room for it.
	if len(req.responder.responses) != 1 || req.responder.responses[0].Status != Refused {
		t.Fatal("a request did not enter the table and was not refused")
	}
	if m.reportedEnds[req.clientID] != 1 {
		t.Fatalf("the end of a request that was refused at once was reported %d times", m.reportedEnds[req.clientID])
	}
}

func (m *routerModel) endAttempt(t *rapid.T) {
	id, ok := drawKey(t, m.workers.openAttempts)
	if !ok {
		return
	}
	outcome := rapid.SampledFrom([]policy.Outcome{
		policy.Served, policy.Errored, policy.WorkerOverloaded, policy.Unreachable,
		policy.ConnectionReset, policy.NotSent, policy.FunctionNotLoaded,
	}).Draw(t, "outcome")
	delete(m.workers.openAttempts, id)
	if req := m.requests[id.Request]; req != nil && !outcome.NeverRan() {
		req.mayHaveRun = true
		req.attemptsWhenMayHaveRun = len(m.workers.sent[id.Request])
	}
	m.router.AttemptEnded(id, AttemptResult{Outcome: outcome, Body: []byte("done")})
	// A second report must change nothing.
	m.router.AttemptEnded(id, AttemptResult{Outcome: policy.Served, Body: []byte("again")})
}

func (m *routerModel) endLoadCommand(t *rapid.T) {
	control, ok := drawKey(t, m.workers.loadCommands)
	if !ok {
		return
	}
	delete(m.workers.loadCommands, control)
	outcomes := []policy.Outcome{policy.Served, policy.WorkerOverloaded, policy.Errored}
	m.router.LoadCommandEnded(control, rapid.SampledFrom(outcomes).Draw(t, "outcome"), 1)
}

func (m *routerModel) endHealthCheck(t *rapid.T) {
	if control, ok := drawKey(t, m.workers.healthChecks); ok {
		delete(m.workers.healthChecks, control)
		m.router.HealthCheckEnded(control, policy.Served, []float64{1})
	}
}

func (m *routerModel) cancel(t *rapid.T) {
	if id, ok := drawKey(t, m.requests); ok && len(m.requests[id].responder.responses) == 0 {
		m.requests[id].cancelled = true
		m.router.Cancel(m.now, id, ClientInterrupted)
	}
}

func (m *routerModel) advanceClock(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
}

// processAndCheck lets the router act, and holds it to the model.
func (m *routerModel) processAndCheck(t *rapid.T) {
	if next := m.router.Process(m.now); next <= m.now {
		t.Fatalf("Process at %v wants another call at %v", m.now, next)
	}
	open := 0
	for id, req := range m.requests {
		m.checkOneAnswerInTime(t, id, req)
		m.checkNoFurtherAttempt(t, id, req)
		m.checkAnswerIsCorrect(t, id, req)
		m.checkEndReported(t, id, req)
		if req.isOpen() {
			open++
		}
	}
	if got := m.router.OpenRequests(); got != open {
		t.Fatalf("%d requests are open, the model has %d", got, open)
	}
}

func (req *requestModel) isOpen() bool { return len(req.responder.responses) == 0 && !req.cancelled }

func (m *routerModel) checkOneAnswerInTime(t *rapid.T, id policy.RequestID, req *requestModel) {
	answers := len(req.responder.responses)
	if answers > 1 || req.cancelled && answers > 0 {
		t.Fatalf("request %d has %d answers, cancelled: %v", id, answers, req.cancelled)
	}
	if req.isOpen() && m.now >= req.deadline {
		t.Fatalf("request %d has no answer at its deadline", id)
	}
}

func (m *routerModel) checkNoFurtherAttempt(t *rapid.T, id policy.RequestID, req *requestModel) {
	if req.class == notIdempotentClass && req.mayHaveRun && len(m.workers.sent[id]) > req.attemptsWhenMayHaveRun {
		t.Fatalf("request %d must not run twice and was sent again though it may have run", id)
	}
}

func (m *routerModel) checkAnswerIsCorrect(t *rapid.T, id policy.RequestID, req *requestModel) {
	if len(req.responder.responses) == 0 {
		return
	}
	resp := req.responder.responses[0]
	if resp.Status == Refused && req.class == notIdempotentClass && (req.mayHaveRun || resp.MayHaveRun) {
		t.Fatalf("request %d must not run twice and is refused though it may have run", id)
	}
	if req.mayHaveRun && !resp.MayHaveRun {
		t.Fatalf("the answer to request %d denies that it may have run", id)
	}
}

func (m *routerModel) checkEndReported(t *rapid.T, id policy.RequestID, req *requestModel) {
	want := 1
	if req.isOpen() {
		want = 0
	}
	if got := m.reportedEnds[req.clientID]; got != want {
		t.Fatalf("the end of request %d was reported %d times, want %d", id, got, want)
	}
}

// drawKey draws a key of m. The keys are put in a fixed order, so that a failing run can be repeated.
func drawKey[K comparable, V any](t *rapid.T, m map[K]V) (K, bool) {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		var zero K
		return zero, false
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(fmt.Sprintf("%20v", a), fmt.Sprintf("%20v", b)) })
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, "which")], true
}

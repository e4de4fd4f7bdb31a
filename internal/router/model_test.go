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

// TestEachRequestGetsOneCorrectAnswer applies random events to a router and checks it against a model. A request that
// its client does not cancel must get one final answer by its deadline, and MayHaveRun must be true in the answer if
// the request may have run. A cancelled request must get no answer. A request of a non-idempotent class must be neither
// refused nor sent again once it may have run. The test does not compare the bodies of the answers.
//
// After each turn, the router and its policy must hold no state for requests that have ended, whatever the order in which
// requests arrived, were withdrawn or ended within the turn.
//
// Input of clients waits unread at times, and may withdraw the request. No attempt may begin while such input has waited
// for longer than policy.MayBegin allows, whether it is the first attempt of a request, a repeat, or follows a load.
func TestEachRequestGetsOneCorrectAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRouterModel(t)
		m.updateEndpoints(t)
		t.Repeat(map[string]func(*rapid.T){
			"attempt ends":      m.endAttempt,
			"cancel":            m.cancel,
			"disconnect":        m.disconnect,
			"endpoint update":   m.updateEndpoints,
			"input arrives":     m.leaveInputUnread,
			"load command ends": m.endLoadCommand,
			"health check ends": m.endHealthCheck,
			"shutdown begins":   m.beginShutdown,
			"submit":            m.submit,
			"time passes":       m.advanceClock,
			// rapid calls the action with the empty name before the first action and after each action.
			"": m.endTurn,
		})
		m.processAndCheck(t)
		m.checkNothingIsLeft(t)
	})
}

// routerModel holds the router under test and what its clients and workers have observed.
type routerModel struct {
	router       *Router
	workers      *fakeWorkerPool
	now          time.Duration
	submitted    int // number of requests submitted
	requests     map[policy.RequestID]*requestModel
	latest       time.Duration  // deadline of all requests since the shutdown began; 0 before
	readsInput   bool           // whether CatchUp reads in this turn
	reportedEnds map[string]int // number of calls of Config.OnRequestEnd, by Request.ID
}

// requestModel is the model's state of a request that the router has accepted.
type requestModel struct {
	externalID string // Request.ID
	responder  *recordingResponder
	class      int
	deadline   time.Duration
	cancelled  bool
	input      *modelInput
	mayHaveRun bool // true if an attempt ended and its outcome does not prove that it never ran
	// attemptsAllowed is the number of attempts sent when mayHaveRun was last set to true. Once mayHaveRun is true,
	// attemptsAllowed is the maximum number of attempts if the class of the request is non-idempotent.
	attemptsAllowed int
}

// modelInput is the connection of one request.
type modelInput struct {
	model       *routerModel
	id          policy.RequestID
	unreadSince time.Duration // when unread input arrived; 0 if there is none
	withdraws   bool          // the unread input withdraws the request
}

func (i *modelInput) UnseenFor() time.Duration {
	if i.unreadSince == 0 {
		return 0
	}
	return i.model.now - i.unreadSince
}

// UnreadFor returns 0: the model's clients do not send without a pause.
func (i *modelInput) UnreadFor() time.Duration { return 0 }

func (i *modelInput) InputRate() float64 { return float64(i.id) }

func (i *modelInput) CatchUp() {
	if !i.model.readsInput {
		return
	}
	i.unreadSince = 0
	if req := i.model.requests[i.id]; i.withdraws && req.isOpen() {
		req.cancelled = true
		i.model.router.Cancel(i.model.now, i.id, ClientInterrupted)
	}
}

func newRouterModel(t *rapid.T) *routerModel {
	m := &routerModel{now: testStart, requests: map[policy.RequestID]*requestModel{}, reportedEnds: map[string]int{}}
	m.router, m.workers = newTestRouter(t, rapid.Uint64().Draw(t, "seed"))
	m.workers.deferSends = true
	m.workers.onSend = func(id AttemptID) {
		if unseen := m.requests[id.Request].input.UnseenFor(); !policy.MayBegin(unseen) {
			t.Fatalf("attempt %v begins although input of its client is unread for %v", id, unseen)
		}
	}
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
	if m.latest > 0 {
		req.deadline = min(req.deadline, m.latest)
	}
	m.submitted++
	req.externalID = fmt.Sprintf("%016x", m.submitted)
	req.input = &modelInput{model: m}
	id := m.router.Submit(m.now, Request{
		Responder: req.responder, Input: req.input, ID: req.externalID, Class: req.class,
		FunctionKey: "00000000000000aa", Function: policy.FunctionID(rapid.IntRange(1, 3).Draw(t, "function")),
		Concurrency: 1, LoadTime: 500 * ms, Body: make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")),
		Deadline: req.deadline,
	})
	if id != 0 {
		m.requests[id] = req
		req.input.id = id
		return
	}
	// Submit has refused the request, because accepting it would exceed Limits.MaxOpenRequests or Limits.MaxBodyBytes.
	if len(req.responder.responses) != 1 || req.responder.responses[0].Status != Refused {
		t.Fatalf("Submit returned no id for request %s, and the answers to it are %v, want one with status Refused",
			req.externalID, req.responder.responses)
	}
	if m.reportedEnds[req.externalID] != 1 {
		t.Fatalf("the end of request %s, which Submit refused, was reported %d times, want 1", req.externalID, m.reportedEnds[req.externalID])
	}
}

func (m *routerModel) endAttempt(t *rapid.T) {
	id, ok := drawKey(t, m.workers.openAttempts)
	if !ok {
		return
	}
	outcomes := []policy.Outcome{
		policy.Served, policy.Errored, policy.WorkerOverloaded, policy.Unreachable,
		policy.ConnectionReset, policy.NotSent, policy.FunctionNotLoaded,
	}
	if m.workers.unsent[id] {
		outcomes = []policy.Outcome{policy.Unreachable, policy.NotSent}
	}
	outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
	delete(m.workers.openAttempts, id)
	delete(m.workers.unsent, id)
	if req := m.requests[id.Request]; req != nil && !outcome.NeverRan() {
		req.mayHaveRun = true
		req.attemptsAllowed = len(m.workers.sent[id.Request])
	}
	m.router.AttemptEnded(id, AttemptResult{Outcome: outcome, Body: []byte("done")})
	// The router must ignore a second report of the same attempt. Otherwise the request could get a second answer.
	m.router.AttemptEnded(id, AttemptResult{Outcome: policy.Served, Body: []byte("again")})
}

func (m *routerModel) endLoadCommand(t *rapid.T) {
	commandID, ok := drawKey(t, m.workers.loadCommands)
	if !ok {
		return
	}
	delete(m.workers.loadCommands, commandID)
	outcomes := []policy.Outcome{policy.Served, policy.WorkerOverloaded, policy.Errored}
	m.router.LoadCommandEnded(commandID, rapid.SampledFrom(outcomes).Draw(t, "outcome"), 1)
}

func (m *routerModel) endHealthCheck(t *rapid.T) {
	if checkID, ok := drawKey(t, m.workers.healthChecks); ok {
		delete(m.workers.healthChecks, checkID)
		m.router.HealthCheckEnded(checkID, policy.Served, []float64{1})
	}
}

func (m *routerModel) cancel(t *rapid.T) {
	if id, ok := drawKey(t, m.requests); ok && len(m.requests[id].responder.responses) == 0 {
		m.requests[id].cancelled = true
		m.router.Cancel(m.now, id, ClientInterrupted)
	}
}

func (m *routerModel) disconnect(t *rapid.T) {
	if id, ok := drawKey(t, m.requests); ok && m.requests[id].isOpen() {
		m.router.Disconnect(m.now, id)
	}
}

// leaveInputUnread lets input of a client arrive that only CatchUp reads, and that may withdraw the request.
func (m *routerModel) leaveInputUnread(t *rapid.T) {
	if id, ok := drawKey(t, m.requests); ok && m.requests[id].input.unreadSince == 0 {
		m.requests[id].input.unreadSince = m.now
		m.requests[id].input.withdraws = rapid.Bool().Draw(t, "withdraws")
	}
}

// beginShutdown limits the deadlines of all requests. It happens once, and seldom, because it ends most of what follows.
func (m *routerModel) beginShutdown(t *rapid.T) {
	if m.latest > 0 || rapid.IntRange(0, 9).Draw(t, "begins") > 0 {
		return
	}
	m.latest = m.now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*ms
	m.router.BeginShutdown(m.now, m.latest)
	for _, req := range m.requests {
		req.deadline = min(req.deadline, m.latest)
	}
}

// endTurn ends the present turn or lets the next action happen in the same turn, except that time passes only between
// turns.
func (m *routerModel) endTurn(t *rapid.T) {
	if rapid.Bool().Draw(t, "turn ends") {
		m.processAndCheck(t)
	}
}

func (m *routerModel) advanceClock(t *rapid.T) {
	m.processAndCheck(t)
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
}

// processAndCheck calls Process and compares the router's state with the model.
func (m *routerModel) processAndCheck(t *rapid.T) {
	m.readsInput = rapid.Bool().Draw(t, "input is read")
	if next := m.router.Process(m.now); (next <= m.now) != m.holdsAttempts() || next < m.now {
		t.Fatalf("Process at %v returned the next call time %v, want a later time unless attempts are held: %v",
			m.now, next, m.holdsAttempts())
	}
	m.checkState(t)
	open := 0
	for id, req := range m.requests {
		m.checkOneAnswerInTime(t, id, req)
		m.checkNoFurtherAttempt(t, id, req)
		m.checkStatusAndMayHaveRun(t, id, req)
		m.checkEndReported(t, id, req)
		if req.isOpen() {
			open++
		}
	}
	if got := m.router.OpenRequests(); got != open {
		t.Fatalf("%d requests are open, want %d", got, open)
	}
}

// holdsAttempts reports whether attempts wait until the input of their clients has been read.
func (m *routerModel) holdsAttempts() bool {
	for id := range m.workers.unsent {
		if !policy.MayBegin(m.requests[id.Request].input.UnseenFor()) {
			return true
		}
	}
	return false
}

// checkState checks that the router and its policy hold the requests that are open or have attempts in flight, and no
// others, and that each attempt in flight is known to the workers.
func (m *routerModel) checkState(t *rapid.T) {
	pending := map[policy.RequestID]bool{}
	for id, req := range m.requests {
		if req.isOpen() {
			pending[id] = true
		}
	}
	for attempt := range m.workers.openAttempts {
		pending[attempt.Request] = true
	}
	state := m.router.State()
	if state.PendingRequests != len(pending) || state.Policy.Requests != len(pending) {
		t.Fatalf("the router holds %d requests and its policy %d, want %d each", state.PendingRequests, state.Policy.Requests, len(pending))
	}
	if state.Policy.AttemptsInFlight != len(m.workers.openAttempts) {
		t.Fatalf("the policy has %d attempts in flight, want %d", state.Policy.AttemptsInFlight, len(m.workers.openAttempts))
	}
	if state.ControlCalls != len(m.workers.loadCommands)+len(m.workers.healthChecks) || state.Policy.LoadCommands != len(m.workers.loadCommands) {
		t.Fatalf("the router has %d control calls, want %d; its policy has %d load commands, want %d", state.ControlCalls,
			len(m.workers.loadCommands)+len(m.workers.healthChecks), state.Policy.LoadCommands, len(m.workers.loadCommands))
	}
}

// checkNothingIsLeft lets the deadlines of all requests, and the time for which functions are kept, pass. Afterwards the
// router and its policy must hold nothing of what clients have named.
func (m *routerModel) checkNothingIsLeft(t *rapid.T) {
	end := m.now + 15*time.Minute
	for m.now < end {
		m.now = max(m.now+10*ms, min(m.router.Process(m.now), end))
	}
	m.processAndCheck(t)
	state := m.router.State()
	if state.PendingRequests != 0 || state.Policy != (policy.State{}) {
		t.Fatalf("after all deadlines the state is %+v, want no requests, functions and instances", state)
	}
}

func (req *requestModel) isOpen() bool { return len(req.responder.responses) == 0 && !req.cancelled }

func (m *routerModel) checkOneAnswerInTime(t *rapid.T, id policy.RequestID, req *requestModel) {
	answers := len(req.responder.responses)
	if answers > 1 || req.cancelled && answers > 0 {
		t.Fatalf("request %d (cancelled: %v) has %d answers, want none if it was cancelled and at most 1 otherwise", id, req.cancelled, answers)
	}
	if req.isOpen() && m.now >= req.deadline {
		t.Fatalf("request %d has no answer at %v, want one by its deadline %v", id, m.now, req.deadline)
	}
}

func (m *routerModel) checkNoFurtherAttempt(t *rapid.T, id policy.RequestID, req *requestModel) {
	if req.class == notIdempotentClass && req.mayHaveRun && len(m.workers.sent[id]) > req.attemptsAllowed {
		t.Fatalf("request %d of a non-idempotent class was sent again although it may have run: %d attempts, want at most %d",
			id, len(m.workers.sent[id]), req.attemptsAllowed)
	}
}

// checkStatusAndMayHaveRun checks that MayHaveRun is true in the answer to a request that may have run according to the
// model. It also checks that a request of a non-idempotent class is not refused if it may have run according to the
// answer or to the model.
func (m *routerModel) checkStatusAndMayHaveRun(t *rapid.T, id policy.RequestID, req *requestModel) {
	if len(req.responder.responses) == 0 {
		return
	}
	resp := req.responder.responses[0]
	if resp.Status == Refused && req.class == notIdempotentClass && (req.mayHaveRun || resp.MayHaveRun) {
		t.Fatalf("request %d of a non-idempotent class got %+v, want no refusal, because it may have run "+
			"(according to the answer: %v, according to the model: %v)", id, resp, resp.MayHaveRun, req.mayHaveRun)
	}
	if req.mayHaveRun && !resp.MayHaveRun {
		t.Fatalf("the answer to request %d has MayHaveRun false, want true: %+v", id, resp)
	}
}

func (m *routerModel) checkEndReported(t *rapid.T, id policy.RequestID, req *requestModel) {
	want := 1
	if req.isOpen() {
		want = 0
	}
	if got := m.reportedEnds[req.externalID]; got != want {
		t.Fatalf("the end of request %d was reported %d times, want %d", id, got, want)
	}
}

// drawKey draws a random key of m. It sorts the keys first, so that a failing run can be reproduced.
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

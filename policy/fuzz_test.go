package policy

import (
	"math"
	"testing"
	"time"
)

// fuzzEvent returns the event that four bytes encode: kind selects the event's type, and a, b and c determine its
// fields. gossip is the Data of a GossipReceived event.
func fuzzEvent(kind, a, b, c byte, gossip []byte) Event {
	w, id, fn := WorkerID(a%5), RequestID(b%16), FunctionID(c%4)
	switch kind % 9 {
	case 0:
		return EndpointUpdate{Kind: EndpointUpdateKind(a % 4), Endpoints: []Endpoint{{
			Worker: w,
			State:  WorkerState(b % 3), StartedAt: time.Duration(c) * time.Minute,
		}}}
	case 1:
		return RequestArrived{
			Request: id, Class: int(a%4) - 1, Tenant: int(c) - 9, Function: fn,
			Concurrency: math.NaN(), LoadTime: time.Duration(int64(c)-3) * time.Second,
			WorkHint: time.Duration(a) * time.Hour, TimeLeft: time.Duration(int64(a)-9) * 40 * ms,
		}
	case 2:
		return AttemptEnded{
			Request: id, Attempt: int(a%6) - 1, Worker: w, Outcome: Outcome(c % 9),
			InstanceStatus: InstanceStatus(a % 5), RequestClosed: c%9 == 0,
			Duration: time.Duration(int64(a)-9) * time.Second,
		}
	case 3:
		return LoadCommandEnded{
			Worker: w, Function: fn, Outcome: Outcome(b % 9), Duration: -time.Second,
			Instances: int(c) - 9,
		}
	case 4:
		return HealthCheckEnded{Worker: w, Outcome: Outcome(b % 9), LoadReport: []float64{math.NaN(), -1}}
	case 5:
		return TimerFired{Token: uint64(b%16)<<uint(c%40) + uint64(a)}
	case 6:
		return TimerFired{Token: housekeepingToken}
	case 7:
		return GossipReceived{From: int(a), Data: gossip}
	default:
		return ClientCancelled{Request: id}
	}
}

// targets returns the request and the worker that an action names, 0 for each that the action does not name. It ignores
// the request of a CancelAttempt, which may be finished: the policy cancels the attempts of a request when the request
// has finished.
func targets(action Action) (RequestID, WorkerID) {
	switch a := action.(type) {
	case SendAttempt:
		return a.Request, a.Worker
	case RefuseRequest:
		return a.Request, 0
	case FailRequest:
		return a.Request, 0
	case LoadInstance:
		return 0, a.Worker
	case CheckHealth:
		return 0, a.Worker
	}
	return 0, 0
}

// checkTargets fails the test if an action names a request that is finished or unknown, or an unknown worker (see
// targets). For each request that gets its final answer, it sets the entry in open to false.
func checkTargets(t *testing.T, actions []Action, open map[RequestID]bool, known map[WorkerID]bool) {
	t.Helper()
	for _, action := range actions {
		id, w := targets(action)
		if id != 0 && !open[id] {
			t.Fatalf("%T names request %d, which is finished or unknown", action, id)
		}
		if w != 0 && !known[w] {
			t.Fatalf("%T names unknown worker %d", action, w)
		}
		switch action.(type) {
		case RefuseRequest, FailRequest:
			open[id] = false
		}
	}
}

// FuzzHandle passes arbitrary events to a policy. The policy must not panic, and the actions that checkTargets checks
// must not name a finished or unknown request, or an unknown worker.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 1, 1, 1, 1, 2, 0, 0, 0, 3, 9, 9, 9})
	f.Add([]byte{0, 255, 0, 0, 1, 0, 2, 1, 2, 0, 8, 0, 4, 1, 1, 0, 5, 3, 0, 0, 7, 1, 0, 0, 6, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := testConfig()
		cfg.MissWhenNotLoaded, cfg.AllowLoadCommands, cfg.AllowGossip, cfg.RouterCount = true, true, true, 3
		cfg.LoadCommandWindow, cfg.LoadCommandsPerRequest = time.Second, 0.5
		cfg.RequiresSubscription = len(data)%2 == 0
		p, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		known := map[WorkerID]bool{}
		now := time.Hour
		for ; len(data) >= 4; data = data[4:] {
			now += time.Duration(data[3]) * ms / 2
			event := fuzzEvent(data[0], data[1], data[2], data[3], data)
			open := map[RequestID]bool{}
			for id, r := range p.requests {
				open[id] = !r.finished
			}
			switch e := event.(type) {
			case EndpointUpdate:
				known[e.Endpoints[0].Worker] = true
			case RequestArrived:
				open[e.Request] = true
			}
			checkTargets(t, p.Handle(now, event, nil), open, known)
		}
	})
}

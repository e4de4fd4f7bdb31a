package policy

import (
	"math"
	"testing"
	"time"
)

// FuzzHandle feeds arbitrary events: there must be no panic, no action for a finished or unknown request,
// and none that names an unknown worker.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 1, 1, 1, 1, 2, 0, 0, 0, 3, 9, 9, 9})
	f.Add([]byte{0, 255, 0, 0, 1, 0, 2, 1, 2, 0, 8, 0, 4, 1, 1, 0, 5, 3, 0, 0, 7, 1, 0, 0, 6, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := testConfig()
		cfg.MissWhenNotLoaded, cfg.AllowLoadOrders, cfg.AllowGossip, cfg.RouterCount = true, true, true, 3
		cfg.LoadOrderWindow, cfg.LoadOrdersPerRequest, cfg.RequiresSubscription = time.Second, 0.5, len(data)%2 == 0
		p, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		known := map[WorkerID]bool{}
		now := time.Hour
		for ; len(data) >= 4; data = data[4:] {
			a, b, c := data[1], data[2], data[3]
			w, id, fn := WorkerID(a%5), RequestID(b%16), FunctionID(c%4)
			now += time.Duration(c) * ms / 2
			var ev Event
			switch data[0] % 9 {
			case 0:
				ev = EndpointUpdate{Kind: EndpointUpdateKind(a % 4), Endpoints: []Endpoint{{Worker: w, State: WorkerState(b % 3),
					StartedAt: time.Duration(c) * time.Minute}}}
				known[w] = true
			case 1:
				ev = RequestArrived{Request: id, Class: int(a%4) - 1, Tenant: int(c) - 9, Function: fn, Concurrency: math.NaN(),
					LoadTime: time.Duration(int64(c)-3) * time.Second, WorkHint: time.Duration(a) * time.Hour,
					TimeLeft: time.Duration(int64(a)-9) * 40 * ms}
			case 2:
				ev = AttemptEnded{Request: id, Attempt: int(a%6) - 1, Worker: w, Outcome: Outcome(c % 9), InstanceStatus: InstanceStatus(a % 5),
					RequestClosed: c%9 == 0, Duration: time.Duration(int64(a)-9) * time.Second}
			case 3:
				ev = LoadOrderEnded{Worker: w, Function: fn, Outcome: Outcome(b % 9), Duration: -time.Second, Instances: int(c) - 9}
			case 4:
				ev = ProbeEnded{Worker: w, Outcome: Outcome(b % 9), LoadReport: []float64{math.NaN(), -1}}
			case 5:
				ev = TimerFired{Token: uint64(b%16)<<uint(c%40) + uint64(a)}
			case 6:
				ev = TimerFired{Token: housekeepingToken}
			case 7:
				ev = GossipReceived{From: int(a), Data: data}
			case 8:
				ev = ClientCancelled{Request: id}
			}
			before := map[RequestID]bool{}
			for id, r := range p.requests {
				before[id] = !r.finished
			}
			over := map[RequestID]bool{}
			for _, act := range p.Handle(now, ev, nil) {
				var req RequestID
				var to WorkerID
				switch act := act.(type) {
				case SendAttempt:
					req, to = act.Request, act.Worker
				case RefuseRequest:
					req = act.Request
				case FailRequest:
					req = act.Request
				case LoadInstance:
					to = act.Worker
				case ProbeWorker:
					to = act.Worker
				}
				if arr, ok := ev.(RequestArrived); ok {
					before[arr.Request] = true
				}
				if req != 0 && (!before[req] || over[req]) {
					t.Fatalf("%T for request %d, which is over", act, req)
				}
				if to != 0 && !known[to] {
					t.Fatalf("%T names unknown worker %d", act, to)
				}
				switch act.(type) {
				case RefuseRequest, FailRequest:
					over[req] = true
				}
			}
		}
	})
}

package policy_test

import (
	"fmt"
	"time"

	"functionrouter/policy"
)

// A router passes each event to the policy when it happens, and carries out the actions that the policy returns.
func Example() {
	cfg := policy.Config{
		RouterCount: 1, Tick: 2 * time.Millisecond, MaxAttempts: 3, InstanceKeepAlive: 10 * time.Second, OverQuotaWeight: 1,
		Classes: []policy.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: policy.Idempotent, PriorityWeight: 1}},
	}
	p, err := policy.New(cfg, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // the router's own clock
	p.Handle(now, policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{
		{Worker: 7, State: policy.Ready},
	}}, nil)
	for _, action := range p.Handle(now, policy.RequestArrived{
		Request: 1, Function: 5, Concurrency: 4, LoadTime: time.Second, TimeLeft: 4 * time.Second,
	}, nil) {
		switch a := action.(type) {
		case policy.SendAttempt:
			fmt.Println("send request", a.Request, "to worker", a.Worker)
		case policy.SetTimer:
			fmt.Println("set a timer")
		}
	}
	// Output:
	// set a timer
	// send request 1 to worker 7
}

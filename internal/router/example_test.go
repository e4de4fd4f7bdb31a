package router_test

import (
	"fmt"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// printingPool prints attempts instead of sending them. The example reports their ends in place of a worker's answer.
type printingPool struct {
	router.WorkerPool // nil, because the example's policy sends no other message
	sent              []router.AttemptID
}

func (p *printingPool) SendableAttempts(ids []router.AttemptID) []router.AttemptID { return ids }

func (p *printingPool) StartAttempt(worker policy.WorkerID, id router.AttemptID, req *router.Request, budget time.Duration) {
	p.sent = append(p.sent, id)
	fmt.Printf("attempt %d of request %s to worker %d, budget %v: %s\n", id.Number, req.ID, worker, budget, req.Body)
}

// printingResponder prints the final answer, which a frontend would write to the client.
type printingResponder struct{}

func (printingResponder) Respond(response router.Response) {
	fmt.Printf("answer: %v, %s\n", response.Status, response.Body)
}

// Handles one request: a frontend submits it, the policy chooses a worker, the worker answers, and the client gets the
// answer.
func Example() {
	routingPolicy, err := policy.New(policy.Config{
		RouterCount: 1,
		Tick:        4 * time.Millisecond,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
		},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	pool := &printingPool{}
	r := router.New(router.Config{
		Policy:        routingPolicy,
		Limits:        router.Limits{MaxOpenRequests: 10, MaxBodyBytes: 1 << 20},
		NewWorkerPool: func(*router.Router) router.WorkerPool { return pool },
		OnRequestEnd: func(_ time.Duration, req *router.Request, outcome router.RequestOutcome) {
			fmt.Printf("request %s ended: %v\n", req.ID, outcome)
		},
	})
	r.UpdateEndpoints(policy.EndpointUpdate{
		Kind:      policy.FullUpdate,
		Endpoints: []policy.Endpoint{{Worker: 3, State: policy.Ready}},
	})

	now := time.Second
	r.Submit(now, router.Request{
		Frontend:  router.Thrift,
		Responder: printingResponder{},
		ID:        "00000000000000a1",
		Function:  7,
		Body:      []byte("two and two"),
		Deadline:  now + router.AnswerBudget(2*time.Second),
	})
	r.Process(now) // gives the two events to the policy and executes its actions

	now += 20 * time.Millisecond
	r.SetNow(now)
	r.AttemptEnded(pool.sent[0], router.AttemptResult{Outcome: policy.Served, InstanceStatus: policy.InstanceWarm, Body: []byte("four")})
	r.Process(now) // gives the result to the policy, which updates its predictions
	fmt.Printf("%d requests open, %d served\n", r.OpenRequests(), r.Counters.Served[router.Thrift])

	// Output:
	// attempt 0 of request 00000000000000a1 to worker 3, budget 1.96s: two and two
	// answer: served, four
	// request 00000000000000a1 ended: served
	// 0 requests open, 1 served
}

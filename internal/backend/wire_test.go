package backend

import (
	"errors"
	"slices"
	"testing"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// Guards against changes of the bytes that workers receive.
func TestCommandsOnTheWire(t *testing.T) {
	const healthCheckCommand = "*2\r\n$4\r\nINFO\r\n$2\r\np1\r\n" // sent first to open a connection
	for _, test := range []struct {
		name string
		send func(p *testPool)
		want string
	}{
		{
			"run", func(p *testPool) { p.start(firstAttempt(1), hexID(0xa1)) },
			"*4\r\n$3\r\nRUN\r\n$16\r\n00000000000000a1\r\n" +
				"$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n",
		},
		{"run with less than a millisecond", func(p *testPool) {
			p.StartAttempt(workerID, firstAttempt(1), testRequest(hexID(0xa1)), time.Microsecond)
			p.sendAttempts()
		}, "*4\r\n$3\r\nRUN\r\n$16\r\n00000000000000a1\r\n" +
			"$46\r\nqueue=dim-level,path=00000000000000aa,budget=1\r\n$5\r\nhello\r\n"},
		{
			"load command", func(p *testPool) { p.LoadInstance(workerID, 5, 2, 9) },
			"*3\r\n$4\r\nHOLD\r\n$2\r\nh9\r\n$29\r\npath=0000000000000005,count=2\r\n",
		},
		{"health check", func(p *testPool) { p.CheckHealth(workerID, 9) }, "*2\r\n$4\r\nINFO\r\n$2\r\np9\r\n"},
		{
			"unload", func(p *testPool) { p.UnloadInstance(workerID, 5) },
			"*2\r\n$4\r\nFREE\r\n$16\r\n0000000000000005\r\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool()
			p.CheckHealth(workerID, 1)
			p.lastTransport().handler.OnOpen(nil)
			test.send(p)
			if got := p.lastTransport().Written.String(); got != healthCheckCommand+test.want {
				t.Errorf("wrote %q, want %q", got, healthCheckCommand+test.want)
			}
		})
	}
}

// attemptResult holds the parts of a router.AttemptResult that the tests compare.
type attemptResult struct {
	outcome        policy.Outcome
	instanceStatus policy.InstanceStatus
	loadReport     []float64
}

// lastResultRecorder is a ResultHandler that records, of the attempts, only the result of the last one.
type lastResultRecorder struct {
	*resultRecorder
	last *attemptResult
}

func (r *lastResultRecorder) AttemptEnded(_ router.AttemptID, result router.AttemptResult) {
	r.last = &attemptResult{result.Outcome, result.InstanceStatus, result.LoadReport}
}

// Checks how the status and the fields of an answer are reported to the ResultHandler.
func TestAnswersToAttempts(t *testing.T) {
	for _, test := range []struct {
		status, fields string
		want           attemptResult
	}{
		{"HIT", "-", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
		{"NONE", "-", attemptResult{policy.FunctionNotLoaded, policy.InstanceUnknown, nil}},
		{"SHED", "detail=hot", attemptResult{policy.WorkerOverloaded, policy.InstanceWarm, nil}},
		{"FAULT", "detail=started", attemptResult{policy.Errored, policy.LoadStarted, nil}},
		{"LATE", "detail=waited,use=inflight:7", attemptResult{policy.NotSent, policy.LoadAwaited, []float64{7}}},
		{"HIT", "use=util:0.5;inflight:1.5,detail=broken", attemptResult{policy.Served, policy.LoadFailed, []float64{1.5}}},
		{"HIT", "use=util:0.5,detail=other", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
		{"HIT", "use=inflight:many", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
		{"HIT", "use=inflight:NaN", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
		{"HIT", "use=inflight:1;inflight:2", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
	} {
		t.Run(test.status+" "+test.fields, func(t *testing.T) {
			p := newTestPool()
			results := &lastResultRecorder{resultRecorder: p.recorder}
			p.results = results
			transport := p.startOnOpenConnection(firstAttempt(1), hexID(0xa1))
			transport.handler.OnData(encodeCommand(hexID(0xa1), test.status, test.fields, "body"))
			got := results.last
			if got == nil {
				t.Fatalf("the attempt has not ended, want %+v", test.want)
			}
			if got.outcome != test.want.outcome || got.instanceStatus != test.want.instanceStatus ||
				!slices.Equal(got.loadReport, test.want.loadReport) || (got.loadReport == nil) != (test.want.loadReport == nil) {
				t.Errorf("got %+v, want %+v", *got, test.want)
			}
		})
	}
}

// Guards against accepting an answer that violates the protocol: the connection must be closed, and no call may end.
func TestMalformedAnswersCloseTheirConnection(t *testing.T) {
	const id = "00000000000000a1"
	for name, elements := range map[string][]string{
		"one element":                          {id},
		"two elements":                         {id, "HIT"},
		"three elements":                       {id, "HIT", "-"},
		"five elements":                        {id, "HIT", "-", "body", ""},
		"unknown status":                       {id, "hit", "-", ""},
		"unknown status under an unknown ID":   {"unknown", "hit", "-", ""},
		"empty fields":                         {id, "HIT", "", "body"},
		"field without a name":                 {id, "HIT", "detail=hot,=1", "body"},
		"field without a value":                {id, "HIT", "detail=hot,use", "body"},
		"health check's status for an attempt": {id, "PONG", "-", ""},
		"attempt's status for a health check":  {"p9", "HIT", "-", ""},
	} {
		t.Run(name, func(t *testing.T) {
			logged := captureLog(t)
			p := newTestPool()
			transport := p.startOnOpenConnection(firstAttempt(1), id)
			p.CheckHealth(workerID, 9)
			transport.handler.OnData(encodeCommand(elements[0], elements[1:]...))
			if err := logged.lastCloseError(); !transport.Closed || !errors.Is(err, errMalformedAnswer) {
				t.Errorf("connection closed: %v, want true; logged error %v, want %v",
					transport.Closed, err, errMalformedAnswer)
			}
			if len(p.recorder.attempts)+len(p.recorder.controls) != 0 {
				t.Errorf("attempts ended with %v and health checks with %v, want no outcomes",
					p.recorder.attempts, p.recorder.controls)
			}
		})
	}
	t.Run("before the call is sent", func(t *testing.T) {
		p := newTestPool()
		p.start(firstAttempt(1), id)
		p.lastTransport().handler.OnData(encodeAnswer(id, "HIT", ""))
		if !p.lastTransport().Closed || len(p.recorder.attempts) != 0 {
			t.Errorf("connection closed: %v, want true; attempts ended with %v, want no outcomes",
				p.lastTransport().Closed, p.recorder.attempts)
		}
	})
}

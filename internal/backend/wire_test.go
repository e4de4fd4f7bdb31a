package backend

import (
	"errors"
	"slices"
	"testing"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// Guards the bytes that workers read.
func TestCommandsOnTheWire(t *testing.T) {
	const open = "*2\r\n$4\r\nINFO\r\n$2\r\np1\r\n" // brings the connection up
	for _, test := range []struct {
		name string
		send func(p *testPool)
		want string
	}{
		{
			"run", func(p *testPool) { p.start(attemptID(1), hexID(0xa1)) },
			"*4\r\n$3\r\nRUN\r\n$16\r\n00000000000000a1\r\n" +
				"$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n",
		},
		{"run with less than a millisecond", func(p *testPool) {
			p.StartAttempt(workerID, attemptID(1), testRequest(hexID(0xa1)), time.Microsecond)
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
			p.last().handler.OnOpen(nil)
			test.send(p)
			if got := p.last().Written.String(); got != open+test.want {
				t.Errorf("wrote %q", got)
			}
		})
	}
}

// attemptResult is the result of an attempt as a ResultHandler gets it.
type attemptResult struct {
	outcome policy.Outcome
	status  policy.InstanceStatus
	report  []float64
}

// resultKeeper keeps the result of the last attempt.
type resultKeeper struct {
	*resultRecorder
	last *attemptResult
}

func (r *resultKeeper) AttemptEnded(_ router.AttemptID, result router.AttemptResult) {
	r.last = &attemptResult{result.Outcome, result.InstanceStatus, result.LoadReport}
}

func TestAnswersToAttempts(t *testing.T) {
	for _, test := range []struct {
		word, fields string
		want         attemptResult
	}{
		{"HIT", "-", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
		{"NONE", "", attemptResult{policy.FunctionNotLoaded, policy.InstanceUnknown, nil}},
		{"SHED", "detail=hot", attemptResult{policy.WorkerOverloaded, policy.InstanceWarm, nil}},
		{"FAULT", "detail=started", attemptResult{policy.Errored, policy.LoadStarted, nil}},
		{"LATE", "detail=waited,use=inflight:7", attemptResult{policy.NotSent, policy.LoadAwaited, []float64{7}}},
		{"HIT", "use=util:0.5;inflight:1.5,detail=broken", attemptResult{policy.Served, policy.LoadFailed, []float64{1.5}}},
		{"HIT", "use=util:0.5,detail=other", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
		{"HIT", "use=inflight:many", attemptResult{policy.Served, policy.InstanceUnknown, nil}},
	} {
		t.Run(test.word+" "+test.fields, func(t *testing.T) {
			p := newTestPool()
			results := &resultKeeper{resultRecorder: p.results}
			p.Pool.results = results
			transport := p.startOpen(attemptID(1), hexID(0xa1))
			transport.handler.OnData(encodeCommand(hexID(0xa1), test.word, test.fields, "body"))
			got := results.last
			if got == nil {
				t.Fatal("the attempt has not ended")
			}
			if got.outcome != test.want.outcome || got.status != test.want.status ||
				!slices.Equal(got.report, test.want.report) || (got.report == nil) != (test.want.report == nil) {
				t.Errorf("got %+v", *got)
			}
		})
	}
}

func TestMalformedAnswersCloseTheirConnection(t *testing.T) {
	const id = "00000000000000a1"
	for name, words := range map[string][]string{
		"one word":                         {id},
		"unknown word":                     {id, "hit"},
		"health word to an attempt":        {id, "PONG"},
		"attempt's word to a health check": {"p9", "HIT"},
	} {
		t.Run(name, func(t *testing.T) {
			logged := captureLog(t)
			p := newTestPool()
			transport := p.startOpen(attemptID(1), id)
			p.CheckHealth(workerID, 9)
			transport.handler.OnData(encodeCommand(words[0], words[1:]...))
			if err := logged.lastError("worker connection closed"); !transport.Closed || !errors.Is(err, errMalformedAnswer) {
				t.Errorf("closed %v, logged %v", transport.Closed, err)
			}
			if len(p.results.attempts)+len(p.results.controls) != 0 {
				t.Errorf("ended %v, %v", p.results.attempts, p.results.controls)
			}
		})
	}
	t.Run("before the call is sent", func(t *testing.T) {
		p := newTestPool()
		p.start(attemptID(1), id)
		p.last().handler.OnData(encodeAnswer(id, "HIT", ""))
		if !p.last().Closed || len(p.results.attempts) != 0 {
			t.Errorf("closed %v, ended %v", p.last().Closed, p.results.attempts)
		}
	})
}

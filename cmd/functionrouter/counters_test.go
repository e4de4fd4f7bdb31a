package main

import (
	"strings"
	"testing"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// Checks the messages and keys of the counter log lines, which operators and scripts match.
func TestCounterMessages(t *testing.T) {
	var c router.Counters
	c.Received[router.Webhook] = 9
	c.Served[router.Webhook] = 4
	c.Refused[router.Webhook] = 2
	c.Failed[router.Webhook] = 1
	c.ClientCancelled[router.Webhook] = 1
	c.RefusedAtOnce[router.Webhook] = 1
	c.ClientDisconnected[router.Webhook] = 1
	c.AttemptsSent = 7
	c.AttemptOutcomes[policy.Served] = 5
	c.AttemptOutcomes[policy.FunctionNotLoaded] = 2
	c.Overdue = 3
	c.ReturnedIDs = 4
	c.LateAnswers = 2
	c.LatestAnswer = 30 * time.Millisecond
	c.LongestInputWait = 8 * time.Millisecond
	c.UnservedByReason[policy.LoadShed] = 2
	c.LoadCommands = 6
	c.LoadCommandOutcomes[policy.TimedOut] = 6
	c.Unloads = 8
	c.HealthChecks = 10
	for _, test := range []struct {
		name string
		log  func(*router.Counters)
		want string
	}{
		{
			"requests", func(c *router.Counters) { logRequestCounters(c, router.Webhook) },
			`msg="request counters" frontend=webhook received=9 served=4 refused=2 failed=1 client_cancelled=1 refused_at_once=1 client_disconnected=1`,
		},
		{"attempts", logAttemptCounters, `msg="attempt counters" sent=7 served=5 function_not_loaded=2 overdue_requests=3 returned_ids=4`},
		{"late answers", logLateAnswers, `msg="late answer counters" answers=2 latest=30ms longest_input_wait=8ms`},
		{
			"unserved", logUnservedCounters,
			`msg="unserved counters" deadline_exceeded=0 no_worker_available=0 predicted_too_late=0 load_shed=2 repeat_not_allowed=0`,
		},
		{"load commands", logLoadCommandCounters, `msg="load command counters" sent=6 timed_out=6 unloads_sent=8`},
		{"health checks", logHealthCheckCounters, `msg="health check counters" sent=10`},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newLogCapture()
			log.install(t)
			test.log(&c)
			if got := log.text.String(); !strings.HasSuffix(got, "level=INFO "+test.want+"\n") {
				t.Errorf("logged %q, want a line that ends in %q", got, "level=INFO "+test.want)
			}
		})
	}
}

package main

import (
	"log/slog"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// outcomeCounts counts attempts, load commands or health checks by their policy.Outcome. It is the type of the outcome
// fields of router.Counters.
type outcomeCounts = [policy.FunctionNotLoaded + 1]uint64

// logCounters logs all counters and the sizes of the state, one message per group, always in the same order. The counters
// count from the start of the process.
func (s *server) logCounters() {
	c := &s.router.Counters
	for f := range c.Received {
		logRequestCounters(c, router.Frontend(f))
	}
	s.logConnectionCounters()
	logTurnCounters(s.loop.TakeTurnCounts())
	logLateAnswers(c)
	logAttemptCounters(c)
	logUnservedCounters(c)
	logLoadCommandCounters(c)
	logHealthCheckCounters(c)
	logState(s.router.State())
	s.extensions.logCounters()
	slog.Info("discovery counters",
		"queries_sent", s.discovery.QueriesSent, "answers_received", s.discovery.AnswersReceived)
}

// logRequestCounters logs the requests that a frontend received, by their final states.
func logRequestCounters(c *router.Counters, f router.Frontend) {
	slog.Info("request counters",
		"frontend", f.String(),
		"received", c.Received[f],
		"served", c.Served[f],
		"refused", c.Refused[f],
		"failed", c.Failed[f],
		"client_cancelled", c.ClientCancelled[f],
		"refused_at_once", c.RefusedAtOnce[f],
		"client_disconnected", c.ClientDisconnected[f])
}

// logConnectionCounters logs how many client connections were accepted, and how many ended for each cause that
// occurred. Connections that ended with eventloop.OverLimit were refused and do not count as accepted.
func (s *server) logConnectionCounters() {
	attributes := []any{"accepted", s.loop.AcceptedCount()}
	for cause, count := range s.loop.CloseCounts() {
		if count > 0 {
			attributes = append(attributes, eventloop.CloseCause(cause).String(), count)
		}
	}
	slog.Info("connection counters", attributes...)
}

// logTurnCounters logs the number of turns of the event loop, and the longest one since the previous such line.
func logTurnCounters(c eventloop.TurnCounts) {
	slog.Info("turn counters",
		"turns", c.Turns,
		"longest", c.Longest.Total,
		"longest_events", c.Longest.Events,
		"longest_end_of_turn", c.Longest.EndOfTurn,
		"longest_writes", c.Longest.Writes,
		"longest_client_input_bytes", c.Longest.ClientInput)
}

// logLateAnswers logs how many answers came later than their clients waited, and the latest of them.
func logLateAnswers(c *router.Counters) {
	slog.Info("late answer counters", "answers", c.LateAnswers, "latest", c.LatestAnswer, "longest_input_wait", c.LongestInputWait)
}

// logAttemptCounters logs the attempts sent to workers and their outcomes. Overdue requests are those that the router
// answered at their deadline because the policy had not decided about them by then.
func logAttemptCounters(c *router.Counters) {
	attributes := appendOutcomes([]any{"sent", c.AttemptsSent}, &c.AttemptOutcomes)
	attributes = append(attributes, "overdue_requests", c.Overdue, "returned_ids", c.ReturnedIDs)
	slog.Info("attempt counters", attributes...)
}

// logUnservedCounters logs the requests that the policy refused or failed, by reason.
func logUnservedCounters(c *router.Counters) {
	var attributes []any
	for reason, count := range c.UnservedByReason {
		attributes = append(attributes, policy.UnservedReason(reason).String(), count)
	}
	slog.Info("unserved counters", attributes...)
}

// logLoadCommandCounters logs the load commands sent to workers, their outcomes, and the unload commands sent.
func logLoadCommandCounters(c *router.Counters) {
	attributes := appendOutcomes([]any{"sent", c.LoadCommands}, &c.LoadCommandOutcomes)
	attributes = append(attributes, "unloads_sent", c.Unloads)
	slog.Info("load command counters", attributes...)
}

// logHealthCheckCounters logs the health checks sent to workers and their outcomes.
func logHealthCheckCounters(c *router.Counters) {
	slog.Info("health check counters", appendOutcomes([]any{"sent", c.HealthChecks}, &c.HealthCheckOutcomes)...)
}

// logState logs how much state the router holds now. Unlike the counters, these numbers fall again.
func logState(state router.State) {
	slog.Info("state sizes",
		"open_requests", state.OpenRequests,
		"pending_requests", state.PendingRequests,
		"control_calls", state.ControlCalls,
		"timers", state.Timers,
		"recent_runs", state.Runs,
		"policy_requests", state.Policy.Requests,
		"policy_attempts_in_flight", state.Policy.AttemptsInFlight,
		"policy_load_commands", state.Policy.LoadCommands,
		"functions", state.Policy.Functions,
		"instances", state.Policy.Instances)
}

// appendOutcomes appends an attribute for each outcome that occurred, in the order of policy.Outcome.
func appendOutcomes(attributes []any, counts *outcomeCounts) []any {
	for outcome, count := range counts {
		if count > 0 {
			attributes = append(attributes, policy.Outcome(outcome).String(), count)
		}
	}
	return attributes
}

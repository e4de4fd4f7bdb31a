package backend

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// callKind is what a call asks of the worker.
type callKind uint8

const (
	// The worker runs a function.
	attemptCall callKind = iota // attempt
	// The worker loads instances of a function, or tells how many it has.
	loadCommandCall // load command
	// The worker reports its health and its load, as the policy asked.
	healthCheckCall // health check
	// The worker answers, which shows that the connection works. Its end is not reported to the ResultHandler.
	keepAliveCall // keep-alive check
)

// pendingCall is a command that has an answer and has not ended.
//
// It has two ids. The caller's is the AttemptID or the ControlID, by which its end is reported. The worker's is the wire
// id: all attempts of one request have the same, which is why a connection doesn't carry one again soon (see recentIDs).
type pendingCall struct {
	kind    callKind
	attemptID router.AttemptID // of an attempt
	controlID router.ControlID // of a load command or a health check
	wireID  string

	// What is to be written; nil afterwards.
	command []byte // the complete command; nil for an attempt, whose header is encoded as it is written
	body    []byte // of an attempt

	// Of an attempt.
	class     string
	function  string
	budgetEnd time.Duration // when its budget is spent; an attempt that was not written until then is not sent

	connection *connection   // that carries it; nil before connection.send
	sentAt     time.Duration // when it was written
	resends    int           // how often it was moved to another connection, because its connection ended
	written    bool

	// Of a load command: it asks for instances, which only a ready worker loads.
	needsReadyWorker bool
}

// newAttemptCall returns the call of an attempt whose budget is spent at budgetEnd.
func newAttemptCall(attemptID router.AttemptID, request *router.Request, class string, budgetEnd time.Duration) *pendingCall {
	return &pendingCall{
		kind:      attemptCall,
		attemptID:   attemptID,
		wireID:    request.ID,
		body:      request.Body,
		class:     class,
		function:  request.FunctionKey,
		budgetEnd: budgetEnd,
	}
}

// encodeAttemptHeader returns the header of an attempt that is written at now. The budget that it gives the worker is what
// is left then, since the attempt may have waited for a dial. It is rounded down to milliseconds and is at least 1 ms.
func (call *pendingCall) encodeAttemptHeader(now time.Duration) []byte {
	budget := max((call.budgetEnd - now).Milliseconds(), 1)
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", call.class, call.function, budget)
	return encodeHeader(len(call.body), commandRun, call.wireID, fields)
}

// newLoadCommandCall returns the command to keep this number of instances of a function loaded; 0 only asks how many are.
func newLoadCommandCall(controlID router.ControlID, function policy.FunctionID, instances int) *pendingCall {
	wireID := loadCommandWireID(controlID)
	fields := fmt.Sprintf("path=%s,count=%d", formatFunctionID(function), instances)
	return &pendingCall{
		kind:             loadCommandCall,
		controlID:          controlID,
		wireID:           wireID,
		command:          encodeCommand(commandLoad, wireID, fields),
		needsReadyWorker: instances > 0,
	}
}

// newHealthCheckCall returns the health check that the caller knows as control.
func newHealthCheckCall(controlID router.ControlID) *pendingCall {
	wireID := healthCheckWireID(controlID)
	return &pendingCall{
		kind:    healthCheckCall,
		controlID: controlID,
		wireID:  wireID,
		command: encodeCommand(commandHealthCheck, wireID),
	}
}

// newKeepAliveCall returns the keep-alive check with this number.
func newKeepAliveCall(number uint64) *pendingCall {
	wireID := formatWireID(keepAlivePrefix, number)
	return &pendingCall{
		kind:    keepAliveCall,
		wireID:  wireID,
		command: encodeCommand(commandKeepAlive, wireID),
	}
}

// The wire ids of the kinds differ in their first letter. An attempt's is the request's ID, 16 hex digits without a prefix;
// so a prefix must be no hex digit.
const (
	loadCommandPrefix = "h"
	healthCheckPrefix = "p"
	keepAlivePrefix   = "n"
)

func loadCommandWireID(controlID router.ControlID) string {
	return formatWireID(loadCommandPrefix, uint64(controlID))
}

func healthCheckWireID(controlID router.ControlID) string {
	return formatWireID(healthCheckPrefix, uint64(controlID))
}

// formatWireID returns the wire id of a call that is not an attempt: its kind's prefix and its number, in decimal.
func formatWireID(prefix string, number uint64) string {
	return prefix + strconv.FormatUint(number, 10)
}

// formatFunctionID returns a function's id as router.Request.FunctionKey spells it.
func formatFunctionID(function policy.FunctionID) string {
	return fmt.Sprintf("%016x", uint64(function))
}

// sortedByWireID returns calls in the order of their wire ids as text. Their ends are events for the policy, and equal runs
// must give it equal events in equal order, which the iteration of a map would not.
func sortedByWireID(calls map[string]*pendingCall) []*pendingCall {
	return slices.SortedFunc(maps.Values(calls), func(a, b *pendingCall) int { return cmp.Compare(a.wireID, b.wireID) })
}

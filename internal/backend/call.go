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

// callKind is the kind of command that a call sends to the worker.
type callKind uint8

const (
	// The worker runs a function.
	attemptCall callKind = iota // attempt
	// The worker keeps a number of instances of a function loaded, or only reports how many are loaded.
	loadCommandCall // load command
	// The worker reports its health and its load. The policy requests it.
	healthCheckCall // health check
	// The worker only answers, which shows that the connection works. The pool requests it, and its result is not
	// reported to the ResultHandler.
	keepAliveCall // keep-alive check
)

// pendingCall is a command that expects an answer and has not ended.
//
// It has two IDs. The AttemptID or ControlID identifies it to the caller when its result is reported. The wire ID
// identifies it on a connection. All attempts of one request share a wire ID, so a connection that has carried a wire
// ID does not carry it again for some time (see recentIDs).
type pendingCall struct {
	kind      callKind
	attemptID router.AttemptID // set for an attempt
	controlID router.ControlID // set for a load command or a health check
	wireID    string

	// The bytes to write. Both fields are set to nil once they have been written.
	command []byte // the complete command; nil for an attempt, whose header is encoded when it is written
	body    []byte // set for an attempt

	// Set for an attempt.
	class     string
	function  string
	budgetEnd time.Duration // when the budget is spent; an attempt that is still queued then is not sent

	connection *connection   // the connection that carries the call; nil before connection.send
	sentAt     time.Duration // when the call was written
	endOffset  int           // number of bytes written on the connection up to the end of the call
	resends    int           // number of times the call was moved to another connection because its connection ended
	written    bool
	withdrawn  bool // the delivery of a written attempt is watched, see connection.watchDelivery

	// needsReadyWorker is true for a load command with a count above 0: only a ready worker loads instances.
	needsReadyWorker bool
}

// newAttemptCall returns the call for an attempt whose budget is spent at budgetEnd.
func newAttemptCall(attemptID router.AttemptID, request *router.Request, class string,
	budgetEnd time.Duration,
) *pendingCall {
	return &pendingCall{
		kind:      attemptCall,
		attemptID: attemptID,
		wireID:    request.ID,
		body:      request.Body,
		class:     class,
		function:  request.FunctionKey,
		budgetEnd: budgetEnd,
	}
}

// encodeAttemptHeader returns the header of an attempt that is written at now. The header gives the worker the budget
// that remains at now, because the attempt may have waited for a dial. The budget is rounded down to milliseconds and
// is at least 1 ms.
func (call *pendingCall) encodeAttemptHeader(now time.Duration) []byte {
	budget := max((call.budgetEnd - now).Milliseconds(), 1)
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", call.class, call.function, budget)
	return encodeHeader(len(call.body), commandRun, call.wireID, fields)
}

// newLoadCommandCall returns the command to keep this number of instances of a function loaded. With 0, the worker only
// reports how many instances are loaded.
func newLoadCommandCall(controlID router.ControlID, function policy.FunctionID, instances int) *pendingCall {
	wireID := loadCommandWireID(controlID)
	fields := fmt.Sprintf("path=%s,count=%d", formatFunctionID(function), instances)
	return &pendingCall{
		kind:             loadCommandCall,
		controlID:        controlID,
		wireID:           wireID,
		command:          encodeCommand(commandLoad, wireID, fields),
		needsReadyWorker: instances > 0,
	}
}

// newHealthCheckCall returns the health check with this ControlID.
func newHealthCheckCall(controlID router.ControlID) *pendingCall {
	wireID := healthCheckWireID(controlID)
	return &pendingCall{
		kind:      healthCheckCall,
		controlID: controlID,
		wireID:    wireID,
		command:   encodeCommand(commandHealthCheck, wireID),
	}
}

// newKeepAliveCall returns a keep-alive check whose wire ID contains number.
func newKeepAliveCall(number uint64) *pendingCall {
	wireID := formatWireID(keepAlivePrefix, number)
	return &pendingCall{
		kind:    keepAliveCall,
		wireID:  wireID,
		command: encodeCommand(commandKeepAlive, wireID),
	}
}

// Prefixes of the wire IDs, one for each kind of call except attempts. The wire ID of an attempt is the request's ID,
// 16 hex digits without a prefix, so a prefix must not be a hex digit.
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

// formatWireID returns the wire ID of a call that is not an attempt: the prefix of its kind and a decimal number.
func formatWireID(prefix string, number uint64) string {
	return prefix + strconv.FormatUint(number, 10)
}

// formatFunctionID returns a function's ID in the format of router.Request.FunctionKey.
func formatFunctionID(function policy.FunctionID) string {
	return fmt.Sprintf("%016x", uint64(function))
}

// sortedByWireID returns calls in the lexical order of their wire IDs. The end of each call is an event for the policy,
// and a run must be reproducible: with the random iteration order of a map, equal runs would deliver different
// sequences.
func sortedByWireID(calls map[string]*pendingCall) []*pendingCall {
	return slices.SortedFunc(maps.Values(calls), func(a, b *pendingCall) int { return cmp.Compare(a.wireID, b.wireID) })
}

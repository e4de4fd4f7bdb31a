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

// callKind tells what a call asks of the worker.
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
// id: all attempts of one request have the same, which is why a connection carries each only once (see recentIDs).
type pendingCall struct {
	kind    callKind
	attempt router.AttemptID // of an attempt
	control router.ControlID // of a load command or a health check
	wireID  string

	// What is to be written; nil afterwards. The header of an attempt is encoded only then, with the time that is left.
	header []byte
	body   []byte

	// Of an attempt.
	class    string
	function string
	deadline time.Duration // by which its answer is of use

	connection *connection
	sentAt     time.Duration // when it was written
	resends    int           // how often it was sent again because its connection ended
	written    bool

	// Of a load command: it asks for instances, which only a ready worker loads.
	needsReadyWorker bool
}

// newAttemptCall returns the call of an attempt whose answer is of use until deadline.
func newAttemptCall(attempt router.AttemptID, request *router.Request, class string, deadline time.Duration) *pendingCall {
	return &pendingCall{
		kind:     attemptCall,
		attempt:  attempt,
		wireID:   request.ID,
		body:     request.Body,
		class:    class,
		function: request.FunctionKey,
		deadline: deadline,
	}
}

// encodeAttemptHeader returns the header of an attempt that is written at now. The budget that it gives the worker is what
// is left then: the attempt may have waited for a dial. A budget is at least 1 ms.
func (call *pendingCall) encodeAttemptHeader(now time.Duration) []byte {
	budget := max((call.deadline - now).Milliseconds(), 1)
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", call.class, call.function, budget)
	return encodeHeader(len(call.body), commandRun, call.wireID, fields)
}

// newLoadCommandCall returns the command to have so many instances loaded; 0 asks only how many are.
func newLoadCommandCall(control router.ControlID, function policy.FunctionID, instances int) *pendingCall {
	wireID := loadCommandWireID(control)
	fields := fmt.Sprintf("path=%s,count=%d", formatFunctionID(function), instances)
	return &pendingCall{
		kind:             loadCommandCall,
		control:          control,
		wireID:           wireID,
		header:           encodeCommand(commandLoad, wireID, fields),
		needsReadyWorker: instances > 0,
	}
}

// newHealthCheckCall returns the health check that the caller knows as control.
func newHealthCheckCall(control router.ControlID) *pendingCall {
	wireID := healthCheckWireID(control)
	return &pendingCall{
		kind:    healthCheckCall,
		control: control,
		wireID:  wireID,
		header:  encodeCommand(commandHealthCheck, wireID),
	}
}

// newKeepAliveCall returns the keep-alive check with this number.
func newKeepAliveCall(number uint64) *pendingCall {
	wireID := formatWireID(keepAlivePrefix, number)
	return &pendingCall{
		kind:   keepAliveCall,
		wireID: wireID,
		header: encodeCommand(commandKeepAlive, wireID),
	}
}

// The wire ids of the kinds differ in their first letter. An attempt's is the request's ID, 16 hex digits; it has no
// prefix and is longer than the others.
const (
	loadCommandPrefix = "h"
	healthCheckPrefix = "p"
	keepAlivePrefix   = "n"
)

func loadCommandWireID(control router.ControlID) string {
	return formatWireID(loadCommandPrefix, uint64(control))
}

func healthCheckWireID(control router.ControlID) string {
	return formatWireID(healthCheckPrefix, uint64(control))
}

func formatWireID(prefix string, number uint64) string {
	return prefix + strconv.FormatUint(number, 10)
}

func formatFunctionID(function policy.FunctionID) string {
	return fmt.Sprintf("%016x", uint64(function))
}

// inWireIDOrder returns calls in a fixed order: equal runs must hand the policy equal events.
func inWireIDOrder(calls map[string]*pendingCall) []*pendingCall {
	return slices.SortedFunc(maps.Values(calls), func(a, b *pendingCall) int { return cmp.Compare(a.wireID, b.wireID) })
}

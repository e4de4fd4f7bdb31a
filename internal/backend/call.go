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
	attemptCall callKind = iota
	loadCommandCall
	healthCheckCall // the policy's check of a worker
	keepAliveCall   // a connection's own check of itself, whose end is reported to nobody
)

// String names the kind for logs and test failures.
func (k callKind) String() string {
	switch k {
	case attemptCall:
		return "attempt"
	case loadCommandCall:
		return "load command"
	case healthCheckCall:
		return "health check"
	case keepAliveCall:
		return "keep-alive check"
	}
	return "callKind(" + strconv.Itoa(int(k)) + ")"
}

// pendingCall is a command that has an answer and has not ended.
type pendingCall struct {
	kind    callKind
	attempt router.AttemptID // of an attempt
	control router.ControlID // of a load command or a health check: the caller's name for it
	token   string           // the id on the wire

	// What is to be written; nil once it is. The header of an attempt is encoded then, with the time that is left.
	header []byte
	body   []byte

	// Of an attempt.
	class    string
	function string
	deadline time.Duration // by which its answer is of use

	connection *connection
	written    bool
	sentAt     time.Duration // when it was written
	resends    int           // how often it was sent again because its connection ended
}

// newAttemptCall returns the call of an attempt whose answer is of use until deadline.
func newAttemptCall(a router.AttemptID, r *router.Request, class string, deadline time.Duration) *pendingCall {
	return &pendingCall{
		kind:     attemptCall,
		attempt:  a,
		token:    r.ID,
		body:     r.Body,
		class:    class,
		function: r.FunctionKey,
		deadline: deadline,
	}
}

// encodeAttemptHeader returns the header of an attempt that is written at now. The budget that it gives the worker is what
// is left then: the attempt may have waited for a dial.
func (call *pendingCall) encodeAttemptHeader(now time.Duration) []byte {
	budget := max((call.deadline - now).Milliseconds(), 1)
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", call.class, call.function, budget)
	return encodeHeader(len(call.body), commandRun, call.token, fields)
}

func newLoadCommandCall(control router.ControlID, f policy.FunctionID, count int) *pendingCall {
	token := loadCommandToken(control)
	fields := fmt.Sprintf("path=%s,count=%d", formatFunctionID(f), count)
	return &pendingCall{kind: loadCommandCall, control: control, token: token, header: encodeCommand(commandLoad, token, fields)}
}

func newHealthCheckCall(control router.ControlID) *pendingCall {
	token := healthCheckToken(control)
	return &pendingCall{kind: healthCheckCall, control: control, token: token, header: encodeCommand(commandHealthCheck, token)}
}

// newKeepAliveCall returns the keep-alive check with this number.
func newKeepAliveCall(number uint64) *pendingCall {
	token := "n" + strconv.FormatUint(number, 10)
	return &pendingCall{kind: keepAliveCall, token: token, header: encodeCommand(commandPing, token)}
}

// The tokens of the kinds differ in their first letter. An attempt's is 16 hex digits, which are longer.
func loadCommandToken(control router.ControlID) string {
	return "h" + strconv.FormatUint(uint64(control), 10)
}
func healthCheckToken(control router.ControlID) string {
	return "p" + strconv.FormatUint(uint64(control), 10)
}

func formatFunctionID(f policy.FunctionID) string { return fmt.Sprintf("%016x", uint64(f)) }

// inTokenOrder returns calls in a fixed order: equal runs must hand the policy equal events.
func inTokenOrder(calls map[string]*pendingCall) []*pendingCall {
	return slices.SortedFunc(maps.Values(calls), func(a, b *pendingCall) int { return cmp.Compare(a.token, b.token) })
}

package simwire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"functionrouter/policy"
)

// Action record codes; the wire's own names stand behind them.
const (
	codeSetTimer             = 65 // AFTER
	codeCloseIdleConnections = 66 // HANG_UP
	codeFailRequest          = 67 // DROP_REQUEST
	codeSendAttempt          = 69 // PLACE
	codeSendGossip           = 70 // TELL
	codeSubscribe            = 71 // SUBSCRIBE
	codeLoadInstance         = 72 // MOUNT
	codeCheckHealth          = 73 // ASK_LOAD
	codeUnloadInstance       = 74 // UNMOUNT
	codeLogLine              = 75 // WRITE_LOG
	codeCancelAttempt        = 76 // STOP_ATTEMPT
	codeFetchEndpoints       = 77 // SNAPSHOT
	codeRefuseRequest        = 78 // DECLINE
)

// allPeers addresses gossip to every other instance.
const allPeers = math.MaxUint32

// Reply gathers the actions that answer one batch. The zero value is an empty reply.
type Reply struct{ records encoder }

// Add appends an instance's actions.
func (r *Reply) Add(instance uint16, actions []policy.Action) {
	for _, action := range actions {
		r.records.action(instance, action)
	}
}

// Flush writes the reply to batch seq as one frame and empties the reply. Its error is the writer's.
func (r *Reply) Flush(w io.Writer, seq uint32) error {
	var frame encoder
	frame.u32(seq)
	frame.u32(uint32(len(r.records.b)))
	_, err := w.Write(append(frame.b, r.records.b...))
	r.records.b = r.records.b[:0]
	return err
}

// encoder appends records to b.
type encoder struct{ b []byte }

func (e *encoder) u8(v uint8)                    { e.b = append(e.b, v) }
func (e *encoder) u16(v uint16)                  { e.b = binary.BigEndian.AppendUint16(e.b, v) }
func (e *encoder) u32(v uint32)                  { e.b = binary.BigEndian.AppendUint32(e.b, v) }
func (e *encoder) u64(v uint64)                  { e.b = binary.BigEndian.AppendUint64(e.b, v) }
func (e *encoder) millis(d time.Duration)        { e.u64(math.Float64bits(toMillis(d))) }
func (e *encoder) request(id policy.RequestID)   { e.u32(uint32(id)) }
func (e *encoder) function(id policy.FunctionID) { e.u64(uint64(id)) }

// worker appends a worker's address and port, which together are its id.
func (e *encoder) worker(id policy.WorkerID) {
	e.u32(uint32(id >> 16))
	e.u16(uint16(id))
}

// counted appends a string of bytes with its length in front.
func (e *encoder) counted(data []byte) {
	e.u16(uint16(len(data)))
	e.b = append(e.b, data...)
}

// header begins a record.
func (e *encoder) header(code uint8, instance uint16) {
	e.u8(code)
	e.u16(instance)
}

// action appends one action's record.
func (e *encoder) action(instance uint16, action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		e.sendAttempt(instance, a)
	case policy.CancelAttempt:
		e.cancelAttempt(instance, a)
	case policy.RefuseRequest:
		e.refuseRequest(instance, a)
	case policy.FailRequest:
		e.failRequest(instance, a)
	case policy.LoadInstance:
		e.loadInstance(instance, a)
	case policy.UnloadInstance:
		e.unloadInstance(instance, a)
	case policy.CheckHealth:
		e.checkHealth(instance, a)
	case policy.SendGossip:
		e.sendGossip(instance, a)
	case policy.SetTimer:
		e.setTimer(instance, a)
	case policy.Subscribe:
		e.subscribe(instance, a)
	case policy.FetchEndpoints:
		e.header(codeFetchEndpoints, instance)
	case policy.CloseIdleConnections:
		e.closeIdleConnections(instance, a)
	case policy.LogLine:
		e.logLine(instance, a)
	}
}

func (e *encoder) sendAttempt(instance uint16, a policy.SendAttempt) {
	e.header(codeSendAttempt, instance)
	e.request(a.Request)
	e.worker(a.Worker)
	e.millis(a.Timeout)
}

func (e *encoder) cancelAttempt(instance uint16, a policy.CancelAttempt) {
	e.header(codeCancelAttempt, instance)
	e.request(a.Request)
	e.u16(uint16(a.Attempt))
}

// refuseRequest leaves out the reason, which the wire doesn't carry.
func (e *encoder) refuseRequest(instance uint16, a policy.RefuseRequest) {
	e.header(codeRefuseRequest, instance)
	e.request(a.Request)
	e.millis(a.RetryAfter)
}

// failRequest leaves out the reason, which the wire doesn't carry.
func (e *encoder) failRequest(instance uint16, a policy.FailRequest) {
	e.header(codeFailRequest, instance)
	e.request(a.Request)
}

func (e *encoder) loadInstance(instance uint16, a policy.LoadInstance) {
	e.header(codeLoadInstance, instance)
	e.u8(uint8(a.Instances))
	e.function(a.Function)
	e.worker(a.Worker)
}

func (e *encoder) unloadInstance(instance uint16, a policy.UnloadInstance) {
	e.header(codeUnloadInstance, instance)
	e.worker(a.Worker)
	e.function(a.Function)
}

func (e *encoder) checkHealth(instance uint16, a policy.CheckHealth) {
	e.header(codeCheckHealth, instance)
	e.worker(a.Worker)
}

func (e *encoder) sendGossip(instance uint16, a policy.SendGossip) {
	to := uint32(a.To)
	if a.To < 0 {
		to = allPeers
	}
	e.header(codeSendGossip, instance)
	e.u32(to)
	e.counted(a.Data)
}

func (e *encoder) setTimer(instance uint16, a policy.SetTimer) {
	e.header(codeSetTimer, instance)
	e.millis(a.After)
	e.u64(a.Token)
}

func (e *encoder) subscribe(instance uint16, a policy.Subscribe) {
	on := uint8(0)
	if a.On {
		on = 1
	}
	e.header(codeSubscribe, instance)
	e.u8(on)
}

func (e *encoder) closeIdleConnections(instance uint16, a policy.CloseIdleConnections) {
	e.header(codeCloseIdleConnections, instance)
	e.worker(a.Worker)
}

func (e *encoder) logLine(instance uint16, a policy.LogLine) {
	e.header(codeLogLine, instance)
	e.counted([]byte(a.Text))
}

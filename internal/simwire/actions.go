package simwire

import (
	"math"

	"functionrouter/policy"
)

// allPeers addresses gossip to every other simulated router.
const allPeers = math.MaxUint32

// action appends one action's record: its header, then its fields in the wire's order. The reasons of refused and
// failed requests are left out, since the wire does not carry them. Numbers wider than their field are cut off, not
// checked.
func (e *encoder) action(router RouterIndex, action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		e.requestRecord(codeSendAttempt, router, a.Request)
		e.worker(a.Worker)
		e.millis(a.Timeout)
	case policy.CancelAttempt:
		e.requestRecord(codeCancelAttempt, router, a.Request)
		e.u16(uint16(a.Attempt))
	case policy.RefuseRequest:
		e.requestRecord(codeRefuseRequest, router, a.Request)
		e.millis(a.RetryAfter)
	case policy.FailRequest:
		e.requestRecord(codeFailRequest, router, a.Request)
	case policy.LoadInstance:
		e.loadInstance(router, a)
	case policy.UnloadInstance:
		e.workerRecord(codeUnloadInstance, router, a.Worker)
		e.function(a.Function)
	case policy.CheckHealth:
		e.workerRecord(codeCheckHealth, router, a.Worker)
	case policy.CloseIdleConnections:
		e.workerRecord(codeCloseIdleConnections, router, a.Worker)
	case policy.SendGossip:
		e.sendGossip(router, a)
	case policy.SetTimer:
		e.header(codeSetTimer, router)
		e.millis(a.After)
		e.u64(a.Token)
	case policy.Subscribe:
		e.header(codeSubscribe, router)
		e.boolean(a.On)
	case policy.FetchEndpoints:
		e.header(codeFetchEndpoints, router)
	case policy.LogLine:
		e.header(codeLogLine, router)
		e.counted([]byte(a.Text))
	}
}

// requestRecord begins a record whose first field is a request.
func (e *encoder) requestRecord(code uint8, router RouterIndex, request policy.RequestID) {
	e.header(code, router)
	e.request(request)
}

// workerRecord begins a record whose first field is a worker.
func (e *encoder) workerRecord(code uint8, router RouterIndex, worker policy.WorkerID) {
	e.header(code, router)
	e.worker(worker)
}

// loadInstance appends the record of a load command.
func (e *encoder) loadInstance(router RouterIndex, a policy.LoadInstance) {
	e.header(codeLoadInstance, router)
	e.u8(uint8(a.Instances))
	e.function(a.Function)
	e.worker(a.Worker)
}

// sendGossip appends the record of a gossip message to one or all of the other simulated routers.
func (e *encoder) sendGossip(router RouterIndex, a policy.SendGossip) {
	to := uint32(a.To)
	if a.To < 0 {
		to = allPeers
	}
	e.header(codeSendGossip, router)
	e.u32(to)
	e.counted(a.Data)
}

package simwire

import (
	"math"

	"functionrouter/policy"
)

// allPeers is the recipient of gossip that goes to every other simulated router.
const allPeers = math.MaxUint32

// action appends the record of one action: its header, then its fields in the order of the wire. It omits the reasons
// of refused and failed requests, because the wire has no field for them. A number that is wider than its field is
// truncated without an error.
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
		e.lengthPrefixed([]byte(a.Text))
	}
}

// requestRecord appends the header and the first field of a record whose first field is a request.
func (e *encoder) requestRecord(code uint8, router RouterIndex, request policy.RequestID) {
	e.header(code, router)
	e.request(request)
}

// workerRecord appends the header and the first field of a record whose first field is a worker.
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

// sendGossip appends the record of a gossip message to one other simulated router, or to all of them.
func (e *encoder) sendGossip(router RouterIndex, a policy.SendGossip) {
	recipient := uint32(a.To)
	if a.To < 0 {
		recipient = allPeers
	}
	e.header(codeSendGossip, router)
	e.u32(recipient)
	e.lengthPrefixed(a.Data)
}

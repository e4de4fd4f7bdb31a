package simwire

import "functionrouter/policy"

// RouterStarted says that a simulated router starts, or restarts without any state.
type RouterStarted struct {
	Seed     uint64 // seed of the simulated router's random number generator
	Settings []byte // JSON text for ParseSettings; the caller of ReadBatch owns it
}

// RouterKilled says that a simulated router was killed and lost all of its state.
type RouterKilled struct{}

// record reads the next record. It returns the decoder's first error.
func (d *decoder) record() (Record, error) {
	code := d.u8()
	r := Record{Router: RouterIndex(d.u16())}
	r.Event = d.event(code)
	return r, d.err
}

// event reads the fields of the event with this code. The result has one of the types that Record.Event lists. An
// unknown code is recorded as an error, and the result is nil.
func (d *decoder) event(code uint8) any {
	switch code {
	case codeResponseStarted:
		return d.responseStarted()
	case codeAttemptEnded:
		return d.attemptEnded()
	case codeClientCancelled:
		return policy.ClientCancelled{Request: d.request()}
	case codeRouterKilled:
		return RouterKilled{}
	case codeHealthCheckEnded:
		return d.healthCheckEnded()
	case codeEndpointUpdate:
		return d.endpointUpdate()
	case codeTimerFired:
		return policy.TimerFired{Token: d.u64()}
	case codeGossipReceived:
		return d.gossipReceived()
	case codeRouterStarted:
		return d.routerStarted()
	case codeRequestArrived:
		return d.requestArrived()
	case codeLoadCommandEnded:
		return d.loadCommandEnded()
	}
	d.fail(unknownCodeError{"record code", code})
	return nil
}

// routerStarted reads the fields of the start of a simulated router.
func (d *decoder) routerStarted() RouterStarted {
	var e RouterStarted
	e.Seed = d.u64()
	e.Settings = d.bytes(d.u32())
	return e
}

// Bits of a request's flags. The other bits are ignored.
const (
	flagWorkHint = 1 << 0 // the work hint is valid
	flagRepeat   = 1 << 1 // the client has sent the request before
)

// requestArrived reads the fields of a request that a client has sent. The field of the work hint is always present; it
// is valid only if flagWorkHint is set.
func (d *decoder) requestArrived() policy.RequestArrived {
	var e policy.RequestArrived
	e.Request = d.request()
	e.Tenant = int(d.u16())
	e.LoadTime = d.millis32()
	flags := d.u8()
	e.IsRepeat = flags&flagRepeat != 0
	e.Function = d.function()
	e.Concurrency = d.f32()
	e.MemoryMB = d.f32()
	e.Class = int(d.u16())
	workHint := d.millis()
	if flags&flagWorkHint != 0 {
		e.WorkHint = workHint
	}
	e.TimeLeft = d.millis()
	return e
}

// responseStarted reads the fields of the start of a worker's response. It skips the worker, because the attempt
// determines the worker, and the time since the attempt was sent, because the policy does not use that time.
func (d *decoder) responseStarted() policy.ResponseStarted {
	var e policy.ResponseStarted
	e.Request = d.request()
	e.Attempt = int(d.u16())
	d.worker()
	d.millis() // time since the attempt was sent
	return e
}

// attemptEnded reads the fields of the outcome of an attempt.
func (d *decoder) attemptEnded() policy.AttemptEnded {
	var e policy.AttemptEnded
	e.Request = d.request()
	e.Worker = d.worker()
	e.InstanceStatus, e.FunctionConcurrency = splitInfoByte(d.u8())
	e.RequestClosed = d.u8() != 0
	e.Outcome = d.outcome()
	e.Attempt = int(d.u16())
	e.Duration = d.millis()
	e.LoadReport = d.loadReport()
	return e
}

// splitInfoByte splits the info byte of an attempt's outcome. The lower three bits hold the code of the status of the
// function's instance; a code that is not an index of instanceStatuses stands for policy.InstanceUnknown. The upper
// five bits hold the number of requests for the function that were at the worker.
func splitInfoByte(info uint8) (status policy.InstanceStatus, concurrency int) {
	const statusBits = 3
	const statusMask = 1<<statusBits - 1
	status = policy.InstanceUnknown
	if code := int(info & statusMask); code < len(instanceStatuses) {
		status = instanceStatuses[code]
	}
	return status, int(info >> statusBits)
}

// healthCheckEnded reads the fields of the outcome of a health check.
func (d *decoder) healthCheckEnded() policy.HealthCheckEnded {
	var e policy.HealthCheckEnded
	e.Duration = d.millis()
	e.Outcome = d.outcome()
	e.Worker = d.worker()
	e.LoadReport = d.loadReport()
	return e
}

// loadCommandEnded reads the fields of the outcome of a load command.
func (d *decoder) loadCommandEnded() policy.LoadCommandEnded {
	var e policy.LoadCommandEnded
	e.Worker = d.worker()
	e.Function = d.function()
	e.Outcome = d.outcome()
	e.Duration = d.millis()
	e.Instances = int(d.u8())
	return e
}

// gossipReceived reads the fields of a message from another simulated router.
func (d *decoder) gossipReceived() policy.GossipReceived {
	var e policy.GossipReceived
	e.From = int(d.u16())
	e.Data = d.bytes(uint32(d.u16()))
	return e
}

// endpointLength is the length of one entry of an endpoint list, in bytes.
const endpointLength = 24

// endpointUpdate reads an endpoint list and skips the list's version. It compares the number of entries with the
// remaining bytes before it reads the entries, so that a malformed number does not make it allocate memory. It checks
// the code of the kind only after it has read the version and the number of entries, so that a list that ends within
// these two fields is reported as truncated, even if the code of its kind is unknown too.
func (d *decoder) endpointUpdate() policy.EndpointUpdate {
	kindCode := d.u8()
	d.u32() // version of the list
	count := d.u32()
	kind := decodeCode(d, "endpoint update kind", kindCode, updateKinds)
	if uint64(count)*endpointLength > uint64(len(d.rest)) {
		d.fail(errTruncated)
	}
	if d.err != nil {
		return policy.EndpointUpdate{}
	}
	e := policy.EndpointUpdate{Kind: kind}
	for range count {
		e.Endpoints = append(e.Endpoints, d.endpoint())
	}
	return e
}

// endpoint reads one entry of an endpoint list, which takes endpointLength bytes.
func (d *decoder) endpoint() policy.Endpoint {
	var e policy.Endpoint
	e.Worker = d.worker()
	e.Zone = int(d.u16())
	e.State = d.workerState()
	e.Weight = d.f32()
	e.Cell = int(d.u16())
	d.u8() // machine kind, not used
	e.StartedAt = d.millis()
	return e
}

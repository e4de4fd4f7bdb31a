package simwire

import "functionrouter/policy"

// Event record codes; the wire's own names stand behind them.
const (
	codeResponseStarted  = 1  // ACK_FIRST
	codeAttemptEnded     = 2  // OUTCOME
	codeClientCancelled  = 3  // ABORTED
	codeInstanceKilled   = 4  // KILL
	codeHealthCheckEnded = 5  // HEALTH_RESULT
	codeEndpointUpdate   = 6  // TARGETS
	codeTimerFired       = 7  // REMINDER
	codeGossipReceived   = 8  // MESSAGE
	codeInstanceStarted  = 9  // INIT
	codeRequestArrived   = 10 // INCOMING
	codeLoadCommandEnded = 11 // READY_THERE
)

// InstanceStarted says that an instance starts.
type InstanceStarted struct {
	Seed     uint64 // for the instance's random numbers
	Settings []byte // JSON, for ParseSettings
}

// InstanceKilled says that an instance was killed, with all of its state.
type InstanceKilled struct{}

// record reads the next record.
func (d *decoder) record() (Record, error) {
	code := d.u8()
	r := Record{Instance: d.u16()}
	r.Event = d.event(code)
	return r, d.err
}

// event reads the fields of an event.
func (d *decoder) event(code uint8) any {
	switch code {
	case codeResponseStarted:
		return d.responseStarted()
	case codeAttemptEnded:
		return d.attemptEnded()
	case codeClientCancelled:
		return policy.ClientCancelled{Request: d.request()}
	case codeInstanceKilled:
		return InstanceKilled{}
	case codeHealthCheckEnded:
		return d.healthCheckEnded()
	case codeEndpointUpdate:
		return d.endpointUpdate()
	case codeTimerFired:
		return policy.TimerFired{Token: d.u64()}
	case codeGossipReceived:
		return d.gossipReceived()
	case codeInstanceStarted:
		return d.instanceStarted()
	case codeRequestArrived:
		return d.requestArrived()
	case codeLoadCommandEnded:
		return d.loadCommandEnded()
	}
	d.fail(unknownCodeError{"record code", code})
	return nil
}

func (d *decoder) instanceStarted() InstanceStarted {
	var e InstanceStarted
	e.Seed = d.u64()
	e.Settings = d.bytes(d.u32())
	return e
}

// The bits of a request's flags that are used.
const (
	flagWorkHint = 1 << 0 // the work hint is valid
	flagRetry    = 1 << 1 // the client has tried before
)

func (d *decoder) requestArrived() policy.RequestArrived {
	var e policy.RequestArrived
	e.Request = d.request()
	e.Tenant = int(d.u16())
	e.LoadTime = d.millis32()
	flags := d.u8()
	e.IsRetry = flags&flagRetry != 0
	e.Function = d.function()
	e.Concurrency = d.f32()
	e.MemoryMB = d.f32()
	e.Class = int(d.u16())
	if hint := d.millis(); flags&flagWorkHint != 0 {
		e.WorkHint = hint
	}
	e.TimeLeft = d.millis()
	return e
}

// responseStarted skips the worker and the time since the send, which the attempt's number makes superfluous.
func (d *decoder) responseStarted() policy.ResponseStarted {
	var e policy.ResponseStarted
	e.Request = d.request()
	e.Attempt = int(d.u16())
	d.worker()
	d.f64()
	return e
}

func (d *decoder) attemptEnded() policy.AttemptEnded {
	var e policy.AttemptEnded
	e.Request = d.request()
	e.Worker = d.worker()
	e.InstanceStatus, e.FunctionConcurrency = splitInfo(d.u8())
	e.RequestClosed = d.u8() != 0
	e.Outcome = d.outcome()
	e.Attempt = int(d.u16())
	e.Duration = d.millis()
	e.LoadReport = d.loadReport()
	return e
}

// splitInfo splits the info byte of an outcome: the instance's status in the lower three bits, above it how many
// requests of the function the worker held.
func splitInfo(info uint8) (status policy.InstanceStatus, concurrency int) {
	const statusBits = 3
	status = policy.InstanceStatus(info & (1<<statusBits - 1))
	if status > policy.LoadFailed {
		status = policy.InstanceUnknown
	}
	return status, int(info >> statusBits)
}

func (d *decoder) healthCheckEnded() policy.HealthCheckEnded {
	var e policy.HealthCheckEnded
	e.Duration = d.millis()
	e.Outcome = d.outcome()
	e.Worker = d.worker()
	e.LoadReport = d.loadReport()
	return e
}

func (d *decoder) loadCommandEnded() policy.LoadCommandEnded {
	var e policy.LoadCommandEnded
	e.Worker = d.worker()
	e.Function = d.function()
	e.Outcome = d.outcome()
	e.Duration = d.millis()
	e.Instances = int(d.u8())
	return e
}

func (d *decoder) gossipReceived() policy.GossipReceived {
	var e policy.GossipReceived
	e.From = int(d.u16())
	e.Data = d.bytes(uint32(d.u16()))
	return e
}

// endpointLength is how many bytes one entry of a list takes.
const endpointLength = 24

func (d *decoder) endpointUpdate() policy.EndpointUpdate {
	kind := d.u8()
	d.u32() // version of the list
	count := d.u32()
	if kind > uint8(policy.UpdateFailed) {
		d.fail(unknownCodeError{"list mode", kind})
		return policy.EndpointUpdate{}
	}
	if uint64(count)*endpointLength > uint64(len(d.rest)) {
		d.fail(errTruncated)
		return policy.EndpointUpdate{}
	}
	e := policy.EndpointUpdate{Kind: policy.EndpointUpdateKind(kind)}
	for range count {
		e.Endpoints = append(e.Endpoints, d.endpoint())
	}
	return e
}

func (d *decoder) endpoint() policy.Endpoint {
	var e policy.Endpoint
	e.Worker = d.worker()
	e.Zone = int(d.u16())
	e.State = d.workerState()
	e.Weight = d.f32()
	e.Cell = int(d.u16())
	d.u8() // kind of the machine
	e.StartedAt = d.millis()
	return e
}

func (d *decoder) workerState() policy.WorkerState {
	state := d.u8()
	if state > uint8(policy.Draining) {
		d.fail(unknownCodeError{"worker state", state})
		return 0
	}
	return policy.WorkerState(state)
}

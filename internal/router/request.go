package router

import (
	"net/netip"
	"time"

	"functionrouter/policy"
)

// Frontend names the listener protocol that a request arrived by.
type Frontend uint8

// The frontends.
const (
	Thrift  Frontend = iota // thrift
	Webhook                 // webhook
)

const frontendCount = Webhook + 1

// UnknownTenant is the Tenant of a request that names none that the settings know.
const UnknownTenant = -1

// CancelCause says how a client made known that it no longer waits.
type CancelCause uint8

// The causes. Their names stand in the log.
const (
	// ClientInterrupted: the client withdrew the request.
	ClientInterrupted CancelCause = iota // client_interrupted
	// ClientDisconnected: the client's connection ended.
	ClientDisconnected // client_disconnected
)

// Request is what a client asks for, as a frontend read it.
type Request struct {
	Frontend  Frontend
	Responder Responder
	// ID is the client's text. It must be unique among the pending requests: those that are open, and those that are
	// closed and have attempts in flight. Submit fails a duplicate.
	ID              string
	ClientReference string // the client's own name for the request where that is not the ID, else ""
	Class           int    // index in the settings
	Tenant          int    // index in the settings, or UnknownTenant
	FunctionKey     string // the client's text for the function
	Function        policy.FunctionID
	MemoryMB        float64       // memory of one instance of the function
	Concurrency     float64       // requests that one instance runs at a time
	LoadTime        time.Duration // usual time to load an instance; 0: not given
	Body            []byte
	Deadline        time.Duration // time by which the final answer must have left, see AnswerBudget

	ClientAddr netip.AddrPort // for flow records only
	ReceivedAt time.Duration  // set by Submit and RefuseAtOnce
}

package router

import (
	"net/netip"
	"time"

	"functionrouter/policy"
)

// Frontend is the protocol by which a request arrived.
type Frontend uint8

// The frontends.
const (
	Thrift  Frontend = iota // thrift
	Webhook                 // webhook
)

const frontendCount = Webhook + 1

// UnknownTenant is the Tenant of a request that names no tenant, or one that is not in the settings.
const UnknownTenant = -1

// CancelCause is the reason for which the Router cancels a request whose client has stopped waiting for an answer.
type CancelCause uint8

// The causes. Their names appear in the log.
const (
	// ClientInterrupted: the client withdrew the request.
	ClientInterrupted CancelCause = iota // client_interrupted
	// ClientDisconnected: the client's connection ended.
	ClientDisconnected // client_disconnected
)

// Request is a client's request as parsed by a frontend.
type Request struct {
	Frontend  Frontend
	Responder Responder
	// Input is the connection over which the request arrived. nil: the request does not depend on a connection.
	Input Input
	// ID is the request's id as text: the client's own or one that the frontend generated. It must be unique among the
	// pending requests: those that are open, and those that are closed but have attempts in flight. Submit answers a
	// duplicate with Failed. A request whose ID an ended one had that may have run is treated as a repeat of that one.
	ID              string
	ClientReference string // the client's own name for the request if it differs from the ID, otherwise ""
	Class           int    // index in the settings
	Tenant          int    // index in the settings, or UnknownTenant
	FunctionKey     string // the function's key as the client sent it
	Function        policy.FunctionID
	MemoryMB        float64       // memory of one instance of the function, in MiB
	Concurrency     float64       // number of requests that one instance runs at a time
	LoadTime        time.Duration // usual time to load an instance; 0 if not given
	Body            []byte
	Deadline        time.Duration // time by which the final answer must be written, see AnswerBudget

	// GivesUpAt is when the client stops waiting, as far as the frontend knows; 0: not known. It only serves to report
	// late answers.
	GivesUpAt time.Duration
	InputWait time.Duration // for how long the request may have waited unread before it was submitted

	ClientAddr netip.AddrPort // for flow records only
	ReceivedAt time.Duration  // set by Submit and RefuseAtOnce
}

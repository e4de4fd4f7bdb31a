package webhook

import (
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// ReceiverOptions holds the settings and dependencies of a Receiver.
type ReceiverOptions struct {
	File    *Config // from ReadConfig; the Receiver keeps the pointer and does not modify the Config
	Router  RequestRouter
	Classes []Class // in the sequence of the router's settings, because a request carries the index of its class

	// MaxReplayBytes bounds the total size of the bodies that are kept for redeliveries. While the total is above it,
	// first deliveries are refused. The outcomes of requests that are already pending may exceed it.
	MaxReplayBytes int

	// Now is the event loop's clock.
	Now func() time.Duration
	// WallClock returns the time for the check of signatures and for the ledger. It may be called on any goroutine and
	// must be safe for concurrent use.
	WallClock func() time.Time

	// RunOnLoop queues a function that the event loop's goroutine runs later. It may be called on any goroutine and
	// must not block.
	RunOnLoop func(func())
}

// Class is a class of requests.
type Class struct {
	Name          string
	CarriesOrders bool          // its requests must never run twice, so the ledger records them
	MaxWait       time.Duration // upper bound of the wait for the final answer, and its default
}

// RequestRouter routes the requests of deliveries. *router.Router implements it.
type RequestRouter interface {
	// Submit routes a request and returns its ID. now is the time on the event loop's clock. Unless the request is
	// cancelled, its Responder receives the final answer once, either before Submit returns, in which case the ID must not
	// be used, or later on the event loop's goroutine. The Responder may call Submit again before it returns.
	Submit(now time.Duration, r router.Request) policy.RequestID
	// Abandon prevents further attempts of a request whose client has disconnected. It returns true if it has cancelled
	// the request, because no attempt has begun.
	Abandon(now time.Duration, id policy.RequestID) (ended bool)
	// Resume takes back Abandon.
	Resume(id policy.RequestID)
}

package webhook

import (
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// ReceiverOptions is what a Receiver is built from.
type ReceiverOptions struct {
	File    *Config // from ReadConfig; the Receiver keeps it and does not change it
	Router  RequestRouter
	Classes []Class // as the settings list them: a request carries the index of its own

	// MaxReplayBytes bounds the bodies that are kept for redeliveries, together: above it, first deliveries are refused.
	// Requests that are already pending may exceed it by their outcomes.
	MaxReplayBytes int

	// Now is the event loop's clock.
	Now func() time.Duration
	// WallClock gives the time for signatures, which carry it, and for the ledger. It may be called on any goroutine, also
	// on two at the same time.
	WallClock func() time.Time

	// RunOnLoop queues a function to be run later on the event loop's goroutine. It may be called on any goroutine, and
	// must not block.
	RunOnLoop func(func())
}

// Class is a class of requests.
type Class struct {
	Name          string
	CarriesOrders bool          // its requests must never run twice: they go through the ledger
	MaxWait       time.Duration // bounds the wait for the final answer; it is the wait if the payload gives none
}

// RequestRouter routes the requests that deliveries carry. A *router.Router is one.
type RequestRouter interface {
	// Submit routes a request and returns its ID, which the Receiver ignores: it never cancels a request. now is the event
	// loop's clock. The request's Responder gets the final answer once, before Submit returns or later on the event loop's
	// goroutine. It may call Submit again before it returns.
	Submit(now time.Duration, r router.Request) policy.RequestID
}

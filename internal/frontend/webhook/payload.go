package webhook

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"functionrouter/internal/frontend/fieldvalue"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// payloadType is the type of the events that the Receiver accepts.
const payloadType = "call.requested"

// maxRequestBodyBytes bounds the body of a delivery's request after it has been decoded from base64. The Thrift
// frontend has the same limit.
const maxRequestBodyBytes = 16 << 10

// Reasons to refuse a payload.
var (
	errMalformedPayload    = errors.New("payload can't be decoded")
	errUnknownType         = errors.New("type is not " + payloadType)
	errUnknownClass        = errors.New("unknown class")
	errRequestBodyTooLarge = errors.New("body is too long")
	errMalformedKey        = errors.New("key is not 16 hex digits in lower case")
	errValueOutOfRange     = errors.New("wait_ms, memory_mb, lanes or load_ms is out of range")
	errTimestampOutOfRange = errors.New("timestamp's year is not within 0 to 9999, or its offset is not within 23:59")
	errOutsideRetention    = errors.New("the order's timestamp is outside the ledger's retention")
)

// payload is the JSON payload of a delivery. It contains everything that affects the request, because the signature
// covers nothing else but the webhook-id and the timestamp header.
type payload struct {
	Type      string    `json:"type"`
	Timestamp time.Time `json:"timestamp"` // time of the event, RFC 3339; the same in each redelivery
	Data      callData  `json:"data"`
}

// callData is the request in a payload of payloadType. Clients depend on its JSON names. The Go type names payload and
// callData must not change either, because they appear in the log: encoding/json includes them in its errors.
type callData struct {
	Class       string  `json:"class"`
	FunctionKey string  `json:"key"`
	WaitMs      float64 `json:"wait_ms"`   // how long the client waits, in milliseconds; 0 means the class's MaxWait
	MemoryMB    float64 `json:"memory_mb"` // memory of one instance, in MiB
	Concurrency float64 `json:"lanes"`     // number of requests that one instance runs concurrently
	LoadMs      float64 `json:"load_ms"`   // usual time to load an instance, in milliseconds; 0 means unknown
	Body        []byte  `json:"body"`      // base64 in the JSON
}

// deliveredRequest is the request of a delivery. Its Responder, ClientAddr and ClientReference are not set.
type deliveredRequest struct {
	request   router.Request
	eventTime time.Time
	isOrder   bool // the request must never run twice
}

// parsePayload converts a payload whose signature has been verified into a request. It does not retain body. Its errors
// wrap one of the errors above; an error that wraps errMalformedPayload also wraps the error of the JSON decoder.
func (r *Receiver) parsePayload(body []byte) (deliveredRequest, error) {
	var p payload
	if err := json.Unmarshal(body, &p); err != nil {
		return deliveredRequest{}, fmt.Errorf("%w: %w", errMalformedPayload, err)
	}
	class, known := r.classIndexes[p.Data.Class]
	switch {
	case p.Type != payloadType:
		return deliveredRequest{}, errUnknownType
	case !known:
		return deliveredRequest{}, fmt.Errorf("%w %.64q", errUnknownClass, p.Data.Class)
	case len(p.Data.Body) > maxRequestBodyBytes:
		return deliveredRequest{}, fmt.Errorf("%w: %d bytes, maximum %d", errRequestBodyTooLarge, len(p.Data.Body), maxRequestBodyBytes)
	}
	function, valid := fieldvalue.ParseHexID(p.Data.FunctionKey)
	if !valid {
		return deliveredRequest{}, fmt.Errorf("%w: %.64q", errMalformedKey, p.Data.FunctionKey)
	}
	if !p.Data.isInRange() {
		return deliveredRequest{}, fmt.Errorf("%w: wait_ms %v (0 to %d), memory_mb %v (0 to %d), "+
			"lanes %v (0 to %d), load_ms %v (0 to %d)", errValueOutOfRange,
			p.Data.WaitMs, fieldvalue.MaxWaitMs, p.Data.MemoryMB, fieldvalue.MaxMemoryMB,
			p.Data.Concurrency, fieldvalue.MaxConcurrency, p.Data.LoadMs, fieldvalue.MaxLoadMs)
	}
	if !isStorable(p.Timestamp) {
		return deliveredRequest{}, errTimestampOutOfRange
	}
	isOrder := r.classes[class].CarriesOrders
	if isOrder && !r.isWithinRetention(p.Timestamp) {
		return deliveredRequest{}, fmt.Errorf("%w: %v", errOutsideRetention, p.Timestamp)
	}
	request := router.Request{
		Frontend:    router.Webhook,
		Class:       class,
		Tenant:      router.UnknownTenant,
		ID:          newRequestID(),
		FunctionKey: p.Data.FunctionKey,
		Function:    policy.FunctionID(function),
		MemoryMB:    p.Data.MemoryMB,
		Concurrency: p.Data.Concurrency,
		LoadTime:    fieldvalue.Milliseconds(p.Data.LoadMs),
		Body:        p.Data.Body,
		Deadline:    r.now() + router.AnswerBudget(r.clientWait(class, p.Data.WaitMs)),
	}
	return deliveredRequest{request: request, eventTime: p.Timestamp, isOrder: isOrder}, nil
}

// isStorable reports whether the ledger can store an event time. The JSON decoder accepts offsets that RFC 3339 does not
// allow, such as 24 hours, and the encoder does not.
func isStorable(eventTime time.Time) bool {
	_, err := eventTime.MarshalJSON()
	return err == nil
}

// isInRange reports whether every numeric field is within the bounds of package fieldvalue.
func (d *callData) isInRange() bool {
	waitInRange := fieldvalue.InRange(d.WaitMs, fieldvalue.MaxWaitMs)
	memoryInRange := fieldvalue.InRange(d.MemoryMB, fieldvalue.MaxMemoryMB)
	concurrencyInRange := fieldvalue.InRange(d.Concurrency, fieldvalue.MaxConcurrency)
	loadTimeInRange := fieldvalue.InRange(d.LoadMs, fieldvalue.MaxLoadMs)
	return waitInRange && memoryInRange && concurrencyInRange && loadTimeInRange
}

// isWithinRetention reports whether a first delivery of an order with this event time is accepted. It is refused if the
// ledger may already have forgotten the order, because the order may have run. It is also refused if the ledger may
// forget the order while this delivery's signature is still valid, because the delivery could then be sent again and
// the order would run a second time. Orders whose event is more than one tolerance in the future are refused too.
func (r *Receiver) isWithinRetention(eventTime time.Time) bool {
	age := r.wallClock().Sub(eventTime)
	maxAge := r.settings.Ledger.Retention - signatureValidityInTolerances*r.settings.Tolerance
	return age <= maxAge && age >= -r.settings.Tolerance
}

// clientWait returns how long a request may wait for its final answer: waitMs of the payload, but not longer than
// MaxWait of the class with the index class. If waitMs is 0, it returns MaxWait.
func (r *Receiver) clientWait(class int, waitMs float64) time.Duration {
	maxWait := r.classes[class].MaxWait
	wait := fieldvalue.Milliseconds(waitMs)
	if wait == 0 || wait > maxWait {
		return maxWait
	}
	return wait
}

// newRequestID returns a random request ID. Workers receive it in place of the webhook-id.
func newRequestID() string {
	var b [8]byte
	rand.Read(b[:]) // crypto/rand documents that it never fails
	return fmt.Sprintf("%016x", binary.BigEndian.Uint64(b[:]))
}

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

// payloadType is the type of the only event that the Receiver accepts.
const payloadType = "call.requested"

// maxRequestBodyBytes bounds the body of a delivery's request, once it is decoded from base64. It is the limit of the
// Thrift frontend too.
const maxRequestBodyBytes = 16 << 10

// Why a payload is refused.
var (
	errNotJSON             = errors.New("payload can't be decoded")
	errUnknownType         = errors.New("type is not " + payloadType)
	errUnknownClass        = errors.New("unknown class")
	errRequestBodyTooLarge = errors.New("body is too long")
	errMalformedKey        = errors.New("key is not 16 hex digits in lower case")
	errValueOutOfRange    = errors.New("a figure is out of range")
	errOutsideRetention    = errors.New("the order's timestamp is outside the ledger's retention")
)

// payload is the JSON of a delivery. Everything that affects the request is in it, since nothing else is signed but the
// webhook-id and the time.
type payload struct {
	Type      string    `json:"type"`
	Timestamp time.Time `json:"timestamp"` // of the event, RFC 3339; the same in each redelivery
	Data      callData  `json:"data"`
}

// callData is the request that a payload of payloadType carries. Its JSON names are part of the wire. The names of the two
// Go types stand in the log: encoding/json gives them in its errors.
type callData struct {
	Class       string  `json:"class"`
	FunctionKey string  `json:"key"`
	WaitMs      float64 `json:"wait_ms"`   // how long the client waits, in milliseconds; 0: the class's MaxWait
	MemoryMB    float64 `json:"memory_mb"` // of one instance, in MiB
	Concurrency float64 `json:"lanes"`     // requests that one instance runs at a time
	LoadMs      float64 `json:"load_ms"`   // usual time to load an instance, in milliseconds; 0: not given
	Body        []byte  `json:"body"`      // base64 in the JSON
}

// deliveredRequest is the request of a delivery, without its Responder, client address and ClientReference.
type deliveredRequest struct {
	request   router.Request
	eventTime time.Time
	isOrder   bool // it must never run twice
}

// parsePayload turns a payload whose signature was verified into a request. It does not keep body. Its errors are those
// above; errNotJSON is wrapped with the decoder's.
func (r *Receiver) parsePayload(body []byte) (deliveredRequest, error) {
	var p payload
	if err := json.Unmarshal(body, &p); err != nil {
		return deliveredRequest{}, fmt.Errorf("%w: %w", errNotJSON, err)
	}
	class, known := r.classIndexes[p.Data.Class]
	switch {
	case p.Type != payloadType:
		return deliveredRequest{}, errUnknownType
	case !known:
		return deliveredRequest{}, errUnknownClass
	case len(p.Data.Body) > maxRequestBodyBytes:
		return deliveredRequest{}, errRequestBodyTooLarge
	}
	function, valid := fieldvalue.ParseHexID(p.Data.FunctionKey)
	if !valid {
		return deliveredRequest{}, errMalformedKey
	}
	if !p.Data.isInRange() {
		return deliveredRequest{}, errValueOutOfRange
	}
	isOrder := r.classes[class].CarriesOrders
	if isOrder && !r.isWithinRetention(p.Timestamp) {
		return deliveredRequest{}, errOutsideRetention
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

// isInRange reports whether every figure is a number within the bounds of package fieldvalue.
func (d *callData) isInRange() bool {
	waitInRange := fieldvalue.InRange(d.WaitMs, fieldvalue.MaxWaitMs)
	memoryInRange := fieldvalue.InRange(d.MemoryMB, fieldvalue.MaxMemoryMB)
	concurrencyInRange := fieldvalue.InRange(d.Concurrency, fieldvalue.MaxConcurrency)
	loadTimeInRange := fieldvalue.InRange(d.LoadMs, fieldvalue.MaxLoadMs)
	return waitInRange && memoryInRange && concurrencyInRange && loadTimeInRange
}

// isWithinRetention reports whether an order of this event may be a first delivery. It may not if the event is so old that
// the ledger could have forgotten the order, or could forget it while this delivery's signature is still valid: the order
// may have run, or the delivery may be sent again. Nor may it if the event is more than a tolerance in the future.
func (r *Receiver) isWithinRetention(eventTime time.Time) bool {
	age := r.wallClock().Sub(eventTime)
	maxAge := r.settings.Ledger.Retention - signatureValidityInTolerances*r.settings.Tolerance
	return age <= maxAge && age >= -r.settings.Tolerance
}

// clientWait returns how long a request may clientWait for its final answer. class is the index of its class, waitMs the payload's.
func (r *Receiver) clientWait(class int, waitMs float64) time.Duration {
	maxWait := r.classes[class].MaxWait
	wait := fieldvalue.Milliseconds(waitMs)
	if wait == 0 || wait > maxWait {
		return maxWait
	}
	return wait
}

// newRequestID returns a random ID for the workers, which do not know webhook-ids.
func newRequestID() string {
	var b [8]byte
	rand.Read(b[:]) // it never fails: see crypto/rand
	return fmt.Sprintf("%016x", binary.BigEndian.Uint64(b[:]))
}

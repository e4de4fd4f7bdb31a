package webhook

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// callType is the type of the only event that the Receiver takes.
const callType = "call.requested"

// Why a payload is no call.
var (
	errNotJSON          = errors.New("payload can't be decoded")
	errUnknownType      = errors.New("type is not " + callType)
	errUnknownClass     = errors.New("unknown class")
	errCallTooLarge     = errors.New("body is too long")
	errMalformedKey     = errors.New("key is not 16 hex digits in lower case")
	errFigureOutOfRange = errors.New("a figure is out of range")
	errOutsideRetention = errors.New("the order's timestamp is outside the ledger's retention")
)

// payload is the JSON of a delivery. All that matters is in it, since only it is signed.
type payload struct {
	Type      string    `json:"type"`
	Timestamp time.Time `json:"timestamp"` // of the event; the same in each redelivery
	Data      callData  `json:"data"`
}

type callData struct {
	Class    string  `json:"class"`
	Key      string  `json:"key"`     // the function's
	WaitMs   float64 `json:"wait_ms"` // 0: as long as the class allows
	MemoryMB float64 `json:"memory_mb"`
	Lanes    float64 `json:"lanes"` // calls that one instance runs at once
	LoadMs   float64 `json:"load_ms"`
	Body     []byte  `json:"body"` // base64 in the JSON
}

// call is what a delivery asks for.
type call struct {
	request   router.Request
	eventTime time.Time
	isOrder   bool // it must never run twice
}

// parseCall reads a payload whose signature was verified.
func (r *Receiver) parseCall(body []byte) (call, error) {
	var p payload
	if err := json.Unmarshal(body, &p); err != nil {
		return call{}, fmt.Errorf("%w: %w", errNotJSON, err)
	}
	class, known := r.classIndexes[p.Data.Class]
	switch {
	case p.Type != callType:
		return call{}, errUnknownType
	case !known:
		return call{}, errUnknownClass
	case len(p.Data.Body) > maxCallBytes:
		return call{}, errCallTooLarge
	}
	function, valid := router.ParseHexID(p.Data.Key)
	if !valid {
		return call{}, errMalformedKey
	}
	if !p.Data.isInRange() {
		return call{}, errFigureOutOfRange
	}
	isOrder := r.classes[class].Once
	if isOrder && !r.isWithinRetention(p.Timestamp) {
		return call{}, errOutsideRetention
	}
	request := router.Request{
		Frontend:    router.Webhook,
		Class:       class,
		Tenant:      router.UnknownTenant,
		ID:          newRequestID(),
		FunctionKey: p.Data.Key,
		Function:    policy.FunctionID(function),
		MemoryMB:    p.Data.MemoryMB,
		Concurrency: p.Data.Lanes,
		LoadTime:    milliseconds(p.Data.LoadMs),
		Body:        p.Data.Body,
		Deadline:    r.now() + router.AnswerBudget(r.wait(class, p.Data.WaitMs)),
	}
	return call{request: request, eventTime: p.Timestamp, isOrder: isOrder}, nil
}

func (d *callData) isInRange() bool {
	return router.InRange(d.WaitMs, router.MaxWaitMs) && router.InRange(d.MemoryMB, router.MaxMemoryMB) &&
		router.InRange(d.Lanes, router.MaxConcurrency) && router.InRange(d.LoadMs, router.MaxLoadMs)
}

// isWithinRetention reports whether the ledger would still have an order of this time. What is older may have run
// and been forgotten.
func (r *Receiver) isWithinRetention(eventTime time.Time) bool {
	age := r.wallClock().Sub(eventTime)
	return age <= r.settings.Ledger.Retention-2*r.settings.Tolerance && age >= -r.settings.Tolerance
}

// wait returns how long a call may wait for its answer.
func (r *Receiver) wait(class int, waitMs float64) time.Duration {
	longest := r.classes[class].Longest
	wait := milliseconds(waitMs)
	if wait == 0 || wait > longest {
		return longest
	}
	return wait
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// newRequestID returns an id for the workers; they know nothing of webhook-ids.
func newRequestID() string {
	var b [8]byte
	rand.Read(b[:]) // it never fails: see crypto/rand
	return fmt.Sprintf("%016x", binary.BigEndian.Uint64(b[:]))
}

package thrift

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"functionrouter/internal/decimal"
	"functionrouter/internal/frontend/fieldvalue"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// The names of a request's fields on the wire.
const (
	fieldClass       = "class"
	fieldTenant      = "tenant"
	fieldRequestID   = "id"    // 16 lower-case hex digits, different for every request
	fieldFunctionKey = "key"   // the function, 16 lower-case hex digits
	fieldWait        = "wait"  // how long the client waits for the whole reply, in milliseconds
	fieldProperties  = "props" // PROPERTY:NUMBER;PROPERTY:NUMBER...
)

// The names of the properties in fieldProperties on the wire.
const (
	propertyMemory      = "memory_mb" // memory of one instance, in MiB
	propertyConcurrency = "lanes"     // number of requests that one instance runs concurrently
	propertyLoadTime    = "load_ms"   // usual time for loading an instance, in milliseconds

	knownProperties = 3
)

// The reasons why a field is invalid.
var (
	errUnknownClass = errors.New("unknown class")
	errHexID        = errors.New("not 16 lower-case hex digits")
	errOutOfRange   = errors.New("out of range")
	errDuplicate    = errors.New("duplicate")
)

// invalidFieldError reports an invalid field of a request.
type invalidFieldError struct {
	field string // the field's name on the wire, which the client gets as the reason
	err   error  // why the field is invalid; neither sent to the client nor logged
}

func (e *invalidFieldError) Error() string { return fmt.Sprintf("field %q: %v", e.field, e.err) }

func (e *invalidFieldError) Unwrap() error { return e.err }

// decodeExecuteArguments decodes the arguments of execute: the request's fields, by name, and its body. The fields'
// values and the body point into the frame. An error is a protocol violation.
func decodeExecuteArguments(d *decoder) (fields map[string][]byte, body []byte, err error) {
	err = d.messageArguments(func(fieldID uint16, t valueType) bool {
		switch {
		case fieldID == executeFieldsField && t == typeMap:
			fields = d.stringMap()
		case fieldID == executeBodyField && t == typeString:
			body = d.byteString()
		default:
			return false
		}
		return true
	})
	return fields, body, err
}

// parseRequest converts the fields of an execute call into a request without a body, a Responder and a client address.
// The request keeps no reference to fields. A missing or unknown tenant becomes router.UnknownTenant. If several fields
// are invalid, the error names the first one in the order of the checks below. The order matters because the client
// gets this name.
func (s *Server) parseRequest(fields map[string][]byte) (router.Request, *invalidFieldError) {
	class, known := s.classes[string(fields[fieldClass])]
	if !known {
		return router.Request{}, &invalidFieldError{fieldClass, errUnknownClass}
	}
	tenant, known := s.tenants[string(fields[fieldTenant])]
	if !known {
		tenant = router.UnknownTenant
	}
	id := string(fields[fieldRequestID])
	if _, valid := fieldvalue.ParseHexID(id); !valid {
		return router.Request{}, &invalidFieldError{fieldRequestID, errHexID}
	}
	functionKey := string(fields[fieldFunctionKey])
	function, valid := fieldvalue.ParseHexID(functionKey)
	if !valid {
		return router.Request{}, &invalidFieldError{fieldFunctionKey, errHexID}
	}
	wait, err := parseNumber(string(fields[fieldWait]), fieldvalue.MaxWaitMs)
	if err != nil {
		return router.Request{}, &invalidFieldError{fieldWait, err}
	}
	inputTime := s.inputTime()
	waitTime := fieldvalue.Milliseconds(wait)
	request := router.Request{
		Frontend:    router.Thrift,
		ID:          id,
		Class:       class,
		Tenant:      tenant,
		FunctionKey: functionKey,
		Function:    policy.FunctionID(function),
		Deadline:    inputTime + router.AnswerBudget(waitTime),
		GivesUpAt:   inputTime + waitTime,
		InputWait:   max(s.clock()-inputTime, 0),
	}
	if err := parseProperties(string(fields[fieldProperties]), &request); err != nil {
		return router.Request{}, &invalidFieldError{fieldProperties, err}
	}
	return request, nil
}

// parseProperties sets the request's memory, concurrency and load time from the text of fieldProperties, which may be
// empty. A property must not occur twice. After an error the request must not be used.
func parseProperties(text string, request *router.Request) error {
	if text == "" {
		return nil
	}
	names := make([]string, 0, knownProperties)
	for property := range strings.SplitSeq(text, ";") {
		name, number, _ := strings.Cut(property, ":")
		if slices.Contains(names, name) {
			return fmt.Errorf("property %q: %w", name, errDuplicate)
		}
		names = append(names, name)
		if err := parseProperty(name, number, request); err != nil {
			return fmt.Errorf("property %q: %w", name, err)
		}
	}
	return nil
}

// parseProperty sets the field of the request that corresponds to a property. It ignores an unknown property whose
// value is a finite number that is not negative; an unknown property with any other value is an error.
func parseProperty(name, number string, request *router.Request) (err error) {
	switch name {
	case propertyMemory:
		request.MemoryMB, err = parseNumber(number, fieldvalue.MaxMemoryMB)
	case propertyConcurrency:
		request.Concurrency, err = parseNumber(number, fieldvalue.MaxConcurrency)
	case propertyLoadTime:
		var loadMs float64
		loadMs, err = parseNumber(number, fieldvalue.MaxLoadMs)
		request.LoadTime = fieldvalue.Milliseconds(loadMs)
	default:
		_, err = parseNumber(number, math.MaxFloat64)
	}
	return err
}

// parseNumber parses a number from 0 to maximum in decimal notation.
func parseNumber(text string, maximum float64) (float64, error) {
	value, err := decimal.Parse(text)
	if err != nil {
		return 0, err
	}
	if !fieldvalue.InRange(value, maximum) {
		return 0, fmt.Errorf("%w: %v is not between 0 and %v", errOutOfRange, value, maximum)
	}
	return value, nil
}

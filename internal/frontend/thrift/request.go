package thrift

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"functionrouter/internal/frontend/fieldvalue"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// The fields of an execute call, as they are named on the wire.
const (
	fieldClass      = "class"
	fieldTenant     = "tenant"
	fieldID         = "id"    // 16 hex digits, new with every request
	fieldKey        = "key"   // the function, 16 hex digits
	fieldWait       = "wait"  // how long the client waits for the whole reply, in milliseconds
	fieldProperties = "props" // PROPERTY:NUMBER;PROPERTY:NUMBER...
)

// The properties in fieldProperties, as they are named on the wire.
const (
	propertyMemory      = "memory_mb" // of one instance, in MiB
	propertyConcurrency = "lanes"     // requests that one instance runs at a time
	propertyLoadTime    = "load_ms"   // usual time to load an instance, in milliseconds
)

// Why a field can't be used.
var (
	errUnknownClass = errors.New("unknown class")
	errHexID        = errors.New("not 16 lower-case hex digits")
	errOutOfRange   = errors.New("out of range")
)

// invalidFieldError says which field of an execute call can't be used, and why.
type invalidFieldError struct {
	field string // as on the wire; the client gets it as the reason
	err   error
}

func (e *invalidFieldError) Error() string { return fmt.Sprintf("field %q: %v", e.field, e.err) }

func (e *invalidFieldError) Unwrap() error { return e.err }

// decodeExecuteArguments decodes the arguments of execute. What it returns points into the frame.
func decodeExecuteArguments(d *decoder) (fields map[string][]byte, body []byte, err error) {
	err = d.structFields(func(id uint16, t valueType) bool {
		switch {
		case id == executeFieldsID && t == typeMap:
			fields = d.stringMap()
		case id == executeBodyID && t == typeString:
			body = d.byteString()
		default:
			return false
		}
		return true
	})
	return fields, body, err
}

// parseRequest turns the fields of an execute call into a request, without its body, Responder and client address. A
// tenant that is missing or unknown is router.UnknownTenant. Each error is an *invalidFieldError.
func (s *Server) parseRequest(fields map[string][]byte) (router.Request, error) {
	class, known := s.classes[string(fields[fieldClass])]
	if !known {
		return router.Request{}, &invalidFieldError{fieldClass, errUnknownClass}
	}
	tenant, known := s.tenants[string(fields[fieldTenant])]
	if !known {
		tenant = router.UnknownTenant
	}
	id := string(fields[fieldID])
	if _, valid := fieldvalue.ParseHexID(id); !valid {
		return router.Request{}, &invalidFieldError{fieldID, errHexID}
	}
	functionKey := string(fields[fieldKey])
	function, valid := fieldvalue.ParseHexID(functionKey)
	if !valid {
		return router.Request{}, &invalidFieldError{fieldKey, errHexID}
	}
	wait, err := parseNumber(string(fields[fieldWait]), fieldvalue.MaxWaitMs)
	if err != nil {
		return router.Request{}, &invalidFieldError{fieldWait, err}
	}
	request := router.Request{
		Frontend:    router.Thrift,
		ID:          id,
		Class:       class,
		Tenant:      tenant,
		FunctionKey: functionKey,
		Function:    policy.FunctionID(function),
		Deadline:    s.inputTime() + router.AnswerBudget(milliseconds(wait)),
	}
	if err := parseProperties(string(fields[fieldProperties]), &request); err != nil {
		return router.Request{}, &invalidFieldError{fieldProperties, err}
	}
	return request, nil
}

// parseProperties sets the request's memory, concurrency and load time from the text of fieldProperties. A property
// that is not known must be a number too, but is not used.
func parseProperties(text string, request *router.Request) error {
	for text != "" {
		var property string
		property, text, _ = strings.Cut(text, ";")
		name, number, _ := strings.Cut(property, ":")
		maximum := math.MaxFloat64
		switch name {
		case propertyMemory:
			maximum = fieldvalue.MaxMemoryMB
		case propertyConcurrency:
			maximum = fieldvalue.MaxConcurrency
		case propertyLoadTime:
			maximum = fieldvalue.MaxLoadMs
		}
		value, err := parseNumber(number, maximum)
		if err != nil {
			return fmt.Errorf("property %q: %w", name, err)
		}
		switch name {
		case propertyMemory:
			request.MemoryMB = value
		case propertyConcurrency:
			request.Concurrency = value
		case propertyLoadTime:
			request.LoadTime = milliseconds(value)
		}
	}
	return nil
}

// parseNumber parses a decimal number from 0 to maximum.
func parseNumber(text string, maximum float64) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if !fieldvalue.InRange(value, maximum) {
		return 0, fmt.Errorf("%w: %v, from 0 to %v", errOutOfRange, value, maximum)
	}
	return value, nil
}

// milliseconds returns a duration that is given in milliseconds.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

package thrift

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"functionrouter/internal/frontend/fieldvalue"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// The fields of a request, as they are named on the wire.
const (
	fieldClass       = "class"
	fieldTenant      = "tenant"
	fieldRequestID   = "id"    // 16 lower-case hex digits, new with every request
	fieldFunctionKey = "key"   // the function, 16 lower-case hex digits
	fieldWait        = "wait"  // how long the client waits for the whole reply, in milliseconds
	fieldProperties  = "props" // PROPERTY:NUMBER;PROPERTY:NUMBER...
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

// invalidFieldError says which field of a request can't be used, and why.
type invalidFieldError struct {
	field string // as on the wire; the client gets it as the reason
	err   error  // neither sent nor logged
}

func (e *invalidFieldError) Error() string { return fmt.Sprintf("field %q: %v", e.field, e.err) }

func (e *invalidFieldError) Unwrap() error { return e.err }

// decodeExecuteArguments decodes the arguments of execute: the fields by name, and the body. The values and the body point
// into the frame. An error is a violation of the protocol.
func decodeExecuteArguments(d *decoder) (fields map[string][]byte, body []byte, err error) {
	err = d.structFields(func(fieldID uint16, t valueType) bool {
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

// parseRequest turns the fields of an execute call into a request, without its body, Responder and client address. It keeps
// nothing of fields. A tenant that is missing or unknown is router.UnknownTenant. If several fields can't be used, the
// error names the first in the sequence of the checks: clients see it.
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
	request := router.Request{
		Frontend:    router.Thrift,
		ID:          id,
		Class:       class,
		Tenant:      tenant,
		FunctionKey: functionKey,
		Function:    policy.FunctionID(function),
		Deadline:    s.inputTime() + router.AnswerBudget(fieldvalue.Milliseconds(wait)),
	}
	if err := parseProperties(string(fields[fieldProperties]), &request); err != nil {
		return router.Request{}, &invalidFieldError{fieldProperties, err}
	}
	return request, nil
}

// parseProperties sets the request's memory, concurrency and load time from the text of fieldProperties, which may be
// empty. If a property occurs twice, the last one counts. After an error the request can't be used.
func parseProperties(text string, request *router.Request) error {
	for text != "" {
		var property string
		property, text, _ = strings.Cut(text, ";")
		name, number, _ := strings.Cut(property, ":")
		if err := parseProperty(name, number, request); err != nil {
			return fmt.Errorf("property %q: %w", name, err)
		}
	}
	return nil
}

// parseProperty sets the field of the request that a property stands for. A property that is not known is not used, but it
// too must be a number from 0 up.
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

// parseNumber parses a number from 0 to maximum, in any form that Go has for a floating-point literal: 1500, 1.5e3, 0x10p4.
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

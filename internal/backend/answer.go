package backend

import (
	"bytes"
	"slices"
	"strconv"

	"functionrouter/internal/decimal"
	"functionrouter/policy"
)

// answerElements is the number of elements of an answer: ID, STATUS, FIELDS and BODY.
const answerElements = 4

// noFields is the FIELDS element of an answer without fields.
const noFields = "-"

// answer is one answer of a worker. On the wire it is a RESP array of the elements ID, STATUS, FIELDS and BODY. The
// slices point into the read buffer, which is valid only during OnData.
type answer struct {
	wireID  []byte // the wire ID of the answered call
	status  []byte // a key of answerOutcomes
	outcome policy.Outcome
	fields  []byte // name=value,name=value; noFields if there are none
	body    []byte // in the answer to an attempt: the function's result
}

// parseAnswer assigns the elements of a decoded array to the parts of an answer. It fails with errMalformedAnswer
// unless the array has exactly answerElements elements, a known status, and a list of fields or noFields. An array with
// fewer elements is never completed by assumed values: its length may have been corrupted, and the missing elements may
// follow it.
func parseAnswer(elements [][]byte) (answer, error) {
	if len(elements) != answerElements {
		return answer{}, malformedAnswerf("got %d elements, want %d", len(elements), answerElements)
	}
	a := answer{wireID: elements[0], status: elements[1], fields: elements[2], body: elements[3]}
	outcome, known := answerOutcomes[string(a.status)]
	if !known {
		return answer{}, malformedAnswerf("unknown status %.32q", a.status)
	}
	a.outcome = outcome
	if !isFieldList(a.fields) {
		return answer{}, malformedAnswerf("fields %.32q are not a list", a.fields)
	}
	return a, nil
}

// isFieldList reports whether fields is noFields or a list name=value,name=value whose names are not empty.
func isFieldList(fields []byte) bool {
	if string(fields) == noFields {
		return true
	}
	for pair := range bytes.SplitSeq(fields, []byte{','}) {
		if bytes.IndexByte(pair, '=') < 1 {
			return false
		}
	}
	return true
}

// checkFor fails with errMalformedAnswer if the answer's status is not valid for the kind of call, or if the call has not
// been written.
func (a answer) checkFor(call *pendingCall) error {
	isCheckStatus := string(a.status) == answerHealthy || string(a.status) == answerUnhealthy
	isCheckCall := call.kind == healthCheckCall || call.kind == keepAliveCall
	if isCheckStatus != isCheckCall {
		return malformedAnswerf("status %s is not valid for a call of kind %q", a.status, call.kind)
	}
	if !call.written {
		return malformedAnswerf("answer to call %q arrived before the call was sent", call.wireID)
	}
	return nil
}

// instanceStatus returns the instance status in the answer to an attempt. It is policy.InstanceUnknown if the field is
// missing or its value is not a key of instanceStatuses.
func (a answer) instanceStatus() policy.InstanceStatus {
	return instanceStatuses[string(fieldValue(a.fields, fieldInstanceStatus))]
}

// instanceCount returns the number of loaded instances in the answer to a load command, or 0 if the field is missing or
// is not a number of instances.
func (a answer) instanceCount() int {
	count, _ := strconv.Atoi(string(fieldValue(a.fields, fieldInstanceCount)))
	return max(count, 0)
}

// parseLoadReport returns the values of a load report, name:value;name:value, in the order of names. It ignores other
// names, and returns nil unless each of names occurs exactly once with a number.
func parseLoadReport(report []byte, names []string) []float64 {
	if len(report) == 0 {
		return nil
	}
	values := make([]float64, len(names))
	found := make([]bool, len(names))
	for pair := range bytes.SplitSeq(report, []byte{';'}) {
		name, text, _ := bytes.Cut(pair, []byte{':'})
		i := slices.Index(names, string(name))
		if i < 0 {
			continue
		}
		value, err := decimal.Parse(string(text))
		if err != nil || found[i] {
			return nil
		}
		values[i] = value
		found[i] = true
	}
	if slices.Contains(found, false) {
		return nil
	}
	return values
}

// fieldValue returns the value of the first field with this name in list, name=value,name=value, or nil if there is
// none. noFields is an empty list. The value is a slice of list.
func fieldValue(list []byte, name string) []byte {
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		if k, v, ok := bytes.Cut(pair, []byte{'='}); ok && string(k) == name {
			return v
		}
	}
	return nil
}

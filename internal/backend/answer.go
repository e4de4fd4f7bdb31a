package backend

import (
	"bytes"
	"strconv"

	"functionrouter/policy"
)

// answer is one answer of a worker. On the wire it is a RESP array of the elements ID, STATUS, FIELDS and BODY; FIELDS
// and BODY may be missing. The slices point into the read buffer, which is valid only during OnData.
type answer struct {
	wireID []byte // the wire ID of the answered call
	status []byte // a key of answerOutcomes once outcomeFor has accepted it
	fields []byte // name=value,name=value; "-" or empty if there are none
	body   []byte // in the answer to an attempt: the function's result
}

// parseAnswer assigns the elements of a decoded array to the parts of an answer. FIELDS and BODY may be missing, and
// elements after BODY are ignored. It fails with errMalformedAnswer if the wire ID or the status is missing.
func parseAnswer(elements [][]byte) (answer, error) {
	if len(elements) < 2 {
		return answer{}, malformedAnswerf("got %d elements, want at least 2", len(elements))
	}
	a := answer{wireID: elements[0], status: elements[1]}
	if len(elements) > 2 {
		a.fields = elements[2]
	}
	if len(elements) > 3 {
		a.body = elements[3]
	}
	return a, nil
}

// outcomeFor returns the outcome that the answer's status gives call. It fails with errMalformedAnswer if the status is
// unknown or not valid for the call's kind, or if the call has not been written.
func (a answer) outcomeFor(call *pendingCall) (policy.Outcome, error) {
	outcome, known := answerOutcomes[string(a.status)]
	if !known {
		return 0, malformedAnswerf("unknown status %.32q", a.status)
	}
	isCheckStatus := string(a.status) == answerHealthy || string(a.status) == answerUnhealthy
	isCheckCall := call.kind == healthCheckCall || call.kind == keepAliveCall
	if isCheckStatus != isCheckCall {
		return 0, malformedAnswerf("status %s is not valid for a call of kind %q", a.status, call.kind)
	}
	if !call.written {
		return 0, malformedAnswerf("answer to call %q arrived before the call was sent", call.wireID)
	}
	return outcome, nil
}

// instanceStatus returns the instance status in the answer to an attempt. It is policy.InstanceUnknown if the field is
// missing or its value is not a key of instanceStatuses.
func (a answer) instanceStatus() policy.InstanceStatus {
	return instanceStatuses[string(fieldValue(a.fields, fieldInstanceStatus))]
}

// instanceCount returns the number of loaded instances in the answer to a load command, or 0 if the field is missing or
// is not an integer. The number may be negative: its range is not checked.
func (a answer) instanceCount() int {
	count, _ := strconv.Atoi(string(fieldValue(a.fields, fieldInstanceCount)))
	return count
}

// parseLoadReport returns the values of a load report, name:value;name:value, in the order of names. It ignores other
// names and values that are not numbers, and returns nil if it finds fewer values than names. It does not detect
// duplicates: it counts a name that occurs twice as two values, and so may accept a report in which a name is missing.
func parseLoadReport(report []byte, names []string) []float64 {
	if len(report) == 0 {
		return nil
	}
	values := make([]float64, len(names))
	found := 0
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte{';'})
		name, value, _ := bytes.Cut(pair, []byte{':'})
		for i, n := range names {
			if string(name) != n {
				continue
			}
			if v, err := strconv.ParseFloat(string(value), 64); err == nil {
				values[i] = v
				found++
			}
		}
	}
	if found < len(values) {
		return nil
	}
	return values
}

// fieldValue returns the value of the first field with this name in list, name=value,name=value, or nil if there is
// none. "-" is an empty list. The value is a slice of list.
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

package backend

import (
	"bytes"
	"strconv"

	"functionrouter/policy"
)

// answer is one answer of a worker: the words ID WORD FIELDS BODY, of which the last two may be missing. Its parts point
// into the read buffer, which is valid during OnData only.
type answer struct {
	wireID []byte // of the call that it answers
	status   []byte // a key of answerOutcomes, which outcomeFor checks
	fields []byte // name=value,name=value; "-" or nothing if there are none
	body   []byte // of an attempt: the function's result
}

// parseAnswer names the words of an answer. Fields and body may be missing, and words beyond them are ignored. It fails
// with errMalformedAnswer if there is no wire id or no word behind it.
func parseAnswer(elements [][]byte) (answer, error) {
	if len(elements) < 2 {
		return answer{}, malformedAnswerf("fewer than two words")
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

// outcomeFor returns the outcome of call by the answer's word. It fails with errMalformedAnswer if the word is unknown or
// doesn't belong to the call's kind, or if the call was not written yet.
func (a answer) outcomeFor(call *pendingCall) (policy.Outcome, error) {
	outcome, known := answerOutcomes[string(a.status)]
	if !known {
		return 0, malformedAnswerf("unknown word")
	}
	isCheckStatus := string(a.status) == answerHealthy || string(a.status) == answerUnhealthy
	isCheckCall := call.kind == healthCheckCall || call.kind == keepAliveCall
	if isCheckStatus != isCheckCall {
		return 0, malformedAnswerf("%s in answer to %s", a.status, call.kind)
	}
	if !call.written {
		return 0, malformedAnswerf("answer before the call was sent")
	}
	return outcome, nil
}

// instanceStatus returns the state of the function's instance as the answer to an attempt gives it, policy.InstanceUnknown
// if it gives none or one that is not known.
func (a answer) instanceStatus() policy.InstanceStatus {
	return instanceStatuses[string(fieldValue(a.fields, fieldInstanceStatus))]
}

// instanceCount returns the number of loaded instances that the answer to a load command gives, 0 if it gives none or no
// integer. The number is not checked any further.
func (a answer) instanceCount() int {
	count, _ := strconv.Atoi(string(fieldValue(a.fields, fieldInstanceCount)))
	return count
}

// parseLoadReport returns the values of a load report, name:value;name:value, in the order of names, or nil unless it holds
// as many values of these names as there are names. It ignores other names and values that aren't numbers. It does not
// expect a name twice.
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

// fieldValue returns the value of the first field with this name in a list name=value,name=value, nil if there is none. "-"
// is an empty list. The value points into list.
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

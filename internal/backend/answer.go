package backend

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"functionrouter/policy"
)

// maxKeptBuffer is the capacity in bytes above which an empty read buffer is released.
const maxKeptBuffer = 4 << 10

// partialAnswer is the beginning of an answer whose rest has not come.
type partialAnswer struct {
	data  []byte
	since time.Duration // when its first byte came
}

// answer is one answer: ID WORD FIELDS BODY, or ID PONG. Its parts point into the read buffer.
type answer struct {
	id     []byte
	word   []byte
	fields []byte
	body   []byte
}

// OnData handles bytes from the worker. The beginning of an answer stays in a buffer that grows with it, so
// that an answer that comes a few bytes at a time is not copied anew for each of them.
func (c *connection) OnData(b []byte) {
	if c.state == closed {
		return
	}
	if len(c.partial.data) > 0 {
		c.partial.data = append(c.partial.data, b...)
		b = c.partial.data
	}
	rest, err := c.handleAnswers(b)
	if err != nil {
		c.partial.data = nil
		c.closeWithError(err)
		return
	}
	if len(rest) > 0 && (len(rest) < len(b) || len(c.partial.data) == 0) {
		c.partial.since = c.pool.now
	}
	c.partial.data = append(c.partial.data[:0], rest...)
	if len(rest) == 0 && cap(c.partial.data) > maxKeptBuffer {
		c.partial.data = nil
	}
}

// handleAnswers handles the whole answers at the beginning of b and returns the rest.
func (c *connection) handleAnswers(b []byte) (rest []byte, err error) {
	var words [maxWords][]byte
	for len(b) > 0 {
		array, size, err := decodeArray(b, words[:0])
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if err := c.handleAnswer(array); err != nil {
			return nil, err
		}
		b = b[size:]
	}
	return b, nil
}

func (c *connection) handleAnswer(words [][]byte) error {
	a, err := parseAnswer(words)
	if err != nil {
		return err
	}
	c.keepAlive.lastAnswerAt = c.pool.now
	c.keepAlive.checkSentAt = 0
	call := c.pending[string(a.id)]
	if call == nil {
		return nil // a duplicate, or the answer to a cancelled attempt
	}
	outcome, err := a.outcomeFor(call)
	if err != nil {
		return err
	}
	c.release(call)
	c.lastUsedAt = c.pool.now
	c.keepAlive.lastAnsweredSentAt = max(c.keepAlive.lastAnsweredSentAt, call.sentAt)
	c.pool.endAnswered(call, outcome, a)
	return nil
}

// endAnswered reports the result of an answered call.
func (p *Pool) endAnswered(call *pendingCall, outcome policy.Outcome, a answer) {
	switch call.kind {
	case attemptCall:
		delete(p.attempts, call.attempt)
		p.results.AttemptEnded(call.attempt, outcome, a.instanceStatus(), bytes.Clone(a.body), p.loadReport(a))
	case loadCommandCall:
		p.results.LoadCommandEnded(call.control, outcome, a.instanceCount())
	case healthCheckCall:
		p.results.HealthCheckEnded(call.control, outcome, p.loadReport(a))
	case keepAliveCall: // that it was answered is all there is to know
	}
}

func parseAnswer(words [][]byte) (answer, error) {
	if len(words) < 2 {
		return answer{}, malformed("fewer than two words")
	}
	a := answer{id: words[0], word: words[1]}
	if len(words) > 2 {
		a.fields = words[2]
	}
	if len(words) > 3 {
		a.body = words[3]
	}
	return a, nil
}

// outcomeFor maps the answer's word. It fails with errMalformedAnswer if call can't have that answer.
func (a answer) outcomeFor(call *pendingCall) (policy.Outcome, error) {
	outcome, known := answerOutcomes[string(a.word)]
	if !known {
		return 0, malformed("unknown word")
	}
	healthWord := string(a.word) == answerHealthy || string(a.word) == answerUnhealthy
	asksHealth := call.kind == healthCheckCall || call.kind == keepAliveCall
	if healthWord != asksHealth {
		return 0, malformed(fmt.Sprintf("%s in answer to %s", a.word, call.kind))
	}
	if !call.written {
		return 0, malformed("answer before the call was sent")
	}
	return outcome, nil
}

func (a answer) instanceStatus() policy.InstanceStatus {
	return instanceStatuses[string(fieldValue(a.fields, fieldInstanceStatus))]
}

// instanceCount is the number of loaded instances that the answer to a load command gives, 0 if it gives none.
func (a answer) instanceCount() int {
	count, _ := strconv.Atoi(string(fieldValue(a.fields, fieldInstanceCount)))
	return count
}

func (p *Pool) loadReport(a answer) []float64 {
	return parseLoadReport(fieldValue(a.fields, fieldLoadReport), p.cfg.LoadReportFields)
}

// parseLoadReport reads a load report, name:value;name:value, into the order of names. It returns nil for one that
// lacks any of them.
func parseLoadReport(text []byte, names []string) []float64 {
	if len(text) == 0 {
		return nil
	}
	values := make([]float64, len(names))
	found := 0
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{';'})
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

// fieldValue finds a field in a list name=value,name=value, nil if it is not there; "-" is an empty list.
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

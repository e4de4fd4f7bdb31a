package backend

import (
	"bytes"
	"fmt"
	"time"

	"functionrouter/internal/router"
)

const (
	// maxRetainedBuffer is the capacity in bytes above which the buffer for partial answers is released when it is
	// empty. It bounds the memory that a connection holds after a large answer.
	maxRetainedBuffer = 4 << 10

	// partialAnswerTimeout is the limit on the time between the first and the last byte of an answer.
	partialAnswerTimeout = 600 * time.Millisecond
)

// errStalledAnswer means that the rest of an answer did not arrive within partialAnswerTimeout.
var errStalledAnswer = fmt.Errorf("answer is still incomplete %v after its first byte", partialAnswerTimeout)

// partialAnswer is the beginning of an answer that has not arrived completely.
type partialAnswer struct {
	data        []byte        // empty if there is no partial answer
	firstByteAt time.Duration // when its first byte arrived
}

// hasStalled reports whether an answer has been incomplete for longer than partialAnswerTimeout.
func (p *partialAnswer) hasStalled(now time.Duration) bool {
	return len(p.data) > 0 && now-p.firstByteAt > partialAnswerTimeout
}

// join returns the bytes of the partial answer followed by b. The result is b itself or a slice of the buffer, and is
// valid until the next call of join or storeRest.
func (p *partialAnswer) join(b []byte) []byte {
	if len(p.data) == 0 {
		return b
	}
	p.data = append(p.data, b...)
	return p.data
}

// storeRest stores rest, the part of joined after its complete answers, as the partial answer. joined is the last
// result of join, and now is the time at which its last bytes arrived. If joined contains no complete answer, rest
// continues the previous partial answer, whose firstByteAt is kept.
func (p *partialAnswer) storeRest(rest, joined []byte, now time.Duration) {
	startsNewAnswer := len(rest) < len(joined) || len(p.data) == 0
	if len(rest) > 0 && startsNewAnswer {
		p.firstByteAt = now
	}
	p.data = append(p.data[:0], rest...)
	if len(rest) == 0 && cap(p.data) > maxRetainedBuffer {
		p.data = nil
	}
}

// OnData handles bytes from the worker. b is valid only during the call. A partial answer is stored in a growing
// buffer, so that an answer that arrives a few bytes at a time is not copied completely each time.
func (c *connection) OnData(b []byte) {
	if c.state == stateClosed {
		return
	}
	joined := c.partial.join(b)
	rest, err := c.handleAnswers(joined)
	if err != nil {
		c.partial.data = nil
		c.answerCorrupted = true
		c.closeWithError(err)
		return
	}
	c.partial.storeRest(rest, joined, c.pool.now)
}

// handleAnswers handles the complete answers at the beginning of b and returns the remaining bytes. It fails with
// errMalformedAnswer. An answer is handled only if no byte has arrived after it or the next byte begins another answer:
// a corrupted length, which ends an answer too early or within the next one, shows only in the byte that follows.
func (c *connection) handleAnswers(b []byte) (rest []byte, err error) {
	var buffer [maxElements][]byte
	for len(b) > 0 {
		elements, size, err := decodeArray(b, buffer[:0])
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		b = b[size:]
		if len(b) > 0 && b[0] != arrayTypeByte {
			return nil, malformedAnswerf("answer is followed by %q, want %q", b[0], arrayTypeByte)
		}
		if err := c.handleAnswer(elements); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// handleAnswer ends the pending call with the answer's wire ID. If there is none, the answer is a duplicate or belongs
// to a cancelled call, and only shows that the connection works. handleAnswer fails with errMalformedAnswer.
//
// The call is released before its result is reported, because the ResultHandler may call the pool.
func (c *connection) handleAnswer(elements [][]byte) error {
	a, err := parseAnswer(elements)
	if err != nil {
		return err
	}
	call := c.pending[string(a.wireID)]
	if call != nil {
		if err := a.checkFor(call); err != nil {
			return err
		}
	}
	c.recordAnswer()
	if call == nil {
		return nil
	}
	c.release(call)
	c.lastUsedAt = c.pool.now
	c.deliveredBytes = max(c.deliveredBytes, call.endOffset)
	c.keepAlive.latestSendOfAnsweredCall = max(c.keepAlive.latestSendOfAnsweredCall, call.sentAt)
	c.pool.endAnswered(call, a)
	return nil
}

// endAnswered reports the result of an answered call. It copies the body, because the ResultHandler keeps it.
func (p *Pool) endAnswered(call *pendingCall, a answer) {
	switch call.kind {
	case attemptCall:
		delete(p.attempts, call.attemptID)
		p.results.AttemptEnded(call.attemptID, router.AttemptResult{
			Outcome:        a.outcome,
			InstanceStatus: a.instanceStatus(),
			Body:           bytes.Clone(a.body),
			LoadReport:     p.loadReport(a),
		})
	case loadCommandCall:
		p.results.LoadCommandEnded(call.controlID, a.outcome, a.instanceCount())
	case healthCheckCall:
		p.results.HealthCheckEnded(call.controlID, a.outcome, p.loadReport(a))
	case keepAliveCall: // not reported; handleAnswer has updated connection.keepAlive
	}
}

// loadReport returns the load report in an answer, or nil if it has no complete load report.
func (p *Pool) loadReport(a answer) []float64 {
	return parseLoadReport(fieldValue(a.fields, fieldLoadReport), p.cfg.LoadReportFields)
}

package backend

import (
	"bytes"
	"errors"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

const (
	// maxRetainedBuffer is the capacity in bytes above which the buffer of a partial answer is released once it is empty. It
	// bounds what a connection holds between large answers.
	maxRetainedBuffer = 4 << 10

	// partialAnswerTimeout bounds the time from the first byte of an answer to its last.
	partialAnswerTimeout = 600 * time.Millisecond
)

// errStalledAnswer says that an answer began and was not complete within partialAnswerTimeout.
var errStalledAnswer = errors.New("answer stalled")

// partialAnswer is the beginning of an answer whose rest has not come.
type partialAnswer struct {
	data  []byte        // empty if no answer has begun
	firstByteAt time.Duration // when its first byte came
}

// hasStalled reports whether the rest of an answer that has begun is overdue.
func (p *partialAnswer) hasStalled(now time.Duration) bool {
	return len(p.data) > 0 && now-p.firstByteAt > partialAnswerTimeout
}

// join returns what has come of the answer so far, with b behind it. The result is b itself or points into the buffer,
// and is valid until the next call of join or keep.
func (p *partialAnswer) join(b []byte) []byte {
	if len(p.data) == 0 {
		return b
	}
	p.data = append(p.data, b...)
	return p.data
}

// storeRest stores rest, the part of joined behind its complete answers. joined is the last result of join, and now the time at
// which its last bytes came. If no answer was complete, the partial answer is still the one from before.
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

// OnData handles bytes from the worker, which are valid during the call only. The beginning of an answer is kept in a
// buffer that grows with it, so that an answer that comes a few bytes at a time is not copied anew for each of them.
func (c *connection) OnData(b []byte) {
	if c.state == stateClosed {
		return
	}
	joined := c.partial.join(b)
	rest, err := c.handleAnswers(joined)
	if err != nil {
		c.partial.data = nil
		c.closeWithError(err)
		return
	}
	c.partial.storeRest(rest, joined, c.pool.now)
}

// handleAnswers handles the complete answers at the beginning of b and returns the rest. It fails with errMalformedAnswer.
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
		if err := c.handleAnswer(elements); err != nil {
			return nil, err
		}
		b = b[size:]
	}
	return b, nil
}

// handleAnswer ends the pending call that an answer is to. An answer to none only shows that the connection works: it is a
// duplicate, or the answer to a call that was cancelled. handleAnswer fails with errMalformedAnswer.
//
// The call is released before its result is reported, since the handler may then call the pool.
func (c *connection) handleAnswer(elements [][]byte) error {
	a, err := parseAnswer(elements)
	if err != nil {
		return err
	}
	c.keepAlive.lastAnswerAt = c.pool.now
	c.keepAlive.checkSentAt = 0
	call := c.pending[string(a.wireID)]
	if call == nil {
		return nil
	}
	outcome, err := a.outcomeFor(call)
	if err != nil {
		return err
	}
	c.release(call)
	c.lastUsedAt = c.pool.now
	c.keepAlive.lastAnsweredCallSentAt = max(c.keepAlive.lastAnsweredCallSentAt, call.sentAt)
	c.pool.endAnswered(call, outcome, a)
	return nil
}

// endAnswered reports the result of an answered call. The handler keeps the body, which is copied for it.
func (p *Pool) endAnswered(call *pendingCall, outcome policy.Outcome, a answer) {
	switch call.kind {
	case attemptCall:
		delete(p.attempts, call.attemptID)
		p.results.AttemptEnded(call.attemptID, router.AttemptResult{
			Outcome:        outcome,
			InstanceStatus: a.instanceStatus(),
			Body:           bytes.Clone(a.body),
			LoadReport:     p.loadReport(a),
		})
	case loadCommandCall:
		p.results.LoadCommandEnded(call.controlID, outcome, a.instanceCount())
	case healthCheckCall:
		p.results.HealthCheckEnded(call.controlID, outcome, p.loadReport(a))
	case keepAliveCall: // handleAnswer has recorded that the connection works
	}
}

// loadReport returns the load report of an answer, nil if it has no complete one.
func (p *Pool) loadReport(a answer) []float64 {
	return parseLoadReport(fieldValue(a.fields, fieldLoadReport), p.cfg.LoadReportFields)
}

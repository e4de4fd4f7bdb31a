package main

import (
	"encoding/binary"
	"fmt"
)

// noAttempt is the value of simRequest.openAttempt if no attempt is in flight.
const noAttempt = -1

// simRequest is a request that has arrived at a simulated router.
type simRequest struct {
	class        int
	function     uint64
	attemptCount int        // attempts that were sent
	openAttempt  int        // number of the attempt that is in flight, or noAttempt
	worker       *simWorker // worker of the latest attempt
	closed       bool       // the request has its final answer, or its client has cancelled it
}

// scheduleArrival schedules the arrival of a request at a simulated router and draws whether its client cancels it. Of
// the golden scenarios, only that with three simulated routers has requests of the third class. The scenario with work
// hints has two classes, so for it the class is drawn a second time, from these two.
func (w *world) scheduleArrival(router int) {
	w.lastRequestID++
	requestID := w.lastRequestID
	class := w.rng.IntN(2 + w.routerCount%2)
	if w.workHints {
		class = w.rng.IntN(2)
	}
	r := &simRequest{class: class, function: w.drawFunction(requestID), openAttempt: noAttempt}
	timeLeft := 200 + float64(w.rng.IntN(2800))
	flags := byte(w.rng.IntN(2) * flagRepeat)
	tenant := uint16(w.rng.IntN(2))
	work := 40 + float64(w.rng.IntN(200))
	if w.workHints {
		flags |= flagWorkHint
	}
	requests := w.routers[router].requests
	w.schedule(0, router, eventRequestArrived, func() []byte {
		requests[requestID] = r
		b := binary.BigEndian.AppendUint32(nil, requestID)
		b = binary.BigEndian.AppendUint16(b, tenant)
		b = appendFloat32(b, 400+float32(r.function%7)*100) // load time
		b = append(b, flags)
		b = binary.BigEndian.AppendUint64(b, r.function)
		b = appendFloat32(b, float32(1+r.function%4)) // concurrency of an instance
		b = appendFloat32(b, 512)                     // memory of an instance, in MiB
		b = binary.BigEndian.AppendUint16(b, uint16(class))
		b = appendFloat64(b, work)
		return appendFloat64(b, timeLeft)
	})
	if w.rng.IntN(30) == 0 {
		w.cancelRequest(router, requestID, r)
	}
}

// drawFunction draws the function of a request. Most requests are for a few functions. One request in 40 is for a
// function that no other request uses.
func (w *world) drawFunction(requestID uint32) uint64 {
	rank := w.rng.Float64() * w.rng.Float64()
	function := uint64(0x7c55d20000) + uint64(rank*float64(w.functionCount))
	if w.rng.IntN(40) == 0 {
		function = 0x1100000000 + uint64(requestID)
	}
	return function
}

// cancelRequest schedules the cancellation of a request by its client. The cancellation is skipped if the request has
// not arrived or is closed when the cancellation is due.
func (w *world) cancelRequest(router int, requestID uint32, r *simRequest) {
	requests := w.routers[router].requests
	w.schedule(float64(w.rng.IntN(400)), router, eventClientCancelled, func() []byte {
		if requests[requestID] == nil || r.closed {
			return nil
		}
		r.closed = true
		return binary.BigEndian.AppendUint32(nil, requestID)
	})
}

// closeRequest marks a request as answered. An attempt that is in flight continues.
func (w *world) closeRequest(router int, requestID uint32) {
	if r := w.routers[router].requests[requestID]; r != nil {
		r.closed = true
	}
}

// sendAttempt starts an attempt, draws its result and schedules the event of its end. The event is skipped if the
// request has another open attempt or none when the event is due. sendAttempt fails if the request has never arrived.
func (w *world) sendAttempt(router int, requestID uint32, workerID uint64) error {
	r := w.routers[router].requests[requestID]
	if r == nil {
		return fmt.Errorf("request %d is unknown at simulated router %d", requestID, router)
	}
	worker := w.worker(workerID)
	attempt := r.attemptCount
	r.attemptCount++
	r.openAttempt = attempt
	r.worker = worker
	worker.running++
	result := w.drawResult(worker, r)
	sentAt := w.now
	streamed := r.class == 2 && w.missWhenNotLoaded // the only class with "streamed" in its settings
	if streamed && result.outcome == outcomeServed {
		w.scheduleResponseStart(result.drawnDuration/2, router, requestID, r, workerID)
	}
	w.schedule(result.drawnDuration, router, eventAttemptEnded, func() []byte {
		if r.openAttempt != attempt {
			return nil
		}
		r.openAttempt = noAttempt
		worker.running--
		if result.outcome == outcomeServed {
			r.closed = true
		}
		result.reportedDuration = w.now - sentAt
		return encodeAttemptEnded(requestID, workerID, attempt, r.closed, result, worker)
	})
	return nil
}

// scheduleResponseStart schedules the start of the response to the open attempt of a request. The event is skipped if
// the request has another open attempt or none when the event is due.
func (w *world) scheduleResponseStart(delay float64, router int, requestID uint32, r *simRequest, workerID uint64) {
	attempt := r.openAttempt
	sentAt := w.now
	w.schedule(delay, router, eventResponseStarted, func() []byte {
		if r.openAttempt != attempt {
			return nil
		}
		b := binary.BigEndian.AppendUint32(nil, requestID)
		b = binary.BigEndian.AppendUint16(b, uint16(attempt))
		b = appendWorker(b, workerID)
		return appendFloat64(b, w.now-sentAt)
	})
}

// attemptResult describes how an attempt ends. Times are in milliseconds.
type attemptResult struct {
	outcome          byte
	status           byte    // status of the function's instance at the worker
	drawnDuration    float64 // time from the send of the attempt until its end, as drawn
	reportedDuration float64 // time from the send of the attempt until the batch that reports its end
}

// drawResult draws the result of an attempt, which depends on random faults, on the worker's state and on the functions
// that the worker has loaded. If the attempt makes the worker load the function, the load starts at the current time.
func (w *world) drawResult(worker *simWorker, r *simRequest) attemptResult {
	runTime := 20 + 90*w.rng.ExpFloat64() + 12*float64(worker.running)
	switch draw := w.rng.IntN(100); {
	case worker.state == workerGone || draw < 1:
		return attemptResult{outcome: outcomeUnreachable, drawnDuration: 2}
	case draw < 3:
		status := []byte{statusUnknown, statusLoadFailed}[w.rng.IntN(2)]
		return attemptResult{outcome: outcomeErrored, status: status, drawnDuration: runTime / 2}
	case draw < 5:
		return attemptResult{outcome: outcomeReset, drawnDuration: runTime / 3}
	case draw < 6:
		return attemptResult{outcome: outcomeTimedOut, drawnDuration: 900}
	case draw < 7:
		return attemptResult{outcome: outcomeNotSent, drawnDuration: 1}
	case worker.running > 14:
		return attemptResult{outcome: outcomeOverloaded, drawnDuration: 1}
	}
	loadEnd, found := worker.loaded[r.function]
	switch {
	case found && loadEnd <= w.now:
		return attemptResult{outcome: outcomeServed, status: statusWarm, drawnDuration: runTime}
	case found:
		return attemptResult{outcome: outcomeServed, status: statusLoadAwaited, drawnDuration: runTime + loadEnd - w.now}
	case w.missWhenNotLoaded:
		return attemptResult{outcome: outcomeNotLoaded, drawnDuration: 1}
	}
	loadTime := 300 + 900*w.rng.Float64()
	worker.loaded[r.function] = w.now + loadTime
	return attemptResult{outcome: outcomeServed, status: statusLoadStarted, drawnDuration: runTime + loadTime}
}

// cancelAttempt cancels an attempt that is in flight. With a probability of 1 in 3, the worker ignores the
// cancellation. The event names the first worker, even if the attempt was sent to another worker, and the cancellation
// does not reduce the number of attempts in flight at the attempt's worker. The golden files depend on both.
func (w *world) cancelAttempt(router int, requestID uint32, attempt int) {
	r := w.routers[router].requests[requestID]
	if r == nil || r.openAttempt != attempt || w.rng.IntN(3) == 0 {
		return
	}
	w.schedule(1, router, eventAttemptEnded, func() []byte {
		if r.openAttempt != attempt {
			return nil
		}
		r.openAttempt = noAttempt
		worker := w.workers[0]
		result := attemptResult{outcome: outcomeCancelled, reportedDuration: 50}
		return encodeAttemptEnded(requestID, worker.id, attempt, r.closed, result, worker)
	})
}

// encodeAttemptEnded returns the fields of the event of an attempt's end. They include the worker's load report if the
// outcome is served or overloaded. requestClosed says whether the request has its final answer or was cancelled by its
// client.
func encodeAttemptEnded(
	requestID uint32,
	workerID uint64,
	attempt int,
	requestClosed bool,
	result attemptResult,
	worker *simWorker,
) []byte {
	concurrency := byte(worker.running % 5)
	b := binary.BigEndian.AppendUint32(nil, requestID)
	b = appendWorker(b, workerID)
	b = append(b, result.status|concurrency<<3, boolByte(requestClosed), result.outcome)
	b = binary.BigEndian.AppendUint16(b, uint16(attempt))
	b = appendFloat64(b, result.reportedDuration)
	if result.outcome != outcomeServed && result.outcome != outcomeOverloaded {
		return append(b, 0)
	}
	return appendLoadReport(b, worker)
}

// appendLoadReport appends a load report of three values, even if the settings list another number of values.
func appendLoadReport(b []byte, worker *simWorker) []byte {
	b = append(b, 3)
	b = appendFloat32(b, float32(max(worker.running-4, 0)))
	b = appendFloat32(b, float32(worker.running))
	return appendFloat32(b, float32(len(worker.loaded)))
}

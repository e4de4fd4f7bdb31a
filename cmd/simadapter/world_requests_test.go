package main

import (
	"encoding/binary"
	"fmt"
)

// noAttempt is the number of the open attempt where there is none.
const noAttempt = -1

// simRequest is a request that has arrived at a simulated router.
type simRequest struct {
	class    int
	function uint64
	attempts int        // that were sent
	open     int        // number of the attempt that is in flight, or noAttempt
	worker   *simWorker // of the latest attempt
	closed   bool       // it has its final answer, or its client has cancelled it
}

// arrive schedules the arrival of a request at a simulated router and draws whether its client cancels it. The third class
// is drawn in the scenario with three routers alone; that with work hints has two classes, and draws once more for them.
func (w *world) arrive(router int) {
	w.lastID++
	id := w.lastID
	class := w.rng.IntN(2 + w.routerCount%2)
	if w.workHints {
		class = w.rng.IntN(2)
	}
	r := &simRequest{class: class, function: w.drawFunction(id), open: noAttempt}
	timeLeft := 200 + float64(w.rng.IntN(2800))
	flags := byte(w.rng.IntN(2) * flagRepeat)
	tenant := uint16(w.rng.IntN(2))
	work := 40 + float64(w.rng.IntN(200))
	if w.workHints {
		flags |= flagWorkHint
	}
	requests := w.routers[router].requests
	w.schedule(0, router, eventRequestArrived, func() []byte {
		requests[id] = r
		b := binary.BigEndian.AppendUint32(nil, id)
		b = binary.BigEndian.AppendUint16(b, tenant)
		b = appendFloat32(b, 400+float32(r.function%7)*100) // load time
		b = append(b, flags)
		b = binary.BigEndian.AppendUint64(b, r.function)
		b = appendFloat32(b, float32(1+r.function%4)) // concurrency of an instance
		b = appendFloat32(b, 512)                     // its memory, in MiB
		b = binary.BigEndian.AppendUint16(b, uint16(class))
		b = appendFloat(b, work)
		return appendFloat(b, timeLeft)
	})
	if w.rng.IntN(30) == 0 {
		w.cancelRequest(router, id, r)
	}
}

// drawFunction draws the function of a request. A few functions get most requests, and some requests are for a
// function of their own.
func (w *world) drawFunction(id uint32) uint64 {
	rank := w.rng.Float64() * w.rng.Float64()
	function := uint64(0x7c55d20000) + uint64(rank*float64(w.functionCount))
	if w.rng.IntN(40) == 0 {
		function = 0x1100000000 + uint64(id)
	}
	return function
}

// cancelRequest schedules that the client of a request cancels it, if it is open by then.
func (w *world) cancelRequest(router int, id uint32, r *simRequest) {
	requests := w.routers[router].requests
	w.schedule(float64(w.rng.IntN(400)), router, eventClientCancelled, func() []byte {
		if requests[id] == nil || r.closed {
			return nil
		}
		r.closed = true
		return binary.BigEndian.AppendUint32(nil, id)
	})
}

// closeRequest ends a request with its final answer. An attempt that is in flight goes on.
func (w *world) closeRequest(router int, id uint32) {
	if r := w.routers[router].requests[id]; r != nil {
		r.closed = true
	}
}

// sendAttempt begins an attempt and draws how it will end. Its event is lost if it is cancelled before. It fails for a
// request that has never arrived.
func (w *world) sendAttempt(router int, id uint32, workerID uint64) error {
	r := w.routers[router].requests[id]
	if r == nil {
		return fmt.Errorf("request %d is unknown at simulated router %d", id, router)
	}
	worker := w.worker(workerID)
	number := r.attempts
	r.attempts++
	r.open = number
	r.worker = worker
	worker.running++
	end := w.drawOutcome(worker, r)
	sentAt := w.now
	streamed := r.class == 2 && w.missWhenNotLoaded // the one class whose settings say so
	if streamed && end.outcome == outcomeServed {
		w.scheduleResponseStart(end.after/2, router, id, r, workerID)
	}
	w.schedule(end.after, router, eventAttemptEnded, func() []byte {
		if r.open != number {
			return nil
		}
		r.open = noAttempt
		worker.running--
		if end.outcome == outcomeServed {
			r.closed = true
		}
		end.duration = w.now - sentAt
		return encodeAttemptEnded(id, workerID, number, r.closed, end, worker)
	})
	return nil
}

// scheduleResponseStart schedules the start of the response to the open attempt of a request.
func (w *world) scheduleResponseStart(after float64, router int, id uint32, r *simRequest, workerID uint64) {
	number := r.open
	sentAt := w.now
	w.schedule(after, router, eventResponseStarted, func() []byte {
		if r.open != number {
			return nil
		}
		b := binary.BigEndian.AppendUint32(nil, id)
		b = binary.BigEndian.AppendUint16(b, uint16(number))
		b = appendWorker(b, workerID)
		return appendFloat(b, w.now-sentAt)
	})
}

// attemptEnd is how an attempt ends. Times are milliseconds.
type attemptEnd struct {
	outcome  byte
	status   byte    // of the function's instance at the worker
	after    float64 // from the send until the end, as drawn
	duration float64 // as reported: until the batch in which it ended
}

// drawOutcome draws how an attempt ends: by a fault, or by what the worker has loaded. Where the attempt makes the worker
// load the function, the load begins now.
func (w *world) drawOutcome(worker *simWorker, r *simRequest) attemptEnd {
	runTime := 20 + 90*w.rng.ExpFloat64() + 12*float64(worker.running)
	switch draw := w.rng.IntN(100); {
	case worker.state == workerGone || draw < 1:
		return attemptEnd{outcome: outcomeUnreachable, after: 2}
	case draw < 3:
		status := []byte{statusUnknown, statusLoadFailed}[w.rng.IntN(2)]
		return attemptEnd{outcome: outcomeErrored, status: status, after: runTime / 2}
	case draw < 5:
		return attemptEnd{outcome: outcomeReset, after: runTime / 3}
	case draw < 6:
		return attemptEnd{outcome: outcomeTimedOut, after: 900}
	case draw < 7:
		return attemptEnd{outcome: outcomeNotSent, after: 1}
	case worker.running > 14:
		return attemptEnd{outcome: outcomeOverloaded, after: 1}
	}
	ready, known := worker.loaded[r.function]
	switch {
	case known && ready <= w.now:
		return attemptEnd{outcome: outcomeServed, status: statusWarm, after: runTime}
	case known:
		return attemptEnd{outcome: outcomeServed, status: statusLoadAwaited, after: runTime + ready - w.now}
	case w.missWhenNotLoaded:
		return attemptEnd{outcome: outcomeNotLoaded, after: 1}
	}
	loadTime := 300 + 900*w.rng.Float64()
	worker.loaded[r.function] = w.now + loadTime
	return attemptEnd{outcome: outcomeServed, status: statusLoadStarted, after: runTime + loadTime}
}

// cancelAttempt ends an attempt that is in flight; in one of three cases the worker ignores it. The event names the first
// worker, wherever the attempt was, and the worker's attempt still counts as running: the golden files hold it so.
func (w *world) cancelAttempt(router int, id uint32, number int) {
	r := w.routers[router].requests[id]
	if r == nil || r.open != number || w.rng.IntN(3) == 0 {
		return
	}
	w.schedule(1, router, eventAttemptEnded, func() []byte {
		if r.open != number {
			return nil
		}
		r.open = noAttempt
		worker := w.workers[0]
		end := attemptEnd{outcome: outcomeCancelled, duration: 50}
		return encodeAttemptEnded(id, worker.id, number, r.closed, end, worker)
	})
}

// encodeAttemptEnded returns the fields of the event. The outcomes served and overloaded carry the worker's load report.
// closed says whether the request has its final answer or was cancelled.
func encodeAttemptEnded(id uint32, workerID uint64, number int, closed bool, end attemptEnd, worker *simWorker) []byte {
	concurrency := byte(worker.running % 5)
	b := binary.BigEndian.AppendUint32(nil, id)
	b = appendWorker(b, workerID)
	b = append(b, end.status|concurrency<<3, boolByte(closed), end.outcome)
	b = binary.BigEndian.AppendUint16(b, uint16(number))
	b = appendFloat(b, end.duration)
	if end.outcome != outcomeServed && end.outcome != outcomeOverloaded {
		return append(b, 0)
	}
	return appendLoadReport(b, worker)
}

// appendLoadReport appends a load report of three values, whatever the settings name.
func appendLoadReport(b []byte, worker *simWorker) []byte {
	b = append(b, 3)
	b = appendFloat32(b, float32(max(worker.running-4, 0)))
	b = appendFloat32(b, float32(worker.running))
	return appendFloat32(b, float32(len(worker.loaded)))
}

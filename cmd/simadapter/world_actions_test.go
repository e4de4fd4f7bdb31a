package main

import (
	"encoding/binary"
	"fmt"
)

// applyReply applies the actions in the records of a reply to the world. It fails if the code of an action is unknown.
func (w *world) applyReply(records []byte) error {
	fields := &wireReader{rest: records}
	for len(fields.rest) > 0 {
		code := fields.uint8()
		router := int(fields.uint16())
		w.recordCounts[code]++
		if err := w.applyAction(code, router, fields); err != nil {
			return err
		}
	}
	return nil
}

// applyAction reads all fields of an action and applies the action to the world, if the world reacts to actions of its
// kind.
func (w *world) applyAction(code byte, router int, fields *wireReader) error {
	switch code {
	case actionSetTimer:
		w.setTimer(router, fields.float64(), fields.bytes(timerTokenLength))
	case actionFailRequest:
		w.closeRequest(router, fields.uint32())
	case actionRefuseRequest:
		w.closeRequest(router, fields.uint32())
		fields.float64() // Retry-After
	case actionSendAttempt:
		request := fields.uint32()
		worker := fields.worker()
		fields.float64() // timeout
		return w.sendAttempt(router, request, worker)
	case actionCancelAttempt:
		w.cancelAttempt(router, fields.uint32(), int(fields.uint16()))
	case actionLoadInstance:
		w.loadInstance(router, fields.uint8(), fields.uint64(), fields.worker())
	case actionUnloadInstance:
		fields.worker()
		fields.uint64() // function
	case actionCheckHealth:
		w.checkHealth(router, fields.worker())
	case actionCloseIdleConnections:
		fields.worker()
	case actionSubscribe:
		w.subscribe(router, fields.uint8() == 1)
	case actionFetchEndpoints:
	case actionSendGossip:
		w.deliverGossip(router, fields.uint32(), fields.lengthPrefixed())
	case actionLogLine:
		fields.lengthPrefixed()
	default:
		return fmt.Errorf("unknown action code %d", code)
	}
	return nil
}

// setTimer schedules the expiry of a timer.
func (w *world) setTimer(router int, delay float64, token []byte) {
	w.schedule(delay, router, eventTimerFired, func() []byte { return token })
}

// subscribe starts or ends the subscription of a simulated router and schedules a full endpoint list for it.
func (w *world) subscribe(router int, on bool) {
	w.routers[router].subscribed = on
	w.schedule(30, router, eventEndpointUpdate, func() []byte { return w.encodeListFor(router, listFull) })
}

// worker returns the worker with this id. If there is none, it returns a new worker with no loaded functions, which it
// does not add to the world.
func (w *world) worker(id uint64) *simWorker {
	for _, worker := range w.workers {
		if worker.id == id {
			return worker
		}
	}
	return &simWorker{id: id, loaded: map[uint64]float64{}}
}

// loadInstance executes a load command, which fails with a probability of 3 in 12.
func (w *world) loadInstance(router int, count byte, function, workerID uint64) {
	worker := w.worker(workerID)
	loadTime := 200 + 700*w.rng.Float64()
	outcome := byte(outcomeServed)
	switch w.rng.IntN(12) {
	case 0:
		outcome = outcomeErrored
	case 1:
		outcome = outcomeReset
	case 2:
		outcome = outcomeOverloaded
	default:
		worker.loaded[function] = w.now + loadTime
	}
	sentAt := w.now
	w.schedule(loadTime, router, eventLoadCommandEnded, func() []byte {
		b := appendWorker(nil, workerID)
		b = binary.BigEndian.AppendUint64(b, function)
		b = append(b, outcome)
		b = appendFloat64(b, w.now-sentAt)
		return append(b, count)
	})
}

// checkHealth answers a health check. The check times out with a probability of 1 in 5, and always if the worker is
// gone.
func (w *world) checkHealth(router int, workerID uint64) {
	worker := w.worker(workerID)
	outcome := byte(outcomeServed)
	duration := 3.0
	if worker.state == workerGone || w.rng.IntN(5) == 0 {
		outcome = outcomeTimedOut
		duration = 120
	}
	w.schedule(duration, router, eventHealthCheckEnded, func() []byte {
		b := appendFloat64(nil, duration)
		b = append(b, outcome)
		b = appendWorker(b, workerID)
		return appendLoadReport(b, worker)
	})
}

// deliverGossip schedules the delivery of a message to one other simulated router, or to all of them, after 2 ms.
func (w *world) deliverGossip(sender int, recipient uint32, data []byte) {
	for n := range w.routers {
		if n == sender || recipient != allPeers && int(recipient) != n {
			continue
		}
		w.schedule(2, n, eventGossipReceived, func() []byte {
			b := binary.BigEndian.AppendUint16(nil, uint16(sender))
			b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
			return append(b, data...)
		})
	}
}

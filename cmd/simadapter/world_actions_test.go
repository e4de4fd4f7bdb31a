package main

import (
	"encoding/binary"
	"fmt"
)

// applyReply carries out the actions of a reply's records. It fails for an unknown action.
func (w *world) applyReply(records []byte) error {
	fields := &wireReader{rest: records}
	for len(fields.rest) > 0 {
		code := fields.uint8()
		router := int(fields.uint16())
		w.seen[code]++
		if err := w.apply(code, router, fields); err != nil {
			return err
		}
	}
	return nil
}

// apply reads all fields of an action and carries it out, where the world reacts to it.
func (w *world) apply(code byte, router int, fields *wireReader) error {
	switch code {
	case actionSetTimer:
		w.setTimer(router, fields.float(), fields.bytes(timerTokenLength))
	case actionFailRequest:
		w.closeRequest(router, fields.uint32())
	case actionRefuseRequest:
		w.closeRequest(router, fields.uint32())
		fields.float() // Retry-After
	case actionSendAttempt:
		request := fields.uint32()
		worker := fields.worker()
		fields.float() // timeout
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
		w.gossip(router, fields.uint32(), fields.counted())
	case actionLogLine:
		fields.counted()
	default:
		return fmt.Errorf("unknown action code %d", code)
	}
	return nil
}

// setTimer schedules the end of a timer.
func (w *world) setTimer(router int, after float64, token []byte) {
	w.schedule(after, router, eventTimerFired, func() []byte { return token })
}

// subscribe begins or ends a subscription; the full endpoint list follows it.
func (w *world) subscribe(router int, on bool) {
	w.routers[router].subscribed = on
	w.schedule(30, router, eventEndpointUpdate, func() []byte { return w.listFor(router, listFull) })
}

// worker returns the worker with that id. If there is none, it returns a new one with nothing loaded, which it does not
// keep.
func (w *world) worker(id uint64) *simWorker {
	for _, worker := range w.workers {
		if worker.id == id {
			return worker
		}
	}
	return &simWorker{id: id, loaded: map[uint64]float64{}}
}

// loadInstance carries out a load command, which fails in 3 of 12 cases.
func (w *world) loadInstance(router int, count byte, function, workerID uint64) {
	worker := w.worker(workerID)
	after := 200 + 700*w.rng.Float64()
	outcome := byte(outcomeServed)
	switch w.rng.IntN(12) {
	case 0:
		outcome = outcomeErrored
	case 1:
		outcome = outcomeReset
	case 2:
		outcome = outcomeOverloaded
	default:
		worker.loaded[function] = w.now + after
	}
	sentAt := w.now
	w.schedule(after, router, eventLoadCommandEnded, func() []byte {
		b := appendWorker(nil, workerID)
		b = binary.BigEndian.AppendUint64(b, function)
		b = append(b, outcome)
		b = appendFloat(b, w.now-sentAt)
		return append(b, count)
	})
}

// checkHealth answers a health check, or lets it time out in 1 of 5 cases and always for a worker that is gone.
func (w *world) checkHealth(router int, workerID uint64) {
	worker := w.worker(workerID)
	outcome := byte(outcomeServed)
	after := 3.0
	if worker.state == workerGone || w.rng.IntN(5) == 0 {
		outcome = outcomeTimedOut
		after = 120
	}
	w.schedule(after, router, eventHealthCheckEnded, func() []byte {
		b := appendFloat(nil, after)
		b = append(b, outcome)
		b = appendWorker(b, workerID)
		return appendLoadReport(b, worker)
	})
}

// gossip delivers a message to one or all of the other simulated routers, 2 ms later.
func (w *world) gossip(from int, to uint32, data []byte) {
	for n := range w.routers {
		if n == from || to != allPeers && int(to) != n {
			continue
		}
		w.schedule(2, n, eventGossipReceived, func() []byte {
			b := binary.BigEndian.AppendUint16(nil, uint16(from))
			b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
			return append(b, data...)
		})
	}
}

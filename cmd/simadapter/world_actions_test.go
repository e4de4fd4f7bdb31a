package main

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// applyReply carries out the actions of a reply's records.
func (w *world) applyReply(records []byte) error {
	for len(records) > 0 {
		code := records[0]
		router := int(binary.BigEndian.Uint16(records[1:]))
		records = records[recordHeaderLength:]
		w.seen[code]++
		length, err := w.apply(code, router, records)
		if err != nil {
			return err
		}
		records = records[length:]
	}
	return nil
}

// apply carries out the action that fields begins with, and returns the length of its fields.
func (w *world) apply(code byte, router int, fields []byte) (length int, err error) {
	switch code {
	case actionSetTimer:
		w.setTimer(router, readFloat(fields), slices.Clone(fields[8:16]))
		return 16, nil
	case actionFailRequest:
		w.closeRequest(router, binary.BigEndian.Uint32(fields))
		return 4, nil
	case actionRefuseRequest:
		w.closeRequest(router, binary.BigEndian.Uint32(fields))
		return 12, nil
	case actionSendAttempt:
		return 18, w.sendAttempt(router, binary.BigEndian.Uint32(fields), readWorker(fields[4:]))
	case actionCancelAttempt:
		w.cancelAttempt(router, binary.BigEndian.Uint32(fields), int(binary.BigEndian.Uint16(fields[4:])))
		return 6, nil
	case actionLoadInstance:
		w.loadInstance(router, fields[0], binary.BigEndian.Uint64(fields[1:]), readWorker(fields[9:]))
		return 15, nil
	case actionUnloadInstance:
		return 14, nil
	case actionCheckHealth:
		w.checkHealth(router, readWorker(fields))
		return 6, nil
	case actionCloseIdleConnections:
		return 6, nil
	case actionSubscribe:
		w.subscribe(router, fields[0] == 1)
		return 1, nil
	case actionFetchEndpoints:
		return 0, nil
	case actionSendGossip:
		end := 6 + int(binary.BigEndian.Uint16(fields[4:]))
		w.gossip(router, binary.BigEndian.Uint32(fields), slices.Clone(fields[6:end]))
		return end, nil
	case actionLogLine:
		return 2 + int(binary.BigEndian.Uint16(fields)), nil
	}
	return 0, fmt.Errorf("unknown action code %d", code)
}

// setTimer schedules the end of a timer.
func (w *world) setTimer(router int, after float64, token []byte) {
	w.schedule(after, router, eventTimerFired, func() []byte { return token })
}

// subscribe begins or ends a subscription; the full worker list follows it.
func (w *world) subscribe(router int, on bool) {
	w.routers[router].subscribed = on
	w.schedule(30, router, eventEndpointUpdate, func() []byte { return w.listFor(router, listFull) })
}

// worker returns the worker with that id; one that isn't known has nothing loaded.
func (w *world) worker(id uint64) *simWorker {
	for _, worker := range w.workers {
		if worker.id == id {
			return worker
		}
	}
	return &simWorker{id: id, loaded: map[uint64]float64{}}
}

// loadInstance carries out a load command, which fails now and then.
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

// checkHealth answers a health check, or lets it time out.
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

// gossip delivers a message to its receivers, a little later.
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

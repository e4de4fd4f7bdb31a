package main

import (
	"encoding/binary"
	"math"
)

// The wire is defined here a second time, apart from package simwire, so that the tests find an error in either.

// Codes of the wire's event records.
const (
	eventResponseStarted = iota + 1
	eventAttemptEnded
	eventClientCancelled
	eventRouterKilled
	eventHealthCheckEnded
	eventEndpointUpdate
	eventTimerFired
	eventGossipReceived
	eventRouterStarted
	eventRequestArrived
	eventLoadCommandEnded
)

// Codes of the wire's action records.
const (
	actionSetTimer             = 65
	actionCloseIdleConnections = 66
	actionFailRequest          = 67
	actionSendAttempt          = 69
	actionSendGossip           = 70
	actionSubscribe            = 71
	actionLoadInstance         = 72
	actionCheckHealth          = 73
	actionUnloadInstance       = 74
	actionLogLine              = 75
	actionCancelAttempt        = 76
	actionFetchEndpoints       = 77
	actionRefuseRequest        = 78
)

// Outcomes of the wire.
const (
	outcomeServed = iota
	outcomeErrored
	outcomeOverloaded
	outcomeTimedOut
	outcomeUnreachable
	outcomeReset
	outcomeCancelled
	outcomeNotSent
	outcomeNotLoaded
)

// Instance statuses of the wire: the lower bits of an outcome's info byte.
const (
	statusUnknown = iota
	statusWarm
	statusLoadStarted
	statusLoadAwaited
	statusLoadFailed
)

// Modes of the wire's worker lists.
const (
	listDelta = iota
	listFull
	listCached
	listFailed
)

// States of the workers in a list.
const (
	workerGone = iota
	workerReady
	workerDraining
)

// Flags of an arriving request.
const (
	flagWorkHint = 1
	flagRetry    = 2
)

// allPeers addresses a gossip message to every other simulated router.
const allPeers = math.MaxUint32

// Lengths in bytes.
const (
	recordHeaderLength = 3 // code, simulated router
	replyHeaderLength  = 8 // sequence number, length
)

func appendWorker(b []byte, id uint64) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(id>>16))
	return binary.BigEndian.AppendUint16(b, uint16(id))
}

func readWorker(b []byte) uint64 {
	return uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:]))
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func appendFloat32(b []byte, v float32) []byte {
	return binary.BigEndian.AppendUint32(b, math.Float32bits(v))
}

func readFloat(b []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(b)) }

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

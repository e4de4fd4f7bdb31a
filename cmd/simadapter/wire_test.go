package main

import (
	"bytes"
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

// Instance statuses of the wire: the lower three bits of an outcome's info byte.
const (
	statusUnknown = iota
	statusWarm
	statusLoadStarted
	statusLoadAwaited
	statusLoadFailed
)

// Modes of the wire's endpoint lists.
const (
	listIncremental = iota
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
	flagWorkHint = 1 // the work hint is valid
	flagRepeat   = 2 // the client has sent it before
)

// allPeers addresses a gossip message to every other simulated router.
const allPeers = math.MaxUint32

// Lengths in bytes.
const (
	replyHeaderLength = 8 // sequence number, length
	timerTokenLength  = 8
)

// appendWorker appends a worker, which is 48 bits long: address and port.
func appendWorker(b []byte, id uint64) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(id>>16))
	return binary.BigEndian.AppendUint16(b, uint16(id))
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func appendFloat32(b []byte, v float32) []byte {
	return binary.BigEndian.AppendUint32(b, math.Float32bits(v))
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// wireReader reads fields from the front of rest. It panics where they are missing: the reply was malformed.
type wireReader struct {
	rest []byte
}

func (r *wireReader) uint8() byte    { return r.bytes(1)[0] }
func (r *wireReader) uint16() uint16 { return binary.BigEndian.Uint16(r.bytes(2)) }
func (r *wireReader) uint32() uint32 { return binary.BigEndian.Uint32(r.bytes(4)) }
func (r *wireReader) uint64() uint64 { return binary.BigEndian.Uint64(r.bytes(8)) }
func (r *wireReader) float() float64 { return math.Float64frombits(r.uint64()) }
func (r *wireReader) worker() uint64 { return uint64(r.uint32())<<16 | uint64(r.uint16()) }

// counted reads bytes behind their length.
func (r *wireReader) counted() []byte { return r.bytes(int(r.uint16())) }

// bytes reads a copy of the next bytes.
func (r *wireReader) bytes(length int) []byte {
	field := bytes.Clone(r.rest[:length])
	r.rest = r.rest[length:]
	return field
}

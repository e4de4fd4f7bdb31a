package main

import (
	"bytes"
	"encoding/binary"
	"math"
)

// This file defines the wire format a second time, independently of package simwire, so that the tests detect an error
// in either definition.

// Codes of the event records.
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

// Codes of the action records.
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

// Codes of the outcomes of attempts, load commands and health checks.
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

// Codes of the instance statuses, which are the lower three bits of the info byte of an attempt's outcome.
const (
	statusUnknown = iota
	statusWarm
	statusLoadStarted
	statusLoadAwaited
	statusLoadFailed
)

// Codes of the kinds of endpoint lists.
const (
	listIncremental = iota
	listFull
	listCached
	listFailed
)

// Codes of the states of the workers in an endpoint list.
const (
	workerGone = iota
	workerReady
	workerDraining
)

// Bits of the flags of an arriving request.
const (
	flagWorkHint = 1 // the work hint is valid
	flagRepeat   = 2 // the client has sent the request before
)

// allPeers is the recipient of gossip that goes to every other simulated router.
const allPeers = math.MaxUint32

// Lengths of fields and headers, in bytes.
const (
	replyHeaderLength = 8 // sequence number and length of the records
	timerTokenLength  = 8
)

// appendWorker appends a worker's IPv4 address and port, which together are its id of 48 bits.
func appendWorker(b []byte, id uint64) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(id>>16))
	return binary.BigEndian.AppendUint16(b, uint16(id))
}

func appendFloat64(b []byte, v float64) []byte {
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

// wireReader reads fields from the front of rest. It panics if a field is incomplete, which means that the reply is
// malformed.
type wireReader struct {
	rest []byte
}

func (r *wireReader) uint8() byte      { return r.bytes(1)[0] }
func (r *wireReader) uint16() uint16   { return binary.BigEndian.Uint16(r.bytes(2)) }
func (r *wireReader) uint32() uint32   { return binary.BigEndian.Uint32(r.bytes(4)) }
func (r *wireReader) uint64() uint64   { return binary.BigEndian.Uint64(r.bytes(8)) }
func (r *wireReader) float64() float64 { return math.Float64frombits(r.uint64()) }
func (r *wireReader) worker() uint64   { return uint64(r.uint32())<<16 | uint64(r.uint16()) }

// lengthPrefixed reads a length as a u16 and returns a copy of that many bytes after it.
func (r *wireReader) lengthPrefixed() []byte { return r.bytes(int(r.uint16())) }

// bytes returns a copy of the next bytes.
func (r *wireReader) bytes(length int) []byte {
	field := bytes.Clone(r.rest[:length])
	r.rest = r.rest[length:]
	return field
}

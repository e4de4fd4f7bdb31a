package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"functionrouter/policy"
)

// encoder appends fields to b in the format of the wire.
type encoder struct {
	b []byte
}

func (e *encoder) u8(v uint8)                    { e.b = append(e.b, v) }
func (e *encoder) u16(v uint16)                  { e.b = binary.BigEndian.AppendUint16(e.b, v) }
func (e *encoder) u32(v uint32)                  { e.b = binary.BigEndian.AppendUint32(e.b, v) }
func (e *encoder) u64(v uint64)                  { e.b = binary.BigEndian.AppendUint64(e.b, v) }
func (e *encoder) millis(d time.Duration)        { e.u64(math.Float64bits(toMillis(d))) }
func (e *encoder) request(id policy.RequestID)   { e.u32(uint32(id)) }
func (e *encoder) function(id policy.FunctionID) { e.u64(uint64(id)) }

// worker appends a worker's IPv4 address and port, which are the lower 48 bits of its id; decoder.worker documents
// their layout.
func (e *encoder) worker(id policy.WorkerID) {
	e.u32(uint32(id >> 16))
	e.u16(uint16(id))
}

// boolean appends 1 for true and 0 for false.
func (e *encoder) boolean(v bool) {
	if v {
		e.u8(1)
	} else {
		e.u8(0)
	}
}

// lengthPrefixed appends the length of data as a u16, then data, which must be shorter than 64 KiB.
func (e *encoder) lengthPrefixed(data []byte) {
	e.u16(uint16(len(data)))
	e.b = append(e.b, data...)
}

// header appends the header of a record: its code and its simulated router.
func (e *encoder) header(code uint8, router RouterIndex) {
	e.u8(code)
	e.u16(uint16(router))
}

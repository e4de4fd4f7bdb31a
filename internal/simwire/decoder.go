package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"functionrouter/policy"
)

// Lengths of fields, in bytes.
const (
	workerLength  = 6 // IPv4 address and port
	float32Length = 4
)

// decoder reads fields from the front of rest. It keeps the first error in err, so that a caller can read all fields of
// a record and check for an error once. Values that are read after an error are meaningless.
type decoder struct {
	rest []byte
	err  error
}

// fail records an error, unless an earlier one is recorded already.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// take returns the next field, which has a fixed length in bytes. If fewer bytes are left, it records errTruncated and
// returns zeros. The result shares its array with rest.
func (d *decoder) take(length int) []byte {
	if length > len(d.rest) {
		d.fail(errTruncated)
		d.rest = nil
		return make([]byte, length)
	}
	field := d.rest[:length]
	d.rest = d.rest[length:]
	return field
}

// bytes returns a copy of the next field, whose length in bytes the record states. If fewer bytes are left, it records
// errTruncated and returns nil. It also returns nil if the length is 0.
func (d *decoder) bytes(length uint32) []byte {
	if uint64(length) > uint64(len(d.rest)) {
		d.fail(errTruncated)
		d.rest = nil
		return nil
	}
	return append([]byte(nil), d.take(int(length))...)
}

func (d *decoder) u8() uint8                   { return d.take(1)[0] }
func (d *decoder) u16() uint16                 { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32                 { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64                 { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float64                { return float64(math.Float32frombits(d.u32())) }
func (d *decoder) f64() float64                { return math.Float64frombits(d.u64()) }
func (d *decoder) millis() time.Duration       { return fromMillis(d.f64()) }
func (d *decoder) millis32() time.Duration     { return fromMillis(d.f32()) }
func (d *decoder) request() policy.RequestID   { return policy.RequestID(d.u32()) }
func (d *decoder) function() policy.FunctionID { return policy.FunctionID(d.u64()) }

// worker reads a worker's IPv4 address and port and combines them into its id: the port is the lowest 16 bits, the
// address the 32 bits above them.
func (d *decoder) worker() policy.WorkerID {
	b := d.take(workerLength)
	address := policy.WorkerID(binary.BigEndian.Uint32(b))
	port := policy.WorkerID(binary.BigEndian.Uint16(b[4:]))
	return address<<16 | port
}

// loadReport reads a worker's load report: the number of values, then the values. If fewer values are left, it records
// errTruncated and returns nil. It also returns nil if the number is 0.
func (d *decoder) loadReport() []float64 {
	count := int(d.u8())
	if count*float32Length > len(d.rest) {
		d.fail(errTruncated)
		return nil
	}
	var values []float64
	for range count {
		values = append(values, d.f32())
	}
	return values
}

// outcome reads the outcome of an attempt, a load command or a health check.
func (d *decoder) outcome() policy.Outcome { return decodeCode(d, "outcome", d.u8(), outcomes) }

// workerState reads the state of a worker.
func (d *decoder) workerState() policy.WorkerState {
	return decodeCode(d, "worker state", d.u8(), workerStates)
}

// decodeCode returns the value at index code of values. If code is not an index of values, decodeCode records an error
// that names field, and returns the zero value.
func decodeCode[T any](d *decoder, field string, code uint8, values []T) T {
	if int(code) >= len(values) {
		d.fail(unknownCodeError{field, code})
		var zero T
		return zero
	}
	return values[code]
}

package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// batchHeaderLength is the length of a batch's header in bytes: three u32 fields, then the clock as an f64.
const batchHeaderLength = 20

// maxFrameLength is the largest accepted number of bytes after a header. It makes ReadBatch reject a malformed length
// before it reads the records. The batches of the simulator are far smaller.
const maxFrameLength = 1 << 30

// Errors that report a malformed frame.
var (
	errClockOutOfRange = errors.New("clock is not between 0 and 1e12 ms")
	errFrameTooLong    = errors.New("frame is too long")
	errTruncated       = errors.New("truncated")
	errTrailingBytes   = errors.New("bytes after the last record")
)

// unknownCodeError reports a code on the wire that has no known meaning.
type unknownCodeError struct {
	field string
	code  uint8
}

// Error returns a message that names the field and the code.
func (e unknownCodeError) Error() string { return fmt.Sprintf("unknown %s %d", e.field, e.code) }

// Batch holds events that all happen at the same time.
type Batch struct {
	Seq     uint32        // sequence number, which the reply repeats
	Now     time.Duration // time on the simulator's clock; never negative
	Records []Record      // in the order of the wire; they must be handled in this order
}

// RouterIndex is the number that identifies a simulated router on the wire.
type RouterIndex uint16

// Record is one event at a simulated router.
type Record struct {
	Router RouterIndex
	Event  any // a policy.Event, a RouterStarted or a RouterKilled
}

// ReadBatch reads one batch and no byte after it. It blocks until the batch is complete. It returns io.EOF if the input
// ends before the first byte of the batch. It returns another error if reading fails, if the input ends within the
// batch, or if the batch is malformed; no further batch can be read after such an error.
func ReadBatch(r io.Reader) (Batch, error) {
	h, err := readBatchHeader(r)
	if err != nil {
		return Batch{}, err
	}
	batch := Batch{Seq: h.seq, Now: h.now}
	body, err := readBody(r, h.length)
	if err != nil {
		return Batch{}, fmt.Errorf("batch %d: %w", h.seq, err)
	}
	d := decoder{rest: body}
	for i := range h.recordCount {
		record, err := d.record()
		if err != nil {
			return Batch{}, fmt.Errorf("batch %d, record %d: %w", h.seq, i, err)
		}
		batch.Records = append(batch.Records, record)
	}
	if len(d.rest) > 0 {
		return Batch{}, fmt.Errorf("batch %d: %d %w", h.seq, len(d.rest), errTrailingBytes)
	}
	return batch, nil
}

// batchHeader is the header of a batch.
type batchHeader struct {
	seq         uint32
	length      uint32 // length of the records in bytes
	recordCount uint32
	now         time.Duration
}

// readBatchHeader reads and checks the header of a batch. It returns io.EOF only if the input ends before the first
// byte of the header.
func readBatchHeader(r io.Reader) (batchHeader, error) {
	var b [batchHeaderLength]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return batchHeader{}, io.EOF
		}
		return batchHeader{}, fmt.Errorf("batch header: %w", err)
	}
	h := batchHeader{
		seq:         binary.BigEndian.Uint32(b[0:]),
		length:      binary.BigEndian.Uint32(b[4:]),
		recordCount: binary.BigEndian.Uint32(b[8:]),
	}
	clock := math.Float64frombits(binary.BigEndian.Uint64(b[12:]))
	if math.IsNaN(clock) || clock < 0 || clock > maxMillis {
		return batchHeader{}, fmt.Errorf("batch %d: %w: %v", h.seq, errClockOutOfRange, clock)
	}
	h.now = fromMillis(clock)
	return h, nil
}

// readBody reads the bytes after a header. It does not allocate the length that the header states: its buffer grows
// only with the bytes that it has read.
func readBody(r io.Reader, length uint32) ([]byte, error) {
	if length > maxFrameLength {
		return nil, fmt.Errorf("%w: %d bytes after the header, limit %d", errFrameTooLong, length, maxFrameLength)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(length) {
		return nil, fmt.Errorf("%w at byte %d of %d", errTruncated, len(body), length)
	}
	return body, nil
}

package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// batchHeaderLength is the length of a batch's header, in bytes: three u32 and the clock, an f64.
const batchHeaderLength = 20

// maxFrameLength bounds the bytes after a header, so that a malformed length is found before it is read. The batches
// of the simulator are far smaller.
const maxFrameLength = 1 << 30

// The errors of malformed frames.
var (
	errBadClock      = errors.New("clock out of range")
	errFrameTooLong  = errors.New("frame is too long")
	errTruncated     = errors.New("truncated")
	errTrailingBytes = errors.New("bytes after the last record")
)

// unknownCodeError reports a code that this version doesn't know.
type unknownCodeError struct {
	field string
	code  uint8
}

// Error names the field and its code.
func (e unknownCodeError) Error() string { return fmt.Sprintf("unknown %s %d", e.field, e.code) }

// Batch is one batch of events, all of which happen at the same time.
type Batch struct {
	Seq     uint32        // repeated in the reply
	Now     time.Duration // on the simulator's clock; never negative
	Records []Record      // in the wire's order, in which they are to be handled
}

// RouterIndex is the number by which the wire names a simulated router.
type RouterIndex uint16

// Record is one event at a simulated router.
type Record struct {
	Router RouterIndex
	Event  any // a policy.Event, a RouterStarted or a RouterKilled
}

// ReadBatch reads one batch, and no byte beyond it. It returns io.EOF where the input ends before a batch, and another
// error where the input ends within it or the batch is malformed; no further batch can be read then. It blocks until the
// batch is complete.
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
	for i := range h.records {
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
	seq     uint32
	length  uint32 // of the records, in bytes
	records uint32 // their count
	now     time.Duration
}

// readBatchHeader reads and checks the header of a batch. It returns io.EOF only where the input ends before the
// header's first byte.
func readBatchHeader(r io.Reader) (batchHeader, error) {
	var b [batchHeaderLength]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return batchHeader{}, io.EOF
		}
		return batchHeader{}, fmt.Errorf("batch header: %w", err)
	}
	h := batchHeader{
		seq:     binary.BigEndian.Uint32(b[0:]),
		length:  binary.BigEndian.Uint32(b[4:]),
		records: binary.BigEndian.Uint32(b[8:]),
	}
	clock := math.Float64frombits(binary.BigEndian.Uint64(b[12:]))
	if math.IsNaN(clock) || clock < 0 || clock > maxMillis {
		return batchHeader{}, fmt.Errorf("batch %d: %w", h.seq, errBadClock)
	}
	h.now = fromMillis(clock)
	return h, nil
}

// readBody reads the bytes after a header. Its buffer grows with what comes, whatever length is claimed.
func readBody(r io.Reader, length uint32) ([]byte, error) {
	if length > maxFrameLength {
		return nil, fmt.Errorf("%w: %d bytes", errFrameTooLong, length)
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

package webhook

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

// orderState is the state of an order in the ledger. Its text is stored: it must not change.
type orderState string

// The states of an order that are recorded; see the package comment.
const (
	orderBegun    orderState = "begun" // it may run from now on
	orderEnded    orderState = "ended" // with the entry's status and body
	orderReleased orderState = "freed" // released: it is proven that it never ran, and the next delivery is a first one
)

// ledgerEntry is what the ledger records of an order. The fields' JSON names are stored: they must not change.
type ledgerEntry struct {
	ID        string     `json:"id"`  // the delivery's webhook-id
	EventTime time.Time  `json:"at"`  // when the order's event happened, by its sender's clock
	Digest    string     `json:"sum"` // of the payload
	State     orderState `json:"state"`
	Status    int        `json:"status,omitempty"` // HTTP status of the response, once the order has ended
	Body      []byte     `json:"body,omitempty"`   // of the response
}

// The form of a line: the CRC-32 (IEEE) of the JSON text in 8 hex digits, a space, the JSON text and a line feed.
const (
	checksumDigits = 8
	entryOffset    = checksumDigits + 1 // of the JSON text

	// maxLedgerLine bounds a line, in bytes; a longer one can't be read. Nothing checks it on writing: the longest line is
	// that of an ended order with a worker's result of 16 KiB, which base64 makes about 22 KiB.
	maxLedgerLine = 64 << 10
)

// encodeEntry returns the entry's line, with its line feed.
func encodeEntry(e ledgerEntry) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // of strings, numbers and bytes: it can't fail
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decodeEntry decodes a line with its line feed. Its errors wrap errLedgerDamaged.
func decodeEntry(line []byte) (e ledgerEntry, err error) {
	if len(line) <= entryOffset {
		return e, errLedgerDamaged
	}
	var checksum [checksumDigits / 2]byte
	if _, err := hex.Decode(checksum[:], line[:checksumDigits]); err != nil {
		return e, fmt.Errorf("%w: %w", errLedgerDamaged, err)
	}
	text := line[entryOffset : len(line)-1]
	if binary.BigEndian.Uint32(checksum[:]) != crc32.ChecksumIEEE(text) {
		return e, errLedgerDamaged
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("%w: %w", errLedgerDamaged, err)
	}
	return e, nil
}

// readEntries calls visit for the entry of each line. An incomplete last line is ignored: it was never synced, so a begun
// order was not sent, and an ended or released one still counts as begun. Damage anywhere else is an error, since it is
// unknown then which orders ran. Errors name the line, not the file.
func readEntries(r io.Reader, visit func(ledgerEntry)) error {
	lines := bufio.NewReaderSize(r, maxLedgerLine)
	for number := 1; ; number++ {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		e, err := decodeEntry(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		visit(e)
	}
}

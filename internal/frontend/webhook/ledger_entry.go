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
	"unicode/utf8"
)

// orderState is the state of an order in the ledger. Its values are stored, so they must not change.
type orderState string

// The recorded states of an order; see the package comment.
const (
	orderBegun    orderState = "begun" // the order may run from now on
	orderEnded    orderState = "ended" // the entry has the status and body of the outcome
	orderReleased orderState = "freed" // released: the order provably never ran, and its next delivery is a first delivery
)

// ledgerEntry is the ledger's record of an order in one state. The JSON names of the fields are stored, so they must
// not change.
type ledgerEntry struct {
	ID        string     `json:"id"`  // the delivery's webhook-id, which may be any bytes; see storedEntry
	EventTime time.Time  `json:"at"`  // time of the order's event on the clock of its sender
	Digest    string     `json:"sum"` // digest of the payload; see payloadDigest
	State     orderState `json:"state"`
	Status    int        `json:"status,omitempty"` // HTTP status of the response, once the order has ended
	Body      []byte     `json:"body,omitempty"`   // body of the response
}

// storedEntry is the form of an entry in the file. encoding/json replaces bytes that are not UTF-8, and a webhook-id that
// was read back would differ from the client's: such an id is stored as bytes too.
type storedEntry struct {
	ledgerEntry
	IDBytes []byte `json:"id_bytes,omitempty"` // the webhook-id, if it is not UTF-8; base64 in the JSON
}

// The format of a line: the CRC-32 (IEEE) of the JSON text in 8 hex digits, a space, the JSON text and a line feed.
const (
	checksumDigits = 8
	entryOffset    = checksumDigits + 1 // offset of the JSON text in the line

	// maxLedgerLine bounds the size of a line in bytes when the ledger is read. Writing does not check it, because all
	// lines are shorter: the longest has a worker's result of 16 KiB as its body, which is about 22 KiB in base64.
	maxLedgerLine = 64 << 10
)

// encodeEntry returns the line of an entry, including its line feed.
func encodeEntry(e ledgerEntry) []byte {
	stored := storedEntry{ledgerEntry: e}
	if !utf8.ValidString(e.ID) {
		stored.IDBytes = []byte(e.ID)
	}
	text, err := json.Marshal(stored)
	if err != nil {
		panic(err) // json.Marshal can't fail for strings, numbers, bytes and a time that isStorable accepts
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decodeEntry decodes a line, including its line feed. Its errors wrap errLedgerDamaged.
func decodeEntry(line []byte) (e ledgerEntry, err error) {
	if len(line) <= entryOffset {
		return e, fmt.Errorf("%w: %d bytes are too few for an entry", errLedgerDamaged, len(line))
	}
	var checksum [checksumDigits / 2]byte
	if _, err := hex.Decode(checksum[:], line[:checksumDigits]); err != nil {
		return e, fmt.Errorf("%w: %w", errLedgerDamaged, err)
	}
	text := line[entryOffset : len(line)-1]
	if binary.BigEndian.Uint32(checksum[:]) != crc32.ChecksumIEEE(text) {
		return e, fmt.Errorf("%w: checksum %x, but the text has %08x", errLedgerDamaged, checksum, crc32.ChecksumIEEE(text))
	}
	var stored storedEntry
	if err := json.Unmarshal(text, &stored); err != nil {
		return e, fmt.Errorf("%w: %w", errLedgerDamaged, err)
	}
	if len(stored.IDBytes) > 0 {
		stored.ID = string(stored.IDBytes)
	}
	return stored.ledgerEntry, nil
}

// readEntries calls visit for the entry of each line. It ignores an incomplete last line, which was never synced. The
// order of an incomplete "begun" entry was not sent to a worker. The order of an incomplete "ended" or "freed" entry
// counts as begun. Any other damage is an error, because it is unknown which orders ran. Errors name the line but not
// the file.
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

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
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// orderState is the state of an order in the ledger. Its text is stored: it must not change.
type orderState string

// The states of an order.
const (
	orderBegun    orderState = "begun" // it may run from now on
	orderEnded    orderState = "ended" // with the entry's status and body
	orderReleased orderState = "freed" // it is proven that it never ran: its webhook-id may come again
)

// String returns the stored text.
func (s orderState) String() string { return string(s) }

// ledgerEntry is what the ledger records of an order. The fields' JSON names are stored: they must not change.
type ledgerEntry struct {
	ID        string     `json:"id"`  // the delivery's webhook-id
	EventTime time.Time  `json:"at"`  // when the order's event happened, by its sender's clock
	Digest    string     `json:"sum"` // of the payload
	State     orderState `json:"state"`
	Status    int        `json:"status,omitempty"` // HTTP status of the answer, once the order has ended
	Body      []byte     `json:"body,omitempty"`   // and its body
}

// A line is the CRC-32 (IEEE) of the JSON text in 8 hex digits, a space, the JSON text and a line feed.
const (
	checksumDigits = 8
	entryOffset    = checksumDigits + 1
	maxLedgerLine  = 64 << 10 // bytes
)

// encodeEntry returns the entry's line.
func encodeEntry(e ledgerEntry) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // of strings, numbers and bytes: it can't fail
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decodeEntry reads a line with its line feed. Its errors wrap errLedgerDamaged.
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

// readEntries calls visit for each line. A last line that was cut short was never synced, so nothing was sent
// for it; damage anywhere else leaves it open which orders ran, and is an error.
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

// compact replaces the file by one with only the last entry of each order that is still retained, and returns
// those entries in the order in which their webhook-ids first came.
func (l *ledger) compact() ([]ledgerEntry, error) {
	entries, err := readLastEntries(l.path)
	if err != nil {
		return nil, err
	}
	var retained []ledgerEntry
	var text []byte
	for _, e := range entries {
		if e.State != orderReleased && l.wallClock().Sub(e.EventTime) <= l.retention {
			retained = append(retained, e)
			text = append(text, encodeEntry(e)...)
		}
	}
	file, err := replaceFile(l.path, text)
	if err != nil {
		return nil, err
	}
	if l.file != nil {
		_ = l.file.Close() // it has been replaced: nothing reads it again
	}
	l.file = file
	l.size = int64(len(text))
	l.lastCompaction = l.wallClock()
	return retained, nil
}

// readLastEntries returns the last entry of each order in the file, none where there is no such file.
func readLastEntries(path string) ([]ledgerEntry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	var entries []ledgerEntry
	indexes := map[string]int{} // in entries, by webhook-id
	err = readEntries(file, func(e ledgerEntry) {
		i, known := indexes[e.ID]
		if !known {
			indexes[e.ID] = len(entries)
			entries = append(entries, e)
			return
		}
		entries[i] = e
	})
	return entries, err
}

// replaceFile puts a file with this text in the place of the one at path, in one step that a crash can't split, and
// returns it open for more. Where it fails after the rename, the file at path is the new one.
func replaceFile(path string, text []byte) (*os.File, error) {
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, ledgerFileMode)
	if err != nil {
		return nil, err
	}
	if err := syncAndRename(file, path, text); err != nil {
		_ = file.Close() // the error that matters is the one returned
		return nil, err
	}
	return file, nil
}

func syncAndRename(file *os.File, path string, text []byte) error {
	if _, err := file.Write(text); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir puts the directory's entries on the disk, without which a crash may undo a rename in it.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // it was only read
	return dir.Sync()
}

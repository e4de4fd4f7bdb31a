package webhook

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// compact replaces the file with one that holds the last entry of each order alone, and none of orders that have expired
// or were released. It returns those entries, in the sequence in which their webhook-ids first occur in the old file. After
// an error the file on the disk may be the old one or the new one, and l.file the old one: it must not be written any more.
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

// readLastEntries returns the last entry of each order in the file, in the sequence in which their webhook-ids first
// occur; none if the file does not exist.
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
	indexByID := map[string]int{} // in entries, by webhook-id
	err = readEntries(file, func(e ledgerEntry) {
		i, known := indexByID[e.ID]
		if !known {
			indexByID[e.ID] = len(entries)
			entries = append(entries, e)
			return
		}
		entries[i] = e
	})
	return entries, err
}

// replaceFile replaces the file at path with one that holds text, and returns it open for writing at its end. A crash
// leaves the old file or the new one. If it fails after the rename, the file at path is the new one.
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

// syncAndRename writes text to file, syncs it and renames it to path. The sync comes first: after a crash the name must
// not stand for a file without its text.
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

// syncDir syncs the directory's entries. Without it a crash may undo a rename in the directory.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // it was only read
	return dir.Sync()
}

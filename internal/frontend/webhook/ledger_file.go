package webhook

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// compact replaces the file with one that holds only the last entry of each order, and no entries of orders that have
// expired or were released. It returns the retained entries in the sequence in which their webhook-ids first occur in
// the old file. After an error, the file at the ledger's path may be the old one or the new one. l.file is the old one
// then, or nil during openLedger, and must not be written to.
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
		_ = l.file.Close() // the error is ignored, because the file has been replaced and is not read again
	}
	l.file = file
	l.size = int64(len(text))
	l.lastCompaction = l.wallClock()
	return retained, nil
}

// readLastEntries returns the last entry of each order in the file, in the sequence in which the webhook-ids first
// occur. It returns no entries if the file does not exist.
func readLastEntries(path string) ([]ledgerEntry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file is only read, so nothing can be lost
	var entries []ledgerEntry
	indexByID := map[string]int{} // indexes into entries, by webhook-id
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

// replaceFile replaces the file at path with one that holds text. It returns the new file, open for writing at its end.
// After a crash, the file at path is either the old one or the new one. If replaceFile fails after the rename, the file
// at path is the new one.
func replaceFile(path string, text []byte) (*os.File, error) {
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, ledgerFileMode)
	if err != nil {
		return nil, err
	}
	if err := syncAndRename(file, path, text); err != nil {
		_ = file.Close() // the error of syncAndRename is returned instead
		return nil, err
	}
	return file, nil
}

// syncAndRename writes text to file, syncs it and renames it to path. The sync precedes the rename, so that path never
// refers to a file with missing text after a crash.
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

// syncDir syncs the entries of the directory at path. Without this, a crash may undo a rename in the directory.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // the directory is only read, so nothing can be lost
	return dir.Sync()
}

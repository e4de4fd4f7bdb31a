package webhook

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Why the ledger can't be opened, or can't take an order.
var (
	errLedgerInUse   = errors.New("ledger is in use")
	errLedgerFull    = errors.New("ledger is full") // the file, or the writer's queue
	errLedgerFailed  = errors.New("ledger is out of use after a failed write")
	errLedgerDamaged = errors.New("damaged")
)

const (
	// ledgerQueueLength is how many entries may wait for the writer. While the queue is full, orders are refused, and
	// entries of ended and released orders are dropped.
	ledgerQueueLength = 256

	// compactionInterval is the minimum time from a compaction, including the one at the start, to the next one of a full
	// ledger: each rewrites the file.
	compactionInterval = time.Minute

	// ledgerFileMode keeps the outcomes of orders from other users.
	ledgerFileMode = 0o600
)

// ledger is the write-ahead log of orders, which must never run twice. It survives a restart: an order's "begun"
// entry is on the disk before the order is first sent to a worker. So an order without an entry has never been
// sent, and one whose last entry is "begun" may have run.
//
// One goroutine, the writer, owns the file from the end of openLedger until it closes writerDone. The event loop's
// goroutine only puts entries into the queue, so that a slow disk delays no other request. One queue for all entries keeps
// those of an order in sequence.
type ledger struct {
	queue      chan pendingWrite
	writerDone chan struct{} // closed when the writer has written the last entry

	// The rest belongs to the writer, which calls wallClock too.
	path           string
	maxBytes       int64 // of the file
	retention      time.Duration
	wallClock      func() time.Time
	file           *os.File
	lockFile       *os.File
	size           int64 // of file, in bytes
	lastCompaction time.Time
	failed         bool // a write, sync or compaction failed: what is on the disk is unknown, nothing more is written
}

// pendingWrite is an entry that waits for the writer.
type pendingWrite struct {
	entry ledgerEntry
	// onDurable is called on the writer's goroutine when the entry has been synced (nil) or has failed. It must not block.
	// An entry whose onDurable is nil needs no sync.
	onDurable func(error)
}

// openLedger locks the ledger at path, reads and compacts it, and starts its writer. A file that does not exist is an empty
// ledger. It returns the entries that the compaction has kept, one for each order. The caller owns the ledger and ends its
// writer with close. wallClock is called on the writer's goroutine too.
func openLedger(path string, maxBytes int64, retention time.Duration, wallClock func() time.Time) (*ledger, []ledgerEntry, error) {
	l := &ledger{
		path:       path,
		maxBytes:   maxBytes,
		retention:  retention,
		wallClock:  wallClock,
		queue:      make(chan pendingWrite, ledgerQueueLength),
		writerDone: make(chan struct{}),
	}
	lockFile, err := lockLedger(path)
	if err != nil {
		return nil, nil, err
	}
	l.lockFile = lockFile
	entries, err := l.compact()
	if err != nil {
		_ = lockFile.Close() // the error that matters is the one returned
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	go l.writeEntries()
	return l, entries, nil
}

// lockLedger locks the ledger at path until the returned file is closed, or returns an error, which wraps errLedgerInUse if
// the lock was refused: two processes would not see each other's orders. The lock has a file of its own, since a compaction
// replaces the ledger's. The lock's file stays when the ledger is closed.
func lockLedger(path string) (*os.File, error) {
	lockFile, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, ledgerFileMode)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lockFile.Close() // nothing was written to it
		return nil, fmt.Errorf("%w: %s: %w", errLedgerInUse, path, err)
	}
	return lockFile, nil
}

// recordStart records that an order is about to run; the entry's state becomes orderBegun. onDurable is called once, with
// nil when the entry is on the disk, or with the error: on the writer's goroutine, or if the queue is full, with
// errLedgerFull on the caller's before recordStart returns. That error alone is not logged.
func (l *ledger) recordStart(e ledgerEntry, onDurable func(error)) {
	e.State = orderBegun
	select {
	case l.queue <- pendingWrite{entry: e, onDurable: onDurable}:
	default:
		onDurable(errLedgerFull)
	}
}

// recordEnd records that an order was ended or released, without a sync. If the queue is full, the entry is dropped, which
// is logged. If the entry is lost, the order counts after a restart as one that may have run, and never runs again.
func (l *ledger) recordEnd(e ledgerEntry) {
	select {
	case l.queue <- pendingWrite{entry: e}:
	default:
		slog.Warn("ledger entry dropped", "webhook_id", e.ID, "state", string(e.State))
	}
}

// writeEntries is the writer's goroutine. It writes the queued entries, with one sync for all that wait at the same time
// (group commit), and returns when close has closed the queue and it is empty.
func (l *ledger) writeEntries() {
	defer close(l.writerDone)
	var batch []pendingWrite
	for first := range l.queue {
		batch = append(batch[:0], first)
		batch = l.appendQueued(batch)
		l.writeBatch(batch)
	}
}

// appendQueued adds the entries that are in the queue now to batch, without waiting for more.
func (l *ledger) appendQueued(batch []pendingWrite) []pendingWrite {
	for {
		select {
		case write, open := <-l.queue:
			if !open {
				return batch
			}
			batch = append(batch, write)
		default:
			return batch
		}
	}
}

// writeBatch appends the entries, syncs the file if one of them must be durable, and then calls each onDurable, in this
// sequence: no order may run before its entry is on the disk. Errors are logged. A failed sync fails all entries of the
// batch and all later ones.
func (l *ledger) writeBatch(batch []pendingWrite) {
	errs := make([]error, len(batch))
	mustSync := false
	for i, w := range batch {
		errs[i] = l.appendEntry(w.entry)
		if errs[i] == nil && w.onDurable != nil {
			mustSync = true
		}
	}
	if mustSync {
		if err := l.file.Sync(); err != nil {
			l.failed = true
			for i := range errs {
				errs[i] = errors.Join(errs[i], err)
			}
		}
	}
	for i, w := range batch {
		if errs[i] != nil {
			slog.Error("ledger entry not written", "webhook_id", w.entry.ID, "error", errs[i])
		}
		if w.onDurable != nil {
			w.onDurable(errs[i])
		}
	}
}

// appendEntry writes an entry at the end of the file. If the file is full, it is compacted first.
func (l *ledger) appendEntry(e ledgerEntry) error {
	if l.failed {
		return errLedgerFailed
	}
	line := encodeEntry(e)
	if err := l.ensureSpace(int64(len(line))); err != nil {
		return err
	}
	if _, err := l.file.Write(line); err != nil {
		l.failed = true
		return err
	}
	l.size += int64(len(line))
	return nil
}

// ensureSpace makes sure that the file may grow by the needed bytes, by a compaction if need be. It returns errLedgerFull if
// the file is full and a compaction does not help or is not due (see compactionInterval).
func (l *ledger) ensureSpace(needed int64) error {
	if l.size+needed <= l.maxBytes {
		return nil
	}
	if l.wallClock().Sub(l.lastCompaction) < compactionInterval {
		return errLedgerFull
	}
	if _, err := l.compact(); err != nil {
		l.failed = true
		return err
	}
	if l.size+needed > l.maxBytes {
		return errLedgerFull
	}
	return nil
}

// close waits until the writer has written all recorded entries and has ended, syncs the file and releases the ledger's
// lock. It may be called once. Recording anything afterwards panics, since the queue is closed.
func (l *ledger) close() error {
	close(l.queue)
	<-l.writerDone
	err := l.file.Sync()
	return errors.Join(err, l.file.Close(), l.lockFile.Close())
}

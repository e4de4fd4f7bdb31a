package webhook

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Errors of the ledger when it is opened or when it records an order.
var (
	errLedgerInUse   = errors.New("ledger is in use")
	errLedgerFull    = errors.New("ledger is full") // wrapped if the file is full; returned as it is if the writer's queue is full
	errLedgerFailed  = errors.New("ledger does not record any more entries after a failed write, sync or compaction")
	errLedgerDamaged = errors.New("damaged")
)

const (
	// ledgerQueueLength is the maximum number of entries that wait for the writer. While the queue is full, new orders
	// are refused, and the entry of an order that ends, or that is released because it never ran, is dropped.
	ledgerQueueLength = 256

	// compactionInterval limits how often the file is rewritten. A full ledger is compacted only if the last compaction
	// is at least this long ago. The compaction at the start of the program also counts as one.
	compactionInterval = time.Minute

	// ledgerFileMode prevents other users from reading the outcomes of orders.
	ledgerFileMode = 0o600
)

// ledger is the write-ahead log of orders, which must never run twice, not even after a restart. An order's "begun"
// entry is on the disk before the order is sent to a worker. Therefore an order whose last entry is "begun" may have
// run. If an order has no entry, it was never sent to a worker, or a compaction has removed its entries because the
// order was released (it never ran) or has expired. The Receiver refuses expired orders; see
// Receiver.isWithinRetention.
//
// One goroutine, the writer, owns the file from the end of openLedger until it closes writerDone. The event loop's
// goroutine only adds entries to the queue, so a slow disk does not delay other requests. A single queue for all
// entries keeps the entries of an order in sequence.
type ledger struct {
	queue      chan pendingWrite
	writerDone chan struct{} // closed when the writer has written the last entry

	// The fields below need no mutex: openLedger sets them before it starts the writer, only the writer uses them while
	// it runs, and close uses file and lockFile after the writer has ended.
	path           string
	maxBytes       int64 // size limit of the file
	retention      time.Duration
	wallClock      func() time.Time
	file           *os.File
	lockFile       *os.File
	size           int64 // size of file in bytes
	lastCompaction time.Time
	failed         bool // a write, sync or compaction failed: the file's content is unknown, and no entry is written
}

// pendingWrite is an entry in the writer's queue.
type pendingWrite struct {
	entry ledgerEntry
	// onDurable is called on the writer's goroutine: with nil after the entry has been synced, or otherwise with an
	// error. This is the error of the failed write, sync or compaction, errLedgerFailed for an entry after such a
	// failure, or an error that wraps errLedgerFull because the file is full. onDurable must not block. An entry whose
	// onDurable is nil is written without a sync.
	onDurable func(error)
}

// openLedger locks the ledger at path, reads and compacts it, and starts its writer. A file that does not exist is an
// empty ledger. openLedger returns the entries that the compaction has kept, one for each order. The caller owns the
// ledger and ends its writer with close. wallClock is also called on the writer's goroutine.
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
		_ = lockFile.Close() // the error of compact is returned instead
		return nil, nil, fmt.Errorf("ledger %s: %w", path, err)
	}
	go l.writeEntries()
	return l, entries, nil
}

// lockLedger locks the ledger at path until the returned file is closed. The lock prevents two processes from using the
// ledger at the same time. Without the lock, neither process would see the orders that the other records, and an order
// that is delivered to both processes could run twice. If the lock is refused, the error wraps errLedgerInUse. The lock
// is on a separate file, because a compaction replaces the ledger's file. The lock file is not deleted when the ledger
// is closed.
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

// recordStart records that an order is about to run; it sets the entry's state to orderBegun. onDurable is called once.
// The writer calls it on its goroutine: with nil after the entry has been synced, or with an error that the writer has
// logged; pendingWrite.onDurable lists these errors. If the queue is full, recordStart itself calls onDurable before it
// returns, with errLedgerFull; this error is not logged.
func (l *ledger) recordStart(e ledgerEntry, onDurable func(error)) {
	e.State = orderBegun
	select {
	case l.queue <- pendingWrite{entry: e, onDurable: onDurable}:
	default:
		onDurable(errLedgerFull)
	}
}

// recordEnd records without a sync that an order has ended or was released. If the queue is full, recordEnd drops the
// entry and logs a warning. If the entry is dropped or a crash loses it, the order counts after a restart as one that
// may have run, and it never runs again.
func (l *ledger) recordEnd(e ledgerEntry) {
	select {
	case l.queue <- pendingWrite{entry: e}:
	default: // the queue is full
		slog.Warn("ledger entry dropped", "webhook_id", e.ID, "state", string(e.State))
	}
}

// writeEntries runs on the writer's goroutine. It writes the queued entries, with one sync for all that are in the
// queue at the same time (group commit). It returns when close has closed the queue and the queue is empty.
func (l *ledger) writeEntries() {
	defer close(l.writerDone)
	var batch []pendingWrite
	for first := range l.queue {
		batch = append(batch[:0], first)
		batch = l.appendQueued(batch)
		l.writeBatch(batch)
	}
}

// appendQueued moves the entries that are in the queue to batch, without waiting for more.
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

// writeBatch appends the entries to the file, syncs the file if one of them must be durable, and then calls each
// onDurable. This sequence ensures that no order runs before its entry is on the disk. Errors are logged. A failed sync
// fails all entries of the batch, including those that were written, and all later entries.
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
			// The entry may also have been written but not synced; the error says what failed.
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

// ensureSpace makes sure that the file may grow by the needed bytes, and compacts a full file for this purpose. Its
// error wraps errLedgerFull if the compacted file is still too large, or if compactionInterval has not passed since the
// last compaction. It returns the error of a compaction that fails.
func (l *ledger) ensureSpace(needed int64) error {
	if l.size+needed <= l.maxBytes {
		return nil
	}
	if l.wallClock().Sub(l.lastCompaction) < compactionInterval {
		return fmt.Errorf("%w: the file has %d bytes, the entry %d, limit %d; the last compaction is less than %v ago",
			errLedgerFull, l.size, needed, l.maxBytes, compactionInterval)
	}
	if _, err := l.compact(); err != nil {
		l.failed = true
		return err
	}
	if l.size+needed > l.maxBytes {
		return fmt.Errorf("%w: the file has %d bytes after a compaction, the entry %d, limit %d",
			errLedgerFull, l.size, needed, l.maxBytes)
	}
	return nil
}

// close waits until the writer has written all recorded entries and has ended, syncs the file and releases the ledger's
// lock. It must not be called twice. recordStart and recordEnd panic after close, because the queue is closed.
func (l *ledger) close() error {
	close(l.queue)
	<-l.writerDone
	err := l.file.Sync()
	return errors.Join(err, l.file.Close(), l.lockFile.Close())
}

package eventloop

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/lesismal/nbio"
	nbiolog "github.com/lesismal/nbio/logging"
)

const (
	// readBufferSize is the size of the poller's read buffer, in bytes. The connections share it.
	readBufferSize = 32 << 10

	// maxConnUnreadBytes is how much nbio keeps for one peer that reads slowly: 32 answers of 16 KiB and
	// their heads. It closes the connection on which more is written.
	maxConnUnreadBytes = 640 << 10

	// minOpenFiles is the least size of nbio's table of descriptors, whatever the limit in the settings.
	minOpenFiles = 1024

	// acceptErrorPause is the time between two attempts to accept while accepting fails.
	acceptErrorPause = 20 * time.Millisecond
)

// Start opens the listeners and begins to queue events. The error says which address can't be listened on.
func (l *Loop) Start() error {
	nbiolog.SetLevel(nbiolog.LevelNone) // nbio's errors reach this program's log by the callbacks
	// nbio allocates a table of this many pointers; its own default is the hard limit, or 2 million.
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, max(l.cfg.MaxFileDescriptors, minOpenFiles)*2)
	l.engine = nbio.NewEngine(l.engineConfig())
	l.engine.OnOpen(l.onOpen)
	l.engine.OnData(l.onData)
	l.engine.OnWrittenSize(l.onWrittenSize)
	l.engine.OnClose(l.onClose)
	l.engine.OnAcceptError(onAcceptError)
	if err := l.engine.Start(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

func (l *Loop) engineConfig() nbio.Config {
	cfg := nbio.Config{
		Network:            "tcp",
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxConnUnreadBytes,
		// The engine calls Listen in its Start, before any connection can be accepted.
		Listen: func(network, addr string) (net.Listener, error) {
			listener, err := net.Listen(network, addr)
			if err != nil {
				return nil, err
			}
			l.bindings.add(listener.Addr(), l.listeners[addr])
			return listener, nil
		},
	}
	for addr := range l.listeners {
		cfg.Addrs = append(cfg.Addrs, addr)
	}
	return cfg
}

// The callbacks below run on nbio's goroutines, and onOpen on those of dials too. A connection's session is its
// Conn; it is set before any other callback of the connection can run.

func (l *Loop) onOpen(nbioConn *nbio.Conn) {
	if nbioConn.Session() != nil {
		return // a dial of this program, which reports the connection once it can be written to
	}
	c := &Conn{loop: l, nbioConn: nbioConn, accept: l.bindings.find(nbioConn.LocalAddr())}
	nbioConn.SetSession(c)
	l.events.push(event{kind: eventAccepted, conn: c})
}

func (l *Loop) onData(nbioConn *nbio.Conn, data []byte) {
	if c, ok := nbioConn.Session().(*Conn); ok {
		l.events.push(event{kind: eventData, conn: c, data: bytes.Clone(data)})
	}
}

func (l *Loop) onWrittenSize(nbioConn *nbio.Conn, _ []byte, n int) {
	if c, ok := nbioConn.Session().(*Conn); ok {
		c.addUnread(-n)
	}
}

func (l *Loop) onClose(nbioConn *nbio.Conn, err error) {
	if c, ok := nbioConn.Session().(*Conn); ok {
		l.events.push(event{kind: eventClosed, conn: c, err: err})
	}
}

// onAcceptError logs why accepting failed. nbio 1.6.8 calls Accept again at once, and out of descriptors it fails
// at once: without the pause the acceptor would spin.
func onAcceptError(err error) {
	slog.Error("accept failed", "error", err)
	time.Sleep(acceptErrorPause)
}

// Command simadapter hosts the decision module for the simulator: it reads batches of events on standard input
// and answers each with the module's actions on standard output, in the form of package simwire. It hosts one
// policy.Policy for each simulated router and ends when its input does.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"functionrouter/internal/simwire"
	"functionrouter/policy"
)

// bufferSize is the size of the buffers on standard input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one reply on out, until in ends. It returns nil only if in ends between two batches;
// a batch that is malformed or can't be handled gets no reply.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	h := host{routers: map[simwire.RouterIndex]*policy.Policy{}}
	for {
		batch, err := simwire.ReadBatch(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(batch); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Seq, err)
		}
		if err := h.reply.Flush(writer, batch.Seq); err != nil {
			return err
		}
		// The simulator waits for each reply.
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// host holds the simulated routers of this process. They share nothing but buffers.
type host struct {
	routers map[simwire.RouterIndex]*policy.Policy // those that run
	reply   simwire.Reply                          // to the present batch
	actions []policy.Action                        // of the last event; the array is reused
}

// handle passes each event of a batch to its simulated router, in their order, and gathers the actions in h.reply. After
// an error the reply is incomplete and must not be sent.
func (h *host) handle(batch simwire.Batch) error {
	for _, record := range batch.Records {
		switch event := record.Event.(type) {
		case simwire.RouterStarted:
			if err := h.start(record.Router, event); err != nil {
				return fmt.Errorf("simulated router %d: %w", record.Router, err)
			}
		case simwire.RouterKilled:
			delete(h.routers, record.Router)
		case policy.Event:
			simulatedRouter, running := h.routers[record.Router]
			if !running {
				continue // it was killed, or has not been started
			}
			h.actions = simulatedRouter.Handle(batch.Now, event, h.actions[:0])
			h.reply.Add(record.Router, h.actions)
		}
	}
	return nil
}

// start starts a simulated router, or starts it anew, without any state. It fails if its settings can't be used.
func (h *host) start(index simwire.RouterIndex, event simwire.RouterStarted) error {
	config, err := simwire.ParseSettings(event.Settings)
	if err != nil {
		return err
	}
	simulatedRouter, err := policy.New(config, event.Seed)
	if err != nil {
		return err
	}
	h.routers[index] = simulatedRouter
	return nil
}

// Command simadapter runs package policy for the simulator: it reads batches of events from standard input and answers
// each batch with the policy's actions on standard output, in the format of package simwire. It runs one policy.Policy
// for each simulated router and exits when its input ends.
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

// bufferSize is the size in bytes of each of the buffers for standard input and standard output.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch from in with one reply to out until in ends. It returns nil only if in ends before the first
// byte of a batch. If a batch is malformed or cannot be handled, it returns an error and writes no reply to that batch.
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
		// The simulator waits for the reply before it sends the next batch.
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// host holds the policies of the simulated routers of this process. The simulated routers share only the buffers for
// the reply and the actions.
type host struct {
	routers map[simwire.RouterIndex]*policy.Policy // the running simulated routers
	reply   simwire.Reply                          // reply to the current batch
	actions []policy.Action                        // actions of the last event; the array is reused
}

// handle passes the events of a batch in their order to their simulated routers and collects the actions in h.reply.
// After an error, the reply is incomplete and must not be sent.
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
				continue // the simulated router was killed or has not started yet
			}
			h.actions = simulatedRouter.Handle(batch.Now, event, h.actions[:0])
			h.reply.Add(record.Router, h.actions)
		}
	}
	return nil
}

// start starts a simulated router without any state. It replaces a running simulated router with the same index. It
// fails if the settings are invalid.
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

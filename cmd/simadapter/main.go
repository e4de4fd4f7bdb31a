// Command simadapter hosts the decision module for the simulator: it reads batches of events on standard input
// and answers each with the module's actions on standard output, in the form of package simwire. It hosts one
// policy.Policy for each simulated instance and ends when its input does.
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

// bufferSize is that of the buffers on standard input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one reply on out, until in ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	h := host{instances: map[uint16]*policy.Policy{}}
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
		if err := writer.Flush(); err != nil { // the simulator waits for each reply
			return err
		}
	}
}

// host holds the instances of this process. They share nothing but buffers.
type host struct {
	instances map[uint16]*policy.Policy
	reply     simwire.Reply
	actions   []policy.Action // reused
}

// handle gathers the actions that answer a batch in reply.
func (h *host) handle(batch simwire.Batch) error {
	for _, record := range batch.Records {
		switch event := record.Event.(type) {
		case simwire.InstanceStarted:
			if err := h.start(record.Instance, event); err != nil {
				return fmt.Errorf("instance %d: %w", record.Instance, err)
			}
		case simwire.InstanceKilled:
			delete(h.instances, record.Instance)
		case policy.Event:
			instance, ok := h.instances[record.Instance]
			if !ok {
				continue // killed: what was under way for it is void
			}
			h.actions = instance.Handle(batch.Now, event, h.actions[:0])
			h.reply.Add(record.Instance, h.actions)
		}
	}
	return nil
}

// start begins an instance anew.
func (h *host) start(id uint16, event simwire.InstanceStarted) error {
	config, err := simwire.ParseSettings(event.Settings)
	if err != nil {
		return err
	}
	instance, err := policy.New(config, event.Seed)
	if err != nil {
		return err
	}
	h.instances[id] = instance
	return nil
}

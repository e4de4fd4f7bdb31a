package simwire

import (
	"io"

	"functionrouter/policy"
)

// Reply collects the actions that answer one batch. The zero value is an empty reply.
type Reply struct {
	records encoder
}

// Add appends the actions of a simulated router in their order. It does not retain the slice or any data of the
// actions.
func (r *Reply) Add(router RouterIndex, actions []policy.Action) {
	for _, action := range actions {
		r.records.action(router, action)
	}
}

// Flush writes the reply to batch seq as one frame in one call of Write, and returns the error of that call. It empties
// the reply even if the write fails.
func (r *Reply) Flush(w io.Writer, seq uint32) error {
	var frame encoder
	frame.u32(seq)
	frame.u32(uint32(len(r.records.b)))
	_, err := w.Write(append(frame.b, r.records.b...))
	r.records.b = r.records.b[:0]
	return err
}

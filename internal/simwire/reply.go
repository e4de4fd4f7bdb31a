package simwire

import (
	"io"

	"functionrouter/policy"
)

// Reply gathers the actions that answer one batch. The zero value is an empty reply.
type Reply struct {
	records encoder
}

// Add appends the actions of a simulated router, in their order. It keeps nothing of actions.
func (r *Reply) Add(router RouterIndex, actions []policy.Action) {
	for _, action := range actions {
		r.records.action(router, action)
	}
}

// Flush writes the reply to batch seq as one frame, in one call of Write, and empties the reply, also where the write
// fails. Its error is the writer's.
func (r *Reply) Flush(w io.Writer, seq uint32) error {
	var frame encoder
	frame.u32(seq)
	frame.u32(uint32(len(r.records.b)))
	_, err := w.Write(append(frame.b, r.records.b...))
	r.records.b = r.records.b[:0]
	return err
}

package eventloop

// connState is the state of a Conn, from its dial or accept to its close. It says which calls the handler has yet to get
// and whether input is read and writes are accepted. The method apply alone changes it, by connTransitions:
//
//	state           | connected | dial failed | end of input | close after flush | closed
//	dialing         | open      | dial failed | -            | dialing to close  | closed
//	dialing to close| flushing  | dial failed | -            | -                 | closed
//	open            | -         | -           | half-closed  | flushing          | closed
//	half-closed     | -         | -           | -            | flushing          | closed
//	flushing        | -         | -           | -            | -                 | closed
//	dial failed     | -         | -           | -            | -                 | closed
//
// A "-" is an event that cannot occur in the state or that changes nothing. An accepted connection starts as open, a
// dialed one as dialing; closed is final. A UDPConn is only ever dialing, open or closed.
type connState uint8

const (
	// The address is being resolved, the socket is connecting, or the dial waits for its next attempt. The handler gets
	// OnOpen.
	stateDialing connState = iota // dialing

	// CloseAfterFlush was called while dialing. The end of the turn closes the connection without a call of the handler,
	// unless the dial ends in the same turn.
	stateDialingToClose // dialing to close

	// Input is read and writes are accepted. The handler gets OnClose, as in the next two states.
	stateOpen // open

	// The client has sent its last byte (it has sent a FIN) and may still read: writes are accepted. Only accepted
	// connections get here, as long as they owe an answer.
	stateHalfClosed // half-closed

	// CloseAfterFlush was called. Nothing more is read or accepted for writing; the connection closes when the kernel has
	// taken all that was written, or after closeTimeout.
	stateFlushing // flushing

	// The dial has failed and its socket is closed. The handler gets OnOpen with the error in the next turn, which makes
	// the state closed. Close makes it closed before that, and the handler gets no call.
	stateDialFailed // dial failed

	// The socket is closed. The handler gets no further call, or only the OnClose that is due in the next turn.
	stateClosed // closed
)

// connEvent is what changes a connState.
type connEvent uint8

const (
	// The dial's socket is connected.
	eventConnected connEvent = iota // connected

	// The dial has failed for good or has timed out.
	eventDialFailed // dial failed

	// An accepted connection has read the end of its input.
	eventEndOfInput // end of input

	// The handler has called CloseAfterFlush.
	eventCloseAfterFlush // close after flush

	// The connection has ended for any reason: Close, a timeout, an eviction, the peer or an error. Of a failed dial:
	// the failure has been reported, or Close has made the report unnecessary.
	eventClosed // closed
)

// connTransitions holds the next state for each state and event. An event that is not listed leaves the state as it is.
var connTransitions = [...]map[connEvent]connState{
	stateDialing: {
		eventConnected:       stateOpen,
		eventDialFailed:      stateDialFailed,
		eventCloseAfterFlush: stateDialingToClose,
		eventClosed:          stateClosed,
	},
	stateDialingToClose: {
		eventConnected:  stateFlushing,
		eventDialFailed: stateDialFailed,
		eventClosed:     stateClosed,
	},
	stateOpen: {
		eventEndOfInput:      stateHalfClosed,
		eventCloseAfterFlush: stateFlushing,
		eventClosed:          stateClosed,
	},
	stateHalfClosed: {
		eventCloseAfterFlush: stateFlushing,
		eventClosed:          stateClosed,
	},
	stateFlushing: {
		eventClosed: stateClosed,
	},
	stateDialFailed: {
		eventClosed: stateClosed,
	},
	stateClosed: {},
}

// apply changes the state by event, and reports whether it is another one than before.
func (s *connState) apply(event connEvent) bool {
	next, changes := connTransitions[*s][event]
	if changes {
		*s = next
	}
	return changes
}

// isDialing reports whether the dial has neither succeeded nor failed. Conn.dial is set exactly then.
func (s connState) isDialing() bool { return s == stateDialing || s == stateDialingToClose }

// isConnected reports whether the socket is connected: the handler of a dial has got OnOpen(nil) or gets it now, and
// OnClose is due.
func (s connState) isConnected() bool {
	return s == stateOpen || s == stateHalfClosed || s == stateFlushing
}

// isClosed reports whether the socket is closed for good.
func (s connState) isClosed() bool { return s == stateDialFailed || s == stateClosed }

// wantsInput reports whether input is read, now or once the dial has succeeded.
func (s connState) wantsInput() bool { return s == stateDialing || s == stateOpen }

// acceptsWrites reports whether Write may queue buffers.
func (s connState) acceptsWrites() bool { return s.wantsInput() || s == stateHalfClosed }

// closesAfterFlush reports whether the connection closes when everything that was written has been sent.
func (s connState) closesAfterFlush() bool { return s == stateDialingToClose || s == stateFlushing }

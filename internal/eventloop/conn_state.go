package eventloop

// connState is the state of a Conn, from its dial or accept to its close. It determines which calls the handler has yet
// to get, whether input is read, and whether writes are accepted. Only the method apply changes it, according to
// connTransitions:
//
//	state           | connected | dial failed | end of input | close after flush | closed
//	dialing         | open      | dial failed | -            | dialing to close  | closed
//	dialing to close| flushing  | dial failed | -            | -                 | closed
//	open            | -         | -           | half-closed  | flushing          | closed
//	half-closed     | -         | -           | -            | flushing          | closed
//	flushing        | -         | -           | -            | -                 | closed
//	dial failed     | -         | -           | -            | -                 | closed
//
// A "-" is an event that cannot occur in the state or that does not change it. An accepted connection starts in the
// state open, a dialed one in the state dialing; closed is final. A UDPConn uses only the states dialing, open and
// closed.
type connState uint8

const (
	// The address is being resolved, the socket is connecting, or the dial waits for its next attempt. The handler has
	// yet to get OnOpen.
	stateDialing connState = iota // dialing

	// CloseAfterFlush was called while dialing. The connection closes at the end of the turn without a call of the
	// handler, unless the dial ends in the same turn.
	stateDialingToClose // dialing to close

	// Input is read and writes are accepted. In this state and the next two, the handler has yet to get OnClose.
	stateOpen // open

	// The client has ended its direction (sent a FIN) and may still read: writes are accepted. Only accepted
	// connections enter this state, and they stay in it while answers are outstanding.
	stateHalfClosed // half-closed

	// CloseAfterFlush was called. No more input is read and no more writes are accepted. The connection closes when the
	// kernel has taken everything that was written; an accepted connection also closes after closeTimeout.
	stateFlushing // flushing

	// The dial has failed and its socket is closed. In the next turn the handler gets OnOpen with the error, and the
	// state becomes closed. If Close is called before that, the state becomes closed at once and the handler gets no
	// call.
	stateDialFailed // dial failed

	// The socket is closed. The handler gets no further call, except for an OnClose that is due in the next turn.
	stateClosed // closed
)

// connEvent is an event that may change a connState.
type connEvent uint8

const (
	// The dial's socket is connected.
	eventConnected connEvent = iota // connected

	// The dial has timed out, or has failed and is not retried.
	eventDialFailed // dial failed

	// The end of an accepted connection's input was read.
	eventEndOfInput // end of input

	// The handler has called CloseAfterFlush.
	eventCloseAfterFlush // close after flush

	// The connection has ended because of Close, a timeout, an eviction, the peer or an error. In the state dial
	// failed, the event means that OnOpen is about to report the failure, or that Close was called and the failure is
	// not reported.
	eventClosed // closed
)

// connTransitions holds the next state for each state and event. An event that is not listed for a state does not
// change it.
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

// apply changes the state according to event, and reports whether the state has changed.
func (s *connState) apply(event connEvent) bool {
	next, changes := connTransitions[*s][event]
	if changes {
		*s = next
	}
	return changes
}

// isDialing reports whether the dial has neither succeeded nor failed. Conn.dial is nil in all other states.
func (s connState) isDialing() bool { return s == stateDialing || s == stateDialingToClose }

// isConnected reports whether the socket is connected. The handler of a dial has got OnOpen(nil), or gets it in this
// turn, and has yet to get OnClose.
func (s connState) isConnected() bool {
	return s == stateOpen || s == stateHalfClosed || s == stateFlushing
}

// isClosed reports whether the socket is closed and will not be opened again.
func (s connState) isClosed() bool { return s == stateDialFailed || s == stateClosed }

// wantsInput reports whether input is read, either now or once the dial has succeeded.
func (s connState) wantsInput() bool { return s == stateDialing || s == stateOpen }

// acceptsWrites reports whether Write may queue buffers.
func (s connState) acceptsWrites() bool { return s.wantsInput() || s == stateHalfClosed }

// closesAfterFlush reports whether the connection closes when everything that was written has been sent.
func (s connState) closesAfterFlush() bool { return s == stateDialingToClose || s == stateFlushing }

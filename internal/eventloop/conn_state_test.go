package eventloop

import "testing"

// All states and events, in the order of their values.
var (
	allConnStates = []connState{
		stateDialing, stateDialingToClose, stateOpen, stateHalfClosed, stateFlushing, stateDialFailed, stateClosed,
	}
	allConnEvents = []connEvent{
		eventConnected, eventDialFailed, eventEndOfInput, eventCloseAfterFlush, eventClosed,
	}
)

// Guards the table in the documentation of connState, for every state with every event.
func TestConnTransitions(t *testing.T) {
	want := map[connState][]connState{ // the state after each event, in the order of allConnEvents
		stateDialing:        {stateOpen, stateDialFailed, stateDialing, stateDialingToClose, stateClosed},
		stateDialingToClose: {stateFlushing, stateDialFailed, stateDialingToClose, stateDialingToClose, stateClosed},
		stateOpen:           {stateOpen, stateOpen, stateHalfClosed, stateFlushing, stateClosed},
		stateHalfClosed:     {stateHalfClosed, stateHalfClosed, stateHalfClosed, stateFlushing, stateClosed},
		stateFlushing:       {stateFlushing, stateFlushing, stateFlushing, stateFlushing, stateClosed},
		stateDialFailed:     {stateDialFailed, stateDialFailed, stateDialFailed, stateDialFailed, stateClosed},
		stateClosed:         {stateClosed, stateClosed, stateClosed, stateClosed, stateClosed},
	}
	if len(connTransitions) != len(allConnStates) || len(want) != len(allConnStates) {
		t.Fatalf("connTransitions has %d states, this test %d, want %d",
			len(connTransitions), len(want), len(allConnStates))
	}
	for _, state := range allConnStates {
		for i, event := range allConnEvents {
			got := state
			changed := got.apply(event)
			if got != want[state][i] || changed != (want[state][i] != state) {
				t.Errorf("state %v, event %v: got state %v, changed %v; want state %v, changed %v",
					state, event, got, changed, want[state][i], want[state][i] != state)
			}
		}
	}
}

// Guards the properties of each state. A connection has one state in place of separate flags for these properties.
func TestConnStateProperties(t *testing.T) {
	type properties struct {
		dialing, connected, closed, wantsInput, acceptsWrites, closesAfterFlush bool
	}
	for state, want := range map[connState]properties{
		stateDialing:        {dialing: true, wantsInput: true, acceptsWrites: true},
		stateDialingToClose: {dialing: true, closesAfterFlush: true},
		stateOpen:           {connected: true, wantsInput: true, acceptsWrites: true},
		stateHalfClosed:     {connected: true, acceptsWrites: true},
		stateFlushing:       {connected: true, closesAfterFlush: true},
		stateDialFailed:     {closed: true},
		stateClosed:         {closed: true},
	} {
		got := properties{
			dialing:          state.isDialing(),
			connected:        state.isConnected(),
			closed:           state.isClosed(),
			wantsInput:       state.wantsInput(),
			acceptsWrites:    state.acceptsWrites(),
			closesAfterFlush: state.closesAfterFlush(),
		}
		if got != want {
			t.Errorf("state %v: got %+v, want %+v", state, got, want)
		}
	}
}

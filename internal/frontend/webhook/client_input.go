package webhook

import (
	"time"

	"functionrouter/internal/router"
)

// A delivery is the router.Input of its request: the connections that wait for the outcome. The client counts as present
// while one of them is open.

// addWaiting adds a connection that waits for the outcome of a pending delivery.
func (d *delivery) addWaiting(c *connection) {
	c.awaited = d
	d.waiting = append(d.waiting, c)
}

// takeWaiting removes and returns the connections that wait for the outcome.
func (d *delivery) takeWaiting() []*connection {
	waiting := d.waiting
	d.waiting = nil
	for _, c := range waiting {
		c.awaited = nil
	}
	return waiting
}

// isAwaited reports whether an open connection waits for the outcome.
func (d *delivery) isAwaited() bool {
	for _, c := range d.waiting {
		if !c.finished {
			return true
		}
	}
	return false
}

// openInputs returns the inputs of the open connections that wait for the outcome.
func (d *delivery) openInputs() (inputs []router.Input) {
	for _, c := range d.waiting {
		if !c.finished && c.input != nil {
			inputs = append(inputs, c.input)
		}
	}
	return inputs
}

// UnseenFor implements router.Input. One connection whose input has been read shows that somebody waits.
func (d *delivery) UnseenFor() time.Duration { return d.shortest(router.Input.UnseenFor) }

// UnreadFor implements router.Input.
func (d *delivery) UnreadFor() time.Duration { return d.shortest(router.Input.UnreadFor) }

// shortest returns the shortest time that measure gives for an open connection, or 0 if there is none.
func (d *delivery) shortest(measure func(router.Input) time.Duration) time.Duration {
	inputs := d.openInputs()
	if len(inputs) == 0 {
		return 0
	}
	shortest := measure(inputs[0])
	for _, input := range inputs[1:] {
		shortest = min(shortest, measure(input))
	}
	return shortest
}

// CatchUp implements router.Input.
func (d *delivery) CatchUp() {
	for _, input := range d.openInputs() {
		input.CatchUp()
	}
}

// InputRate implements router.Input.
func (d *delivery) InputRate() float64 {
	rate := 0.0
	for _, input := range d.openInputs() {
		rate += input.InputRate()
	}
	return rate
}

package eventloop

import (
	"container/heap"
	"time"
)

// inputBudget is how long a turn reads input of accepted connections, and as long again that of dialed ones. A turn also
// accepts connections and catches up with unseen input for about as long each (see acceptBudget and catchUpBudget), so
// that it stays well below the time that the router keeps for the way of an answer, whatever a message costs and however
// many peers send. The time includes the pauses in which the machine runs something else.
const inputBudget = 4 * time.Millisecond

// maxPartsPerTurn is how many parts of the input of one connection are read in one turn at most. Turns are thus shorter
// than inputBudget if little time suffices for all connections, and what others wait for in each turn comes sooner.
const maxPartsPerTurn = 4

const (
	// maxPartCharge is the most time that is charged to a connection for one part of its input. What takes longer is not
	// the part: the machine runs something else, or the garbage collector runs.
	maxPartCharge = time.Millisecond

	// maxInputCredit is how much less than the connection that is read now a connection without input counts as having
	// taken. It lets a peer that sends little send more for a moment, and covers what was charged to it by mistake.
	maxInputCredit = 4 * maxPartCharge
)

// inputSchedule orders the reads of the connections that have input, and divides the time for reads among them by
// start-time fair queuing: it keeps for each connection how much time its input has taken (Conn.inputTag), and the
// connection with the least is read next. A connection without input gains little credit. Peers that send little are thus
// read at once beside any number of peers that send without a pause, and these share what is left.
type inputSchedule struct {
	ready   readyConnections
	virtual time.Duration // tag of the connection that was read last
	lastSeq uint64        // sequence number of the last connection that was added
}

// add adds a connection whose input the poller has reported to the schedule of its turn.
func (s *inputSchedule) add(c *Conn) {
	c.partsLeft = maxPartsPerTurn
	s.push(c)
}

// push adds a connection to the schedule.
func (s *inputSchedule) push(c *Conn) {
	s.lastSeq++
	c.inputTag = max(c.inputTag, s.virtual-maxInputCredit)
	heap.Push(&s.ready, readyConnection{conn: c, tag: c.inputTag, seq: s.lastSeq})
}

// next removes the connection that is to be read next, or returns nil if there is none.
func (s *inputSchedule) next() *Conn {
	if len(s.ready) == 0 {
		return nil
	}
	c := heap.Pop(&s.ready).(readyConnection).conn
	s.virtual = max(s.virtual, c.inputTag)
	return c
}

// clear removes the connections that the turn has not read. The poller reports them again.
func (s *inputSchedule) clear() {
	clear(s.ready)
	s.ready = s.ready[:0]
}

// readScheduled reads the connections of a schedule, a part of each at a time, until maxPartsPerTurn of each or nothing is
// left, or until inputBudget is used up. It reads one part at least. What is due before the first part is done at first,
// so that it is not charged to a connection.
func (l *Loop) readScheduled(s *inputSchedule) {
	if len(s.ready) == 0 {
		return
	}
	began := l.afterInput()
	for now := began; now-began < inputBudget; {
		c := s.next()
		if c == nil {
			return
		}
		left := c.readPart()
		now = l.endPart(c, now)
		if c.partsLeft--; left && c.partsLeft > 0 {
			s.push(c)
		}
	}
	s.clear()
}

// endPart calls Config.AfterInput for a part of the input of c, whose handling began at the given time, and charges the
// time to c. It returns the present time.
func (l *Loop) endPart(c *Conn, began time.Duration) (now time.Duration) {
	now = l.afterInput()
	c.chargeInput(now - began)
	return now
}

// afterInput calls Config.AfterInput and returns the present time.
func (l *Loop) afterInput() (now time.Duration) {
	if l.cfg.AfterInput != nil {
		l.cfg.AfterInput(l.clock.now())
	}
	return l.clock.now()
}

// chargeInput charges the time that a part of its input has taken to c.
func (c *Conn) chargeInput(spent time.Duration) { c.inputTag += min(spent, maxPartCharge) }

// readyConnection is a connection in an inputSchedule.
type readyConnection struct {
	conn *Conn
	tag  time.Duration // Conn.inputTag when the connection was added
	seq  uint64        // connections with equal tags are read in the order in which they were added
}

// readyConnections implements heap.Interface, ordered by tag and then by sequence number.
type readyConnections []readyConnection

func (r readyConnections) Len() int { return len(r) }

func (r readyConnections) Less(i, j int) bool {
	if r[i].tag != r[j].tag {
		return r[i].tag < r[j].tag
	}
	return r[i].seq < r[j].seq
}

func (r readyConnections) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

func (r *readyConnections) Push(x any) { *r = append(*r, x.(readyConnection)) }

func (r *readyConnections) Pop() any {
	last := len(*r) - 1
	connection := (*r)[last]
	(*r)[last] = readyConnection{}
	*r = (*r)[:last]
	return connection
}

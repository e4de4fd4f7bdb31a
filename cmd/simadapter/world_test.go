package main

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Codes of the wire's event records.
const (
	eventFirst = iota + 1
	eventOutcome
	eventAborted
	eventKill
	eventHealth
	eventTargets
	eventReminder
	eventMessage
	eventInit
	eventIncoming
	eventLoaded
)

// Codes of the wire's action records.
const (
	actionTimer     = 65
	actionHangUp    = 66
	actionFail      = 67
	actionSend      = 69
	actionGossip    = 70
	actionSubscribe = 71
	actionLoad      = 72
	actionProbe     = 73
	actionUnload    = 74
	actionLog       = 75
	actionCancel    = 76
	actionFetch     = 77
	actionRefuse    = 78
)

// Outcomes of the wire.
const (
	outcomeServed = iota
	outcomeErrored
	outcomeOverloaded
	outcomeTimedOut
	outcomeUnreachable
	outcomeReset
	outcomeCancelled
	outcomeNotSent
	outcomeNotLoaded
)

// allPeers addresses a gossip message to every other instance.
const allPeers = math.MaxUint32

// A scenario describes a world that instances of the decision module are played against.
type scenario struct {
	name              string
	seed              uint64
	settings          string
	instances         int
	workers           int
	functions         int
	batches           int
	arrivalsPerSecond int
	missWhenCold      bool // workers answer a miss in place of loading
	lists             bool // worker lists come only once subscribed to
	workHints         bool // requests tell their work
}

// world is a toy deployment in simulated time. Times are milliseconds.
type world struct {
	scenario
	rng      *rand.Rand
	now      float64
	pending  []pendingEvent // due later
	nextID   uint32
	workerAt []*simWorker
	hosts    []*simInstance
	codes    map[byte]int // records seen, by event and action code
}

type pendingEvent struct {
	due      float64
	order    int // of equal times the earlier one goes first
	instance int
	host     *simInstance // it is lost when the instance has been killed meanwhile
	code     byte
	body     func() []byte // nil: nothing to tell after all
}

type simWorker struct {
	id      uint64
	state   byte
	started float64
	loaded  map[uint64]float64 // function to the time at which its load ends
	running int
}

type simInstance struct {
	requests   map[uint32]*simRequest
	subscribed bool
}

type simRequest struct {
	class    int
	function uint64
	attempts int
	open     int // number of the attempt that is out; -1: none
	at       *simWorker
	final    bool
}

func newWorld(s scenario) *world {
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), now: 3_600_000, codes: map[byte]int{}}
	for n := range s.workers {
		w.workerAt = append(w.workerAt, &simWorker{id: uint64(0x0a000001+n)<<16 | 9000, state: 1, loaded: map[uint64]float64{}})
	}
	for n := range s.instances {
		w.hosts = append(w.hosts, &simInstance{})
		w.initialize(n, float64(n))
	}
	return w
}

// initialize starts an instance: its first message, and a list where lists come by themselves.
func (w *world) initialize(instance int, after float64) {
	w.hosts[instance] = &simInstance{requests: map[uint32]*simRequest{}}
	seed := w.rng.Uint64()
	w.schedule(after, instance, eventInit, func() []byte {
		b := binary.BigEndian.AppendUint64(nil, seed)
		b = binary.BigEndian.AppendUint32(b, uint32(len(w.settings)))
		return append(b, w.settings...)
	})
	w.schedule(after+1, instance, eventTargets, func() []byte { return w.list(2) })
	w.schedule(after+20, instance, eventTargets, func() []byte { return w.listFor(instance, 1) })
}

func (w *world) schedule(after float64, instance int, code byte, body func() []byte) {
	w.pending = append(w.pending, pendingEvent{due: w.now + max(after, 0), order: len(w.pending),
		instance: instance, host: w.hosts[instance], code: code, body: body})
}

// nextBatch moves the clock on and returns the batch of all that is due, with what happens by chance.
func (w *world) nextBatch(seq uint32) []byte {
	w.now += float64(1 + w.rng.IntN(12))
	w.happen()
	slices.SortStableFunc(w.pending, func(a, b pendingEvent) int {
		switch {
		case a.due < b.due:
			return -1
		case a.due > b.due:
			return 1
		}
		return a.order - b.order
	})
	var body []byte
	count := uint32(0)
	for len(w.pending) > 0 && w.pending[0].due <= w.now {
		e := w.pending[0]
		w.pending = w.pending[1:]
		if e.code != eventKill && e.host != w.hosts[e.instance] {
			continue
		}
		fields := e.body()
		if fields == nil && e.code != eventKill {
			continue
		}
		w.codes[e.code]++
		count++
		body = binary.BigEndian.AppendUint16(append(body, e.code), uint16(e.instance))
		body = append(body, fields...)
	}
	for n := range w.pending {
		w.pending[n].order = n
	}
	frame := binary.BigEndian.AppendUint32(nil, seq)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.BigEndian.AppendUint32(frame, count)
	return append(appendFloat(frame, w.now), body...)
}

// happen draws arrivals and faults.
func (w *world) happen() {
	for n := range w.hosts {
		if w.rng.Float64() < float64(w.arrivalsPerSecond)*6.5/1000/float64(w.instances) {
			w.arrive(n)
		}
	}
	switch chance := w.rng.IntN(1500); {
	case chance < 3: // a worker restarts
		s := w.workerAt[w.rng.IntN(len(w.workerAt))]
		s.started, s.state, s.loaded = w.now, 1, map[uint64]float64{}
		w.announce(0)
	case chance < 6: // a worker drains, goes or comes back
		s := w.workerAt[w.rng.IntN(len(w.workerAt))]
		s.state = []byte{0, 1, 1, 2}[w.rng.IntN(4)]
		w.announce(byte(w.rng.IntN(2)))
	case chance == 6 && w.lists: // the subscription breaks
		n := w.rng.IntN(w.instances)
		w.hosts[n].subscribed = false
		w.schedule(0, n, eventTargets, func() []byte { return w.list(3) })
	case chance == 7: // an instance is killed and starts again
		n := w.rng.IntN(w.instances)
		w.schedule(0, n, eventKill, func() []byte { return nil })
		for _, r := range w.hosts[n].requests {
			if r.open >= 0 {
				r.at.running--
			}
		}
		w.initialize(n, 40)
	}
}

// announce sends a list to all instances, a little late.
func (w *world) announce(mode byte) {
	for n := range w.hosts {
		w.schedule(float64(w.rng.IntN(400)), n, eventTargets, func() []byte { return w.listFor(n, mode) })
	}
}

func (w *world) listFor(instance int, mode byte) []byte {
	if w.lists && !w.hosts[instance].subscribed {
		return nil
	}
	return w.list(mode)
}

// list encodes the worker list; a failed one has no entries.
func (w *world) list(mode byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{mode}, uint32(w.now))
	if mode == 3 {
		return binary.BigEndian.AppendUint32(b, 0)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(w.workerAt)))
	for n, s := range w.workerAt {
		b = appendWorker(b, s.id)
		b = binary.BigEndian.AppendUint16(b, uint16(n%2))
		b = append(b, s.state)
		b = appendFloat32(b, 1)
		b = binary.BigEndian.AppendUint16(b, uint16(n%3))
		b = append(b, 0)
		b = appendFloat(b, s.started)
	}
	return b
}

// arrive has a request come to an instance.
func (w *world) arrive(instance int) {
	w.nextID++
	id := w.nextID
	class := w.rng.IntN(2 + w.instances%2)
	if w.workHints {
		class = w.rng.IntN(2)
	}
	rank := w.rng.Float64() * w.rng.Float64() // a few functions draw most calls
	function := uint64(0x7c55d20000) + uint64(rank*float64(w.functions))
	if w.rng.IntN(40) == 0 {
		function = 0x1100000000 + uint64(id) // asked for once only
	}
	r := &simRequest{class: class, function: function, open: -1}
	left := 200 + float64(w.rng.IntN(2800))
	repeated := byte(w.rng.IntN(2) * 2)
	tenant, work := uint16(w.rng.IntN(2)), 40+float64(w.rng.IntN(200))
	host := w.hosts[instance]
	w.schedule(0, instance, eventIncoming, func() []byte {
		host.requests[id] = r
		flags := repeated
		if w.workHints {
			flags |= 1
		}
		b := binary.BigEndian.AppendUint32(nil, id)
		b = binary.BigEndian.AppendUint16(b, tenant)
		b = appendFloat32(b, 400+float32(function%7)*100)
		b = append(b, flags)
		b = binary.BigEndian.AppendUint64(b, function)
		b = appendFloat32(b, float32(1+function%4))
		b = appendFloat32(b, 512)
		b = binary.BigEndian.AppendUint16(b, uint16(class))
		b = appendFloat(b, work)
		return appendFloat(b, left)
	})
	if w.rng.IntN(30) == 0 { // its client leaves
		w.schedule(float64(w.rng.IntN(400)), instance, eventAborted, func() []byte {
			if host.requests[id] == nil || r.final {
				return nil
			}
			r.final = true
			return binary.BigEndian.AppendUint32(nil, id)
		})
	}
}

// takeReply carries out the actions of one reply.
func (w *world) takeReply(b []byte) error {
	for len(b) > 0 {
		code, instance := b[0], int(binary.BigEndian.Uint16(b[1:]))
		w.codes[code]++
		n, err := w.carryOut(code, instance, b[3:])
		if err != nil {
			return err
		}
		b = b[3+n:]
	}
	return nil
}

// carryOut carries out one action and returns the length of its fields.
func (w *world) carryOut(code byte, instance int, b []byte) (int, error) {
	switch code {
	case actionTimer:
		token := slices.Clone(b[8:16])
		w.schedule(readFloat(b), instance, eventReminder, func() []byte { return token })
		return 16, nil
	case actionFail:
		w.finish(instance, binary.BigEndian.Uint32(b))
		return 4, nil
	case actionRefuse:
		w.finish(instance, binary.BigEndian.Uint32(b))
		return 12, nil
	case actionSend:
		return 18, w.send(instance, binary.BigEndian.Uint32(b), readWorker(b[4:]))
	case actionCancel:
		w.cancel(instance, binary.BigEndian.Uint32(b), int(binary.BigEndian.Uint16(b[4:])))
		return 6, nil
	case actionLoad:
		w.load(instance, b[0], binary.BigEndian.Uint64(b[1:]), readWorker(b[9:]))
		return 15, nil
	case actionUnload:
		return 14, nil
	case actionProbe:
		w.probe(instance, readWorker(b))
		return 6, nil
	case actionHangUp:
		return 6, nil
	case actionSubscribe:
		w.hosts[instance].subscribed = b[0] == 1
		w.schedule(30, instance, eventTargets, func() []byte { return w.listFor(instance, 1) })
		return 1, nil
	case actionFetch:
		return 0, nil
	case actionGossip:
		size := int(binary.BigEndian.Uint16(b[4:]))
		w.gossip(instance, binary.BigEndian.Uint32(b), slices.Clone(b[6:6+size]))
		return 6 + size, nil
	case actionLog:
		return 2 + int(binary.BigEndian.Uint16(b)), nil
	}
	return 0, fmt.Errorf("unknown action code %d", code)
}

func (w *world) finish(instance int, id uint32) {
	if r := w.hosts[instance].requests[id]; r != nil {
		r.final = true
	}
}

func (w *world) worker(id uint64) *simWorker {
	for _, s := range w.workerAt {
		if s.id == id {
			return s
		}
	}
	return &simWorker{id: id, loaded: map[uint64]float64{}}
}

// send begins an attempt and draws how it will end.
func (w *world) send(instance int, id uint32, worker uint64) error {
	host, s := w.hosts[instance], w.worker(worker)
	r := host.requests[id]
	if r == nil {
		return fmt.Errorf("request %d is unknown at instance %d", id, instance)
	}
	number := r.attempts
	r.attempts, r.open, r.at = number+1, number, s
	s.running++
	outcome, note, after := w.drawOutcome(s, r)
	began := w.now
	end := func(outcome, note byte) func() []byte {
		return func() []byte {
			if r.open != number {
				return nil
			}
			r.open = -1
			s.running--
			if outcome == outcomeServed {
				r.final = true
			}
			return w.outcome(id, worker, note, r.final, outcome, number, w.now-began, s)
		}
	}
	if r.class == 2 && outcome == outcomeServed && w.missWhenCold { // streamed: its answer begins first
		w.schedule(after/2, instance, eventFirst, func() []byte {
			if r.open != number {
				return nil
			}
			b := binary.BigEndian.AppendUint32(nil, id)
			b = appendWorker(binary.BigEndian.AppendUint16(b, uint16(number)), worker)
			return appendFloat(b, w.now-began)
		})
	}
	w.schedule(after, instance, eventOutcome, end(outcome, note))
	return nil
}

// drawOutcome draws an attempt's outcome, its note and how long it takes.
func (w *world) drawOutcome(s *simWorker, r *simRequest) (outcome, note byte, after float64) {
	run := 20 + 90*w.rng.ExpFloat64() + 12*float64(s.running)
	switch chance := w.rng.IntN(100); {
	case s.state == 0 || chance < 1:
		return outcomeUnreachable, 0, 2
	case chance < 3:
		return outcomeErrored, byte(w.rng.IntN(2) * 4), run / 2
	case chance < 5:
		return outcomeReset, 0, run / 3
	case chance < 6:
		return outcomeTimedOut, 0, 900
	case chance < 7:
		return outcomeNotSent, 0, 1
	case s.running > 14:
		return outcomeOverloaded, 0, 1
	}
	ready, known := s.loaded[r.function]
	switch {
	case known && ready <= w.now:
		return outcomeServed, 1, run
	case known:
		return outcomeServed, 3, run + ready - w.now
	case w.missWhenCold:
		return outcomeNotLoaded, 0, 1
	}
	loadTime := 300 + 900*w.rng.Float64()
	s.loaded[r.function] = w.now + loadTime
	return outcomeServed, 2, run + loadTime
}

// outcome encodes how an attempt ended.
func (w *world) outcome(id uint32, worker uint64, note byte, closed bool, outcome byte, number int, took float64, s *simWorker) []byte {
	b := appendWorker(binary.BigEndian.AppendUint32(nil, id), worker)
	b = append(b, note|byte(s.running%5)<<3, boolByte(closed), outcome)
	b = binary.BigEndian.AppendUint16(b, uint16(number))
	b = appendFloat(b, took)
	if outcome != outcomeServed && outcome != outcomeOverloaded {
		return append(b, 0)
	}
	return appendReport(b, s)
}

// cancel ends an attempt that is out, now or never, as workers do.
func (w *world) cancel(instance int, id uint32, number int) {
	r := w.hosts[instance].requests[id]
	if r == nil || r.open != number || w.rng.IntN(3) == 0 {
		return
	}
	w.schedule(1, instance, eventOutcome, func() []byte {
		if r.open != number {
			return nil
		}
		r.open = -1
		return w.outcome(id, w.workerAt[0].id, 0, r.final, outcomeCancelled, number, 50, w.workerAt[0])
	})
}

// load carries out an order to load.
func (w *world) load(instance int, count byte, function, worker uint64) {
	s := w.worker(worker)
	after := 200 + 700*w.rng.Float64()
	outcome := byte(outcomeServed)
	switch w.rng.IntN(12) {
	case 0:
		outcome = outcomeErrored
	case 1:
		outcome = outcomeReset
	case 2:
		outcome = outcomeOverloaded
	default:
		s.loaded[function] = w.now + after
	}
	began := w.now
	w.schedule(after, instance, eventLoaded, func() []byte {
		b := appendWorker(nil, worker)
		b = binary.BigEndian.AppendUint64(b, function)
		b = appendFloat(append(b, outcome), w.now-began)
		return append(b, count)
	})
}

func (w *world) probe(instance int, worker uint64) {
	s := w.worker(worker)
	outcome, after := byte(outcomeServed), 3.0
	if s.state == 0 || w.rng.IntN(5) == 0 {
		outcome, after = outcomeTimedOut, 120
	}
	w.schedule(after, instance, eventHealth, func() []byte {
		b := append(appendFloat(nil, after), outcome)
		return appendReport(appendWorker(b, worker), s)
	})
}

// gossip hands a message to those it is for, a little later.
func (w *world) gossip(from int, to uint32, data []byte) {
	for n := range w.hosts {
		if n == from || to != allPeers && int(to) != n {
			continue
		}
		w.schedule(2, n, eventMessage, func() []byte {
			b := binary.BigEndian.AppendUint16(nil, uint16(from))
			b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
			return append(b, data...)
		})
	}
}

// appendReport appends a load report of three values, whatever the settings name.
func appendReport(b []byte, s *simWorker) []byte {
	b = append(b, 3)
	b = appendFloat32(b, float32(max(s.running-4, 0)))
	b = appendFloat32(b, float32(s.running))
	return appendFloat32(b, float32(len(s.loaded)))
}

func appendWorker(b []byte, id uint64) []byte {
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint32(b, uint32(id>>16)), uint16(id))
}

func readWorker(b []byte) uint64 {
	return uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:]))
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func appendFloat32(b []byte, v float32) []byte {
	return binary.BigEndian.AppendUint32(b, math.Float32bits(v))
}

func readFloat(b []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(b)) }

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

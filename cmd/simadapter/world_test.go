package main

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// scenario describes a world that instances of the decision module are played against.
type scenario struct {
	name                 string
	seed                 uint64
	settings             string
	instanceCount        int
	workerCount          int
	functionCount        int
	batches              int
	arrivalsPerSecond    int
	missWhenNotLoaded    bool // workers answer a miss in place of loading
	requiresSubscription bool // worker lists come only once subscribed to
	workHints            bool // requests tell their work
}

// world is a toy deployment in simulated time: workers, clients and a directory, with random faults. The same
// seed and the same actions always give the same events. Times are milliseconds.
//
// The golden files depend on the order in which rng is drawn from and in which events are scheduled.
type world struct {
	scenario
	rng       *rand.Rand
	now       float64
	pending   []pendingEvent
	lastID    uint32 // of a request
	workers   []*simWorker
	instances []*simInstance
	seen      map[byte]int // records, by event and action code
}

// pendingEvent is an event that is due later.
type pendingEvent struct {
	due      float64
	order    int // of equal times the lower one goes first
	instance int
	life     *simInstance // the event is lost when the instance has started anew meanwhile
	code     byte
	fields   func() []byte // nil: it doesn't happen after all
}

// simWorker is a worker.
type simWorker struct {
	id      uint64
	state   byte
	started float64
	loaded  map[uint64]float64 // function to the time at which its load ends
	running int
}

// simInstance is one life of an instance, from its start until it is killed.
type simInstance struct {
	requests   map[uint32]*simRequest
	subscribed bool
}

func newWorld(s scenario) *world {
	w := &world{
		scenario: s,
		rng:      rand.New(rand.NewPCG(s.seed, 1)),
		now:      3_600_000,
		seen:     map[byte]int{},
	}
	for n := range s.workerCount {
		id := uint64(0x0a000001+n)<<16 | 9000
		w.workers = append(w.workers, &simWorker{id: id, state: workerReady, loaded: map[uint64]float64{}})
	}
	w.instances = make([]*simInstance, s.instanceCount)
	for n := range s.instanceCount {
		w.start(n, float64(n))
	}
	return w
}

// start starts an instance: its first message, the cached list, and a full one where lists come by themselves.
func (w *world) start(instance int, after float64) {
	w.instances[instance] = &simInstance{requests: map[uint32]*simRequest{}}
	seed := w.rng.Uint64()
	w.schedule(after, instance, eventInstanceStarted, func() []byte {
		b := binary.BigEndian.AppendUint64(nil, seed)
		b = binary.BigEndian.AppendUint32(b, uint32(len(w.settings)))
		return append(b, w.settings...)
	})
	w.schedule(after+1, instance, eventEndpointUpdate, func() []byte { return w.encodeList(listCached) })
	w.schedule(after+20, instance, eventEndpointUpdate, func() []byte { return w.listFor(instance, listFull) })
}

// schedule has an event happen to an instance; fields is called when it does.
func (w *world) schedule(after float64, instance int, code byte, fields func() []byte) {
	w.pending = append(w.pending, pendingEvent{
		due:      w.now + max(after, 0),
		order:    len(w.pending),
		instance: instance,
		life:     w.instances[instance],
		code:     code,
		fields:   fields,
	})
}

// nextBatch moves the clock on and returns the batch of all that is due, random events included.
func (w *world) nextBatch(seq uint32) []byte {
	w.now += float64(1 + w.rng.IntN(12))
	w.drawArrivals()
	w.drawFault()
	slices.SortStableFunc(w.pending, func(a, b pendingEvent) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.order, b.order))
	})
	var records []byte
	count := uint32(0)
	for len(w.pending) > 0 && w.pending[0].due <= w.now {
		event := w.pending[0]
		w.pending = w.pending[1:]
		if record := w.encodeEvent(event); record != nil {
			records = append(records, record...)
			count++
		}
	}
	for n := range w.pending {
		w.pending[n].order = n
	}
	frame := binary.BigEndian.AppendUint32(nil, seq)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(records)))
	frame = binary.BigEndian.AppendUint32(frame, count)
	frame = appendFloat(frame, w.now)
	return append(frame, records...)
}

// encodeEvent returns an event's record, or nil if it doesn't happen after all.
func (w *world) encodeEvent(event pendingEvent) []byte {
	killed := event.code == eventInstanceKilled
	if !killed && event.life != w.instances[event.instance] {
		return nil
	}
	fields := event.fields()
	if !killed && fields == nil {
		return nil
	}
	w.seen[event.code]++
	record := binary.BigEndian.AppendUint16([]byte{event.code}, uint16(event.instance))
	return append(record, fields...)
}

// drawArrivals draws whether a request arrives at each instance; a batch comes every 6.5 ms on average.
func (w *world) drawArrivals() {
	for n := range w.instances {
		if w.rng.Float64() < float64(w.arrivalsPerSecond)*6.5/1000/float64(w.instanceCount) {
			w.arrive(n)
		}
	}
}

// drawFault draws whether something goes wrong; in most batches nothing does.
func (w *world) drawFault() {
	switch draw := w.rng.IntN(1500); {
	case draw < 3:
		w.restartWorker()
	case draw < 6:
		w.changeWorkerState()
	case draw == 6 && w.requiresSubscription:
		w.breakSubscription(w.rng.IntN(w.instanceCount))
	case draw == 7:
		w.kill(w.rng.IntN(w.instanceCount))
	}
}

func (w *world) restartWorker() {
	worker := w.workers[w.rng.IntN(len(w.workers))]
	worker.started = w.now
	worker.state = workerReady
	worker.loaded = map[uint64]float64{}
	w.announce(listDelta)
}

func (w *world) changeWorkerState() {
	worker := w.workers[w.rng.IntN(len(w.workers))]
	worker.state = []byte{workerGone, workerReady, workerReady, workerDraining}[w.rng.IntN(4)]
	w.announce([]byte{listDelta, listFull}[w.rng.IntN(2)])
}

func (w *world) breakSubscription(instance int) {
	w.instances[instance].subscribed = false
	w.schedule(0, instance, eventEndpointUpdate, func() []byte { return w.encodeList(listFailed) })
}

// kill kills an instance, with its attempts, and starts it again.
func (w *world) kill(instance int) {
	w.schedule(0, instance, eventInstanceKilled, func() []byte { return nil })
	for _, r := range w.instances[instance].requests {
		if r.open != noAttempt {
			r.worker.running--
		}
	}
	w.start(instance, 40)
}

// announce sends a list to all instances, a little late.
func (w *world) announce(mode byte) {
	for n := range w.instances {
		delay := float64(w.rng.IntN(400))
		w.schedule(delay, n, eventEndpointUpdate, func() []byte { return w.listFor(n, mode) })
	}
}

// listFor returns the worker list for an instance, or nil if it isn't subscribed to it and would have to be.
func (w *world) listFor(instance int, mode byte) []byte {
	if w.requiresSubscription && !w.instances[instance].subscribed {
		return nil
	}
	return w.encodeList(mode)
}

// encodeList returns the fields of an event with the worker list; a failed one has no entries.
func (w *world) encodeList(mode byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{mode}, uint32(w.now))
	if mode == listFailed {
		return binary.BigEndian.AppendUint32(b, 0)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(w.workers)))
	for n, worker := range w.workers {
		b = appendWorker(b, worker.id)
		b = binary.BigEndian.AppendUint16(b, uint16(n%2)) // zone
		b = append(b, worker.state)
		b = appendFloat32(b, 1)                           // weight
		b = binary.BigEndian.AppendUint16(b, uint16(n%3)) // cell
		b = append(b, 0)                                  // machine kind
		b = appendFloat(b, worker.started)
	}
	return b
}

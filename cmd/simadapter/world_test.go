package main

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// maxBatchInterval is the longest time between two batches, in milliseconds; the shortest is 1.
const maxBatchInterval = 12

// meanBatchInterval is the mean time between two batches, in milliseconds.
const meanBatchInterval = (1 + maxBatchInterval) / 2.0

// scenario describes a world against which simulated routers are played. Its own fields must fit its settings: the world
// does not read these.
type scenario struct {
	name                 string // of the golden file
	seed                 uint64 // of the world; each simulated router gets a seed drawn from it
	settings             string // of the simulated routers, JSON
	routerCount          int
	workerCount          int
	functionCount        int // functions that are requested often
	batches              int
	arrivalsPerSecond    int  // at all simulated routers together
	missWhenNotLoaded    bool // workers reject a request for a function that they have not loaded
	requiresSubscription bool // a router gets endpoint lists only while it is subscribed
	workHints            bool // requests carry a work hint
}

// world is a small deployment in simulated time: workers, clients and a directory, with random faults. The same
// seed and the same actions always give the same events. Times are milliseconds.
//
// The golden files depend on each draw from rng, on the order of the draws, and on the order in which events are scheduled:
// a change of one changes all that follows.
type world struct {
	scenario
	rng     *rand.Rand
	now     float64
	pending []pendingEvent
	lastID  uint32 // of a request
	workers []*simWorker
	routers []*simulatedRouter
	seen    map[byte]int // records, by event and action code
}

// pendingEvent is an event that is due later.
type pendingEvent struct {
	due         float64
	sequence    int // position in world.pending; of events that are due at the same time, the lowest is first
	router      int
	incarnation *simulatedRouter // the event is lost if the router was started anew meanwhile
	code        byte
	fields      func() []byte // if it returns nil, the event doesn't happen
}

// simWorker is a worker.
type simWorker struct {
	id      uint64
	state   byte
	started float64            // when its process last started; 0: long ago
	loaded  map[uint64]float64 // function to the time at which its load ends
	running int                // attempts in flight
}

// simulatedRouter is one incarnation of a simulated router, from its start until it is killed.
type simulatedRouter struct {
	requests   map[uint32]*simRequest
	subscribed bool
}

// newWorld returns a world before its first batch, with all workers ready and the starts of the routers scheduled.
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
	w.routers = make([]*simulatedRouter, s.routerCount)
	for n := range s.routerCount {
		w.start(n, float64(n))
	}
	return w
}

// start starts a simulated router after a time. It schedules the start, then the cached endpoint list and, if lists need no
// subscription, a full one.
func (w *world) start(router int, after float64) {
	w.routers[router] = &simulatedRouter{requests: map[uint32]*simRequest{}}
	seed := w.rng.Uint64()
	w.schedule(after, router, eventRouterStarted, func() []byte {
		b := binary.BigEndian.AppendUint64(nil, seed)
		b = binary.BigEndian.AppendUint32(b, uint32(len(w.settings)))
		return append(b, w.settings...)
	})
	w.schedule(after+1, router, eventEndpointUpdate, func() []byte { return w.encodeList(listCached) })
	w.schedule(after+20, router, eventEndpointUpdate, func() []byte { return w.listFor(router, listFull) })
}

// schedule schedules an event at a simulated router. fields is called when the event is due.
func (w *world) schedule(after float64, router int, code byte, fields func() []byte) {
	w.pending = append(w.pending, pendingEvent{
		due:         w.now + max(after, 0),
		sequence:    len(w.pending),
		router:      router,
		incarnation: w.routers[router],
		code:        code,
		fields:      fields,
	})
}

// nextBatch advances the clock, draws random events and returns the batch of all events that are due.
func (w *world) nextBatch(seq uint32) []byte {
	w.now += float64(1 + w.rng.IntN(maxBatchInterval))
	w.drawArrivals()
	w.drawFault()
	slices.SortStableFunc(w.pending, func(a, b pendingEvent) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.sequence, b.sequence))
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
		w.pending[n].sequence = n
	}
	frame := binary.BigEndian.AppendUint32(nil, seq)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(records)))
	frame = binary.BigEndian.AppendUint32(frame, count)
	frame = appendFloat(frame, w.now)
	return append(frame, records...)
}

// encodeEvent returns an event's record, or nil if it doesn't happen.
func (w *world) encodeEvent(event pendingEvent) []byte {
	killed := event.code == eventRouterKilled
	if !killed && event.incarnation != w.routers[event.router] {
		return nil
	}
	fields := event.fields()
	if !killed && fields == nil {
		return nil
	}
	w.seen[event.code]++
	record := binary.BigEndian.AppendUint16([]byte{event.code}, uint16(event.router))
	return append(record, fields...)
}

// drawArrivals draws whether a request arrives at each simulated router.
func (w *world) drawArrivals() {
	for n := range w.routers {
		if w.rng.Float64() < float64(w.arrivalsPerSecond)*meanBatchInterval/1000/float64(w.routerCount) {
			w.arrive(n)
		}
	}
}

// drawFault draws whether something goes wrong in this batch: 3 in 1,500 batches restart a worker, 3 change a worker's
// state, 1 breaks a subscription and 1 kills a simulated router.
func (w *world) drawFault() {
	switch draw := w.rng.IntN(1500); {
	case draw < 3:
		w.restartWorker()
	case draw < 6:
		w.changeWorkerState()
	case draw == 6 && w.requiresSubscription:
		w.breakSubscription(w.rng.IntN(w.routerCount))
	case draw == 7:
		w.kill(w.rng.IntN(w.routerCount))
	}
}

// restartWorker starts the process of a worker anew, with nothing loaded.
func (w *world) restartWorker() {
	worker := w.workers[w.rng.IntN(len(w.workers))]
	worker.started = w.now
	worker.state = workerReady
	worker.loaded = map[uint64]float64{}
	w.announce(listIncremental)
}

// changeWorkerState draws a worker and its new state, and whether the lists that announce it are full.
func (w *world) changeWorkerState() {
	worker := w.workers[w.rng.IntN(len(w.workers))]
	worker.state = []byte{workerGone, workerReady, workerReady, workerDraining}[w.rng.IntN(4)]
	w.announce([]byte{listIncremental, listFull}[w.rng.IntN(2)])
}

// breakSubscription ends the subscription of a simulated router.
func (w *world) breakSubscription(router int) {
	w.routers[router].subscribed = false
	w.schedule(0, router, eventEndpointUpdate, func() []byte { return w.encodeList(listFailed) })
}

// kill kills a simulated router, which ends its attempts, and starts it again.
func (w *world) kill(router int) {
	w.schedule(0, router, eventRouterKilled, func() []byte { return nil })
	for _, r := range w.routers[router].requests {
		if r.open != noAttempt {
			r.worker.running--
		}
	}
	w.start(router, 40)
}

// announce sends a list to all simulated routers, a little late.
func (w *world) announce(mode byte) {
	for n := range w.routers {
		delay := float64(w.rng.IntN(400))
		w.schedule(delay, n, eventEndpointUpdate, func() []byte { return w.listFor(n, mode) })
	}
}

// listFor returns the endpoint list for a simulated router, or nil if the router needs a subscription and has none.
func (w *world) listFor(router int, mode byte) []byte {
	if w.requiresSubscription && !w.routers[router].subscribed {
		return nil
	}
	return w.encodeList(mode)
}

// encodeList returns the fields of an event with the endpoint list; listFailed has no entries.
func (w *world) encodeList(mode byte) []byte {
	version := uint32(w.now)
	b := binary.BigEndian.AppendUint32([]byte{mode}, version)
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

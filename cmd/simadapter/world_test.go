package main

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// maxBatchInterval is the longest time between two batches in milliseconds. The shortest is 1.
const maxBatchInterval = 12

// meanBatchInterval is the mean time between two batches, in milliseconds.
const meanBatchInterval = (1 + maxBatchInterval) / 2.0

// scenario describes a world and the simulated routers that run in it. The other fields must agree with the field
// settings, because the world does not parse the settings.
type scenario struct {
	name                 string // name of the scenario and of its golden file
	seed                 uint64 // seed of the world, which draws the seeds of the simulated routers
	settings             string // settings of the simulated routers, as JSON
	routerCount          int
	workerCount          int
	functionCount        int // number of functions that share most of the requests
	batches              int
	arrivalsPerSecond    int  // total of all simulated routers
	missWhenNotLoaded    bool // workers reject requests for functions that they have not loaded
	requiresSubscription bool // after the cached list, a router gets endpoint lists only while it is subscribed
	workHints            bool // requests carry a work hint
}

// world simulates a small deployment of workers, clients and a directory, with random faults. The same seed and the
// same actions always produce the same events. Times are in milliseconds.
//
// The golden files depend on each draw from rng, on the order of the draws and on the order in which events are
// scheduled. A change of any of them changes all later events.
type world struct {
	scenario
	rng           *rand.Rand
	now           float64
	pending       []pendingEvent
	lastRequestID uint32 // id of the latest request
	workers       []*simWorker
	routers       []*simulatedRouter
	recordCounts  map[byte]int // number of records by event or action code
}

// pendingEvent is an event that is scheduled but not sent yet.
type pendingEvent struct {
	due         float64
	sequence    int // index in world.pending; events that are due at the same time are sent in this order
	router      int
	incarnation *simulatedRouter // the event is dropped if the router is killed before; a kill is always sent
	code        byte
	fields      func() []byte // returns the event's fields, or nil to drop the event, except a kill
}

// simWorker is a simulated worker.
type simWorker struct {
	id      uint64
	state   byte
	started float64            // time of the last start of its process; 0 if that is long ago
	loaded  map[uint64]float64 // time at which the load of a function ends, by function
	running int                // attempts in flight
}

// simulatedRouter is one incarnation of a simulated router, from its start until it is killed.
type simulatedRouter struct {
	requests   map[uint32]*simRequest
	subscribed bool
}

// newWorld returns a world in which all workers are ready and the starts of the simulated routers are scheduled.
func newWorld(s scenario) *world {
	w := &world{
		scenario:     s,
		rng:          rand.New(rand.NewPCG(s.seed, 1)),
		now:          3_600_000,
		recordCounts: map[byte]int{},
	}
	for n := range s.workerCount {
		id := uint64(0x0a000001+n)<<16 | 9000
		w.workers = append(w.workers, &simWorker{id: id, state: workerReady, loaded: map[uint64]float64{}})
	}
	w.routers = make([]*simulatedRouter, s.routerCount)
	for n := range s.routerCount {
		w.startRouter(n, float64(n))
	}
	return w
}

// startRouter schedules the start of a simulated router after a delay. It also schedules the cached endpoint list and a
// full endpoint list. The full list is dropped if the router needs a subscription and has none when the list is due.
func (w *world) startRouter(router int, delay float64) {
	w.routers[router] = &simulatedRouter{requests: map[uint32]*simRequest{}}
	seed := w.rng.Uint64()
	w.schedule(delay, router, eventRouterStarted, func() []byte {
		b := binary.BigEndian.AppendUint64(nil, seed)
		b = binary.BigEndian.AppendUint32(b, uint32(len(w.settings)))
		return append(b, w.settings...)
	})
	w.schedule(delay+1, router, eventEndpointUpdate, func() []byte { return w.encodeList(listCached) })
	w.schedule(delay+20, router, eventEndpointUpdate, func() []byte { return w.encodeListFor(router, listFull) })
}

// schedule schedules an event at a simulated router after a delay. It calls fields when the event is due.
func (w *world) schedule(delay float64, router int, code byte, fields func() []byte) {
	w.pending = append(w.pending, pendingEvent{
		due:         w.now + max(delay, 0),
		sequence:    len(w.pending),
		router:      router,
		incarnation: w.routers[router],
		code:        code,
		fields:      fields,
	})
}

// nextBatch advances the clock, draws arrivals and faults, and returns the batch of all events that are due.
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
	frame = appendFloat64(frame, w.now)
	return append(frame, records...)
}

// encodeEvent returns the record of an event, or nil if the event is dropped.
func (w *world) encodeEvent(event pendingEvent) []byte {
	killed := event.code == eventRouterKilled
	if !killed && event.incarnation != w.routers[event.router] {
		return nil
	}
	fields := event.fields()
	if !killed && fields == nil {
		return nil
	}
	w.recordCounts[event.code]++
	record := binary.BigEndian.AppendUint16([]byte{event.code}, uint16(event.router))
	return append(record, fields...)
}

// drawArrivals draws for each simulated router whether a request arrives at it.
func (w *world) drawArrivals() {
	for n := range w.routers {
		if w.rng.Float64() < float64(w.arrivalsPerSecond)*meanBatchInterval/1000/float64(w.routerCount) {
			w.scheduleArrival(n)
		}
	}
}

// drawFault draws whether a fault occurs in this batch. On average, out of 1,500 batches 3 restart a worker, 3 change a
// worker's state, 1 breaks a subscription if endpoint lists need one, and 1 kills a simulated router.
func (w *world) drawFault() {
	switch draw := w.rng.IntN(1500); {
	case draw < 3:
		w.restartWorker()
	case draw < 6:
		w.changeWorkerState()
	case draw == 6 && w.requiresSubscription:
		w.breakSubscription(w.rng.IntN(w.routerCount))
	case draw == 7:
		w.killRouter(w.rng.IntN(w.routerCount))
	}
}

// restartWorker restarts the process of a worker, which then has no loaded functions.
func (w *world) restartWorker() {
	worker := w.workers[w.rng.IntN(len(w.workers))]
	worker.started = w.now
	worker.state = workerReady
	worker.loaded = map[uint64]float64{}
	w.announceEndpoints(listIncremental)
}

// changeWorkerState draws a worker, its new state and whether the endpoint lists that announce the state are full or
// incremental.
func (w *world) changeWorkerState() {
	worker := w.workers[w.rng.IntN(len(w.workers))]
	worker.state = []byte{workerGone, workerReady, workerReady, workerDraining}[w.rng.IntN(4)]
	w.announceEndpoints([]byte{listIncremental, listFull}[w.rng.IntN(2)])
}

// breakSubscription ends the subscription of a simulated router and schedules an endpoint list of kind listFailed.
func (w *world) breakSubscription(router int) {
	w.routers[router].subscribed = false
	w.schedule(0, router, eventEndpointUpdate, func() []byte { return w.encodeList(listFailed) })
}

// killRouter kills a simulated router, which ends its attempts, and schedules its restart.
func (w *world) killRouter(router int) {
	w.schedule(0, router, eventRouterKilled, func() []byte { return nil })
	for _, r := range w.routers[router].requests {
		if r.openAttempt != noAttempt {
			r.worker.running--
		}
	}
	w.startRouter(router, 40)
}

// announceEndpoints schedules an endpoint list for each simulated router, each after a random delay below 400 ms.
func (w *world) announceEndpoints(kind byte) {
	for n := range w.routers {
		delay := float64(w.rng.IntN(400))
		w.schedule(delay, n, eventEndpointUpdate, func() []byte { return w.encodeListFor(n, kind) })
	}
}

// encodeListFor returns the fields of an event with the endpoint list for a simulated router, or nil if the router
// needs a subscription and has none.
func (w *world) encodeListFor(router int, kind byte) []byte {
	if w.requiresSubscription && !w.routers[router].subscribed {
		return nil
	}
	return w.encodeList(kind)
}

// encodeList returns the fields of an event with the endpoint list. A list of kind listFailed has no entries.
func (w *world) encodeList(kind byte) []byte {
	version := uint32(w.now)
	b := binary.BigEndian.AppendUint32([]byte{kind}, version)
	if kind == listFailed {
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
		b = appendFloat64(b, worker.started)
	}
	return b
}

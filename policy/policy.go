// The interface of this module (Config, events, actions, ids, outcomes) is in api.go.

package policy

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuned values. None is fitted to one deployment; each has its reason beside it.
const (
	housekeepingInterval = 50 * time.Millisecond // housekeeping: well below any wanted time, cheap enough
	sweepInterval        = time.Second           // trials, first spell aside, sweeps
	maxEjectionTime      = 8 * time.Second       // no worker is set aside for longer without a new look
	rateMemory           = 10 * time.Second      // memory of the rate at which we are served
	slowStartMargin      = 0.7                   // part of the cold budget that we use: peers and chance need the rest
	ratioRetention       = 0.97                  // a fit remembers about 30 answers
	fleetSlopePrior      = 8                     // answers that the fleet's slope weighs in each worker's
	classRunTimePrior    = 5                     // answers that the class's run weighs in each function's
	runTimeMemory        = 30                    // answers that a run estimate remembers
	delayMemory          = 3 * time.Second       // memory of a worker's queue: it drains in about that
	fewObservations      = 6                     // fewer are remembered for longer: none newer come
	outlierClip          = 3                     // an answer counts as at most this multiple of the estimate
	loadRatioGain        = 0.2                   // weight of one load in the ratio of real to told load time
	initialRunTimeShare  = 0.25                  // part of the wanted time that a run takes until we know better
	extraInstanceShare   = 0.3                   // part of a load that a call beyond the lanes waits or has others pay

	gossipEntrySize   = 16  // a worker and a function; 16 of them fill a message
	likelyWarmChance  = 0.5 // a chance that is counted on where a wrong guess costs little
	housekeepingToken = 0
	resubscribeToken  = 1
	deadlineTokenBase = 1 << 32 // plus the request
)

// Policy takes one dispatcher's decisions.
type Policy struct {
	cfg      Config
	rng      *rand.Rand
	identity uint64
	now      time.Duration
	actions  []Action

	workers         map[WorkerID]*worker
	fleet           []*worker // in the order of their first listing
	readyWorkers    int       // of them
	requests        map[RequestID]*request
	waitingRequests []*request // no worker may take them now; tried again at each beat
	functions       map[FunctionID]*function
	classes         []classState
	tenants         []tokenBucket

	fleetQueueSlope ratioEstimator // all workers' queueing, what an unheard worker counts as
	delayPerQueued  ratioEstimator // delay over the requests that reports say wait, at all workers
	queueField      int            // place of these in a report; -1: reports don't tell
	standingDelay   float64        // delay that three of four warm answers exceed
	loadRatio       float64        // real load time over the told one
	servedWork      float64        // work served to us of late, decaying over rateSpan

	lastTrial, lastSweep time.Duration
	failedLoads          int           // loads that failed since one succeeded
	loadsPausedUntil     time.Duration // no load begins before, while they fail

	requestTimes, orderTimes []time.Duration // within LoadWindow
	gossipOutbox             []byte          // of instances, for the other dispatchers
	gossipBudget             float64         // calls of ours that pay for messages
	subscribed, started      bool
}

type classState struct {
	Class
	runTime, answers       float64 // mean time of a warm answer, in nanoseconds, and of how many
	actualWork, hintedWork float64 // sums of the same and of the work hints, alike at first: a hint is believed
}

type tokenBucket struct {
	tokens, refillPerSecond float64
	refilledAt              time.Duration
}

type function struct {
	id                         FunctionID
	runTime, answers           float64
	recentRequests, saturation float64 // ours before the last, over rateSpan; late or turned away, less those not
	loadTime, lastRequest      time.Duration
	served                     bool // by any worker
}

// fit is a line through the origin, queueing delay over requests in flight: the ratio of their sums.
type ratioEstimator struct{ denominator, numerator float64 }

type worker struct {
	Endpoint
	slowStartFrom                   time.Duration // when it last began cold, as told; 0: long ago
	slowStartRounding               float64       // drawn at each start, part of a call
	inFlight                        []*attempt    // in the order of their sends
	queueSlope                      ratioEstimator
	failureRates                    []decayingMean // by class, whether calls go unserved there
	excessDelay                     decayingMean   // the fit's constant: what others queue there beyond the average
	lastHeard, lastProbe            time.Duration  // last sign of life, last probe
	probing                         bool
	consecutiveFailures, loadOrders int           // orders: of ours that are out
	ejectedUntil, lastReset         time.Duration // set aside until then; when a connection last ended under calls
	slowStartSends                  []*attempt    // within FallFor, while cold
	instances                       map[FunctionID]*instance
}

// instance is what we believe of a function at a worker.
type instance struct {
	worker                 *worker
	warmUntil, announcedAt time.Duration // told: when we last told the others
	loadEndsAt             time.Duration // a load under way is expected to end then; 0: none
	inFlight               int
	observedConcurrency    int        // calls of ours that it was seen to serve at a time
	loadOrdered            bool       // our order is out
	waiting                []*request // wait for its answer
}

type request struct {
	RequestArrived
	function                             *function
	deadline                             time.Duration
	attempts                             []*attempt
	outstanding                          int
	mayHaveRun                           *attempt  // the first attempt that may have run
	finished, responseStarted, overQuota bool      // over: beyond its tenant's share
	triedWorkers                         []*worker // turned it away or failed it
}

type attempt struct {
	request                                  *request
	worker                                   *worker
	sentAt, expectedLatency                  time.Duration
	number, inFlightBefore                   int
	neededLoad, likelyWarm, ended, cancelled bool // thought cold; at a home where a copy likely stood; called: off, by us
}

// New returns a Policy for one dispatcher; all its random choices follow from seed.
func New(cfg Config, seed uint64) (*Policy, error) {
	if len(cfg.Classes) == 0 {
		return nil, fmt.Errorf("policy: no request classes")
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 ||
			c.Idempotency > NotIdempotent || c.DedupScope > DedupCell {
			return nil, fmt.Errorf("policy: class %d is impossible: %+v", i, c)
		}
	}
	for _, v := range []float64{cfg.SlowStartCapacity, cfg.OverloadMultiple, cfg.LoadOrderAllowance,
		cfg.LoadOrdersPerRequest, float64(cfg.MaxAttempts), float64(cfg.Tick),
		float64(cfg.SlowStartDuration), float64(cfg.OverloadWindow),
		float64(cfg.InstanceKeepAlive), float64(cfg.LoadOrderWindow)} {
		if !(v >= 0) || math.IsInf(v, 1) || cfg.SlowStartCapacity > 1 {
			return nil, fmt.Errorf("policy: settings hold an impossible amount: %+v", cfg)
		}
	}
	cfg.RouterCount = max(cfg.RouterCount, 1)
	p := &Policy{cfg: cfg, identity: seed, rng: rand.New(rand.NewPCG(seed, 0x7468796d65)), loadRatio: 1,
		queueField: slices.Index(cfg.LoadReportFields, "queue"),
		workers:    map[WorkerID]*worker{}, requests: map[RequestID]*request{}, functions: map[FunctionID]*function{}}
	for _, c := range cfg.Classes {
		run := initialRunTimeShare * float64(c.LatencyObjective)
		p.classes = append(p.classes, classState{c, run, 0, classRunTimePrior * run, classRunTimePrior * run})
	}
	for _, t := range cfg.Tenants {
		rate := clamp(t.QuotaPerSecond, 0, 1e9) / float64(cfg.RouterCount)
		p.tenants = append(p.tenants, tokenBucket{tokens: rate + 1, refillPerSecond: rate})
	}
	return p, nil
}

// sane returns v within [lo, hi], and lo for what is no number.
func clamp(v, lo, hi float64) float64 {
	if math.IsNaN(v) {
		return lo
	}
	return min(max(v, lo), hi)
}

// Handle takes one event and appends the actions that answer it to out.
func (p *Policy) Handle(now time.Duration, ev Event, out []Action) []Action {
	p.now, p.actions = max(now, p.now), out
	if !p.started {
		p.started = true
		p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
		p.emit(Subscribe{On: true})
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		p.updateEndpoints(e)
	case RequestArrived:
		p.requestArrived(e)
	case AttemptEnded:
		p.attemptEnded(e)
	case LoadOrderEnded:
		p.loadOrderEnded(e)
	case ProbeEnded:
		p.probeEnded(e)
	case GossipReceived:
		p.gossipReceived(e.Data)
	case ResponseStarted:
		if r := p.requests[e.Request]; r != nil {
			r.responseStarted = true
		}
	case ClientCancelled:
		p.closeRequest(p.requests[e.Request])
	case TimerFired:
		if e.Token == housekeepingToken {
			p.housekeeping()
		} else if e.Token == resubscribeToken {
			p.emit(Subscribe{On: true})
		} else if r := p.requests[RequestID(e.Token-deadlineTokenBase)]; r != nil && e.Token >= deadlineTokenBase && !r.responseStarted {
			p.giveUp(r, 0, DeadlineExceeded)
		}
	}
	out, p.actions = p.actions, nil
	return out
}

// emit is the one place where actions leave. It keeps the rules: what would break one is not emitted.
func (p *Policy) emit(a Action) bool {
	switch a := a.(type) {
	case SendAttempt:
		r, w := p.requests[a.Request], p.workers[a.Worker]
		if r == nil || w == nil || !p.sendAllowed(r, w) {
			return false
		}
	case RefuseRequest: // nothing may have run, or its repeat is harmless wherever it goes
		r := p.requests[a.Request]
		if r == nil || r.finished {
			return false
		}
		if c := &p.classes[r.Class]; (r.mayHaveRun != nil || r.outstanding > 0) &&
			(c.Idempotency == NotIdempotent ||
				c.Idempotency == IdempotentWithKey && c.DedupScope != DedupFleet) {
			p.actions = append(p.actions, FailRequest{Request: r.Request, Reason: a.Reason}) // promises nothing
			return true
		}
	case LoadInstance:
		w := p.workers[a.Worker]
		if w == nil || !p.cfg.AllowLoadOrders || a.Instances > 0 && w.State != Ready {
			return false
		}
		if a.Instances > 0 && p.cfg.LoadOrderWindow > 0 {
			p.requestTimes, p.orderTimes = p.withinWindow(p.requestTimes, p.cfg.LoadOrderWindow-1),
				p.withinWindow(p.orderTimes, p.cfg.LoadOrderWindow)
			ration := p.cfg.LoadOrderAllowance + p.cfg.LoadOrdersPerRequest*float64(len(p.requestTimes))
			if float64(len(p.orderTimes)+1) > ration {
				return false
			}
			p.orderTimes = append(p.orderTimes, p.now)
		}
	case Subscribe: // only where the list does not come by itself
		if !p.cfg.RequiresSubscription || p.subscribed {
			return false
		}
	case ProbeWorker:
		if !p.cfg.AllowProbes {
			return false
		}
	case CancelAttempt:
		if !p.cfg.AllowCancel {
			return false
		}
	}
	p.actions = append(p.actions, a)
	return true
}

// recent drops what is older than span.
func (p *Policy) withinWindow(times []time.Duration, span time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(t time.Duration) bool { return t < p.now-span })
}

// maySend tells whether the rules let r go to w now. No second attempt goes out beside a first anywhere.
func (p *Policy) sendAllowed(r *request, w *worker) bool {
	return !r.finished && !r.responseStarted && r.outstanding == 0 && w.State == Ready && p.now < r.deadline &&
		p.attemptAllowed(r, w) && p.slowStartAdmits(w, r.Class)
}

// repeatable tells whether its class and attempts let r go to w; w nil: to a worker that may yet be listed.
func (p *Policy) attemptAllowed(r *request, w *worker) bool {
	if p.cfg.MaxAttempts > 0 && len(r.attempts) >= p.cfg.MaxAttempts {
		return false
	}
	c, ran := &p.classes[r.Class], r.mayHaveRun
	if ran == nil || c.Idempotency == Idempotent {
		return true
	}
	return c.Idempotency == IdempotentWithKey && p.now < ran.sentAt+c.DedupWindow-p.cfg.Tick &&
		(w == nil || c.DedupScope == DedupFleet || c.DedupScope == DedupZone && w.Zone == ran.worker.Zone ||
			c.DedupScope == DedupCell && w.Cell == ran.worker.Cell)
}

// coldRoom guards a cold worker from being pushed over by all dispatchers together. What workers serve is
// within their capacity, so each keeps its sends under the told multiple of what one worker serves it on
// average: the sum holds however uneven the traffic, in overload too. A part of a call is rounded by chance,
// drawn at each start of a worker, to none or one: many dispatchers that send little still send their sum.
func (p *Policy) slowStartAdmits(w *worker, class int) bool {
	share := p.slowStartCapacity(w)
	if share >= 1 || p.cfg.OverloadWindow <= 0 || p.cfg.OverloadMultiple <= 0 {
		return true
	}
	sum, run := 0.0, p.classes[class].runTime
	w.slowStartSends = slices.DeleteFunc(w.slowStartSends, func(a *attempt) bool { return a.sentAt < p.now-p.cfg.OverloadWindow })
	for _, a := range w.slowStartSends {
		sum += p.classes[a.request.Class].runTime
	}
	mean := p.servedWork / rateMemory.Seconds() / float64(max(p.readyWorkers, 1)) * p.cfg.OverloadWindow.Seconds()
	return sum+run*(1-w.slowStartRounding) <= slowStartMargin*p.cfg.OverloadMultiple*share*mean
}

// capacity is the least share of its full capacity that w has now.
func (p *Policy) slowStartCapacity(w *worker) float64 {
	if w.slowStartFrom == 0 || p.cfg.SlowStartDuration <= 0 {
		return 1
	}
	age := clamp(float64(p.now-w.slowStartFrom)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartCapacity + (1-p.cfg.SlowStartCapacity)*age
}

// list follows the worker list.
func (p *Policy) updateEndpoints(l EndpointUpdate) {
	if l.Kind == UpdateFailed {
		p.subscribed = false
		p.emit(SetTimer{After: max(p.cfg.ImplicitListAge/8, housekeepingInterval), Token: resubscribeToken})
		return
	}
	p.subscribed = p.subscribed || l.Kind != CachedUpdate
	named := map[WorkerID]bool{}
	for _, e := range l.Endpoints {
		named[e.Worker] = true
		w := p.workers[e.Worker]
		if w == nil {
			w = &worker{Endpoint: e, instances: map[FunctionID]*instance{}, slowStartFrom: e.StartedAt,
				slowStartRounding: p.rng.Float64(), failureRates: make([]decayingMean, len(p.classes))}
			p.workers[e.Worker] = w
			p.fleet = append(p.fleet, w)
		} else if e.StartedAt > w.StartedAt { // a new process: nothing we believe of the old one holds
			for _, i := range w.instances {
				i.warmUntil, i.loadEndsAt, i.observedConcurrency = 0, 0, 0
			}
			w.slowStartFrom, w.slowStartRounding, w.consecutiveFailures, w.ejectedUntil = e.StartedAt, p.rng.Float64(), 0, 0
			w.queueSlope, w.excessDelay, w.failureRates = ratioEstimator{}, decayingMean{}, make([]decayingMean, len(p.classes))
		}
		w.Endpoint = e
	}
	p.readyWorkers = 0
	for _, w := range p.fleet {
		if l.Kind != IncrementalUpdate && !named[w.Worker] {
			w.State = Gone
		}
		p.readyWorkers += int(w.State & Ready)
	}
}

func (w *worker) instance(f FunctionID) *instance {
	i := w.instances[f]
	if i == nil {
		i = &instance{worker: w}
		w.instances[f] = i
	}
	return i
}

func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	if p.cfg.LoadOrderWindow > 0 {
		p.requestTimes = append(p.withinWindow(p.requestTimes, p.cfg.LoadOrderWindow), p.now)
	}
	p.gossipBudget = min(p.gossipBudget+2, float64(p.cfg.RouterCount)) // a call pays for two receivers, at any size
	f := p.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, runTime: p.classes[e.Class].runTime}
		p.functions[e.Function] = f
	}
	f.recentRequests *= math.Exp(-float64(p.now-f.lastRequest) / float64(rateMemory))
	f.lastRequest = p.now
	if f.loadTime = e.LoadTime; f.loadTime <= 0 || f.loadTime > time.Hour {
		f.loadTime = p.classes[e.Class].LatencyObjective // not told: as long as an answer may take
	}
	e.TimeLeft = max(e.TimeLeft, 0)
	r := &request{RequestArrived: e, function: f, deadline: p.now + e.TimeLeft}
	p.requests[e.Request] = r
	if e.Tenant >= 0 && e.Tenant < len(p.tenants) { // a second's worth may be saved up, and chance
		b := &p.tenants[e.Tenant]
		b.tokens = min(b.tokens+b.refillPerSecond*(p.now-b.refilledAt).Seconds(), b.refillPerSecond+3*math.Sqrt(b.refillPerSecond)+1)
		b.refilledAt, r.overQuota = p.now, b.tokens < 1
	}
	p.emit(SetTimer{After: max(e.TimeLeft-2*p.cfg.Tick, 0), Token: deadlineTokenBase + uint64(e.Request)})
	p.place(r)
	f.recentRequests++
}

// queueing predicts the delay at w with n requests of ours in flight there.
func (p *Policy) queueingDelay(w *worker, n int) float64 {
	ny := w.queueSlope.numerator + fleetSlopePrior*p.fleetQueueSlope.numerator/max(p.fleetQueueSlope.denominator, 1)
	return max(0, ny)/(w.queueSlope.denominator+fleetSlopePrior)*float64(n) + max(0, w.excessDelay.value(p.now))
}

// drift is the mean of what was seen of late and, as one value among those, of nothing out of the ordinary.
type decayingMean struct {
	sum, count float64
	observedAt time.Duration
}

func (d *decayingMean) retention(now time.Duration) float64 {
	return math.Exp(-float64(now-d.observedAt) / float64(delayMemory) * min(1, max(1, d.count)/fewObservations))
}

func (d *decayingMean) value(now time.Duration) float64 {
	keep := d.retention(now)
	return d.sum * keep / (d.count*keep + 1)
}

func (d *decayingMean) observe(now time.Duration, v float64) {
	keep := d.retention(now)
	d.sum, d.count, d.observedAt = d.sum*keep+v, d.count*keep+1, now
}

// run predicts the time of r's own work at a usual worker.
func (p *Policy) predictedRunTime(r *request) float64 {
	c := &p.classes[r.Class]
	if r.WorkHint > 0 && r.WorkHint < time.Hour {
		return c.actualWork / c.hintedWork * float64(r.WorkHint)
	}
	return (classRunTimePrior*c.runTime + r.function.answers*r.function.runTime) / (classRunTimePrior + r.function.answers)
}

// loadLeft is the load time that r must expect at w.
func (p *Policy) remainingLoadTime(w *worker, r *request) float64 {
	if i := w.instances[r.function.id]; i != nil {
		if i.loadEndsAt > 0 {
			return math.Abs(float64(i.loadEndsAt - p.now)) // one that is late is expected to be as late again
		}
		if p.now < i.warmUntil || i.inFlight > 0 {
			return 0
		}
	}
	return p.predictedLoadTime(r.function)
}

// loadTime predicts a load that begins now: the told time, by the ratio seen of late.
func (p *Policy) predictedLoadTime(f *function) float64 { return p.loadRatio * float64(f.loadTime) }

// predict is the design's score: the latency that r must expect at w if it goes there now.
func (p *Policy) predictLatency(w *worker, r *request) float64 {
	score := p.queueingDelay(w, len(w.inFlight)) + p.predictedRunTime(r) + p.remainingLoadTime(w, r) +
		w.failureRates[r.Class].value(p.now)*float64(r.deadline-p.now) // who is not served waits in vain
	if i := w.instances[r.function.id]; i != nil && float64(i.inFlight) >= max(r.Concurrency, 1, float64(i.observedConcurrency)) {
		score += extraInstanceShare * p.predictedLoadTime(r.function) // no lane is free, as far as we know: w may begin a further copy
	}
	if len(w.inFlight) > 0 { // censored data: it has been silent for longer than expected of its oldest attempt
		score += max(0, float64(p.now-max(w.lastHeard, w.inFlight[0].sentAt)-w.inFlight[0].expectedLatency))
	}
	return score
}

// home ranks workers for a function alike at all dispatchers.
func rendezvousWeight(f FunctionID, w WorkerID) uint64 {
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// homeOf returns the home of r's function, the first in rank of those that we think cold, and the chance that
// a copy stands there all the same. A function deserves the share of the fleet that it is of our work, in
// homes, or as many more as it met jams, as far as others carry it: ours show in flight. Each dispatcher
// keeps to one; others keep it warm.
func (p *Policy) preferredWorker(r *request, cands []*worker) (at *worker, chance float64) {
	f, run, slot := r.function, p.predictedRunTime(r), 0
	share := f.recentRequests * run * float64(p.readyWorkers) / max(p.servedWork, run)
	homes := 1 + int((1-1/float64(p.cfg.RouterCount))*max(share, f.saturation))
	for s := 1; s < min(homes, p.readyWorkers); s++ {
		if rendezvousWeight(f.id+FunctionID(s), WorkerID(p.identity)) > rendezvousWeight(f.id+FunctionID(slot), WorkerID(p.identity)) {
			slot = s
		}
	}
	key, first := f.id^FunctionID(slot)<<48, (*worker)(nil)
	for _, w := range cands {
		if first == nil || rendezvousWeight(key, w.Worker) > rendezvousWeight(key, first.Worker) {
			first = w
		}
		if p.needsLoad(w, r) && (at == nil || rendezvousWeight(key, w.Worker) > rendezvousWeight(key, at.Worker)) {
			at = w
		}
	}
	chance = min(likelyWarmChance, 0.2*float64(p.cfg.RouterCount+1)) // of a lone dispatcher only what it lost sight of
	if at != nil && at == first {
		others := f.recentRequests * float64(p.cfg.RouterCount-1) / float64(homes)
		chance = max(chance, 1-math.Exp(-others*float64(p.cfg.InstanceKeepAlive)/float64(rateMemory)))
	} else if first != nil && p.remainingLoadTime(first, r) > 0 { // it loads at the first: none stands further down
		chance = 0
	}
	return at, chance
}

// candidates are the workers that may take r, without those set aside and those that turned it away.
func (p *Policy) candidates(r *request) (good []*worker) {
	for _, w := range p.fleet {
		if !p.isEjected(w) && !slices.Contains(r.triedWorkers, w) && p.sendAllowed(r, w) {
			good = append(good, w)
		}
	}
	return good
}

// cold tells whether r would begin a load at w.
func (p *Policy) needsLoad(w *worker, r *request) bool {
	i := w.instances[r.function.id]
	return (i == nil || i.loadEndsAt == 0) && p.remainingLoadTime(w, r) > 0
}

// loadFailed guards the shared store: while loads fail, wherever they are begun, they begin one at a time and
// ever more slowly, and cold calls are held, until one succeeds. A failure by chance costs one short pause.
func (p *Policy) recordFailedLoad(n int) {
	p.failedLoads += n
	p.loadsPausedUntil = p.now + housekeepingInterval<<min(p.failedLoads, 5)
}

// looksBad tells whether w is set aside: until a probe is answered or, without probes, for its spell; then it
// gets one attempt at a time until one is served.
func (p *Policy) isEjected(w *worker) bool {
	return w.consecutiveFailures > 0 && (p.cfg.AllowProbes || p.now < w.ejectedUntil || len(w.inFlight) > 0)
}

// place sends r to the worker with the lowest predicted latency, or refuses or holds it.
func (p *Policy) place(r *request) {
	if r.finished || r.outstanding > 0 {
		return
	}
	cands, until := p.candidates(r), p.now
	at, discount := p.preferredWorker(r, cands)
	if p.now < p.loadsPausedUntil && len(cands) > 0 { // nothing begins a load, as far as we know
		until = p.loadsPausedUntil
		cands = slices.DeleteFunc(cands, func(w *worker) bool {
			return p.needsLoad(w, r) && (w != at || discount < likelyWarmChance || len(r.attempts) > 0)
		})
	}
	if len(cands) == 0 {
		if float64(r.deadline-until) > p.predictedRunTime(r) && p.mayBePlacedLater(r) {
			p.waitingRequests = append(p.waitingRequests, r)
		} else {
			p.giveUp(r, float64(until-p.now), NoWorkerAvailable)
		}
		return
	}
	best, scores := math.Inf(1), make([]float64, len(cands))
	for i, w := range cands {
		scores[i] = p.predictLatency(w, r)
		if w == at {
			scores[i] -= discount * p.predictedLoadTime(r.function)
		}
		best = min(best, scores[i])
	}
	ties, pick := 0, 0
	for i := range cands {
		if scores[i] <= best+float64(p.cfg.Tick) { // closer than the clock tells is a tie
			if ties++; p.rng.IntN(ties) == 0 {
				pick = i
			}
		}
	}
	w, score := cands[pick], p.predictLatency(cands[pick], r)
	sure := score // what it takes where we are right, for more likely than not a copy stands at the home
	if w == at && discount >= likelyWarmChance {
		sure -= p.remainingLoadTime(w, r)
	}
	shed, wait := p.shouldShed(r, w, sure)
	cause := LoadShed
	if sure > float64(r.deadline-p.now) || r.overQuota && best > float64(p.classes[r.Class].LatencyObjective) {
		cause = PredictedTooLate
	}
	if cause == PredictedTooLate || len(r.attempts) == 0 && shed {
		if p.now-p.lastTrial < sweepInterval || r.overQuota {
			p.giveUp(r, wait, cause)
			return
		}
		p.lastTrial = p.now // a bounded trial, so that a wrong estimate can be corrected
	}
	p.sendAttempt(r, w, time.Duration(score), w == at && discount >= likelyWarmChance)
}

// mayYet tells whether waiting may help r, which no worker may take now: one that is set aside or just
// started may take it later, or none is listed. What else would be held until its deadline is ended.
func (p *Policy) mayBePlacedLater(r *request) bool {
	return p.readyWorkers == 0 && p.attemptAllowed(r, nil) || slices.ContainsFunc(p.fleet, func(w *worker) bool {
		return w.State == Ready && !slices.Contains(r.triedWorkers, w) && p.attemptAllowed(r, w)
	})
}

// shed answers overload: a standing delay that even fast answers show serves nobody, so a growing part of
// what arrives gives way, first what is beyond its tenant's share or late at best, then what is worth least.
// The yardstick is the wanted time of the classes worth as much or more, whose answers it would make late.
// The wait is the time in which the queue drains to where r is let in.
func (p *Policy) shouldShed(r *request, w *worker, score float64) (shed bool, wait float64) {
	c := &p.classes[r.Class]
	start, aim := 0.5, float64(c.LatencyObjective)
	for i := range p.classes {
		if o := &p.classes[i]; p.priorityDensity(o) > 1.5*p.priorityDensity(c) {
			start, aim = 0.25, min(aim, float64(o.LatencyObjective))
		}
	}
	if r.overQuota {
		start = 0.15 * p.cfg.OverQuotaWeight
	} else if score > float64(c.LatencyObjective) {
		start = 0.15
	}
	others := (1 - 1/float64(p.cfg.RouterCount)) * w.excessDelay.value(p.now) // what they queue at the best worker
	delay := max(p.standingDelay, others)
	return p.rng.Float64() < min(2*(delay/aim-start), 0.9), delay - start*aim
}

// density is the worth of a class for the work that it takes.
func (p *Policy) priorityDensity(c *classState) float64 {
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.runTime, 1)
}

// sawDelay tracks the delay that most warm answers exceed: slowly up to those that took longer, fast down.
func (p *Policy) observeStandingDelay(d float64, aim time.Duration) {
	answers := 20.0
	if d < p.standingDelay {
		answers = 4
	}
	p.standingDelay += (min(d, outlierClip*float64(aim)) - p.standingDelay) / answers
}

func (p *Policy) sendAttempt(r *request, w *worker, expected time.Duration, likely bool) {
	load, i := p.remainingLoadTime(w, r), w.instance(r.function.id)
	if !p.emit(SendAttempt{Request: r.Request, Worker: w.Worker}) {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), worker: w, sentAt: p.now, expectedLatency: expected,
		inFlightBefore: len(w.inFlight), neededLoad: load > 0, likelyWarm: likely}
	r.attempts = append(r.attempts, a)
	if !r.overQuota && a.number == 0 && r.Tenant >= 0 && r.Tenant < len(p.tenants) {
		p.tenants[r.Tenant].tokens-- // only what is sent counts: a refused call's repeats are the same call
	}
	r.outstanding++
	w.inFlight = append(w.inFlight, a)
	i.inFlight++
	if p.slowStartCapacity(w) < 1 {
		w.slowStartSends = append(w.slowStartSends, a)
	}
	if !p.cfg.MissWhenNotLoaded && load > 0 && i.loadEndsAt == 0 {
		i.loadEndsAt = p.now + time.Duration(load)
	}
	if p.failedLoads > 0 && load > 0 && p.now >= p.loadsPausedUntil {
		p.recordFailedLoad(0)
	}
}

// ended takes in how an attempt ended and decides what follows.
func (p *Policy) attemptEnded(e AttemptEnded) {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	w, i := a.worker, a.worker.instance(r.function.id)
	a.ended, r.outstanding, i.inFlight = true, r.outstanding-1, i.inFlight-1
	w.inFlight = slices.DeleteFunc(w.inFlight, func(o *attempt) bool { return o == a })
	if !e.Outcome.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = a
	}
	e.Duration = min(max(e.Duration, 0), time.Hour)
	if e.Outcome != ConnectionReset || a.number > 0 { // a connection may break alone: its worker has the copy
		r.triedWorkers = append(r.triedWorkers, w) // read only if another attempt follows
	}
	switch e.Outcome {
	case Served:
		p.recordAlive(w)
		w.failureRates[r.Class].observe(p.now, 0)
		p.servedWork, r.function.served = p.servedWork+p.classes[r.Class].runTime, true
		p.learnFromAnswer(a, e)
	case Errored, WorkerOverloaded, FunctionNotLoaded:
		p.recordAlive(w)
		if e.Outcome == FunctionNotLoaded || e.InstanceStatus == LoadFailed {
			i.warmUntil, i.loadEndsAt, i.observedConcurrency = 0, 0, 0
		} else if e.Outcome == WorkerOverloaded && i.inFlight == 0 && !i.loadOrdered { // it began no load
			i.loadEndsAt = 0
		}
		switch {
		case e.InstanceStatus == LoadFailed:
			p.recordFailedLoad(1)
		case e.Outcome == Errored && r.function.served: // else the call may be to blame
			w.failureRates[r.Class].observe(p.now, 1)
		case e.Outcome == WorkerOverloaded && (!a.neededLoad || a.likelyWarm):
			p.recordSaturation(r.function)
			p.observeLoadReport(w, e.LoadReport)
			w.excessDelay.observe(p.now, max(outlierClip*p.predictedRunTime(r), w.excessDelay.value(p.now)))
		}
	case Cancelled, TimedOut: // unanswered to its end: the worker may be well and serve others only
		if !a.neededLoad && p.now >= r.deadline-2*p.cfg.Tick && e.Duration > outlierClip*a.expectedLatency {
			w.failureRates[r.Class].observe(p.now, 1)
		}
	case ConnectionReset: // its process died, or a connection broke alone: a probe tells, else the next dial
		if !w.probing && w.lastReset != p.now { // one sign, however many calls were on the connection
			w.lastReset = p.now
			w.failureRates[r.Class].observe(p.now, 1)
			p.probeWorker(w)
		}
	case Unreachable:
		p.eject(w)
	}
	if e.RequestClosed {
		p.closeRequest(r)
	}
	switch {
	case r.finished || r.outstanding > 0:
	case e.Outcome == FunctionNotLoaded && p.orderLoad(r, w, i):
	case e.Outcome == NotSent || e.Outcome == TimedOut && p.now >= r.deadline-2*p.cfg.Tick:
		p.giveUp(r, 0, DeadlineExceeded)
	default:
		p.place(r)
	}
	p.forgetIfSettled(r)
}

// learn takes a served attempt into the estimates.
func (p *Policy) learnFromAnswer(a *attempt, e AttemptEnded) {
	r, w, f := a.request, a.worker, a.request.function
	p.observeLoadReport(w, e.LoadReport)
	i, c, took, base := w.instance(f.id), &p.classes[r.Class], float64(e.Duration), p.predictedRunTime(r)
	queue, at := p.queueingDelay(w, a.inFlightBefore), max(0, w.excessDelay.value(p.now))
	loaded := e.InstanceStatus == LoadStarted || e.InstanceStatus == LoadAwaited
	if !p.cfg.InstanceStatusInAnswers && !p.cfg.MissWhenNotLoaded { // not told: a load shows in the time
		loaded = took > base+queue+p.predictedLoadTime(f)/2
	}
	if !a.neededLoad && e.InstanceStatus <= InstanceWarm { // a guessed load may be a queue
		p.observeStandingDelay(took-base, c.LatencyObjective)
	}
	i.warmUntil, i.loadEndsAt, i.observedConcurrency = p.now+p.cfg.InstanceKeepAlive, 0, max(i.observedConcurrency, i.inFlight+1)
	p.announceInstance(i, f)
	if took < float64(c.LatencyObjective) {
		f.saturation *= ratioRetention
	} else if (!a.neededLoad || a.likelyWarm) && e.InstanceStatus <= InstanceWarm {
		p.recordSaturation(f)
	}
	if loaded || a.neededLoad && p.cfg.MissWhenNotLoaded {
		if e.InstanceStatus == LoadStarted || e.InstanceStatus == InstanceUnknown && a.neededLoad && loaded {
			p.observeLoad(took-base-queue, f)
		}
		return
	}
	n, y := float64(a.inFlightBefore), clamp(took-base, -base, outlierClip*(base+queue))
	for _, s := range []*ratioEstimator{&w.queueSlope, &p.fleetQueueSlope} {
		s.denominator, s.numerator = s.denominator*ratioRetention+n, s.numerator*ratioRetention+y
	}
	w.excessDelay.observe(p.now, min(took-base, outlierClip*float64(c.LatencyObjective))-(queue-at))
	if q := p.reportedQueue(e.LoadReport); q >= 0 {
		p.delayPerQueued.denominator, p.delayPerQueued.numerator = p.delayPerQueued.denominator*ratioRetention+q, p.delayPerQueued.numerator*ratioRetention+max(y-(queue-at), 0)
	}
	net := max(took-queue, took/4)
	if r.WorkHint > 0 {
		c.actualWork += min(net, outlierClip*base) - c.actualWork/runTimeMemory
		c.hintedWork += min(float64(r.WorkHint), float64(time.Hour)) - c.hintedWork/runTimeMemory
	}
	f.answers, c.answers = min(f.answers+1, runTimeMemory), min(c.answers+1, runTimeMemory)
	f.runTime += (min(net, outlierClip*f.runTime) - f.runTime) / f.answers
	c.runTime += (min(net, outlierClip*c.runTime) - c.runTime) / c.answers
}

// jam has f keep further homes, whatever crowds the one it was at: lanes, cores, memory, a slow machine.
// Homes rank alike at all dispatchers, so what jams for one jams for all. In overload all homes jam and f
// spreads over the fleet, at a load for each new home; good answers take that back.
func (p *Policy) recordSaturation(f *function) {
	f.saturation = min(f.saturation+1, float64(p.readyWorkers))
}

// queued is how many requests wait at a worker by its report; below 0 where that doesn't tell.
func (p *Policy) reportedQueue(report []float64) float64 {
	if p.queueField >= 0 && p.queueField < len(report) {
		return clamp(report[p.queueField], -1, 1000)
	}
	return -1
}

// reported takes a report into w's constant: what waits there, at the delay that such a queue was seen to
// mean. Late and noisy as it is, it counts as one answer, and at most as what answers may take.
func (p *Policy) observeLoadReport(w *worker, report []float64) {
	if q := p.reportedQueue(report); q >= 0 {
		w.excessDelay.observe(p.now, min(q*p.delayPerQueued.numerator/max(p.delayPerQueued.denominator, 1), outlierClip*float64(p.classes[0].LatencyObjective)))
	}
}

// sawLoad takes a load's real time into the ratio to the told one.
func (p *Policy) observeLoad(took float64, f *function) {
	p.failedLoads, p.loadsPausedUntil = 0, 0
	p.loadRatio += loadRatioGain * (clamp(took/float64(f.loadTime), 0.2, 10) - p.loadRatio)
}

// tell has few others know of an instance, renewed in its keep-alive: else each loads copies of its own.
func (p *Policy) announceInstance(i *instance, f *function) {
	if p.cfg.AllowGossip && p.cfg.RouterCount > 1 && p.now-i.announcedAt > p.cfg.InstanceKeepAlive/4 {
		i.announcedAt = p.now
		p.gossipOutbox = binary.BigEndian.AppendUint64(p.gossipOutbox, uint64(i.worker.Worker))
		p.gossipOutbox = binary.BigEndian.AppendUint64(p.gossipOutbox, uint64(f.id))
	}
}

func (p *Policy) gossipReceived(news []byte) {
	for ; len(news) >= gossipEntrySize; news = news[gossipEntrySize:] {
		if w := p.workers[WorkerID(binary.BigEndian.Uint64(news))]; w != nil && w.State == Ready {
			i := w.instance(FunctionID(binary.BigEndian.Uint64(news[8:])))
			i.warmUntil = max(i.warmUntil, p.now+p.cfg.InstanceKeepAlive*9/10)
		}
	}
}

func (p *Policy) recordAlive(w *worker) {
	w.lastHeard, w.consecutiveFailures, w.ejectedUntil = p.now, 0, 0
}

// strike sets w aside after a sign of trouble, for longer each time.
func (p *Policy) eject(w *worker) {
	if p.now >= w.ejectedUntil {
		w.consecutiveFailures++
		w.ejectedUntil = p.now + min(sweepInterval<<min(w.consecutiveFailures-1, 10), maxEjectionTime)
	}
}

// order has a missing function loaded at w, with r to follow.
func (p *Policy) orderLoad(r *request, w *worker, i *instance) bool {
	if !i.loadOrdered {
		if !p.emit(LoadInstance{Worker: w.Worker, Function: r.Function, Instances: 1}) {
			return false
		}
		w.loadOrders++
		i.loadOrdered, i.loadEndsAt = true, p.now+time.Duration(p.predictedLoadTime(r.function))
	}
	i.waiting = append(i.waiting, r)
	r.triedWorkers = slices.DeleteFunc(r.triedWorkers, func(o *worker) bool { return o == w })
	return true
}

func (p *Policy) loadOrderEnded(e LoadOrderEnded) {
	w, f := p.workers[e.Worker], p.functions[e.Function]
	if w == nil || f == nil || w.instances[f.id] == nil || !w.instances[f.id].loadOrdered {
		return
	}
	i := w.instances[f.id]
	i.loadOrdered, i.loadEndsAt = false, 0
	w.loadOrders--
	switch e.Outcome {
	case Served:
		p.recordAlive(w)
		i.warmUntil = p.now + p.cfg.InstanceKeepAlive
		p.announceInstance(i, f)
		if e.Duration > f.loadTime/5 { // else it stood, or nearly
			p.observeLoad(float64(e.Duration), f)
		}
	case Errored:
		p.recordFailedLoad(1)
	case ConnectionReset, Unreachable: // a connection may break alone: a probe tells
		if e.Outcome == Unreachable || !w.probing && !p.probeWorker(w) {
			p.eject(w)
		}
	}
	parked := i.waiting
	i.waiting = nil
	for _, r := range parked { // elsewhere, unless it stands
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.triedWorkers = append(r.triedWorkers, w)
		}
		p.place(r)
	}
}

func (p *Policy) probeWorker(w *worker) bool {
	w.probing, w.lastProbe = p.emit(ProbeWorker{Worker: w.Worker}), p.now
	return w.probing
}

func (p *Policy) probeEnded(e ProbeEnded) {
	w := p.workers[e.Worker]
	if w == nil {
		return
	}
	w.probing = false
	if e.Outcome != TimedOut && e.Outcome != Unreachable && e.Outcome != ConnectionReset {
		p.recordAlive(w)
		p.observeLoadReport(w, e.LoadReport)
	} else if w.lastHeard < w.lastProbe {
		p.eject(w)
		for _, a := range slices.Clone(w.inFlight) { // what may be sent elsewhere is called off
			r := a.request
			if c := &p.classes[r.Class]; !r.finished && !r.responseStarted && !a.cancelled &&
				c.Idempotency != NotIdempotent &&
				(c.Idempotency == Idempotent || p.now < a.sentAt+c.DedupWindow-2*p.cfg.Tick) {
				a.cancelled = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
			}
		}
	}
}

// beat is the housekeeping.
func (p *Policy) housekeeping() {
	p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
	for _, w := range p.fleet {
		if w.State == Gone || w.probing {
			continue
		}
		silent := len(w.inFlight) > 0 && p.now-w.lastProbe > 4*housekeepingInterval &&
			p.now-max(w.lastHeard, w.inFlight[0].sentAt) > 2*(w.inFlight[0].expectedLatency+housekeepingInterval)
		if silent || w.consecutiveFailures > 0 && p.now >= w.ejectedUntil { // back only when it answers
			p.probeWorker(w)
		}
	}
	p.gossipOutbox = p.gossipOutbox[max(0, len(p.gossipOutbox)-16*gossipEntrySize):]
	if peers := float64(p.cfg.RouterCount - 1); len(p.gossipOutbox) > 0 && p.gossipBudget >= peers &&
		p.emit(SendGossip{To: -1, Data: slices.Clone(p.gossipOutbox)}) {
		p.gossipOutbox, p.gossipBudget = p.gossipOutbox[:0], p.gossipBudget-peers
	}
	held := p.waitingRequests
	p.waitingRequests = nil
	for _, r := range held {
		p.place(r)
	}
	if p.now-p.lastSweep < sweepInterval {
		return
	}
	p.lastSweep = p.now // what is no longer used goes
	p.servedWork -= p.servedWork * float64(sweepInterval) / float64(rateMemory)
	p.fleet = slices.DeleteFunc(p.fleet, func(w *worker) bool {
		gone := w.State == Gone && len(w.inFlight) == 0 && w.loadOrders == 0
		if gone {
			delete(p.workers, w.Worker)
		}
		return gone
	})
	for _, w := range p.fleet {
		for id, i := range w.instances {
			if i.inFlight == 0 && !i.loadOrdered && p.now > i.warmUntil && p.now > i.loadEndsAt {
				delete(w.instances, id)
			}
		}
	}
	for id, f := range p.functions {
		if p.now-f.lastRequest > 2*time.Minute {
			delete(p.functions, id)
		}
	}
}

// finish gives the final answer: a refusal where that is true, else a failure. The client is told to come
// back after what is in the way now, spread by chance: else all that were refused come back at once.
func (p *Policy) giveUp(r *request, wait float64, cause GiveUpReason) {
	a := RefuseRequest{Request: r.Request, Reason: cause}
	if most := float64(p.cfg.MaxRetryAfter); p.cfg.AllowRetryAfter && most > 0 {
		a.RetryAfter = time.Duration(clamp(wait, float64(housekeepingInterval), most) * (1 - p.rng.Float64()/2))
	}
	if !r.finished && p.emit(a) {
		p.closeRequest(r)
	}
}

// close marks the request as over; attempts still out are called off.
func (p *Policy) closeRequest(r *request) {
	if r == nil {
		return
	}
	r.finished = true
	for _, a := range r.attempts {
		if !a.ended && !a.cancelled {
			a.cancelled = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
		}
	}
	p.forgetIfSettled(r)
}

func (p *Policy) forgetIfSettled(r *request) {
	if r.finished && r.outstanding == 0 {
		delete(p.requests, r.Request)
	}
}

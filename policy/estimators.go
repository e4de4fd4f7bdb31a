package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// outlierClip bounds how far one observation may be off: it counts as at most this multiple of what was
	// expected. Higher, and one stalled answer spoils an estimate; lower, and a real rise is learned slowly.
	outlierClip = 3

	// initialRunTimeShare is the run time that is assumed until answers come, as a part of the latency
	// objective. An objective is usually a few times the run time. The first answers replace it.
	initialRunTimeShare = 0.25

	// runTimePrior is how many answers the run time of the class weighs in that of a function. Higher, and a
	// function unlike its class is learned late; lower, and its first answers decide.
	runTimePrior = 5

	// runTimeWindow is how many answers a mean run time remembers. Higher, and a change is learned late;
	// lower, and the mean follows chance.
	runTimeWindow = 30

	// ratioRetention is what a ratio keeps of its sums at each observation, and a function's saturation at
	// each answer in time: about 1/(1-0.97), 33 of them, are remembered. Higher, and a change is learned
	// late; lower, and chance decides.
	ratioRetention = 0.97

	// delayTimeConstant is the time in which a decaying mean decays by the factor e: that of the excess delay at a
	// worker, since a queue drains in about that, and that of the share that the worker leaves unserved.
	// Longer, and a worker is avoided for what is over; shorter, and what few answers tell is forgotten
	// before the next.
	delayTimeConstant = 3 * time.Second

	// fullDecayObservations is the number below which a decaying mean is remembered for longer, in proportion:
	// where few answers come, there are no newer ones to go by.
	fullDecayObservations = 6

	// maxReportedQueue bounds the queue length that a load report is believed to tell, in requests.
	maxReportedQueue = 1000

	// loadReportQueueField is the name of the queue length among Config.LoadReportFields.
	loadReportQueueField = "queue"
)

// nanoseconds is an estimated time. Estimates are made of products, quotients and means, so they are
// floating-point numbers. Clock readings, settings and what enters or leaves the policy are of type
// time.Duration.
type nanoseconds float64

func (n nanoseconds) duration() time.Duration { return time.Duration(n) }

// clamp returns v within the bounds, and the lower one for what is not a number.
func clamp[T ~float64](v, low, high T) T {
	if math.IsNaN(float64(v)) {
		return low
	}
	return min(max(v, low), high)
}

// ratioEstimator fits a line through the origin, y = slope * x, to observations that decay with each newer
// one. Its slope is the ratio of the sums of y and x.
type ratioEstimator struct {
	sumX float64
	sumY float64
}

func (e *ratioEstimator) observe(x, y float64) {
	e.sumX = e.sumX*ratioRetention + x
	e.sumY = e.sumY*ratioRetention + y
}

// predict returns the y of x. With less than one x observed in all, the slope is taken for smaller than it
// is.
func (e *ratioEstimator) predict(x float64) float64 { return x * e.sumY / max(e.sumX, 1) }

// decayingMean is the mean of recent observations, whose weights decay over delayMemory, and of one more of
// 0: it falls to 0 when no more come.
type decayingMean struct {
	sum       float64
	count     float64
	updatedAt time.Duration // of the latest observation, to which sum and count belong
}

// retention is the part of its weight that an observation has kept since m.at.
func (m *decayingMean) retention(now time.Duration) float64 {
	return math.Exp(-float64(now-m.updatedAt) / float64(delayTimeConstant) * min(1, max(1, m.count)/fullDecayObservations))
}

func (m *decayingMean) value(now time.Duration) float64 {
	retained := m.retention(now)
	return m.sum * retained / (m.count*retained + 1)
}

func (m *decayingMean) observe(now time.Duration, v float64) {
	retained := m.retention(now)
	m.sum = m.sum*retained + v
	m.count = m.count*retained + 1
	m.updatedAt = now
}

// runTimeEstimate is the mean run time of requests that found a warm instance.
type runTimeEstimate struct {
	mean  nanoseconds
	count float64 // answers that the mean rests on, at most runTimeMemory
}

func (e *runTimeEstimate) observe(runTime nanoseconds) {
	e.count = min(e.count+1, runTimeWindow)
	e.mean += (min(runTime, outlierClip*e.mean) - e.mean) / nanoseconds(e.count)
}

// queueEstimate predicts the queueing delay at one worker; see Policy.queueingDelay.
type queueEstimate struct {
	slope       ratioEstimator // nanoseconds of delay over our requests in flight
	excessDelay decayingMean   // nanoseconds that other routers' requests add
}

// excess is the delay that other routers' requests add. It is negative where our own requests explain too
// much.
func (q *queueEstimate) excess(now time.Duration) nanoseconds {
	return nanoseconds(q.excessDelay.value(now))
}

// observeExcess learns from a delay beyond the one that our requests explain.
func (q *queueEstimate) observeExcess(now time.Duration, delay nanoseconds) {
	q.excessDelay.observe(now, float64(delay))
}

// fleetEstimates is what the answers of all workers together have shown.
type fleetEstimates struct {
	queueSlope     ratioEstimator // nanoseconds of queueing delay over our requests in flight at a worker
	delayPerQueued ratioEstimator // nanoseconds of queueing delay over the queue length in load reports
	queueField     int            // index of the queue length in a load report; -1: not reported
	standingDelay  nanoseconds    // the delay that most answers of warm instances exceed
	loadRatio      float64        // real load time over the hinted one
	servedWork     nanoseconds    // run time of the requests served to us, decaying over rateMemory
}

func newFleetEstimates(loadReportFields []string) fleetEstimates {
	return fleetEstimates{loadRatio: 1, queueField: slices.Index(loadReportFields, loadReportQueueField)}
}

// reportedQueue returns the queue length in a load report, negative where it tells none.
func (e *fleetEstimates) reportedQueue(report []float64) float64 {
	if e.queueField < 0 || e.queueField >= len(report) {
		return -1
	}
	return clamp(report[e.queueField], -1, maxReportedQueue)
}

// decayServedWork lets the served work decay; it is called once in sweepInterval.
func (e *fleetEstimates) decayServedWork() {
	e.servedWork -= e.servedWork * nanoseconds(sweepInterval) / nanoseconds(rateTimeConstant)
}

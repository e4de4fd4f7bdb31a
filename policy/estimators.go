package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// outlierClip bounds the effect of one observation on an estimate. A run time counts as at most
	// outlierClip times the expected run time. The bound of a delay that is observed in an answer or a load
	// report depends on the estimate:
	//
	//   - In fleetEstimates.standingDelay and queueEstimate.excessDelay, the delay counts as at most
	//     outlierClip times the latency objective.
	//   - In the estimates of the delay per request, which are queueEstimate.slope, fleetEstimates.queueSlope
	//     and fleetEstimates.delayPerQueued, it counts as at most outlierClip times the sum of the predicted
	//     run time and the predicted queueing delay.
	//
	// With a higher value, one stalled answer distorts an estimate; with a lower value, a real increase is
	// learned slowly.
	//
	// The policy uses outlierClip for two other limits. An attempt that was cancelled or timed out can count
	// as unserved only if it took longer than outlierClip times its predicted latency. If a worker rejects a
	// request for overload, the policy assumes a delay of at least outlierClip run times at that worker.
	outlierClip = 3

	// initialRunTimeShare is the run time that is assumed until answers arrive, as a share of the latency
	// objective. An objective is usually a few times the run time. The first answers replace the assumption.
	initialRunTimeShare = 0.25

	// runTimePrior is the weight, in answers, of the class's run time in the estimate for a function. With a
	// higher value, a run time that differs from the class's is learned slowly; with a lower value, the first
	// answers of a function dominate its estimate. It is also the initial weight, in answers, of the
	// assumption that work hints are exact.
	runTimePrior = 5

	// runTimeWindow is the number of answers over which a mean run time is averaged. With a higher value, a
	// change is learned slowly; with a lower value, the mean follows random variation.
	runTimeWindow = 30

	// ratioRetention is the factor by which a ratioEstimator multiplies its sums at each observation, and by
	// which function.saturation is multiplied at each answer that meets the latency objective. The sums cover
	// about 1/(1-0.97), that is 33, observations. With a higher value, a change is learned slowly; with a
	// lower value, the ratio follows random variation.
	ratioRetention = 0.97

	// delayTimeConstant is the time constant of a decayingMean, a type that is defined below. In this time,
	// the weights of the observations fall by the factor e, if the sum of the weights is at least
	// fullDecayObservations. The mean itself falls by less, because it also includes an observation of 0
	// whose weight is constant. The time applies to the excess delay at a worker, since a queue becomes empty
	// in about that time, and to the share of attempts that the worker leaves unserved. With a longer time, a
	// worker is still avoided after its delay is over; with a shorter time, the result of a few answers
	// decays before the next answers arrive.
	delayTimeConstant = 3 * time.Second

	// fullDecayObservations is the sum of weights from which a decayingMean decays at its full rate, which
	// delayTimeConstant determines. If the weights of the observations add up to less, the rate of decay is
	// lower, in proportion to the sum of the weights; a sum below 1 counts as 1. If few answers arrive, no
	// newer answers replace the older ones soon, so the older ones must keep their weight for longer.
	fullDecayObservations = 6

	// maxReportedQueue is the largest queue length that is used from a load report, in requests. A longer
	// queue counts as one of this length.
	maxReportedQueue = 1000

	// loadReportQueueField is the name of the queue length in Config.LoadReportFields.
	loadReportQueueField = "queue"
)

// nanoseconds is an estimated time. Estimates are calculated from products, quotients and means, so they are
// floating-point numbers. Clock readings, settings, and the times in events and actions are of type
// time.Duration.
type nanoseconds float64

func (n nanoseconds) duration() time.Duration { return time.Duration(n) }

// clamp returns v limited to the range from low to high, or low if v is not a number.
func clamp[T ~float64](v, low, high T) T {
	if math.IsNaN(float64(v)) {
		return low
	}
	return min(max(v, low), high)
}

// ratioEstimator fits a line through the origin, y = slope * x, to observations whose weight decays with each
// newer one. Its slope is the ratio of the sums of y and x.
type ratioEstimator struct {
	sumX float64
	sumY float64
}

func (e *ratioEstimator) observe(x, y float64) {
	e.sumX = e.sumX*ratioRetention + x
	e.sumY = e.sumY*ratioRetention + y
}

// predict returns the y predicted for x. While sumX is below 1, the predicted slope is smaller than the
// fitted one. Since sumX decays with each observation, it can fall below 1 again after it has reached 1.
func (e *ratioEstimator) predict(x float64) float64 { return x * e.sumY / max(e.sumX, 1) }

// decayingMean is the mean of recent observations, whose weights decay over delayTimeConstant, and of one
// observation of 0, whose weight is always 1, so that the mean falls to 0 when no more observations arrive.
type decayingMean struct {
	sum       float64       // weighted sum of the observations, as of updatedAt
	weight    float64       // sum of the weights of the observations, as of updatedAt
	updatedAt time.Duration // time of the latest observation
}

// retention is the share of its weight at m.updatedAt that an observation still has at now.
func (m *decayingMean) retention(now time.Duration) float64 {
	return math.Exp(-float64(now-m.updatedAt) / float64(delayTimeConstant) *
		min(1, max(1, m.weight)/fullDecayObservations))
}

func (m *decayingMean) value(now time.Duration) float64 {
	retained := m.retention(now)
	return m.sum * retained / (m.weight*retained + 1)
}

func (m *decayingMean) observe(now time.Duration, v float64) {
	retained := m.retention(now)
	m.sum = m.sum*retained + v
	m.weight = m.weight*retained + 1
	m.updatedAt = now
}

// runTimeEstimate is the mean run time of requests that found a warm instance.
type runTimeEstimate struct {
	mean  nanoseconds
	count float64 // number of answers in the mean, at most runTimeWindow
}

func (e *runTimeEstimate) observe(runTime nanoseconds) {
	e.count = min(e.count+1, runTimeWindow)
	e.mean += (min(runTime, outlierClip*e.mean) - e.mean) / nanoseconds(e.count)
}

// queueEstimate predicts the queueing delay at one worker; see Policy.queueingDelay.
type queueEstimate struct {
	slope       ratioEstimator // nanoseconds of delay per request that this router has in flight
	excessDelay decayingMean   // nanoseconds of delay beyond the delay that slope predicts; see excess
}

// excess is the queueing delay beyond the delay that the slope predicts for this router's requests in flight.
// The delay that other routers' requests add is part of it. It is negative if the predicted delay is too
// long.
func (q *queueEstimate) excess(now time.Duration) nanoseconds {
	return nanoseconds(q.excessDelay.value(now))
}

// observeExcess records one observation of the excess delay. After an answer, the observation is the delay of
// the answer less the delay that is predicted for this router's requests in flight. After a load report, the
// observation is the whole delay that is predicted from the reported queue length; see observeLoadReport.
// After a rejection for overload, the observation is outlierClip times the predicted run time or the current
// excess, whichever is longer; see learnFromOverload.
func (q *queueEstimate) observeExcess(now time.Duration, delay nanoseconds) {
	q.excessDelay.observe(now, float64(delay))
}

// fleetEstimates holds the estimates that apply to all workers together.
type fleetEstimates struct {
	queueSlope     ratioEstimator // nanoseconds of queueing delay per request of this router in flight
	delayPerQueued ratioEstimator // nanoseconds of queueing delay per queued request in load reports
	queueField     int            // index of the queue length in a load report; -1: not reported
	standingDelay  nanoseconds    // the delay that most answers of warm instances exceed
	loadRatio      float64        // ratio of the real load time to the hint, RequestArrived.LoadTime
	servedWork     nanoseconds    // work of this router's served requests; see decayServedWork
}

func newFleetEstimates(loadReportFields []string) fleetEstimates {
	return fleetEstimates{loadRatio: 1, queueField: slices.Index(loadReportFields, loadReportQueueField)}
}

// reportedQueue returns the queue length in a load report, or a negative number if the report has no valid
// one.
func (e *fleetEstimates) reportedQueue(report []float64) float64 {
	if e.queueField < 0 || e.queueField >= len(report) {
		return -1
	}
	return clamp(report[e.queueField], -1, maxReportedQueue)
}

// decayServedWork reduces the served work by a tenth, which is sweepInterval/rateTimeConstant. It is called
// once per sweepInterval. Each served request adds the mean run time of its class to the served work.
func (e *fleetEstimates) decayServedWork() {
	e.servedWork -= e.servedWork * nanoseconds(sweepInterval) / nanoseconds(rateTimeConstant)
}

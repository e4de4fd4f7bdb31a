package policy

import (
	"slices"
	"time"
)

// slowStartMargin is the share of the calculated limit for a warming worker that this router uses. The rest
// allows for the errors of the other routers' estimates and for random variation. With a higher value, the
// requests of all routers together can make a worker that has just started fail; with a lower value, the
// worker's capacity stays unused.
const slowStartMargin = 0.7

// slowStart is the state of a worker whose process has just started and therefore has less capacity.
type slowStart struct {
	startedAt    time.Duration // start of the process; 0: unknown, and full capacity is assumed
	roundingDraw float64       // part of a request, 0 to 1, drawn at each start; see slowStartAdmits
	recentSends  []*attempt    // this router's attempts within OverloadWindow; recentWork drops older ones
}

// dropSendsBefore removes the attempts that were sent before earliest. Each attempt keeps its request in
// memory.
func (s *slowStart) dropSendsBefore(earliest time.Duration) {
	s.recentSends = slices.DeleteFunc(s.recentSends, func(a *attempt) bool { return a.sentAt < earliest })
}

// warmingCapacity is the least capacity that w has now, as a share of its full capacity. It rises linearly
// from SlowStartCapacity at the start of w's process to 1 after SlowStartDuration.
func (p *Policy) warmingCapacity(w *worker) float64 {
	startedAt := w.slowStart.startedAt
	if startedAt == 0 || p.cfg.SlowStartDuration <= 0 {
		return 1
	}
	age := clamp(float64(p.now-startedAt)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartCapacity + (1-p.cfg.SlowStartCapacity)*age
}

// slowStartAdmits reports whether w's slow start allows a request of a class to be sent to w. A warming
// worker fails if all routers together send it too much, and the routers do not see each other's requests.
// Each router takes the work that a worker serves for it on average as its own part of a worker's capacity.
// It limits the work that it sends to a warming worker in proportion to this part and to the worker's current
// capacity:
//
//	sent + next * (1 - draw)  <=  slowStartMargin * OverloadMultiple * capacity * mean
//
//	sent      work of this router's attempts at w within OverloadWindow, by the mean run times of their
//	          classes
//	next      work of this request, by the mean run time of its class
//	draw      roundingDraw, a random part of a request that is drawn once at each start of w. It rounds the
//	          limit at random, so that routers which may each send less than one request send the right
//	          number together.
//	capacity  warmingCapacity of w, a share of its full capacity
//	mean      the work that one worker serves for this router on average in OverloadWindow
//
// A router whose requests were not served recently sends nothing to a warming worker. There is no limit if
// OverloadWindow or OverloadMultiple is 0.
func (p *Policy) slowStartAdmits(w *worker, class int) bool {
	window := p.cfg.OverloadWindow
	capacity := p.warmingCapacity(w)
	if capacity >= 1 || window <= 0 || p.cfg.OverloadMultiple <= 0 {
		return true
	}
	sent := p.recentWork(w, p.now-window)
	roundedNext := p.classes[class].runTime.mean * nanoseconds(1-w.slowStart.roundingDraw)
	factor := nanoseconds(slowStartMargin * p.cfg.OverloadMultiple * capacity)
	return sent+roundedNext <= factor*p.meanWorkPerWorker(window)
}

// recentWork is the work of this router's attempts that were sent to a warming worker at earliest or later.
// It drops older attempts from the list.
func (p *Policy) recentWork(w *worker, earliest time.Duration) nanoseconds {
	w.slowStart.dropSendsBefore(earliest)
	var work nanoseconds
	for _, a := range w.slowStart.recentSends {
		work += p.classOf(a.request).runTime.mean
	}
	return work
}

// meanWorkPerWorker is the work that a ready worker serves for this router on average within window.
func (p *Policy) meanWorkPerWorker(window time.Duration) nanoseconds {
	perSecond := p.estimates.servedWork / nanoseconds(rateTimeConstant.Seconds())
	return perSecond / nanoseconds(max(p.readyWorkers, 1)) * nanoseconds(window.Seconds())
}

// recordSlowStartSend records an attempt at a worker that is warming up.
func (p *Policy) recordSlowStartSend(a *attempt) {
	if p.warmingCapacity(a.worker) < 1 {
		a.worker.slowStart.recentSends = append(a.worker.slowStart.recentSends, a)
	}
}

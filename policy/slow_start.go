package policy

import (
	"slices"
	"time"
)

// slowStartMargin is the part of a warming worker's budget that we use. The other routers' estimates and
// chance need the rest. Higher, and the sum of all routers can make a worker fall that has just started;
// lower, and it stays idle.
const slowStartMargin = 0.7

// slowStart is what is known of a worker whose process has just started, and therefore bears less.
type slowStart struct {
	startedAt    time.Duration // start of its process; 0: long ago
	roundingDraw float64       // part of a request, 0 to 1, drawn at each start; see slowStartAdmits
	recentSends  []*attempt    // our attempts within the overload window, and older ones until the next check
}

// warmingCapacity is the least share of its full capacity that w has now: it rises in a straight line from
// SlowStartCapacity at its start to 1 after SlowStartDuration.
func (p *Policy) warmingCapacity(w *worker) float64 {
	startedAt := w.slowStart.startedAt
	if startedAt == 0 || p.cfg.SlowStartDuration <= 0 {
		return 1
	}
	age := clamp(float64(p.now-startedAt)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartCapacity + (1-p.cfg.SlowStartCapacity)*age
}

// slowStartAdmits reports whether a request of a class may go to w as far as w's slow start is concerned. A
// warming worker falls if all routers together send it too much, and they do not see each other's requests.
// Each router takes the work that a worker serves it on average as its part of a worker's capacity, and sends
// a warming worker no more than this part of what it bears now:
//
//	sent + next * (1 - draw)  <=  slowStartMargin * OverloadMultiple * capacity * mean
//
//	sent      work of our attempts at w within OverloadWindow, by their classes' run times
//	next      work of this one
//	draw      a random part of a request, drawn once at each start of w: routers that may send less than one
//	          request each send the right number together
//	capacity  warmingCapacity of w, a share of its full one
//	mean      the work that one worker serves us on average in OverloadWindow
//
// A router that has served nothing lately sends a warming worker nothing.
func (p *Policy) slowStartAdmits(w *worker, class int) bool {
	window := p.cfg.OverloadWindow
	capacity := p.warmingCapacity(w)
	if capacity >= 1 || window <= 0 || p.cfg.OverloadMultiple <= 0 {
		return true
	}
	sent := p.recentWork(w, p.now-window)
	counted := p.classes[class].runTime.mean * nanoseconds(1-w.slowStart.roundingDraw)
	factor := nanoseconds(slowStartMargin * p.cfg.OverloadMultiple * capacity)
	return sent+counted <= factor*p.meanWorkPerWorker(window)
}

// recentWork is the work of our attempts at a warming worker since earliest; older ones are forgotten.
func (p *Policy) recentWork(w *worker, earliest time.Duration) nanoseconds {
	s := &w.slowStart
	s.recentSends = slices.DeleteFunc(s.recentSends, func(a *attempt) bool { return a.sentAt < earliest })
	var work nanoseconds
	for _, a := range s.recentSends {
		work += p.classOf(a.request).runTime.mean
	}
	return work
}

// meanWorkPerWorker is the work that a ready worker serves us on average within a time.
func (p *Policy) meanWorkPerWorker(window time.Duration) nanoseconds {
	perSecond := p.estimates.servedWork / nanoseconds(rateTimeConstant.Seconds())
	return perSecond / nanoseconds(max(p.readyWorkers, 1)) * nanoseconds(window.Seconds())
}

// recordSlowStartSend remembers an attempt at a worker that is warming up.
func (p *Policy) recordSlowStartSend(a *attempt) {
	if p.warmingCapacity(a.worker) < 1 {
		a.worker.slowStart.recentSends = append(a.worker.slowStart.recentSends, a)
	}
}

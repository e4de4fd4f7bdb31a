package policy

import (
	"slices"
	"time"
)

const slowStartMargin = 0.7 // part of a warming worker's budget that we use; others and chance need the rest

type slowStart struct { // of a worker whose process has just started
	warmingSince time.Duration // start of its process; 0: long ago
	rounding     float64       // part of a request, drawn at each start
	recentSends  []*attempt    // within the overload window
}

func (p *Policy) warmingCapacity(w *worker) float64 { // least share of w's full capacity now
	if w.warmingSince == 0 || p.cfg.SlowStartDuration <= 0 {
		return 1
	}
	age := clamp(float64(p.now-w.warmingSince)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartCapacity + (1-p.cfg.SlowStartCapacity)*age
}

// slowStartAdmits keeps all routers together below what a warming worker bears: each keeps to its own part.
func (p *Policy) slowStartAdmits(w *worker, class int) bool {
	window, capacity := p.cfg.OverloadWindow, p.warmingCapacity(w)
	if capacity >= 1 || window <= 0 || p.cfg.OverloadMultiple <= 0 {
		return true
	}
	w.recentSends = slices.DeleteFunc(w.recentSends, func(a *attempt) bool { return a.sentAt < p.now-window })
	sent, next := 0.0, p.classes[class].runTime.mean
	for _, a := range w.recentSends {
		sent += p.classes[a.request.Class].runTime.mean
	}
	mean := p.servedWork / rateMemory.Seconds() / float64(max(p.readyWorkers, 1)) * window.Seconds()
	return sent+next*(1-w.rounding) <= slowStartMargin*p.cfg.OverloadMultiple*capacity*mean
}

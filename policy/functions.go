package policy

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which rates are averaged: the rate of a function's requests, which decays
// by the factor e in this time, and the rate of served work, which loses a tenth at each sweep. With a longer
// time, a function that has become popular gets its replicas late; with a shorter time, a router that sees
// few requests takes random variation for a rate.
const rateTimeConstant = 10 * time.Second

// function is what this router's requests for one function have shown.
type function struct {
	id             FunctionID
	loadTime       time.Duration // usual time of a load, from the latest request's hint
	lastRequest    time.Duration // time of the latest request
	runTime        runTimeEstimate
	served         bool    // some worker has served the function
	saturation     float64 // wanted replicas beyond the first, from answers that were late or overloaded
	recentRequests float64 // decays over rateTimeConstant; excludes a request during its first placement
}

// recordFunctionRequest returns the function of a request. It decays the function's rate to now and records
// the request's time and load hint. recentRequests grows only after the request has been placed.
func (p *Policy) recordFunctionRequest(e RequestArrived) *function {
	c := &p.classes[e.Class]
	f := p.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, runTime: runTimeEstimate{mean: c.runTime.mean}}
		p.functions[e.Function] = f
	}
	f.recentRequests *= math.Exp(-float64(p.now-f.lastRequest) / float64(rateTimeConstant))
	f.lastRequest = p.now
	f.loadTime = e.LoadTime
	if unknown := f.loadTime <= 0 || f.loadTime > longestPlausibleTime; unknown {
		f.loadTime = c.settings.LatencyObjective // the time that a whole answer may take
	}
	return f
}

// recordSaturation counts an answer that was late or overloaded although the function was loaded: one more
// replica is needed. maxSaturation bounds the count.
func (f *function) recordSaturation(maxSaturation int) {
	f.saturation = min(f.saturation+1, float64(maxSaturation))
}

package policy

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which two rates are averaged: the rate of a function's requests decays by
// the factor e in this time, and the served work loses a tenth at each sweep. With a longer time, a function
// that has become popular gets its replicas late; with a shorter time, a router that sees few requests treats
// random variation as a change of the rate.
const rateTimeConstant = 10 * time.Second

// function holds what the policy has learned about one function from this router's requests.
type function struct {
	id             FunctionID
	loadTime       time.Duration // usual duration of a load, as hinted by the latest request
	lastRequest    time.Duration // time of the latest request
	runTime        runTimeEstimate
	served         bool    // a worker has served a request for the function
	saturation     float64 // replicas wanted beyond the first because of late answers and rejections
	recentRequests float64 // number of requests; decays over rateTimeConstant; see recordFunctionRequest
}

// recordFunctionRequest returns the function of a request. It decays recentRequests to now and records the
// time and the load time of the request. The request itself is added to recentRequests after it has been
// placed.
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
		f.loadTime = c.settings.LatencyObjective // assumed to be as long as a whole answer may take
	}
	return f
}

// recordSaturation counts a late answer, or a rejection for overload, of a worker that was expected to have
// the function loaded: one more replica is needed. maxSaturation bounds the count.
func (f *function) recordSaturation(maxSaturation int) {
	f.saturation = min(f.saturation+1, float64(maxSaturation))
}

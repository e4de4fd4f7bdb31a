package policy

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which rates are remembered: those of a function's requests, which decay by the
// factor e in it, and of the work that is served, which loses a tenth of itself at each sweep. Longer, and a
// function that has become popular gets its replicas late; shorter, and a router that sees few requests takes
// chance for a rate.
const rateTimeConstant = 10 * time.Second

// function is what our requests for one function have shown.
type function struct {
	id             FunctionID
	loadTime       time.Duration // usual time of a load, by the latest request's hint
	lastRequest    time.Duration // when the latest request came
	runTime        runTimeEstimate
	served         bool    // some worker has served it
	saturation     float64 // replicas wanted beyond the first, by answers that were late or overloaded
	recentRequests float64 // decaying over rateMemory; while a request is first placed, those before it
}

// recordFunctionRequest returns the function that a request is for, after its rate has decayed to now and the
// request's time and load hint are recorded. recentRequests grows once the request is placed.
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
		f.loadTime = c.settings.LatencyObjective // as long as an answer should take
	}
	return f
}

// recordSaturation counts an answer that was late or overloaded although the function was loaded: one replica
// more is wanted, up to most.
func (f *function) recordSaturation(maxSaturation int) {
	f.saturation = min(f.saturation+1, float64(maxSaturation))
}

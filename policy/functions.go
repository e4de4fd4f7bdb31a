package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
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

// evictedShareDivisor determines how much an eviction of functions frees: MaxFunctionEntries divided by
// it. That many new entries share the cost of one eviction.
const evictedShareDivisor = 4

// limitFunctions evicts functions if the limit on entries is reached: first those for which no worker has
// served a request, then those that were not requested for longest. A function that is requested again later
// starts from the estimates of its class, as after functionRetention. Functions that clients make up thus
// displace each other before any function that exists. Instances in use stay, because the requests in flight
// bound their number.
func (p *Policy) limitFunctions() {
	limit := p.cfg.MaxFunctionEntries
	if limit == 0 || p.functionEntries() < max(limit, p.evictionThreshold) {
		return
	}
	idleInstances := p.countIdleInstances()
	excess := len(p.functions) - (limit - limit/evictedShareDivisor)
	for _, count := range idleInstances {
		excess += count
	}
	for _, f := range p.evictionOrder() {
		if excess <= 0 {
			break
		}
		delete(p.functions, f.id)
		excess -= 1 + idleInstances[f.id]
	}
	p.dropInstancesOfUnknownFunctions()
	p.evictionThreshold = p.functionEntries() + limit/evictedShareDivisor
}

// functionEntries returns the number of functions and instances, including those in use.
func (p *Policy) functionEntries() int {
	entries := len(p.functions)
	for _, w := range p.fleet {
		entries += len(w.instances)
	}
	return entries
}

// countIdleInstances returns the number of instances of each function that are not in use.
func (p *Policy) countIdleInstances() map[FunctionID]int {
	counts := map[FunctionID]int{}
	for _, w := range p.fleet {
		for id, i := range w.instances {
			if i.isIdle() {
				counts[id]++
			}
		}
	}
	return counts
}

// evictionOrder returns the functions in the order in which they are evicted.
func (p *Policy) evictionOrder() []*function {
	return slices.SortedFunc(maps.Values(p.functions), func(a, b *function) int {
		if a.served != b.served {
			if b.served {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.lastRequest, b.lastRequest), cmp.Compare(a.id, b.id))
	})
}

// dropInstancesOfUnknownFunctions deletes the instances that are not in use and whose functions have been
// deleted.
func (p *Policy) dropInstancesOfUnknownFunctions() {
	for _, w := range p.fleet {
		maps.DeleteFunc(w.instances, func(id FunctionID, i *instance) bool {
			return p.functions[id] == nil && i.isIdle()
		})
	}
}

// recordSaturation counts a late answer, or a rejection for overload, of a worker that was expected to have
// the function loaded: one more replica is needed. maxSaturation bounds the count.
func (f *function) recordSaturation(maxSaturation int) {
	f.saturation = min(f.saturation+1, float64(maxSaturation))
}

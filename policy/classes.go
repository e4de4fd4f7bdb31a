package policy

// class holds the settings of a class of requests and the estimates from the answers to its requests.
type class struct {
	settings   Class
	runTime    runTimeEstimate
	actualWork nanoseconds // decaying sum of the run times of requests with a work hint
	hintedWork nanoseconds // decaying sum of the hints of these requests; initially equal to actualWork
}

// newClass returns a class whose estimates are derived from its latency objective until answers arrive. Work
// hints are assumed to be exact at first.
func newClass(settings Class) class {
	mean := initialRunTimeShare * nanoseconds(settings.LatencyObjective)
	return class{
		settings:   settings,
		runTime:    runTimeEstimate{mean: mean},
		actualWork: runTimePrior * mean,
		hintedWork: runTimePrior * mean,
	}
}

package policy

// class is a class of requests with the estimates that the answers to its requests have given.
type class struct {
	settings   Class
	runTime    runTimeEstimate
	actualWork nanoseconds // decaying sum of the run times of requests with a work hint
	hintedWork nanoseconds // decaying sum of their hints; equal to actualWork at first: hints count as exact
}

// newClass returns a class whose estimates are derived from its latency objective until answers arrive.
func newClass(settings Class) class {
	mean := initialRunTimeShare * nanoseconds(settings.LatencyObjective)
	return class{
		settings:   settings,
		runTime:    runTimeEstimate{mean: mean},
		actualWork: runTimePrior * mean,
		hintedWork: runTimePrior * mean,
	}
}

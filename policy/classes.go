package policy

// class is a class of requests, with what its requests have shown.
type class struct {
	settings   Class
	runTime    runTimeEstimate
	actualWork nanoseconds // recent run times of requests with a work hint, decaying
	hintedWork nanoseconds // their hints; equal at first, so that hints are believed
}

// newClass returns a class whose estimates are guesses until answers come.
func newClass(settings Class) class {
	mean := initialRunTimeShare * nanoseconds(settings.LatencyObjective)
	return class{
		settings:   settings,
		runTime:    runTimeEstimate{mean: mean},
		actualWork: runTimePrior * mean,
		hintedWork: runTimePrior * mean,
	}
}

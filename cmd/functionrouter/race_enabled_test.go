//go:build race

package main

// raceDetectorEnabled says that the test program, and the routers that it starts, run with the race detector, which takes
// several times the memory.
const raceDetectorEnabled = true

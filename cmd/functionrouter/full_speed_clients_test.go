package main

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Guards against answers that come after their time because other clients send at full speed: long turns of the event
// loop delayed the timers of the requests, and the time that input had waited unread was not counted.
func TestAnswersAreInTimeBesideClientsAtFullSpeed(t *testing.T) {
	load := timedLoad{
		clients: 8, seed: 1, shortestWait: 400 * time.Millisecond, longestWait: 1100 * time.Millisecond, classes: []string{"safe"},
	}
	for _, test := range []struct {
		name    string
		clients int
		frames  func(random *rand.Rand) func() []byte
	}{
		{"checks", 40, checkFrames},
		{"unknown class", 40, callFrames("no such class", time.Second)},
		{"waits of 1 ms", 60, callFrames("safe", time.Millisecond)},
	} {
		t.Run(test.name, func(t *testing.T) {
			small := func(text string) string {
				return strings.Replace(text, `"memory_mb":192,"sockets":1024`, `"memory_mb":64,"sockets":256`, 1)
			}
			h, _ := startPinnedProcess(t, small,
				listedWorker{name: "s-1", addr: startForgetfulWorker(t).addr},
				listedWorker{name: "s-2", addr: startForgetfulWorker(t).addr})
			timed := startTimedClients(t, h, load)
			time.Sleep(500 * time.Millisecond)
			others := startFullSpeedClients(t, h.listen, test.clients, load.seed, test.frames)
			time.Sleep(2 * time.Second)
			others.stop()
			time.Sleep(500 * time.Millisecond)
			result := timed.stop()
			result.expectAnswersInTime(t)
		})
	}
}

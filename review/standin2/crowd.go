package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	crowdWorkers  = 11  // the site has 11 to 14
	crowdClients  = 12  // usual clients
	crowdBad      = 300 // connections of bad clients
	crowdBadCalls = 1   // calls on each of them
	usualRun      = 110 * time.Millisecond
	usualWaitMs   = 2000
	usualPath     = "7f3a9c21e0b4d655"

	// What a runner does with calls of functions that are not loaded, after the site's figures.
	loadTime     = 1900 * time.Millisecond
	loadsAtOnce  = 6
	loadsWaiting = 12
	feeCalcRun   = 180 * time.Millisecond
)

// crowdCase: usual clients call while bad clients send hundreds of requests at once.
func crowdCase(s *scene) (broken []string, err error) {
	var members []member
	var workers []*worker
	for i := range crowdWorkers {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), "", s.record, crowdRun())
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		members = append(members, member{name: w.name, address: w.address})
	}
	d, err := startDirectory(s.record, 1, members)
	if err != nil {
		return nil, err
	}
	r, err := s.startRouter(routerConfig{name: "n1", memoryMB: 64, sockets: 256, directory: d.address, serial: 1, members: members})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	counts := map[string]int{}
	report := func(kind, problem string) {
		mu.Lock()
		defer mu.Unlock()
		counts[kind]++
		if problem != "" {
			broken = append(broken, problem)
		}
	}
	stop := time.Now().Add(9 * time.Second)
	var usual sync.WaitGroup
	for i := range crowdClients {
		usual.Go(func() { usualClient(s, r.address, i, stop, report) })
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.record.logf("bad clients: %d connections with %d calls each", crowdBad, crowdBadCalls)
		for i := range crowdBad {
			go badClient(s, r.address, i)
		}
	}
	usual.Wait()
	s.record.logf("usual calls by end: %v", counts)
	fmt.Println("usual calls by end:", counts)
	return broken, nil
}

// crowdRun returns the work of a runner. The usual function stands loaded, with lanes to spare. Any other must be loaded
// first: some loads run at a time, some wait, and beyond that the runner is full.
func crowdRun() func(run) (string, string) {
	loads := make(chan struct{}, loadsAtOnce)
	held := make(chan struct{}, loadsAtOnce+loadsWaiting)
	return func(r run) (string, string) {
		if r.path == usualPath {
			time.Sleep(usualRun)
			return "HIT", r.id
		}
		select {
		case held <- struct{}{}:
		default:
			return "SHED", ""
		}
		loads <- struct{}{}
		time.Sleep(loadTime)
		<-loads
		<-held
		time.Sleep(feeCalcRun)
		return "HIT", r.id
	}
}

// usualClient makes a call every 300 ms on its connection, which it opens again if the router has closed it. A call
// that the close of a connection met is sent again once, on a new connection.
func usualClient(s *scene, address string, number int, stop time.Time, report func(kind, problem string)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	var c *client
	time.Sleep(time.Duration(number) * 25 * time.Millisecond)
	for time.Now().Before(stop) {
		if c == nil || c.hasEnded() {
			opened, err := dialClient(address)
			if err != nil {
				s.record.logf("client %d: %v", number, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			c = opened
		}
		conn := c
		calls.Go(func() { usualCall(s, conn, address, report, true) })
		time.Sleep(300 * time.Millisecond)
	}
}

func usualCall(s *scene, c *client, address string, report func(kind, problem string), mayRepeat bool) {
	id := newID()
	fields := []field{{"class", "lookup"}, {"id", id}, {"wait", fmt.Sprint(usualWaitMs)}, {"key", usualPath}, {"props", "memory_mb:2500;lanes:4;load_ms:1000"}}
	_, results, err := c.call(fields, "call "+id)
	if err != nil {
		if mayRepeat {
			if again, err := dialClient(address); err == nil {
				defer again.close()
				usualCall(s, again, address, report, false)
			}
		}
		return
	}
	sentAt := time.Now()
	s.record.logf("sent id=%s", id)
	limit := usualWaitMs*time.Millisecond + 500*time.Millisecond + 50*time.Millisecond
	select {
	case answer := <-results:
		took := answer.at.Sub(sentAt)
		s.record.logf("answer id=%s %s after %v", id, answer.kind, took)
		if answer.kind == closed && took < 50*time.Millisecond && mayRepeat {
			if again, err := dialClient(address); err == nil {
				defer again.close()
				usualCall(s, again, address, report, false)
			}
			return
		}
		problem := ""
		// A connection that was closed without an answer is no break: the call may not have been read. Its client has
		// failed.
		if answer.kind != closed && took > limit {
			problem = fmt.Sprintf("call %s got its answer (%s) %v after it was sent; its client waits %d ms", id, answer.kind, took, usualWaitMs)
		}
		report(answer.kind, problem)
	case <-time.After(limit + 2*time.Second):
		s.record.logf("no answer id=%s", id)
		report("none", fmt.Sprintf("call %s has no answer %v after it was sent; its client waits %d ms", id, limit+2*time.Second, usualWaitMs))
	}
}

// badClient sends its calls at once. If its connection is closed, it sends the same again.
func badClient(s *scene, address string, number int) {
	for range 20 {
		c, err := dialClient(address)
		if err != nil {
			return
		}
		var ends []<-chan result
		connectedAt := time.Now()
		for range crowdBadCalls {
			fields := []field{{"class", "fee-calc"}, {"id", newID()}, {"wait", "5000"}, {"key", newID()}, {"props", "memory_mb:2500;lanes:8;load_ms:1900"}}
			if _, results, err := c.call(fields, "bad"); err == nil {
				ends = append(ends, results)
			}
		}
		turnedAway := len(ends) == 0
		for _, results := range ends {
			answer := <-results
			turnedAway = turnedAway || answer.kind == closed
			s.record.logf("bad client %d: %s after %v", number, answer.kind, answer.at.Sub(connectedAt))
		}
		c.close()
		if !turnedAway {
			return
		}
	}
}

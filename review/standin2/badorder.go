package main

import (
	"fmt"
	"sync"
	"time"
)

// badOrderCase: usual clients call, and a client of the webhook front delivers one order whose time has an offset that is out of
// range.
func badOrderCase(s *scene) (broken []string, err error) {
	var members []member
	for i := range 3 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), "", s.record, func(r run) (string, string) {
			time.Sleep(usualRun)
			return "HIT", r.id
		})
		if err != nil {
			return nil, err
		}
		members = append(members, member{name: w.name, address: w.address})
	}
	d, err := startDirectory(s.record, 1, members)
	if err != nil {
		return nil, err
	}
	webhook, front, err := writeWebhookFile(s.folder, webhookFile{})
	if err != nil {
		return nil, err
	}
	r, err := s.startRouter(routerConfig{name: "n1", memoryMB: 64, sockets: 256, directory: d.address, serial: 1, members: members, webhook: webhook})
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
	stop := time.Now().Add(4 * time.Second)
	var usual sync.WaitGroup
	for i := range 12 {
		usual.Go(func() { usualClient(s, r.address, i, stop, report) })
	}
	time.Sleep(time.Second)
	now := time.Now().UTC()
	good := newDelivery("order-1", "transfer", "7f3a9c21e0b4d655", now.Format(time.RFC3339), "transfer 1")
	if status, _, err := deliver(s.record, front, good, 5*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("a usual order was not served: status %d, error %v", status, err)
	}
	if s.trouble {
		// The same moment as now, written with an offset of 24 hours. RFC 3339 ends at 23:59.
		bad := newDelivery("order-2", "transfer", "7f3a9c21e0b4d656", now.Add(24*time.Hour).Format("2006-01-02T15:04:05")+"+24:00", "transfer 2")
		_, _, _ = deliver(s.record, front, bad, 5*time.Second)
	}
	usual.Wait()
	s.record.logf("usual calls by end: %v", counts)
	fmt.Println("usual calls by end:", counts)
	if r.wait(200 * time.Millisecond) {
		broken = append(broken, "the router has ended, though nobody ended it")
	}
	return broken, nil
}

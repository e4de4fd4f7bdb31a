package main

import (
	"fmt"
	"time"
)

const (
	goneCloseAfter = 400 * time.Millisecond  // when the client gives up and closes
	goneLoadFails  = 1000 * time.Millisecond // when the load that the call waits for fails
	goneLimit      = 150 * time.Millisecond  // 0.1 s, and the 50 ms of the rules on sockets
)

// goneCase: a client of the webhook front closes its connection while its call waits for a load at a runner. The load
// fails later, which proves that the call never ran.
func goneCase(s *scene) (broken []string, err error) {
	var members []member
	var workers []*worker
	for i := range 3 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), "", s.record, func(r run) (string, string) {
			time.Sleep(goneLoadFails)
			s.record.logf("load failed worker=%s id=%s", r.worker.name, r.id)
			return "NONE", ""
		})
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
	webhook, front, err := writeWebhookFile(s.folder, webhookFile{})
	if err != nil {
		return nil, err
	}
	_, err = s.startRouter(routerConfig{name: "n1", memoryMB: 64, sockets: 256, directory: d.address, serial: 1, members: members, webhook: webhook})
	if err != nil {
		return nil, err
	}
	h, err := dialHook(front)
	if err != nil {
		return nil, err
	}
	call := newDelivery("call-1", "lookup", "7f3a9c21e0b4d655", time.Now().UTC().Format(time.RFC3339), "lookup 1")
	if err := h.send(call); err != nil {
		return nil, err
	}
	s.record.logf("call sent")
	var closedAt time.Time
	if s.trouble {
		time.Sleep(goneCloseAfter)
		h.close()
		closedAt = time.Now()
		s.record.logf("client closed its connection")
	} else {
		status, _, err := h.answer(6 * time.Second)
		closedAt = time.Now()
		s.record.logf("response status=%d err=%v", status, err)
	}
	time.Sleep(4500 * time.Millisecond)
	attempts := 0
	for _, w := range workers {
		for _, received := range w.received() {
			attempts++
			if late := received.at.Sub(closedAt); late > goneLimit {
				broken = append(broken, fmt.Sprintf("an attempt at %s began %v after the client had closed its connection", w.name, late.Round(time.Millisecond)))
			}
		}
	}
	fmt.Println("attempts:", attempts)
	if attempts == 0 {
		return nil, fmt.Errorf("the call reached no runner")
	}
	return broken, nil
}

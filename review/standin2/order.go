package main

import (
	"fmt"
	"syscall"
	"time"
)

// orderCase: two orders are under way when the router is killed; it starts again, and the client, whose connections
// broke, delivers both again. One webhook-id is plain ASCII, the other has a letter of ISO-8859-1.
func orderCase(s *scene) (broken []string, err error) {
	const work = time.Second
	var members []member
	var workers []*worker
	for i := range 2 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), "", s.record, func(r run) (string, string) {
			time.Sleep(work) // it goes on if the connection ends
			s.record.logf("ran worker=%s body=%q", r.worker.name, r.body)
			return "HIT", "done: " + r.body
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
	r, err := s.startRouter(routerConfig{name: "n1", memoryMB: 64, sockets: 256, directory: d.address, serial: 1, members: members, webhook: webhook})
	if err != nil {
		return nil, err
	}
	at := time.Now().UTC().Format(time.RFC3339)
	orders := []delivery{
		newDelivery("order-Soborg-17", "transfer", "7f3a9c21e0b4d655", at, "transfer 17"),
		newDelivery("order-S\xf8borg-18", "transfer", "7f3a9c21e0b4d656", at, "transfer 18"),
	}
	first := make(chan string, len(orders))
	for _, order := range orders {
		go func() {
			status, _, err := deliver(s.record, front, order, 10*time.Second)
			first <- fmt.Sprint(status, " ", err)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		r.signal(syscall.SIGKILL)
		r.wait(5 * time.Second)
		time.Sleep(1600 * time.Millisecond)
		if err := r.start(s.root); err != nil {
			return nil, err
		}
	}
	for range orders {
		s.record.logf("first delivery ended: %s", <-first)
	}
	time.Sleep(time.Second)
	for _, order := range orders {
		_, _, _ = deliver(s.record, front, order, 10*time.Second)
	}
	time.Sleep(work + 500*time.Millisecond)
	runs := map[string]int{}
	for _, w := range workers {
		for _, received := range w.received() {
			runs[received.body]++
		}
	}
	s.record.logf("runs by order: %v", runs)
	fmt.Println("runs by order:", runs)
	if len(runs) != len(orders) {
		return nil, fmt.Errorf("not every order ran: %v", runs)
	}
	for body, count := range runs {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("order %q was sent to a runner %d times", body, count))
		}
	}
	return broken, nil
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	limitMemoryMB  = 48
	limitWave      = 18000 // orders in one retention
	limitWaves     = 5
	limitBody      = 200 // bytes of an order's result
	limitClients   = 48
	limitRetention = 8 * time.Second
	limitTolerance = 2 * time.Second
	limitStarts    = 3
)

// limitCase: a router takes orders for several retentions, and is then restarted as planned.
func limitCase(s *scene) (broken []string, err error) {
	var members []member
	for i := range 4 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), "", quietRecorder(), func(run) (string, string) {
			return "HIT", strings.Repeat("r", limitBody)
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
	webhook, front, err := writeWebhookFile(s.folder, webhookFile{
		tolerance: limitTolerance.String(), dedupeFor: limitRetention.String(), retention: limitRetention.String(),
	})
	if err != nil {
		return nil, err
	}
	r, err := s.startRouter(routerConfig{name: "n1", memoryMB: limitMemoryMB, sockets: 256, directory: d.address, serial: 1, members: members, webhook: webhook})
	if err != nil {
		return nil, err
	}
	for wave := range limitWaves {
		served := sendOrders(front, wave)
		ledger, err := os.Stat(filepath.Join(s.folder, "orders.ledger"))
		if err != nil {
			return nil, err
		}
		s.record.logf("wave %d: orders served=%d, ledger %d bytes, peak memory %d kB", wave, served, ledger.Size(), memoryKB(r, "VmHWM:"))
		if served < limitWave*9/10 {
			return nil, fmt.Errorf("%d orders of %d were served", served, limitWave)
		}
		time.Sleep(limitRetention + 2*time.Second)
	}
	peak := memoryKB(r, "VmHWM:")
	s.record.logf("before the restart: peak memory %d kB, limit %d kB", peak, limitMemoryMB<<10)
	if peak > limitMemoryMB<<10 {
		broken = append(broken, fmt.Sprintf("the router had %d kB of memory, its limit is %d kB", peak, limitMemoryMB<<10))
	}
	if !s.trouble {
		return broken, nil
	}
	r.signal(syscall.SIGTERM)
	r.wait(5700 * time.Millisecond)
	r.kill()
	for range limitStarts {
		if killedAt := startUnderLimit(s, r); killedAt > 0 {
			broken = append(broken, fmt.Sprintf("at its start the router had %d kB of memory, its limit is %d kB; the platform kills it", killedAt, limitMemoryMB<<10))
		}
	}
	return broken, nil
}

// startUnderLimit starts the router again as the platform does, which kills it over its memory limit. It returns the
// memory at which it was killed, in kB, or 0 if it became ready.
func startUnderLimit(s *scene, r *router) (killedAt int) {
	if err := r.launch(s.root); err != nil {
		s.record.logf("start: %v", err)
		return 0
	}
	done := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			if memory := memoryKB(r, "VmRSS:"); memory > limitMemoryMB<<10 {
				killedAt = memory
				r.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	err := r.awaitReady()
	close(done)
	<-watched
	s.record.logf("start: error %v, memory when killed %d kB", err, killedAt)
	if killedAt == 0 {
		r.kill()
	}
	return killedAt
}

// sendOrders delivers the orders of a wave over some connections and returns how many were served.
func sendOrders(front string, wave int) int64 {
	var next, served atomic.Int64
	var clients sync.WaitGroup
	for range limitClients {
		clients.Go(func() {
			var h *hook
			for n := next.Add(1); n <= limitWave; n = next.Add(1) {
				order := newDelivery(fmt.Sprintf("msg_%d_%030d", wave, n), "transfer", fmt.Sprintf("%016x", n%50), time.Now().UTC().Format(time.RFC3339), "")
				if sendOrder(&h, front, order) {
					served.Add(1)
				}
			}
			if h != nil {
				h.close()
			}
		})
	}
	clients.Wait()
	return served.Load()
}

// sendOrder delivers an order over a connection that it opens if need be, and again if the order was refused or the
// connection broke.
func sendOrder(h **hook, front string, order delivery) (served bool) {
	for range 20 {
		if *h == nil {
			opened, err := dialHook(front)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			*h = opened
		}
		err := (*h).send(order)
		status := 0
		if err == nil {
			status, _, err = (*h).answer(5 * time.Second)
		}
		if err != nil {
			(*h).close()
			*h = nil
		}
		if status == 200 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// memoryKB returns a line of the status of the router's process, in kB, or 0 if the process has ended.
func memoryKB(r *router, name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, name); found {
			kB, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kB
		}
	}
	return 0
}

// quietRecorder returns a recorder that keeps nothing.
func quietRecorder() *recorder {
	file, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		panic(err)
	}
	return &recorder{file: file, start: time.Now()}
}

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	withdrawnBad    = 70 // connections of bad clients; with the usual one below a third of the descriptors
	withdrawnCalls  = 32 // calls that may be open on one connection
	withdrawnBody   = 16000
	withdrawnRounds = 4
	withdrawnGiveUp = 50 * time.Millisecond
	withdrawnLimit  = 150 * time.Millisecond // 0.1 s, and the 50 ms of the rules on sockets
)

// withdrawnCase: a usual client sends 32 calls at once and withdraws them soon after, while bad clients send at full speed
// calls of a class that does not exist.
func withdrawnCase(s *scene) (broken []string, err error) {
	var members []member
	var workers []*worker
	for i := range 4 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), "", s.record, func(r run) (string, string) {
			time.Sleep(usualRun)
			return "HIT", r.id
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
	r, err := s.startRouter(routerConfig{name: "n1", memoryMB: 64, sockets: 256, directory: d.address, serial: 1, members: members})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	if s.trouble {
		for range withdrawnBad {
			go floodingClient(r.address, stop)
		}
		time.Sleep(time.Second)
	}
	goneAt := map[string]time.Time{}
	for range withdrawnRounds {
		if err := withdrawingClient(s, r.address, goneAt); err != nil {
			return nil, err
		}
	}
	close(stop)
	attempts := 0
	var worst time.Duration
	late := 0
	for _, w := range workers {
		for _, received := range w.received() {
			attempts++
			if after := received.at.Sub(goneAt[received.id]); after > withdrawnLimit {
				late++
				worst = max(worst, after)
				s.record.logf("late run worker=%s id=%s %v after the call was withdrawn", w.name, received.id, after)
			}
		}
	}
	fmt.Println("attempts:", attempts, "of", withdrawnRounds*withdrawnCalls, "calls")
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d attempts began more than %v after their client had withdrawn the call, the last %v after", late, withdrawnLimit, worst.Round(time.Millisecond)))
	}
	if attempts == 0 {
		return nil, fmt.Errorf("no call reached a runner")
	}
	return broken, nil
}

// withdrawingClient opens a connection, sends its calls at once, withdraws all of them soon after, and notes when.
func withdrawingClient(s *scene, address string, goneAt map[string]time.Time) error {
	c, err := dialClient(address)
	if err != nil {
		return err
	}
	defer c.close()
	time.Sleep(400 * time.Millisecond)
	var ids []string
	for range withdrawnCalls {
		id := newID()
		fields := []field{{"class", "lookup"}, {"id", id}, {"wait", "4000"}, {"key", usualPath}, {"props", "memory_mb:2500;lanes:4;load_ms:1000"}}
		if _, _, err := c.call(fields, string(make([]byte, withdrawnBody))); err != nil {
			return fmt.Errorf("the connection was closed: %w", err)
		}
		s.record.logf("sent id=%s", id)
		ids = append(ids, id)
	}
	time.Sleep(withdrawnGiveUp)
	for i, id := range ids {
		if err := c.interrupt(uint32(i + 1)); err != nil {
			return err
		}
		goneAt[id] = time.Now()
		s.record.logf("withdrawn id=%s", id)
	}
	time.Sleep(3 * time.Second)
	return nil
}

// floodingClient sends calls of a class that does not exist, and reads the answers.
func floodingClient(address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		var reading sync.WaitGroup
		reading.Go(func() {
			b := make([]byte, 1<<16)
			for {
				if _, err := conn.Read(b); err != nil {
					return
				}
			}
		})
		floodConnection(conn, stop)
		_ = conn.Close()
		reading.Wait()
	}
}

func floodConnection(conn net.Conn, stop <-chan struct{}) {
	const callsPerWrite = 200
	for seq := uint32(1); ; seq += callsPerWrite {
		select {
		case <-stop:
			return
		default:
		}
		var calls []byte
		for i := range uint32(callsPerWrite) {
			calls = append(calls, encodeMessage(1, "execute", seq+i, encodeExecute([]field{{"class", "none"}}, ""))...)
		}
		if _, err := conn.Write(calls); err != nil {
			return
		}
	}
}

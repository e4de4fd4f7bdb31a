package main

import (
	"fmt"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// overLimit: bad clients connect, send a request and half of another one, and close, again and again at full speed. The
// calls of the usual clients must get an answer.
//
// A call counts as lost only if no page excuses the router: its connection ended without a whole answer, it was not the
// first request on its connection, and its last byte had been written for more than crossing by then.
func overLimit(record *Record) int {
	const (
		sockets    = 256
		badClients = 12
		usual      = 10 // usual clients, each with one connection at a time
		calls      = 6  // calls on a connection, callEvery apart
		callEvery  = 2 * time.Millisecond
		crossing   = 60 * time.Millisecond // the pages: 50 ms
		length     = 30 * time.Second
		props      = "memory_mb:3000;lanes:4;load_ms:100"
	)
	var ran, badSent atomic.Int64
	run := func(l *Link, c Command) {
		go func() {
			time.Sleep(20 * time.Millisecond)
			ran.Add(1)
			l.Answer(c.ID, "HIT", "use=queue:0;x0:0.2;x1:0", "result of "+c.ID)
		}()
	}
	var members []Member
	for i := range 4 {
		id := fmt.Sprintf("s-%08x", i+1)
		members = append(members, Member{ID: id, Addr: StartRunner(id, "", run, nil).Addr()})
	}
	router, err := StartRouter(Settings(siteClasses, 250), 192, sockets, StartDirectory(members).Addr(), members)
	if err != nil {
		record.Log("%v", err)
		return couldNot
	}

	// Each bad client has a loopback address of its own, so that the machine does not run out of ports.
	bad := func(n int) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(n+1))}}
		for {
			conn, err := dialer.Dial("tcp", router.Listen)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			whole := executeFrame(1, nil, "class", "lookup", "id", hexID(), "wait", "3000", "key", "00000000000000a2", "props", props)
			next := executeFrame(2, nil, "class", "lookup", "id", hexID(), "wait", "3000", "key", "00000000000000a2", "props", props)
			_, _ = conn.Write(append(whole, next[:len(next)/2]...))
			_ = conn.Close()
			badSent.Add(1)
		}
	}
	if trouble() {
		for n := range badClients {
			go bad(n)
		}
	}

	var mu sync.Mutex
	counts := map[string]int{}
	excused := map[string]int{}
	var lost []time.Duration
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	visit := func(client *Client) {
		var open sync.WaitGroup
		for i := range calls {
			if client.Ended() {
				break // a client sends nothing on a connection that has ended
			}
			id := hexID()
			_, answer := client.Execute([]byte("call "+id), "class", "transfer", "id", id, "wait", "3000", "key", "00000000000000a1", "props", props)
			written := time.Now()
			open.Add(1)
			go func() {
				defer open.Done()
				a := <-answer
				took := time.Since(written)
				mu.Lock()
				defer mu.Unlock()
				counts[a.Kind]++
				switch {
				case a.Kind != "lost":
				case i == 0:
					excused["first on its connection"]++
				case took < crossing:
					excused["crossed the close"]++
				default:
					lost = append(lost, took)
					record.Log("LOST call %s (transfer), number %d on its connection: the connection ended %v after the call's last byte was written, with no answer: %v",
						id, i+1, took.Round(time.Millisecond/10), a.Err)
				}
			}()
			time.Sleep(callEvery)
		}
		open.Wait()
		client.Close()
	}
	for range usual {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				if client, err := Connect(router.Listen); err == nil {
					visit(client)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	if router.Exited() {
		record.Log("the router has ended: %s", router.LogTail())
		return couldNot
	}
	record.Log("usual calls answered or ended: %v, of which excused %v; runs %d; connections of bad clients %d", counts, excused, ran.Load(), badSent.Load())
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	if counts["served"] == 0 {
		return couldNot
	}
	if len(lost) > 0 {
		record.Log("lost without an excuse: %d calls; from the last byte to the end of the connection: median %v, longest %v",
			len(lost), lost[len(lost)/2].Round(time.Millisecond), lost[len(lost)-1].Round(time.Millisecond))
		return broken
	}
	return held
}

package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// unknownKeys and longWaits are no cases; see REPORT.md.
func unknownKeys(record *Record) int { return badFlood(record, hexID, "3000") }

// longWaits: the same with one function in all requests and a wait of ten minutes, a figure that is out of range.
func longWaits(record *Record) int {
	return badFlood(record, func() string { return "00000000000000ff" }, "600000")
}

// badFlood: bad clients send hundreds of requests at once, again and again, with ids that no runner knows: each names
// another function, and the runners answer 'error'. The router must not be killed for memory.
func badFlood(record *Record, badKey func() string, badWait string) int {
	const (
		memoryMB = 64
		clients  = 16
		burst    = 64
		pause    = 10 * time.Millisecond
		length   = 100 * time.Second
		props    = "memory_mb:3000;lanes:4;load_ms:1000"
		key      = "00000000000000a1"
	)
	var ran, errors atomic.Int64
	run := func(l *Link, c Command) {
		if c.Field("path") != key {
			errors.Add(1)
			l.Answer(c.ID, "FAULT", "use=queue:0;x0:0.2;x1:0", "")
			return
		}
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
	router, err := StartRouter(Settings(siteClasses, 250), memoryMB, 1024, StartDirectory(members).Addr(), members)
	if err != nil {
		record.Log("%v", err)
		return couldNot
	}
	var usualSent, badSent atomic.Int64
	answers := make(chan string, 1<<16)
	usual := func() {
		client, err := Connect(router.Listen)
		must(err)
		for {
			id := hexID()
			_, answer := client.Execute([]byte("call "+id), "class", "lookup", "id", id, "wait", "3000", "key", key, "props", props)
			usualSent.Add(1)
			go func() { answers <- (<-answer).Kind }()
			time.Sleep(25 * time.Millisecond)
		}
	}
	bad := func() {
		conn, err := net.Dial("tcp", router.Listen)
		must(err)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for seq := uint32(1); ; time.Sleep(pause) {
			var out []byte
			for range burst {
				out = append(out, executeFrame(seq, nil, "class", "transfer", "id", hexID(), "wait", badWait, "key", badKey(), "props", props)...)
				seq++
			}
			if _, err := conn.Write(out); err != nil {
				return
			}
			badSent.Add(burst)
		}
	}
	go usual()
	if trouble() {
		for range clients {
			go bad()
		}
	}
	counts := map[string]int{}
	report := func(memory float64) {
		record.Log("router takes %.0f of its %d MB; usual calls sent %d, answered %v; bad calls sent %d; runs %d, errors %d",
			memory, memoryMB, usualSent.Load(), counts, badSent.Load(), ran.Load(), errors.Load())
	}
	lastReport := time.Now()
	for start := time.Now(); time.Since(start) < length; time.Sleep(20 * time.Millisecond) {
		for len(answers) > 0 {
			counts[<-answers]++
		}
		memory := router.MemoryMB()
		switch {
		case router.Exited():
			report(0)
			record.Log("the router has ended by itself: %s", router.LogTail())
			return broken
		case memory > memoryMB:
			report(memory)
			router.Signal(syscall.SIGKILL)
			record.Log("it is over its limit: the platform kills it, which is a crash")
			return broken
		case time.Since(lastReport) > time.Second:
			lastReport = time.Now()
			report(memory)
		}
	}
	if counts["served"] == 0 {
		return couldNot
	}
	return held
}

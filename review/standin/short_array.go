package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shortArray: some good answers of runners arrive spoilt: the length of the array does not fit, it says 2 or 3 where
// four elements follow. No client may get 'served' with a body that no runner made for it.
func shortArray(record *Record) int {
	const (
		runners     = 4
		calls       = 2000
		spoiltEvery = 20
	)
	var made sync.Map // id -> body that a runner made for it
	var answers, spoilt atomic.Int64
	run := func(runner string) func(l *Link, c Command) {
		return func(l *Link, c Command) {
			go func() {
				time.Sleep(20 * time.Millisecond)
				body := "result of " + c.ID + " by " + runner
				made.Store(c.ID, body)
				raw := array(c.ID, "HIT", "use=queue:0;x0:0.2;x1:0", body)
				if n := answers.Add(1); trouble() && n%spoiltEvery == 0 {
					length := 2 + spoilt.Add(1)%2
					raw = strings.Replace(raw, "*4", fmt.Sprintf("*%d", length), 1)
					record.Log("runner %s ran %s and its answer arrives spoilt: the array says %d elements", runner, c.ID, length)
				}
				l.Send(raw)
			}()
		}
	}
	var members []Member
	for i := range runners {
		id := fmt.Sprintf("s-%08x", i+1)
		members = append(members, Member{ID: id, Addr: StartRunner(id, "", run(id), nil).Addr()})
	}
	router, err := StartRouter(Settings(siteClasses, 250), 192, 1024, StartDirectory(members).Addr(), members)
	if err != nil {
		record.Log("%v", err)
		return couldNot
	}
	client, err := Connect(router.Listen)
	must(err)
	counts := map[string]int{}
	wrong := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range calls {
		class := siteClasses[i%len(siteClasses)].Name
		id := hexID()
		key := fmt.Sprintf("%016x", 0xa0+i%5)
		_, ch := client.Execute([]byte("call "+id), "class", class, "id", id, "wait", "3000", "key", key, "props", "memory_mb:3000;lanes:4;load_ms:1000")
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := <-ch
			body, ran := made.Load(id)
			mu.Lock()
			defer mu.Unlock()
			counts[a.Kind]++
			if a.Kind == "served" && (!ran || body.(string) != string(a.Body)) {
				wrong++
				record.Log("client of %s (%s) was answered served, good=%v, body %q; the runner's body was %q", id, class, a.Good, a.Body, body)
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	record.Log("%d calls sent, %d runs, %d answers spoilt; answered: %v; served with a body that no runner made: %d",
		calls, answers.Load(), spoilt.Load(), counts, wrong)
	if counts["served"] < calls/2 {
		return couldNot
	}
	if wrong > 0 {
		return broken
	}
	return held
}

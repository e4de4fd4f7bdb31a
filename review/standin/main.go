// Command review-standin plays the cases of review/: it starts the router as the platform does, and stands in for the
// clients, the runners and the directory. Its argument is the name of the case. It writes record.txt to the present
// folder and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*Record) int{
	"short-array":  shortArray,
	"withdrawn":    withdrawn,
	"over-limit":   overLimit,
	"unknown-keys": unknownKeys,
	"long-waits":   longWaits,
}

func main() {
	play := cases[os.Args[1]]
	f, err := os.Create("record.txt")
	must(err)
	record := &Record{f: f}
	finish := func(code int, why string) {
		cleanUp()
		record.Log("exit %d: %s", code, why)
		fmt.Printf("exit %d: %s\n", code, why)
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		finish(couldNot, "ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { finish(couldNot, "not done after 115 s") })
	defer func() {
		if p := recover(); p != nil {
			finish(couldNot, fmt.Sprint(p))
		}
	}()
	code := play(record)
	finish(code, map[int]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case couldn't run"}[code])
}

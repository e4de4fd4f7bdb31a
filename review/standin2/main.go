// Command standin2 runs the cases of the second review: it starts the router with the command of the deploy file, plays
// its peers, and judges what they see.
//
//	standin2 CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scene is what a case has at hand.
type scene struct {
	root    string
	folder  string
	record  *recorder
	trouble bool
	routers []*router
}

// cases are the cases by name. A case returns what broke the rule, or nothing.
var cases = map[string]func(*scene) (broken []string, err error){
	"crowd":     crowdCase,
	"order":     orderCase,
	"limit":     limitCase,
	"withdrawn": withdrawnCase,
	"badorder":  badOrderCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*scene) ([]string, error), root, recordPath string) (status int) {
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &scene{root: root, folder: folder, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-interrupted
		s.end()
		os.Exit(2)
	}()
	time.AfterFunc(110*time.Second, func() {
		record.logf("the case could not run: it takes too long")
		s.end()
		os.Exit(2)
	})
	defer s.end()
	broken, err := run(s)
	if err != nil {
		record.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	for _, line := range broken {
		record.logf("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return 1
	}
	record.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}

// end ends the processes and removes the temporary folder, unless KEEP is set.
func (s *scene) end() {
	startLock.Lock()
	stopping = true
	startLock.Unlock()
	for _, r := range s.routers {
		r.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// startRouter starts a router that end ends.
func (s *scene) startRouter(c routerConfig) (*router, error) {
	r, err := newRouter(s.record, s.folder, c)
	if err != nil {
		return nil, err
	}
	s.routers = append(s.routers, r)
	return r, r.start(s.root)
}

// Command functionrouter is the function router: the decision module of package policy on real sockets.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"functionrouter/internal/backend"
	"functionrouter/internal/discovery"
	"functionrouter/internal/eventloop"
	"functionrouter/internal/frontend/thrift"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

const (
	// lingerFor is how long after SIGTERM new requests are still to be expected: connections come
	// for 0.4 s, requests on open ones for 0.2 s more; what came within 0.7 s must be answered.
	lingerFor = 750 * time.Millisecond

	probeTimeout  = 250 * time.Millisecond
	countersEvery = 5 * time.Second // between lines of counters in the log
	procs         = 4               // so that a poller asleep in the kernel does not hold up the loop
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	c, err := readConfig(os.Getenv)
	if err == nil {
		err = serve(c, func() (*config, error) { return readConfig(os.Getenv) })
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "functionrouter: %v\n", err)
		os.Exit(1)
	}
}

// serve runs the function router until a signal ends it. On SIGHUP it takes over what reread returns.
func serve(c *config, reread func() (*config, error)) error {
	// Two channels, so that SIGHUPs in a row can't crowd out a SIGTERM. One that comes while a file is
	// being read has it read once more; further ones add nothing.
	signals, hangups := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(signals)
	defer signal.Stop(hangups)
	runtime.GOMAXPROCS(procs)
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
	module, err := policy.New(c.module, c.seed)
	if err != nil {
		return err
	}
	var classes, tenants []string
	for _, k := range c.network.Classes {
		classes = append(classes, k.Name)
	}
	for _, a := range c.network.Accounts {
		tenants = append(tenants, a.Name)
	}
	lp := eventloop.New(eventloop.Config{MaxAcceptedConnections: c.clientConns(), MaxFileDescriptors: c.Limits.Sockets,
		MaxQueuedBytes: c.share(8 << 20), MaxUnreadBytes: c.share(32 << 20)})
	core := router.New(module, router.Limits{MaxOpenRequests: c.maxOpen(), MaxBodyBytes: c.share(24 << 20), RetryAfter: c.turnedAway(),
		MaxAttempts: c.module.MaxAttempts, LoadOrderTimeout: c.module.LoadOrderTimeout, ProbeTimeout: probeTimeout})
	pool := backend.New(backend.Config{Classes: classes, LoadReportFields: c.module.LoadReportFields,
		DialTimeout: millis(c.network.Limits.DialTimeoutMs), IdleTimeout: millis(c.network.Limits.KeepaliveMs),
		MaxStreamsPerConnection: c.network.Limits.StreamsPerConn, MaxConnections: c.workerConns(), AllowCancel: c.module.AllowCancel,
		Dial: func(addr string, timeout time.Duration, h eventloop.DialHandler) backend.Transport {
			return lp.Dial(addr, timeout, h)
		}}, core)
	core.SetWorkerPool(pool)
	names := discovery.New(c.Names,
		func(addr string, h eventloop.DialHandler) discovery.Transport { return lp.DialUDP(addr, h) },
		func(list []discovery.Endpoint) { follow(lp, core, pool, c.network.FailureDomains, list) })
	if err := names.LoadInitial(c.Known); err != nil {
		return err
	}
	hooks, err := newHooks(c, lp, core)
	if err != nil {
		return err
	}
	stopping := time.Duration(0)
	// Good once there is a worker to send to, and no longer once we stop.
	front := thrift.New(core, classes, tenants, lp.Now, func() bool { return names.EndpointCount() > 0 && stopping == 0 })
	lp.Listen(c.Listen, front.Accept)
	if err := lp.Start(); err != nil {
		return err
	}
	log.Printf("event=started name=%s listen=%s", c.Name, c.Listen)

	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-hangups: // the file is read and checked here, so that calls go on meanwhile
				fresh, err := reread()
				lp.Post(func() { reload(lp, names, c, fresh, err) })
			case <-ended:
				return
			}
		}
	}()
	go func() {
		for {
			var s os.Signal
			select {
			case s = <-signals:
			case <-ended:
				return
			}
			lp.Post(func() {
				printCounters(&core.Counters, names, hooks)
				if s != syscall.SIGUSR1 && stopping == 0 {
					stopping = lp.Now()
					log.Printf("event=stopping signal=%q", s)
				}
			})
		}
	}()
	swept, looked, told := time.Duration(0), time.Duration(0), lp.Now()
	lp.Run(func(now time.Duration) {
		core.SetNow(now)
		pool.SetNow(now)
	}, func(now time.Duration) time.Duration {
		next := min(core.Process(now), names.Poll(now), hooks.turn(now))
		if now-looked >= backend.SweepInterval {
			looked = now
			pool.Sweep(now)
		}
		if now-swept >= time.Second {
			swept = now
			hooks.sweep(now)
		}
		if now-told >= countersEvery {
			told = now
			printCounters(&core.Counters, names, hooks)
		}
		if stopping > 0 {
			since := now - stopping
			core.Draining = since >= lingerFor
			idle := lp.UnreadBytes() == 0 && !lp.HasPartialMessages() && hooks.open() == 0
			done := core.OpenRequests() == 0 && (idle || since >= c.flushFor())
			if since >= lingerFor && done {
				lp.Stop()
			}
			next = min(next, now+10*time.Millisecond)
		}
		return next
	})
	hooks.close()
	printCounters(&core.Counters, names, hooks)
	log.Printf("event=stopped")
	return nil
}

// reload takes over what can change while the program runs: the directory's address. A file that can't
// be used changes nothing.
func reload(lp *eventloop.Loop, names *discovery.Client, c, fresh *config, err error) {
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		return
	}
	log.Printf("event=reloaded names=%s", fresh.Names)
	names.Migrate(lp.Now(), fresh.Names)
	if changed := c.needsRestart(fresh); len(changed) > 0 {
		log.Printf("event=restart_needed settings=%q", changed)
	}
}

// follow hands a list of workers to those who need it, to the module first: what the pool gives back on its
// account is placed anew by this list, not by the one before.
func follow(lp *eventloop.Loop, core *router.Router, pool *backend.Pool, zones []string, list []discovery.Endpoint) {
	l := policy.EndpointUpdate{Kind: policy.FullUpdate}
	present := map[policy.WorkerID]bool{}
	for _, w := range list {
		e := policy.Endpoint{Worker: w.ID(), State: w.State, Weight: w.Weight, Cell: w.Cell,
			Zone: max(slices.Index(zones, w.Zone), 0)}
		if w.Started > 0 {
			e.StartedAt = max(lp.TimeFromUnix(time.UnixMilli(w.Started)), 1)
		}
		l.Endpoints = append(l.Endpoints, e)
		log.Printf("event=worker name=%s addr=%s state=%d weight=%g started=%d", w.Name, w.Addr, w.State, w.Weight, w.Started)
	}
	core.UpdateEndpoints(l)
	for i, e := range l.Endpoints {
		present[e.Worker] = true
		pool.UpdateEndpoint(e.Worker, list[i].Addr, e.State, e.StartedAt)
	}
	pool.RetainEndpoints(present)
}

// printCounters logs what was taken, sent and answered.
func printCounters(n *router.Counters, d *discovery.Client, h *hooks) {
	for f, name := range []string{"thrift", "webhook"} {
		log.Printf("event=counters front=%s taken=%d served=%d refused=%d failed=%d left=%d turned_away=%d",
			name, n.Received[f], n.Served[f], n.Refused[f], n.Failed[f], n.ClientCancelled[f], n.Rejected[f])
	}
	log.Printf("event=counters sent=%d%s overdue=%d", n.AttemptsSent, byOutcome(n.AttemptOutcomes), n.Overdue)
	log.Printf("event=counters out_of_time=%d no_worker=%d too_late=%d overloaded=%d", n.GivenUp[policy.DeadlineExceeded],
		n.GivenUp[policy.NoWorkerAvailable], n.GivenUp[policy.PredictedTooLate], n.GivenUp[policy.LoadShed])
	log.Printf("event=counters orders=%d%s unloads=%d", n.LoadOrders, byOutcome(n.LoadOrderOutcomes), n.Unloads)
	log.Printf("event=counters probes=%d%s", n.Probes, byOutcome(n.ProbeOutcomes))
	h.print()
	log.Printf("event=counters directory_asked=%d directory_heard=%d", d.QueriesSent, d.AnswersReceived)
}

// byOutcome lists the outcomes that occurred.
func byOutcome(counts [policy.FunctionNotLoaded + 1]uint64) string {
	text := ""
	for o, name := range []string{"served", "errored", "full", "timed_out", "unreachable", "reset", "cancelled", "moot", "missed"} {
		if counts[o] > 0 {
			text += fmt.Sprintf(" %s=%d", name, counts[o])
		}
	}
	return text
}

package policy

import (
	"testing"
	"time"
)

// gossipCost passes requests, spread evenly over 20 s, to the policy of one of several routers. It returns the number
// of health checks per request, and the number of gossip messages per request that the other routers receive.
func gossipCost(t *testing.T, routers, requests int) (healthChecks, deliveries float64) {
	t.Helper()
	cfg := testConfig()
	cfg.RouterCount, cfg.AllowGossip = routers, true
	h := newHarness(t, cfg, 40)
	gap := 20 * time.Second / time.Duration(requests)
	for n := range requests {
		h.serve(FunctionID(n%30), 10*ms, InstanceWarm)
		for left := gap - 10*ms; left > 0; left -= housekeepingInterval {
			h.now += min(left, housekeepingInterval)
			for _, a := range h.housekeep() {
				switch a := a.(type) {
				case CheckHealth:
					healthChecks++
					h.handle(HealthCheckEnded{Worker: a.Worker})
				case SendGossip:
					deliveries += float64(routers - 1)
				}
			}
		}
	}
	return healthChecks / float64(requests), deliveries / float64(requests)
}

// Guards against a cost of gossip per request that grows with the number of routers, and against health checks of
// workers that answer their requests.
func TestGossipAndHealthChecksPerRequestDoNotGrowWithRouters(t *testing.T) {
	healthChecksWith3, deliveriesWith3 := gossipCost(t, 3, 1000)
	healthChecksWith100, deliveriesWith100 := gossipCost(t, 100, 250)
	if healthChecksWith3 > 0 || healthChecksWith100 > 0 {
		t.Errorf("health checks per request: %.2f with 3 routers, %.2f with 100, want none",
			healthChecksWith3, healthChecksWith100)
	}
	if deliveriesWith3 == 0 || deliveriesWith3 > 2 || deliveriesWith100 == 0 || deliveriesWith100 > 2 {
		t.Errorf("gossip messages received per request: %.2f with 3 routers, %.2f with 100, want more than 0 and at most 2",
			deliveriesWith3, deliveriesWith100)
	}
}

// Guards against needless loads after a router's restart: the router has only the endpoint list, and must use the
// instances that other routers announce.
func TestInstancesLearnedByGossipAreUsed(t *testing.T) {
	cfg := testConfig()
	cfg.AllowGossip, cfg.RouterCount = true, 2
	sender, receiver := newHarness(t, cfg, 8), newHarness(t, cfg, 8)
	for f := FunctionID(1); f <= 12; f++ {
		w := sender.serve(f, 1100*ms, LoadStarted)
		sender.now += housekeepingInterval
		message, ok := firstAction[SendGossip](sender.housekeep())
		if !ok || len(message.Data) > 256 {
			t.Fatalf("gossip sent: %v, with %d bytes, want a message of at most 256 bytes", ok, len(message.Data))
		}
		if message.Data[7] != byte(w) || message.Data[15] != byte(f) {
			t.Fatalf("gossip is %x, want function %d at worker %d", message.Data, f, w)
		}
		w = w%8 + 1 // not the worker that the receiver would choose without gossip
		message.Data[7] = byte(w)
		receiver.handle(GossipReceived{Data: message.Data})
		if got := receiver.serve(f, 80*ms, InstanceWarm); got != w {
			t.Errorf("function %d is loaded at worker %d, but the request was sent to worker %d", f, w, got)
		}
	}
	// An incomplete last entry must not cause a panic.
	receiver.handle(GossipReceived{Data: []byte("short and odd, not a whole number of entries")})
}

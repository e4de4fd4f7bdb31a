package policy

import (
	"testing"
	"time"
)

// gossipCost plays requests spread over 20 s to one of a number of routers, and returns the health checks and the
// delivered gossip messages that each cost.
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

// Gossip must cost the same per request whether few or many routers carry the traffic, and no health is checked
// without cause.
func TestGossipAndHealthChecksPerRequestDoNotGrowWithRouters(t *testing.T) {
	healthChecksOfFew, deliveriesOfFew := gossipCost(t, 3, 1000)
	healthChecksOfMany, deliveriesOfMany := gossipCost(t, 100, 250)
	if healthChecksOfFew > 0 || healthChecksOfMany > 0 {
		t.Errorf("health checks per request: %.2f with 3 routers, %.2f with 100", healthChecksOfFew, healthChecksOfMany)
	}
	if deliveriesOfFew == 0 || deliveriesOfFew > 2 || deliveriesOfMany == 0 || deliveriesOfMany > 2 {
		t.Errorf("messages delivered per request: %.2f with 3 routers, %.2f with 100", deliveriesOfFew, deliveriesOfMany)
	}
}

// A router that restarts knows only the endpoint list: the others tell it where instances are loaded.
func TestInstancesLearnedByGossipAreUsed(t *testing.T) {
	cfg := testConfig()
	cfg.AllowGossip, cfg.RouterCount = true, 2
	sender, receiver := newHarness(t, cfg, 8), newHarness(t, cfg, 8)
	for f := FunctionID(1); f <= 12; f++ {
		w := sender.serve(f, 1100*ms, LoadStarted)
		sender.now += housekeepingInterval
		message, ok := firstAction[SendGossip](sender.housekeep())
		if !ok || len(message.Data) > 256 {
			t.Fatalf("gossip sent: %v, of %d bytes", ok, len(message.Data))
		}
		if message.Data[7] != byte(w) || message.Data[15] != byte(f) {
			t.Fatalf("gossip is %x, of function %d at worker %d", message.Data, f, w)
		}
		w = w%8 + 1 // not where the receiver would look by itself
		message.Data[7] = byte(w)
		receiver.handle(GossipReceived{Data: message.Data})
		if got := receiver.serve(f, 80*ms, InstanceWarm); got != w {
			t.Errorf("function %d is loaded at %d, sent to %d", f, w, got)
		}
	}
	receiver.handle(GossipReceived{Data: []byte("short and odd, not a whole number of entries")})
}

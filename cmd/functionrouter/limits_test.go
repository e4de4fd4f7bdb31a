package main

import (
	"fmt"
	"testing"
	"time"
)

// Checks that what the router may hold for peers stays within the memory and the file descriptors, also with small
// limits.
func TestLimitsScaleWithResources(t *testing.T) {
	for _, memory := range []int{32, 48, 64, 192, 2048} {
		for _, sockets := range []int{64, 256, 1024} {
			t.Run(fmt.Sprintf("%d MB, %d descriptors", memory, sockets), func(t *testing.T) {
				var c config
				c.Limits = processLimits{MemoryMB: memory, Sockets: sockets}
				c.transport.Limits.MaxOpenRequests = 20000
				checkMemoryBounds(t, &c)
				checkDescriptorBounds(t, &c)
			})
		}
	}
}

// checkMemoryBounds checks that what is held for peers takes at most half of the memory, if an open request takes 2 KiB
// besides its body, and an entry for a function 256 bytes. It also checks that the limits leave room for a minimum of
// bodies and requests.
func checkMemoryBounds(t *testing.T, c *config) {
	t.Helper()
	bodies := c.scaleToMemory(maxBodyBytes)
	open := c.maxOpenRequests()
	held := bodies + c.scaleToMemory(maxUnreadBytes) +
		c.scaleToMemory(maxWebhookResultBytes) + open*2048 + c.maxFunctionEntries()*256
	if held > c.Limits.MemoryMB<<20/2 || bodies < 1<<20 || open < 1000 {
		t.Errorf("limits: %d bytes held for peers, want at most %d; %d of them bodies, want at least %d; "+
			"%d open requests, want at least 1000", held, c.Limits.MemoryMB<<20/2, bodies, 1<<20, open)
	}
}

// checkDescriptorBounds checks the shares of the file descriptors for clients, for workers and for other uses.
func checkDescriptorBounds(t *testing.T, c *config) {
	t.Helper()
	clients := c.maxClientConnections()
	workers := c.maxWorkerConnections()
	if remaining := c.Limits.Sockets - clients - workers; clients*3 > c.Limits.Sockets || remaining < 16 || workers < 20 {
		t.Errorf("%d descriptors for clients, want at most %d; %d for workers, want at least 20; "+
			"%d for other uses, want at least 16", clients, c.Limits.Sockets/3, workers, remaining)
	}
}

func TestRefusalRetryAfter(t *testing.T) {
	var c config
	if got := c.refusalRetryAfter(); got != 0 {
		t.Errorf("Retry-After %v, want 0 because the settings allow none", got)
	}
	c.policy.AllowRetryAfter = true
	c.policy.MaxRetryAfter = 300 * time.Millisecond
	if got := c.refusalRetryAfter(); got != c.policy.MaxRetryAfter {
		t.Errorf("Retry-After %v, want %v", got, c.policy.MaxRetryAfter)
	}
}

// Checks that a shutdown ends before the platform kills the process. The time until the kill depends on the deadlines
// of the classes.
func TestFlushTimeoutEndsBeforeKill(t *testing.T) {
	for _, test := range []struct {
		deadlineMs string
		want       time.Duration
	}{
		{"3000", 3500 * time.Millisecond},
		{"9000", 3500 * time.Millisecond},
		{"1800", 2300 * time.Millisecond},
	} {
		t.Run(test.deadlineMs+" ms", func(t *testing.T) {
			c, err := readModifiedConfig(t, `"deadlineMs":3000`, `"deadlineMs":`+test.deadlineMs)
			if err != nil {
				t.Fatal(err)
			}
			if got := c.flushTimeout(); got != test.want {
				t.Errorf("flush timeout %v, want %v", got, test.want)
			}
		})
	}
}

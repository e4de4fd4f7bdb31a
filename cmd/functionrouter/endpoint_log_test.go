package main

import (
	"strings"
	"testing"

	"functionrouter/internal/discovery"
	"functionrouter/policy"
)

// Checks that the endpoint log reports the endpoints that a list changes or removes, and not an endpoint that is
// unchanged.
func TestEndpointLogLogsOnlyChanges(t *testing.T) {
	captured := newLogCapture()
	captured.install(t)
	first := discovery.Endpoint{Name: "s-1", Address: "127.0.0.1:1", State: policy.Ready}
	second := discovery.Endpoint{Name: "s-2", Address: "127.0.0.1:2", State: policy.Ready}
	draining := second
	draining.State = policy.Draining
	var l endpointLog
	for _, step := range []struct {
		list    []discovery.Endpoint
		updated string // worker of an expected "endpoint updated" line; empty: not checked
		removed string // worker of an expected "endpoint removed" line; empty: not checked
		absent  string // text that no line may contain; empty: not checked
	}{
		{list: []discovery.Endpoint{first, second}, updated: "worker=s-2"},
		{list: []discovery.Endpoint{first, second}, absent: "worker=s-1"},
		{list: []discovery.Endpoint{first, draining}, updated: "worker=s-2", absent: "worker=s-1"},
		{list: []discovery.Endpoint{draining}, removed: "worker=s-1", absent: "worker=s-2"},
	} {
		offset := captured.size()
		l.record(step.list)
		text := captured.text.String()[offset:]
		if !strings.Contains(text, `msg="endpoint list applied"`) ||
			step.updated != "" && !strings.Contains(text, `msg="endpoint updated" `+step.updated) ||
			step.removed != "" && !strings.Contains(text, `msg="endpoint removed" `+step.removed) ||
			step.absent != "" && strings.Contains(text, step.absent) {
			t.Errorf("the list %v logged %q, want \"endpoint list applied\", an update of %q, a removal of %q and "+
				"no %q (empty: not checked)", step.list, text, step.updated, step.removed, step.absent)
		}
	}
}

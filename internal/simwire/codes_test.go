package simwire

import (
	"errors"
	"testing"

	"functionrouter/policy"
)

func TestOutcomeCodes(t *testing.T) {
	for code, want := range []policy.Outcome{
		0: policy.Served,
		1: policy.Errored,
		2: policy.WorkerOverloaded,
		3: policy.TimedOut,
		4: policy.Unreachable,
		5: policy.ConnectionReset,
		6: policy.Cancelled,
		7: policy.NotSent,
		8: policy.FunctionNotLoaded,
	} {
		d := decoder{rest: []byte{byte(code)}}
		if got := d.outcome(); got != want || d.err != nil {
			t.Errorf("code %d: got %v and error %v, want %v and no error", code, got, d.err, want)
		}
	}
}

func TestWorkerStateCodes(t *testing.T) {
	for code, want := range []policy.WorkerState{
		0: policy.Gone,
		1: policy.Ready,
		2: policy.Draining,
	} {
		d := decoder{rest: []byte{byte(code)}}
		if got := d.workerState(); got != want || d.err != nil {
			t.Errorf("code %d: got %v and error %v, want %v and no error", code, got, d.err, want)
		}
	}
}

func TestEndpointUpdateKindCodes(t *testing.T) {
	for code, want := range []policy.EndpointUpdateKind{
		0: policy.IncrementalUpdate,
		1: policy.FullUpdate,
		2: policy.CachedUpdate,
		3: policy.UpdateFailed,
	} {
		d := decoder{rest: []byte{byte(code), 0, 0, 0, 41, 0, 0, 0, 0}}
		if got := d.endpointUpdate(); got.Kind != want || d.err != nil {
			t.Errorf("code %d: got %v and error %v, want %v and no error", code, got.Kind, d.err, want)
		}
	}
}

// An endpoint update that ends before its number of entries must be reported as truncated, even if the code of the
// update's kind is unknown. The decoder must therefore check the code of the kind only after it has read the number of
// entries.
func TestTruncatedEndpointUpdateOfUnknownKindIsReportedAsTruncated(t *testing.T) {
	d := decoder{rest: []byte{9, 0, 0, 0, 41}}
	if d.endpointUpdate(); !errors.Is(d.err, errTruncated) {
		t.Errorf("endpoint update without the number of entries: got error %v, want %v", d.err, errTruncated)
	}
}

package policy

import (
	"fmt"
	"testing"
)

// Log fields contain names of enumeration values, and operators search the log for these names.
func TestEnumNames(t *testing.T) {
	for want, value := range map[string]fmt.Stringer{
		"idempotent":          Idempotent,
		"idempotent_with_key": IdempotentWithKey,
		"not_idempotent":      NotIdempotent,
		"fleet":               DedupFleet,
		"cell":                DedupCell,
		"served":              Served,
		"worker_overloaded":   WorkerOverloaded,
		"timed_out":           TimedOut,
		"unreachable":         Unreachable,
		"connection_reset":    ConnectionReset,
		"cancelled":           Cancelled,
		"not_sent":            NotSent,
		"function_not_loaded": FunctionNotLoaded,
		"Outcome(9)":          FunctionNotLoaded + 1,
		"unknown":             InstanceUnknown,
		"warm":                InstanceWarm,
		"load_failed":         LoadFailed,
		"gone":                Gone,
		"ready":               Ready,
		"draining":            Draining,
		"incremental":         IncrementalUpdate,
		"failed":              UpdateFailed,
		"deadline_exceeded":   DeadlineExceeded,
		"no_worker_available": NoWorkerAvailable,
		"predicted_too_late":  PredictedTooLate,
		"load_shed":           LoadShed,
		"repeat_not_allowed":  RepeatNotAllowed,
		"UnservedReason(5)":   UnservedReason(UnservedReasonCount),
	} {
		if got := value.String(); got != want {
			t.Errorf("the name of %T(%d) is %q, want %q", value, value, got, want)
		}
	}
}

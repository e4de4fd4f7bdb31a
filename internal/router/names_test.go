package router

import (
	"fmt"
	"testing"
)

// Checks the names of the enumeration values. The names of request outcomes and causes of cancellation appear in log
// fields, those of request outcomes also in webhook notices.
func TestEnumsHaveFixedNames(t *testing.T) {
	for _, test := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Served, "served"},
		{Refused, "refused"},
		{Failed, "failed"},
		{Status(9), "Status(9)"},
		{Thrift, "thrift"},
		{Webhook, "webhook"},
		{frontendCount, "Frontend(2)"},
		{RequestServed, "served"},
		{RequestRefused, "refused"},
		{RequestFailed, "failed"},
		{RequestCancelled, "cancelled"},
		{RequestOutcome(9), "RequestOutcome(9)"},
		{ClientInterrupted, "client_interrupted"},
		{ClientDisconnected, "client_disconnected"},
		{CancelCause(9), "CancelCause(9)"},
		{policyTimer, "policy timer"},
		{attemptTimeout, "attempt timeout"},
		{controlTimeout, "control timeout"},
		{requestDeadline, "request deadline"},
		{timerKind(9), "timerKind(9)"},
		{loadCommand, "load command"},
		{healthCheck, "health check"},
		{controlKind(9), "controlKind(9)"},
	} {
		t.Run(fmt.Sprintf("%T/%s", test.value, test.want), func(t *testing.T) {
			if got := test.value.String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

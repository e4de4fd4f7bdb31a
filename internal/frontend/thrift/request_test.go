package thrift

import (
	"slices"
	"testing"
	"time"

	"functionrouter/internal/router"
)

// Guards against a request that counts against the quota of a wrong tenant. A request that names no tenant, or an
// unknown one, must not count against the first tenant in the settings.
func TestRequestsAreAssignedToTheirTenant(t *testing.T) {
	c, requests, _ := newTestConnection()
	for _, test := range []struct {
		name, tenant string
		want         int
	}{
		{"first", "north", 0},
		{"second", "south", 1},
		{"unknown", "west", router.UnknownTenant},
		{"none", "", router.UnknownTenant},
	} {
		t.Run(test.name, func(t *testing.T) {
			fields := validFields
			if test.tenant != "" {
				fields = append(slices.Clone(validFields), fieldTenant, test.tenant)
			}
			c.OnData(executeFrame(c.lastSequenceID+1, "body", fields...))
			if got := requests.submitted[len(requests.submitted)-1].Tenant; got != test.want {
				t.Errorf("got tenant %d, want %d", got, test.want)
			}
		})
	}
}

// Guards the policy's estimates against a request with a field that is malformed or a value that no worker could use.
// Such a request must get a Lost and must not be submitted.
func TestInvalidFieldsAreAnsweredWithLost(t *testing.T) {
	for _, test := range []struct {
		position int
		values   []string
	}{
		{classValue, []string{"", "nonsense", "repair-order\r\n"}},
		{idValue, []string{"", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4\n"}},
		{waitValue, []string{"", "-1", "NaN", "Inf", "1e300", "600001", "0x10p400", "0x5dcp0", "0x1p4", " 1500"}},
		{keyValue, []string{"", "7F3A9C21E0B4D655", "7f3a9c21e0b4d65g"}},
		{propertiesValue, []string{
			"memory_mb:-1", "memory_mb:NaN", "memory_mb:1e9", "lanes:1e8", "lanes:-0.1", "load_ms:1e7", "load_ms:",
			"lanes", "other:x", "load_ms:0x1p4", "lanes:2;lanes:4", "lanes:2;", ";",
		}},
	} {
		for _, value := range test.values {
			t.Run(validFields[test.position-1]+"="+value, func(t *testing.T) {
				c, requests, transport := newTestConnection()
				c.OnData(executeFrame(1, "", fieldsWith(test.position, value)...))
				if _, field := readReply(t, transport); len(requests.submitted) != 0 || field != resultLostField {
					t.Errorf("%d requests submitted, want 0; result field %d, want %d",
						len(requests.submitted), field, resultLostField)
				}
			})
		}
	}
}

// A request's deadline is earlier than the end of the client's wait by a margin in which the reply reaches the client:
// 40 ms, but at most a tenth of the wait. Guards against a margin that uses up most of a short wait: a request whose
// work takes nearly the whole wait could not be served.
func TestAnswerMarginIsSmallForShortWaits(t *testing.T) {
	for _, test := range []struct {
		wait string
		want time.Duration
	}{
		{"0", 0},
		{"20", 18 * time.Millisecond},
		{"100", 90 * time.Millisecond},
		{"400", 360 * time.Millisecond},
		{"5000", 4960 * time.Millisecond},
	} {
		t.Run(test.wait, func(t *testing.T) {
			c, requests, _ := newTestConnection()
			c.OnData(executeFrame(1, "", fieldsWith(waitValue, test.wait)...))
			if len(requests.submitted) != 1 || requests.submitted[0].Deadline-testNow != test.want {
				t.Errorf("submitted %+v, want one request with its deadline %v from now", requests.submitted, test.want)
			}
		})
	}
}

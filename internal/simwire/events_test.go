package simwire

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"functionrouter/policy"
)

const sampleWorker = policy.WorkerID(0x0a9011f22354)

// eventRecords holds a record of every event, all of simulated router 3, and the event that it must decode to.
var eventRecords = []struct {
	name   string
	digits string
	want   any
}{
	{
		"response started", "01 0003 00000007 0001 0a9011f22354 0000000000000000",
		policy.ResponseStarted{Request: 7, Attempt: 1},
	},
	{
		"attempt ended", "02 0003 5d3a91c4 0a9011f22354 0b 01 00 0002 4032800000000000 01 40000000",
		policy.AttemptEnded{
			Request:             0x5d3a91c4,
			Attempt:             2,
			Worker:              sampleWorker,
			InstanceStatus:      policy.LoadAwaited,
			FunctionConcurrency: 1,
			RequestClosed:       true,
			Duration:            18500 * time.Microsecond,
			LoadReport:          []float64{2},
		},
	},
	{"client cancelled", "03 0003 5d3a91c4", policy.ClientCancelled{Request: 0x5d3a91c4}},
	{"router killed", "04 0003", RouterKilled{}},
	{
		"health check ended", "05 0003 4014000000000000 03 0a9011f22354 00",
		policy.HealthCheckEnded{Worker: sampleWorker, Outcome: policy.TimedOut, Duration: 5 * time.Millisecond},
	},
	{
		"endpoint update", "06 0003 02 00000029 00000001 0a9011f22354 0000 01 3fc00000 0000 00 40b7d40000000000",
		policy.EndpointUpdate{
			Kind: policy.CachedUpdate,
			Endpoints: []policy.Endpoint{
				{Worker: sampleWorker, State: policy.Ready, Weight: 1.5, StartedAt: 6100 * time.Millisecond},
			},
		},
	},
	{"timer fired", "07 0003 000000000000004d", policy.TimerFired{Token: 77}},
	{"gossip received", "08 0003 0002 0003 616263", policy.GossipReceived{From: 2, Data: []byte("abc")}},
	{"router started", "09 0003 0000000000000009 00000002 7b7d", RouterStarted{Seed: 9, Settings: []byte("{}")}},
	{
		"request arrived, a repeat without a work hint",
		"0a 0003 00000007 0002 44610000 02 0000007c55d20a01 40000000 43c00000 0001 4028000000000000 406e000000000000",
		policy.RequestArrived{
			Request:     7,
			Class:       1,
			Tenant:      2,
			Function:    0x7c55d20a01,
			Concurrency: 2,
			MemoryMB:    384,
			LoadTime:    900 * time.Millisecond,
			TimeLeft:    240 * time.Millisecond,
			IsRepeat:    true,
		},
	},
	{
		"load command ended", "0b 0003 0a9011f22354 0000007c55d20a01 00 4084000000000000 01",
		policy.LoadCommandEnded{Worker: sampleWorker, Function: 0x7c55d20a01, Duration: 640 * time.Millisecond, Instances: 1},
	},
}

func TestRecordDecodesEveryEvent(t *testing.T) {
	for _, test := range eventRecords {
		t.Run(test.name, func(t *testing.T) {
			d := decoder{rest: fromHex(t, test.digits)}
			got, err := d.record()
			if err != nil || len(d.rest) > 0 {
				t.Fatalf("got error %v and %d unread bytes, want neither", err, len(d.rest))
			}
			if want := (Record{Router: 3, Event: test.want}); !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

func TestRecordErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		digits string
		want   error
	}{
		{"index of the simulated router cut short", "07 00", errTruncated},
		{"field cut short", "07 0003 0000000000004d", errTruncated},
		{"load report cut short", "05 0003 4014000000000000 03 0a9011f22354 02 00000000", errTruncated},
		{"gossip cut short", "08 0003 0002 0003 6162", errTruncated},
		{"endpoint list cut short", "06 0003 02 00000029 ffffffff 0a9011f22354", errTruncated},
		{"unknown record code", "44 0003", unknownCodeError{"record code", 0x44}},
		{"unknown outcome", "05 0003 4014000000000000 09 0a9011f22354 00", unknownCodeError{"outcome", 9}},
		{"unknown endpoint update kind", "06 0003 04 00000029 00000000", unknownCodeError{"endpoint update kind", 4}},
		{
			"unknown worker state", "06 0003 02 00000029 00000001 0a9011f22354 0000 03 3fc00000 0000 00 40b7d40000000000",
			unknownCodeError{"worker state", 3},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := decoder{rest: fromHex(t, test.digits)}
			if _, err := d.record(); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}

func TestSplitInfoByte(t *testing.T) {
	for _, test := range []struct {
		info        uint8
		status      policy.InstanceStatus
		concurrency int
	}{
		{0, policy.InstanceUnknown, 0},
		{1, policy.InstanceWarm, 0},
		{2, policy.LoadStarted, 0},
		{3, policy.LoadAwaited, 0},
		{4 + 30*8, policy.LoadFailed, 30},
		{5, policy.InstanceUnknown, 0},       // a status code that is not in instanceStatuses
		{7 + 2*8, policy.InstanceUnknown, 2}, // a status code that is not in instanceStatuses
	} {
		status, concurrency := splitInfoByte(test.info)
		if status != test.status || concurrency != test.concurrency {
			t.Errorf("info byte %#x: got status %v and concurrency %d, want %v and %d",
				test.info, status, concurrency, test.status, test.concurrency)
		}
	}
}

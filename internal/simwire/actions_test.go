package simwire

import (
	"bytes"
	"testing"
	"time"

	"functionrouter/policy"
)

func TestReplyEncodesTheSampleFrame(t *testing.T) {
	var reply Reply
	reply.Add(3, []policy.Action{
		policy.SendAttempt{Request: 0x5d3a91c4, Worker: 0x0a124a07232b, Timeout: 80 * time.Millisecond},
		policy.SetTimer{After: 500 * time.Millisecond, Token: 77},
	})
	reply.Add(5, []policy.Action{policy.LogLine{Text: "two servers known"}})
	want := fromHex(t, `0000000c 0000003e 45 0003 5d3a91c4 0a124a07 232b 4054000000000000
		41 0003 407f400000000000 000000000000004d 4b 0005 0011 74776f2073657276657273206b6e6f776e`)
	var out bytes.Buffer
	if err := reply.Flush(&out, 12); err != nil || !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x and error %v\nwant %x and no error", out.Bytes(), err, want)
	}
}

func TestFlushEmptiesTheReply(t *testing.T) {
	var reply Reply
	reply.Add(3, []policy.Action{policy.FetchEndpoints{}})
	var out bytes.Buffer
	for seq := range uint32(2) {
		if err := reply.Flush(&out, seq); err != nil {
			t.Fatal(err)
		}
	}
	if want := fromHex(t, "00000000 00000003 4d 0003 00000001 00000000"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestEveryActionIsEncoded(t *testing.T) {
	for _, test := range []struct {
		name   string
		action policy.Action
		want   string
	}{
		{
			"send attempt",
			policy.SendAttempt{Request: 1, Worker: 0x0a9011f22354, Timeout: 80 * time.Millisecond},
			"45 0003 00000001 0a9011f22354 4054000000000000",
		},
		{"cancel attempt", policy.CancelAttempt{Request: 1, Attempt: 2}, "4c 0003 00000001 0002"},
		{"refuse request", policy.RefuseRequest{Request: 1}, "4e 0003 00000001 0000000000000000"},
		{"fail request", policy.FailRequest{Request: 1}, "43 0003 00000001"},
		{
			"load instance",
			policy.LoadInstance{Worker: 0x0a9011f22354, Function: 0x7c55d20a01, Instances: 1},
			"48 0003 01 0000007c55d20a01 0a9011f22354",
		},
		{"unload instance", policy.UnloadInstance{Worker: 1, Function: 2}, "4a 0003 000000000001 0000000000000002"},
		{"check health", policy.CheckHealth{Worker: 1}, "49 0003 000000000001"},
		{"send gossip to all", policy.SendGossip{To: -1, Data: []byte("hi 7")}, "46 0003 ffffffff 0004 68692037"},
		{"send gossip to one", policy.SendGossip{To: 2}, "46 0003 00000002 0000"},
		{"set timer", policy.SetTimer{After: 500 * time.Millisecond, Token: 77}, "41 0003 407f400000000000 000000000000004d"},
		{"subscribe", policy.Subscribe{On: true}, "47 0003 01"},
		{"unsubscribe", policy.Subscribe{}, "47 0003 00"},
		{"fetch endpoints", policy.FetchEndpoints{}, "4d 0003"},
		{"close idle connections", policy.CloseIdleConnections{Worker: 1}, "42 0003 000000000001"},
		{"log line", policy.LogLine{Text: "hi"}, "4b 0003 0002 6869"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var e encoder
			e.action(3, test.action)
			if want := fromHex(t, test.want); !bytes.Equal(e.b, want) {
				t.Errorf("got %x, want %x", e.b, want)
			}
		})
	}
}

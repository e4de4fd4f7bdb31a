package ipfix

import (
	"encoding/hex"
	"testing"
	"time"
)

// Messages are compared byte for byte, because collectors store records according to the templates and the order of the
// fields in them.
func TestMessagesOnTheWire(t *testing.T) {
	exporter, transport := newTestExporter()
	now := time.Hour
	for _, step := range []struct {
		name  string
		flows []Flow
		want  string
	}{
		{
			"templates and two sets",
			[]Flow{
				testFlow("127.0.0.9:4000", "127.0.0.1:10080", 1234, "dim-level"),
				testFlow("[::ffff:127.0.0.8]:4001", "127.0.0.1:10080", 1234, ""),
				testFlow("[::1]:4000", "[::2]:10080", 1234, "repair-order"),
			},
			"000a01166b0eb6c000000000000000070002005c0100000a00080004000c0004009800080099000800070002000b0002" +
				"0004000100010008008800010060ffff0101000a001b0010001c0010009800080099000800070002000b000200040001" +
				"00010008008800010060ffff0100005b7f0000097f000001000001a23179da18000001a23179de000fa0276006000000" +
				"00000004d2030964696d2d6c6576656c7f0000087f000001000001a23179da18000001a23179de000fa1276006000000" +
				"00000004d203000101004f0000000000000000000000000000000100000000000000000000000000000002000001a231" +
				"79da18000001a23179de000fa027600600000000000004d2030c7265706169722d6f72646572",
		},
		{
			"records without templates",
			[]Flow{testFlow("127.0.0.9:4000", "127.0.0.1:10080", 1234, "dim-level")},
			"000a00446b0eb6c00000000300000007010000347f0000097f000001000001a23179da18000001a23179de000fa02760" +
				"0600000000000004d2030964696d2d6c6576656c",
		},
		{"no records", nil, ""},
	} {
		t.Run(step.name, func(t *testing.T) {
			for _, f := range step.flows {
				exporter.Add(f)
			}
			now += flushInterval
			exporter.Process(now)
			if got := hex.EncodeToString(transport.Written.Next(transport.Written.Len())); got != step.want {
				t.Errorf("wrote %s, want %s", got, step.want)
			}
		})
	}
}

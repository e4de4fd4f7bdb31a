package thrift

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
	"functionrouter/policy"
)

// testNow is the time on the tests' clock.
const testNow = time.Hour

// fakeRouter is a RequestRouter that records its calls. The ID of a submitted request is its index in submitted plus 1.
type fakeRouter struct {
	submitted []router.Request
	cancelled []policy.RequestID // requests that Cancel or Disconnect ended
	refused   int                // number of requests that RefuseAtOnce refused
}

func (f *fakeRouter) Submit(_ time.Duration, r router.Request) policy.RequestID {
	f.submitted = append(f.submitted, r)
	return policy.RequestID(len(f.submitted))
}

func (f *fakeRouter) RefuseAtOnce(_ time.Duration, r router.Request) {
	f.refused++
	r.Responder.Respond(router.Response{Status: router.Refused})
}

func (f *fakeRouter) Cancel(_ time.Duration, id policy.RequestID, _ router.CancelCause) {
	f.cancelled = append(f.cancelled, id)
}

func (f *fakeRouter) Disconnect(_ time.Duration, id policy.RequestID) {
	f.cancelled = append(f.cancelled, id)
	f.submitted[id-1].Responder.Respond(router.Response{Status: router.Refused})
}

// newTestConnection returns a connection with a fake router and a fake transport.
func newTestConnection() (*connection, *fakeRouter, *testsupport.Transport) {
	requests := &fakeRouter{}
	transport := &testsupport.Transport{}
	now := func() time.Duration { return testNow }
	server := New(Config{
		Router:    requests,
		Classes:   []string{"dim-level", "repair-order"},
		Tenants:   []string{"north", "south"},
		Clock:     now,
		InputTime: now,
		Ready:     func() bool { return true },
	})
	return server.newConnection(transport, nil, netip.AddrPort{}), requests, transport
}

// The indexes of the values in validFields.
const (
	classValue      = 1
	idValue         = 3
	waitValue       = 5
	keyValue        = 7
	propertiesValue = 9
)

// validFields are the fields of a valid request, as alternating names and values.
var validFields = []string{
	fieldClass, "repair-order", fieldRequestID, "9b1f03aa5c7e2d41", fieldWait, "1500", fieldFunctionKey, "7f3a9c21e0b4d655",
	fieldProperties, "memory_mb:512;lanes:2;load_ms:640",
}

// fieldsWith returns a copy of validFields that contains value at the index position.
func fieldsWith(position int, value string) []string {
	fields := slices.Clone(validFields)
	fields[position] = value
	return fields
}

// executeFrame returns the frame of an execute call. Its fields are given as alternating names and values.
func executeFrame(sequenceID uint32, body string, fields ...string) []byte {
	b := appendHeaders(nil, messageCall, methodExecute, sequenceID)
	b = appendStringMap(appendFieldHeader(b, executeFieldsField, typeMap), fields...)
	b = appendString(appendFieldHeader(b, executeBodyField, typeString), body)
	return closeFrame(b)
}

// interruptFrame returns the frame of a oneway message that interrupts the call with the sequence ID.
func interruptFrame(sequenceID uint32) []byte {
	b := appendHeaders(nil, messageOneway, methodInterrupt, 0)
	return closeFrame(appendUint32(appendFieldHeader(b, interruptSequenceIDField, typeI32), sequenceID))
}

// checkFrame returns the frame of a check call.
func checkFrame(sequenceID uint32) []byte {
	b := appendHeaders(nil, messageCall, methodCheck, sequenceID)
	return closeFrame(appendBool(appendFieldHeader(b, 1, typeBool), true))
}

// emptyFrame returns the frame of a message without arguments.
func emptyFrame(t messageType, method string, sequenceID uint32) []byte {
	return closeFrame(appendHeaders(nil, t, method, sequenceID))
}

// closeFrame appends the end of the arguments' struct and sets the length in the frame's header.
func closeFrame(b []byte) []byte {
	b = append(b, byte(typeStop))
	setFrameLength(b, 0)
	return b
}

// noResultField is the result field that readReply returns for a reply without a result.
const noResultField = 99

// readReply removes the first frame from the written bytes. It returns the frame's sequence ID and the ID of the field
// that its result sets.
func readReply(t rapid.TB, transport *testsupport.Transport) (sequenceID uint32, resultField uint16) {
	t.Helper()
	b := transport.Written.Bytes()
	if len(b) < frameHeaderBytes || len(b) < frameHeaderBytes+int(binary.BigEndian.Uint32(b)) {
		t.Fatalf("wrote %x, want a complete frame", b)
	}
	end := frameHeaderBytes + int(binary.BigEndian.Uint32(b))
	d := decoder{remaining: b[frameHeaderBytes:end]}
	header, err := d.decodeHeader()
	resultField = noResultField
	if err == nil && header.messageType == messageReply {
		err = d.structFields(func(id uint16, _ valueType) bool { resultField = id; return false })
	}
	if err != nil {
		t.Fatalf("wrote %x, which does not decode (error %v), want a valid message", b, err)
	}
	transport.Written.Next(end)
	return header.sequenceID, resultField
}

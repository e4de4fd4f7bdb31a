package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Codes of DNS (RFC 1035, RFC 2782) that the tests use.
const (
	dnsResponseFlag = 0x80 // in byte 2 of the header

	dnsAnswerCount     = 6 // offsets of the section counts in the header
	dnsAuthorityCount  = 8
	dnsAdditionalCount = 10

	dnsTypeA   = 1
	dnsTypeSOA = 6
	dnsTypeTXT = 16
	dnsTypeSRV = 33
)

// dnsQuestionName is a compression pointer to the name in the question, which follows the header of 12 bytes.
var dnsQuestionName = []byte{0xc0, 12}

// fakeDirectory is a directory that answers queries only when the test calls answer.
type fakeDirectory struct {
	net.PacketConn
	t *testing.T
}

// directoryQuery is a query that the directory received.
type directoryQuery struct {
	packet []byte
	from   net.Addr
}

// newFakeDirectory returns a directory at a free address.
func newFakeDirectory(t *testing.T) *fakeDirectory {
	t.Helper()
	return newFakeDirectoryAt(t, "127.0.0.1:0")
}

// newFakeDirectoryAt returns a directory at an address.
func newFakeDirectoryAt(t *testing.T, addr string) *fakeDirectory {
	t.Helper()
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it already
	return &fakeDirectory{conn, t}
}

func (d *fakeDirectory) addr() string { return d.LocalAddr().String() }

// close closes the socket. The port then refuses queries.
func (d *fakeDirectory) close() {
	d.t.Helper()
	if err := d.Close(); err != nil {
		d.t.Fatal(err)
	}
}

// nextQuery waits for a query. The router accepts an answer to any of its last 32 queries that has not been answered
// yet.
func (d *fakeDirectory) nextQuery() directoryQuery {
	d.t.Helper()
	packet := make([]byte, 512)
	size, from, err := d.ReadFrom(packet)
	if err != nil {
		d.t.Fatal(err)
	}
	return directoryQuery{packet[:size], from}
}

// answer sends a complete list with its serial number.
func (d *fakeDirectory) answer(q directoryQuery, serial uint32, list ...listedWorker) {
	d.t.Helper()
	m := dnsMessage{slices.Clone(q.packet)}
	m.bytes[2] |= dnsResponseFlag
	for _, w := range list {
		m.addRecord(dnsAnswerCount, dnsQuestionName, dnsTypeSRV, w.srvData())
	}
	soa := binary.BigEndian.AppendUint32([]byte{0, 0}, serial) // after two empty names, before four intervals
	m.addRecord(dnsAuthorityCount, dnsQuestionName, dnsTypeSOA, append(soa, make([]byte, 16)...))
	for _, w := range list {
		ip := w.addrPort().Addr().As4()
		m.addRecord(dnsAdditionalCount, w.hostName(), dnsTypeA, ip[:])
		text := append(dnsLabel("kind=std"), dnsLabel(fmt.Sprintf("started=%d", w.startedUnixMs))...)
		m.addRecord(dnsAdditionalCount, w.hostName(), dnsTypeTXT, text)
	}
	if _, err := d.WriteTo(m.bytes, q.from); err != nil {
		d.t.Fatal(err)
	}
}

func (w listedWorker) addrPort() netip.AddrPort { return netip.MustParseAddrPort(w.addr) }

// hostName returns the worker's DNS name, in the zone aarhus.
func (w listedWorker) hostName() []byte {
	return slices.Concat(dnsLabel(w.name), dnsLabel("aarhus"), dnsLabel("hosts"), []byte{0})
}

// srvData returns the data of the worker's SRV record: priority 0 (ready) or 1 (draining), weight 10 (size 1), port and
// host name.
func (w listedWorker) srvData() []byte {
	priority := byte(0)
	if w.draining {
		priority = 1
	}
	data := binary.BigEndian.AppendUint16([]byte{0, priority, 0, 10}, w.addrPort().Port())
	return append(data, w.hostName()...)
}

// dnsLabel returns s, prefixed with its length in one byte.
func dnsLabel(s string) []byte { return append([]byte{byte(len(s))}, s...) }

// dnsMessage is a DNS message to which records are appended.
type dnsMessage struct{ bytes []byte }

// addRecord appends a record of class IN with a TTL of 0 to the section whose count is at countOffset.
func (m *dnsMessage) addRecord(countOffset int, name []byte, recordType byte, data []byte) {
	count := binary.BigEndian.Uint16(m.bytes[countOffset:])
	binary.BigEndian.PutUint16(m.bytes[countOffset:], count+1)
	m.bytes = append(m.bytes, name...)
	m.bytes = append(m.bytes, 0, recordType, 0, 1, 0, 0, 0, 0)
	m.bytes = binary.BigEndian.AppendUint16(m.bytes, uint16(len(data)))
	m.bytes = append(m.bytes, data...)
}

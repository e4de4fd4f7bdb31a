package ipfix

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// informationElement is the ID of an information element in IANA's registry "IP Flow Information Export (IPFIX)
// Entities".
type informationElement uint16

// Information elements of a record.
const (
	octetDeltaCount          informationElement = 1
	protocolIdentifier       informationElement = 4
	sourceTransportPort      informationElement = 7
	sourceIPv4Address        informationElement = 8
	destinationTransportPort informationElement = 11
	destinationIPv4Address   informationElement = 12
	sourceIPv6Address        informationElement = 27
	destinationIPv6Address   informationElement = 28
	applicationName          informationElement = 96
	flowEndReason            informationElement = 136
	flowStartMilliseconds    informationElement = 152
	flowEndMilliseconds      informationElement = 153
)

// Values of information elements.
const (
	protocolTCP     = 6 // of protocolIdentifier
	reasonEndOfFlow = 3 // of flowEndReason: the end of the flow was detected
)

// variableLength is the length that a template gives for a field whose length is encoded in each record (RFC 7011
// section 7).
const variableLength = 65535

// maxClassNameBytes limits the length of an exported class name; newRecord truncates longer names. It must stay below
// 255, because newRecord encodes the length in one byte (RFC 7011 section 7).
const maxClassNameBytes = 64

// fieldSpecifier describes a field of a template, RFC 7011 section 3.2.
type fieldSpecifier struct {
	element informationElement
	length  uint16 // bytes, or variableLength
}

// template lists the fields of the records of a set, RFC 7011 section 3.4.1.
type template struct {
	id     uint16           // at least 256
	fields []fieldSpecifier // in the order and with the lengths that newRecord uses
}

// The templates of IPv4 and IPv6. They differ only in the address fields.
var (
	commonFields = []fieldSpecifier{
		{flowStartMilliseconds, 8},
		{flowEndMilliseconds, 8},
		{sourceTransportPort, 2},
		{destinationTransportPort, 2},
		{protocolIdentifier, 1},
		{octetDeltaCount, 8},
		{flowEndReason, 1},
		{applicationName, variableLength},
	}
	ipv4Template = template{
		id:     256,
		fields: append([]fieldSpecifier{{sourceIPv4Address, 4}, {destinationIPv4Address, 4}}, commonFields...),
	}
	ipv6Template = template{
		id:     257,
		fields: append([]fieldSpecifier{{sourceIPv6Address, 16}, {destinationIPv6Address, 16}}, commonFields...),
	}
)

// Flow describes one request that a client sent to the router.
type Flow struct {
	Client netip.AddrPort // may be invalid, or an IPv4 address that is mapped to IPv6; see newRecord
	Server netip.AddrPort // address on which the frontend listens; must be valid
	Start  time.Time      // when the router received the request, on the wall clock
	End    time.Time      // when the request ended, on the wall clock
	Octets uint64         // size of the request's body in bytes
	Class  string         // name of the class, exported as applicationName
}

// record is an encoded data record, RFC 7011 section 3.4.3. It is immutable.
type record struct {
	templateID uint16
	data       []byte
}

// newRecord encodes a flow. It returns false if the client's address is invalid or not of the same family as the
// server's, because no template fits such a flow. An IPv4 address that is mapped to IPv6 counts as IPv4.
func newRecord(f Flow) (record, bool) {
	client := f.Client.Addr().Unmap()
	server := f.Server.Addr().Unmap()
	if !client.IsValid() || client.Is4() != server.Is4() {
		return record{}, false
	}
	templateID := ipv6Template.id
	if client.Is4() {
		templateID = ipv4Template.id
	}
	var data []byte
	data = append(data, client.AsSlice()...)
	data = append(data, server.AsSlice()...)
	data = binary.BigEndian.AppendUint64(data, uint64(f.Start.UnixMilli()))
	data = binary.BigEndian.AppendUint64(data, uint64(f.End.UnixMilli()))
	data = binary.BigEndian.AppendUint16(data, f.Client.Port())
	data = binary.BigEndian.AppendUint16(data, f.Server.Port())
	data = append(data, protocolTCP)
	data = binary.BigEndian.AppendUint64(data, f.Octets)
	data = append(data, reasonEndOfFlow)
	class := f.Class[:min(len(f.Class), maxClassNameBytes)]
	data = append(data, byte(len(class)))
	data = append(data, class...)
	return record{templateID: templateID, data: data}, true
}

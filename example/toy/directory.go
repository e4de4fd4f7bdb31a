package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// The parts of a DNS message that the directory needs (RFC 1035, RFC 2782 for SRV).
const (
	dnsHeaderSize  = 12
	dnsMaxQuery    = 512 // bytes of a message over UDP
	dnsFlagsOffset = 2
	dnsIsResponse  = 0x80

	dnsTypeA   = 1
	dnsTypeSOA = 6
	dnsTypeTXT = 16
	dnsTypeSRV = 33
	dnsClassIN = 1

	dnsRecordTTL = 1 // seconds
)

// listSerial is the serial number of the list, which never changes here. It is that of the list in example/config.json, so
// that a router with that file takes the answers and changes nothing.
const listSerial = 1

// dnsSection is a section of a message, as the offset of its record count in the header.
type dnsSection int

const (
	answerSection     dnsSection = 6
	authoritySection  dnsSection = 8
	additionalSection dnsSection = 10
)

// serviceDomain is the domain under which the directory lists the workers.
const serviceDomain = "pool.lan"

// serveDirectory answers every query with the list of workers, whatever it asks for, until the socket fails.
func serveDirectory(socket net.PacketConn) error {
	buf := make([]byte, dnsMaxQuery)
	for {
		n, from, err := socket.ReadFrom(buf)
		if err != nil {
			return err
		}
		if n > dnsHeaderSize {
			_, _ = socket.WriteTo(workerList(buf[:n]), from) // a lost answer is asked for again
		}
	}
}

// workerList returns the response to query: the workers' ports, the list's serial number, and the address and
// attributes of each worker's host. The response begins with the query, which must hold nothing but one question.
func workerList(query []byte) []byte {
	response := dnsMessage(bytes.Clone(query))
	response[dnsFlagsOffset] |= dnsIsResponse
	for i, addr := range workerAddrs {
		response.add(answerSection, "_back._tcp."+serviceDomain, dnsTypeSRV, serviceData(hostName(i), addr))
	}
	response.add(authoritySection, serviceDomain, dnsTypeSOA, serialData(listSerial))
	for i := range workerAddrs {
		response.add(additionalSection, hostName(i), dnsTypeA, []byte{127, 0, 0, 1})
		response.add(additionalSection, hostName(i), dnsTypeTXT, []byte("\x06cell=0"))
	}
	return response
}

// hostName is the DNS name of a worker's host, by the worker's position in workerAddrs: the worker's name, its zone, and a
// domain that the router does not read.
func hostName(i int) string { return fmt.Sprintf("s-%d.here.hosts", i+1) }

// serviceData is the data of an SRV record: priority 0 (ready), weight 10 (size 1), the port of addr, and the host.
func serviceData(host, addr string) []byte {
	_, portText, _ := strings.Cut(addr, ":")
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		panic(err) // the addresses are constants
	}
	data := binary.BigEndian.AppendUint16([]byte{0, 0, 0, 10}, uint16(port))
	return append(data, dnsName(host)...)
}

// serialData is the data of an SOA record: two names and the serial number, which alone counts here, and four intervals,
// which are zero.
func serialData(serial uint32) []byte {
	const intervalsLength = 4 * 4 // bytes
	data := append(dnsName(serviceDomain), dnsName(serviceDomain)...)
	data = binary.BigEndian.AppendUint32(data, serial)
	return append(data, make([]byte, intervalsLength)...)
}

// dnsMessage is a DNS message whose header counts the records of its sections.
type dnsMessage []byte

// add appends a record to section, which may have 255 at most. The sections must be filled in their order.
func (m *dnsMessage) add(section dnsSection, name string, recordType uint16, data []byte) {
	(*m)[section+1]++ // the low byte of the count
	*m = append(*m, dnsName(name)...)
	*m = binary.BigEndian.AppendUint16(*m, recordType)
	*m = binary.BigEndian.AppendUint16(*m, dnsClassIN)
	*m = binary.BigEndian.AppendUint32(*m, dnsRecordTTL)
	*m = binary.BigEndian.AppendUint16(*m, uint16(len(data)))
	*m = append(*m, data...)
}

// dnsName encodes a name as labels, without compression.
func dnsName(name string) []byte {
	var b []byte
	for label := range strings.SplitSeq(name, ".") {
		b = append(b, byte(len(label)))
		b = append(b, label...)
	}
	return append(b, 0)
}

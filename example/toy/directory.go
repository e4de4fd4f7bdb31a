package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// Constants of the DNS message format that the directory needs (RFC 1035; RFC 2782 for SRV).
const (
	dnsHeaderBytes   = 12
	dnsMaxQueryBytes = 512 // limit for a message over UDP
	dnsFlagsOffset   = 2
	dnsResponseFlag  = 0x80

	dnsTypeA   = 1
	dnsTypeSOA = 6
	dnsTypeTXT = 16
	dnsTypeSRV = 33
	dnsClassIN = 1

	dnsRecordTTL = 1 // seconds
)

// listSerial is the serial number of the list of workers, which never changes here. The list in example/config.json has
// the same serial number, so a router with that file accepts the responses and does not change its list.
const listSerial = 1

// dnsSection identifies a section of a DNS message by the offset of its record count in the header.
type dnsSection int

const (
	answerSection     dnsSection = 6
	authoritySection  dnsSection = 8
	additionalSection dnsSection = 10
)

// serviceDomain is the domain under which the directory lists the workers.
const serviceDomain = "pool.lan"

// serveDirectory answers every query with the list of workers, regardless of the question, until the socket fails.
func serveDirectory(socket net.PacketConn) error {
	buf := make([]byte, dnsMaxQueryBytes)
	for {
		n, client, err := socket.ReadFrom(buf)
		if err != nil {
			return err
		}
		if n > dnsHeaderBytes {
			_, _ = socket.WriteTo(workerListResponse(buf[:n]), client) // on an error, the router sends the query again
		}
	}
}

// workerListResponse returns the response to query: the workers' ports, the list's serial number, and the address and
// attributes of each worker's host. The response begins with a copy of the query, which must contain exactly one
// question and no records.
func workerListResponse(query []byte) []byte {
	response := dnsMessage(bytes.Clone(query))
	response[dnsFlagsOffset] |= dnsResponseFlag
	for i, addr := range workerAddrs {
		response.add(answerSection, "_back._tcp."+serviceDomain, dnsTypeSRV, srvRecordData(hostName(i), addr))
	}
	response.add(authoritySection, serviceDomain, dnsTypeSOA, soaRecordData(listSerial))
	for i := range workerAddrs {
		response.add(additionalSection, hostName(i), dnsTypeA, []byte{127, 0, 0, 1})
		response.add(additionalSection, hostName(i), dnsTypeTXT, []byte("\x06cell=0"))
	}
	return response
}

// hostName returns the DNS name of the host of worker i in workerAddrs. It consists of the worker's name, its zone, and
// a domain that the router ignores.
func hostName(i int) string { return fmt.Sprintf("s-%d.here.hosts", i+1) }

// srvRecordData returns the data of an SRV record: priority 0 (ready), weight 10 (size 1), the port of addr, and the
// host.
func srvRecordData(host, addr string) []byte {
	_, portText, _ := strings.Cut(addr, ":")
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		panic(err) // workerAddrs has a malformed address
	}
	data := binary.BigEndian.AppendUint16([]byte{0, 0, 0, 10}, uint16(port))
	return append(data, dnsName(host)...)
}

// soaRecordData returns the data of an SOA record: two names, the serial number and four intervals. The router reads
// only the serial number; the intervals are zero.
func soaRecordData(serial uint32) []byte {
	const intervalsBytes = 4 * 4 // four intervals of four bytes
	data := append(dnsName(serviceDomain), dnsName(serviceDomain)...)
	data = binary.BigEndian.AppendUint32(data, serial)
	return append(data, make([]byte, intervalsBytes)...)
}

// dnsMessage is a DNS message whose header counts the records of its sections.
type dnsMessage []byte

// add appends a record to section, which can hold at most 255 records. The sections must be filled in the order of the
// constants above.
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

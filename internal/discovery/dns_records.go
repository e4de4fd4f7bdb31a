package discovery

import (
	"encoding/binary"
	"net/netip"
)

// maxRecords bounds the records of one message.
const maxRecords = 1024

// Lengths of the fixed parts of resource records, in bytes.
const (
	recordTailLength = 10 // type, class, TTL, length of the data
	srvFixedLength   = 6  // priority, weight, port
	soaFixedLength   = 20 // serial and four intervals
	ipv4Length       = 4
)

// response is what is used of the answer to a query. Names are in lower case.
type response struct {
	serial    uint32 // of the SOA record
	services  []serviceRecord
	addresses map[string]netip.Addr
	texts     map[string][]string
}

// serviceRecord is an SRV record, RFC 2782.
type serviceRecord struct {
	priority uint16
	weight   uint16
	port     uint16
	target   string
}

// records reads the resource records of all sections.
func (p *parser) records(count int) (response, error) {
	if count > maxRecords {
		return response{}, errMalformed
	}
	r := response{addresses: map[string]netip.Addr{}, texts: map[string][]string{}}
	hasSerial := false
	for range count {
		rec, err := p.record()
		if err != nil {
			return response{}, err
		}
		if err := r.add(rec); err != nil {
			return response{}, err
		}
		hasSerial = hasSerial || rec.kind == typeSOA
	}
	if !hasSerial {
		return response{}, errNoSerial
	}
	return r, nil
}

// record is one resource record, RFC 1035 section 4.1.3.
type record struct {
	owner   string
	kind    uint16
	message []byte // whole: names in the data may point back into it
	start   int    // of the data in the message
	end     int
}

func (r record) data() []byte { return r.message[r.start:r.end] }

func (p *parser) record() (record, error) {
	owner, err := p.name()
	if err != nil {
		return record{}, err
	}
	tail, err := p.take(recordTailLength)
	if err != nil {
		return record{}, err
	}
	start := p.offset
	if _, err := p.take(int(binary.BigEndian.Uint16(tail[8:]))); err != nil {
		return record{}, err
	}
	return record{owner: owner, kind: binary.BigEndian.Uint16(tail), message: p.message, start: start, end: p.offset}, nil
}

// add takes in a record; types that aren't used are ignored.
func (r *response) add(rec record) error {
	size := rec.end - rec.start
	switch {
	case rec.kind == typeSRV && size > srvFixedLength && rec.owner == serviceName:
		service, err := parseSRV(rec)
		if err != nil {
			return err
		}
		r.services = append(r.services, service)
	case rec.kind == typeA && size == ipv4Length:
		r.addresses[rec.owner] = netip.AddrFrom4([ipv4Length]byte(rec.data()))
	case rec.kind == typeTXT:
		texts, err := parseTXT(rec)
		if err != nil {
			return err
		}
		r.texts[rec.owner] = append(r.texts[rec.owner], texts...)
	case rec.kind == typeSOA:
		serial, err := parseSOA(rec)
		if err != nil {
			return err
		}
		r.serial = serial
	}
	return nil
}

func parseSRV(rec record) (serviceRecord, error) {
	target, _, err := parseName(rec.message, rec.start+srvFixedLength)
	if err != nil {
		return serviceRecord{}, err
	}
	data := rec.data()
	return serviceRecord{
		priority: binary.BigEndian.Uint16(data),
		weight:   binary.BigEndian.Uint16(data[2:]),
		port:     binary.BigEndian.Uint16(data[4:]),
		target:   target,
	}, nil
}

// parseTXT returns the strings of a TXT record, each of which has its length in front.
func parseTXT(rec record) ([]string, error) {
	var texts []string
	for data := rec.data(); len(data) > 0; {
		end := 1 + int(data[0])
		if len(data) < end {
			return nil, errMalformed
		}
		texts = append(texts, string(data[1:end]))
		data = data[end:]
	}
	return texts, nil
}

// parseSOA returns the serial, which comes after two names.
func parseSOA(rec record) (serial uint32, err error) {
	offset := rec.start
	for range 2 {
		if _, offset, err = parseName(rec.message, offset); err != nil {
			return 0, err
		}
	}
	if rec.end < offset+soaFixedLength {
		return 0, errMalformed
	}
	return binary.BigEndian.Uint32(rec.message[offset:]), nil
}

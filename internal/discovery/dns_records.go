package discovery

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// maxRecords bounds the number of records in one message, all sections together. Each worker has three records (SRV, A
// and TXT), so a list of up to 341 workers fits, together with its SOA record.
const maxRecords = 1024

// Lengths of the fixed-size parts of resource records, in bytes.
const (
	recordFixedLength = 10 // type, class, TTL and data length, which follow the owner's name
	srvFixedLength    = 6  // priority, weight and port
	soaFixedLength    = 20 // serial and four intervals
	ipv4Length        = 4
)

// Offsets in the fixed part that follows the owner's name, in bytes.
const (
	classOffset      = 2
	dataLengthOffset = 8
)

// response holds the records that the client uses from a response. Names are in lower case, without the final dot.
type response struct {
	serial    uint32                // serial of the SOA record
	services  []serviceRecord       // one for each worker
	addresses map[string]netip.Addr // addresses of A records by owner; if an owner has several, the last one
	texts     map[string][]string   // strings of TXT records by owner
}

// serviceRecord is an SRV record, RFC 2782. response.endpoint tells how its fields describe a worker.
type serviceRecord struct {
	priority uint16
	weight   uint16
	port     uint16
	target   string
}

// records reads the resource records of all sections; count is their total number. It fails with errNoSerial if none of
// them is an SOA record, and with errMalformed otherwise, also if bytes follow the last record: they may be records that
// a wrong count leaves out.
func (p *parser) records(count int) (response, error) {
	if count > maxRecords {
		return response{}, fmt.Errorf("%w: %d records, limit %d", errMalformed, count, maxRecords)
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
		hasSerial = hasSerial || rec.recordType == typeSOA
	}
	if rest := len(p.message) - p.offset; rest > 0 {
		return response{}, fmt.Errorf("%w: %d bytes after the last record", errMalformed, rest)
	}
	if !hasSerial {
		return response{}, errNoSerial
	}
	return r, nil
}

// record is one resource record, RFC 1035 section 4.1.3.
type record struct {
	owner      string // the name to which the record belongs
	recordType uint16 // such as typeSRV
	class      uint16 // such as classIN
	message    []byte // the complete message, since compressed names in the data refer to it
	dataStart  int    // offset of the data in the message
	dataEnd    int    // offset after the data in the message
}

// data returns the record's data (RDATA), whose format depends on the record's type.
func (r record) data() []byte { return r.message[r.dataStart:r.dataEnd] }

// record reads the next resource record. It skips the data without parsing it, so the record may have any type.
func (p *parser) record() (record, error) {
	owner, err := p.name()
	if err != nil {
		return record{}, err
	}
	fixedFields, err := p.readBytes(recordFixedLength)
	if err != nil {
		return record{}, err
	}
	dataStart := p.offset
	dataLength := int(binary.BigEndian.Uint16(fixedFields[dataLengthOffset:]))
	if _, err := p.readBytes(dataLength); err != nil {
		return record{}, err
	}
	return record{
		owner:      owner,
		recordType: binary.BigEndian.Uint16(fixedFields),
		class:      binary.BigEndian.Uint16(fixedFields[classOffset:]),
		message:    p.message,
		dataStart:  dataStart,
		dataEnd:    p.offset,
	}, nil
}

// add adds a record to the response, regardless of its section. It ignores unused types and SRV records that belong to
// other names than serviceName. It fails with errMalformed if the class or the data of any other record is invalid. A
// record that can't be read is never ignored: a list without it would report its worker as gone.
func (r *response) add(rec record) error {
	isUsed := rec.recordType == typeSRV && rec.owner == serviceName ||
		rec.recordType == typeA || rec.recordType == typeTXT || rec.recordType == typeSOA
	if !isUsed {
		return nil
	}
	if rec.class != classIN {
		return fmt.Errorf("%w: record of type %d has class %d", errMalformed, rec.recordType, rec.class)
	}
	switch rec.recordType {
	case typeSRV:
		return r.addService(rec)
	case typeA:
		return r.addAddress(rec)
	case typeTXT:
		return r.addTexts(rec)
	default:
		serial, err := parseSOA(rec)
		r.serial = serial
		return err
	}
}

func (r *response) addService(rec record) error {
	service, err := parseSRV(rec)
	if err != nil {
		return err
	}
	r.services = append(r.services, service)
	return nil
}

func (r *response) addAddress(rec record) error {
	data := rec.data()
	if len(data) != ipv4Length {
		return fmt.Errorf("%w: A record of %d bytes, want %d", errMalformed, len(data), ipv4Length)
	}
	r.addresses[rec.owner] = netip.AddrFrom4([ipv4Length]byte(data))
	return nil
}

func (r *response) addTexts(rec record) error {
	texts, err := parseTXT(rec)
	if err != nil {
		return err
	}
	r.texts[rec.owner] = append(r.texts[rec.owner], texts...)
	return nil
}

// parseSRV parses the data of an SRV record: priority, weight and port, of two bytes each, and the target's name, which
// ends where the data ends.
func parseSRV(rec record) (serviceRecord, error) {
	data := rec.data()
	if len(data) <= srvFixedLength {
		return serviceRecord{}, fmt.Errorf("%w: SRV record of %d bytes is too short", errMalformed, len(data))
	}
	target, end, err := parseName(rec.message, rec.dataStart+srvFixedLength)
	if err != nil {
		return serviceRecord{}, err
	}
	if end != rec.dataEnd {
		return serviceRecord{}, fmt.Errorf("%w: name in an SRV record ends at offset %d, want %d", errMalformed, end, rec.dataEnd)
	}
	return serviceRecord{
		priority: binary.BigEndian.Uint16(data),
		weight:   binary.BigEndian.Uint16(data[2:]),
		port:     binary.BigEndian.Uint16(data[4:]),
		target:   target,
	}, nil
}

// parseTXT returns the strings of a TXT record. Each string is preceded by its length, which is one byte.
func parseTXT(rec record) ([]string, error) {
	var texts []string
	for data := rec.data(); len(data) > 0; {
		end := 1 + int(data[0])
		if len(data) < end {
			return nil, fmt.Errorf("%w: TXT string of %d bytes exceeds its record", errMalformed, data[0])
		}
		texts = append(texts, string(data[1:end]))
		data = data[end:]
	}
	return texts, nil
}

// parseSOA returns the serial of an SOA record. The serial follows two names, those of a name server and a mailbox.
func parseSOA(rec record) (serial uint32, err error) {
	offset := rec.dataStart
	for range 2 {
		if _, offset, err = parseName(rec.message, offset); err != nil {
			return 0, err
		}
	}
	if rec.dataEnd < offset+soaFixedLength {
		return 0, fmt.Errorf("%w: SOA record of %d bytes is too short", errMalformed, rec.dataEnd-rec.dataStart)
	}
	return binary.BigEndian.Uint32(rec.message[offset:]), nil
}

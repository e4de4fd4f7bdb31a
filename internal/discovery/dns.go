package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// serviceName is the name whose SRV records form the list of workers. It is in lower case, as parseName returns names.
const serviceName = "_back._tcp.pool.lan"

// Record types and the record class, from RFC 1035 section 3.2 and RFC 2782.
const (
	typeA   = 1
	typeSOA = 6
	typeTXT = 16
	typeSRV = 33
	classIN = 1
)

// Bits of the flags field in a message's header, RFC 1035 section 4.1.1.
const (
	flagResponse         = 0x8000 // QR
	flagTruncated        = 0x0200 // TC
	flagRecursionDesired = 0x0100 // RD
	responseCodeMask     = 0x000f // RCODE
)

// Lengths of the fixed-size parts of a message, in bytes.
const (
	headerLength        = 12
	questionFixedLength = 4 // type and class, which follow the name
)

// Offsets of the fields in a message's header, in bytes. Each field is two bytes long. The id is at offset 0.
const (
	flagsOffset           = 2
	questionCountOffset   = 4
	answerCountOffset     = 6
	authorityCountOffset  = 8
	additionalCountOffset = 10
)

// Reasons why an answer is unusable. Two more are responseCodeError and, in endpoint.go, errNoAddress.
var (
	// errMalformed means that a message is cut short, has an invalid name, has a record with invalid data, or has more
	// than maxRecords records.
	errMalformed = errors.New("malformed DNS message")
	// errNotResponse means that a message is a query.
	errNotResponse = errors.New("not a response")
	// errTruncated means that the list did not fit into one datagram.
	errTruncated = errors.New("response is truncated")
	// errQuestionMismatch means that a response repeats a question other than that in the queries of encodeQuery.
	errQuestionMismatch = errors.New("response to another question")
	// errNoSerial means that a response has no SOA record, which holds the list's serial.
	errNoSerial = errors.New("response has no SOA record")
	// errUnexpectedID means that the query of a response was already answered, was discarded or was never sent.
	errUnexpectedID = errors.New("response matches no pending query")
)

// responseCodeError is a response code (RCODE) other than 0, the code for "no error".
type responseCodeError uint8

// Error returns a text with the code as a number. RFC 1035 section 4.1.1 lists the codes.
func (e responseCodeError) Error() string { return fmt.Sprintf("response code %d", uint8(e)) }

// encodeQuery returns the query with this id for the SRV records of serviceName.
func encodeQuery(id uint16) []byte {
	b := binary.BigEndian.AppendUint16(nil, id)
	b = binary.BigEndian.AppendUint16(b, flagRecursionDesired)
	for _, count := range [...]uint16{1, 0, 0, 0} { // questions, answers, authorities, additional records
		b = binary.BigEndian.AppendUint16(b, count)
	}
	for label := range strings.SplitSeq(strings.Trim(serviceName, "."), ".") {
		b = append(b, byte(len(label)))
		b = append(b, label...)
	}
	b = append(b, 0) // the empty root label ends the name
	b = binary.BigEndian.AppendUint16(b, typeSRV)
	return binary.BigEndian.AppendUint16(b, classIN)
}

// parseResponse parses a response to a query of encodeQuery. It fails with a responseCodeError or one of the errors
// above other than errUnexpectedID. If the message has a complete header, the id is returned even with an error. A
// response without a question is accepted.
func parseResponse(message []byte) (id uint16, r response, err error) {
	p := parser{message: message}
	header, err := p.header()
	if err != nil {
		return 0, response{}, err
	}
	if err := header.check(); err != nil {
		return header.id, response{}, err
	}
	for range header.questions {
		if err := p.question(); err != nil {
			return header.id, response{}, err
		}
	}
	r, err = p.records(header.records)
	return header.id, r, err
}

// messageHeader holds the values that the client uses from a message's header.
type messageHeader struct {
	id        uint16
	flags     uint16
	questions int
	records   int // number of records in the answer, authority and additional sections together
}

// check returns an error unless the message is a complete, successful response.
func (h messageHeader) check() error {
	if h.flags&flagResponse == 0 {
		return errNotResponse
	}
	if h.flags&flagTruncated != 0 {
		return errTruncated
	}
	if code := h.flags & responseCodeMask; code != 0 {
		return responseCodeError(code)
	}
	return nil
}

// parser reads a message from start to end; only compressed names lead back to an earlier offset. Its methods fail with
// errMalformed if the message is invalid.
type parser struct {
	message []byte
	offset  int // offset of the next byte to read
}

// readBytes returns the next length bytes as a slice of the message. It fails with errMalformed if fewer are left.
func (p *parser) readBytes(length int) ([]byte, error) {
	if len(p.message)-p.offset < length {
		return nil, fmt.Errorf("%w: want %d bytes at offset %d, got %d",
			errMalformed, length, p.offset, len(p.message)-p.offset)
	}
	b := p.message[p.offset : p.offset+length]
	p.offset += length
	return b, nil
}

// name reads the next name and returns it in lower case.
func (p *parser) name() (string, error) {
	name, next, err := parseName(p.message, p.offset)
	if err != nil {
		return "", err
	}
	p.offset = next
	return name, nil
}

// header reads the header at the start of the message. It adds up the record counts of the three sections: all records
// are read in the same way, because the type of a record, not its section, determines its use.
func (p *parser) header() (messageHeader, error) {
	b, err := p.readBytes(headerLength)
	if err != nil {
		return messageHeader{}, err
	}
	h := messageHeader{
		id:        binary.BigEndian.Uint16(b),
		flags:     binary.BigEndian.Uint16(b[flagsOffset:]),
		questions: int(binary.BigEndian.Uint16(b[questionCountOffset:])),
	}
	for _, offset := range [...]int{answerCountOffset, authorityCountOffset, additionalCountOffset} {
		h.records += int(binary.BigEndian.Uint16(b[offset:]))
	}
	return h, nil
}

// question reads one question. It fails with errQuestionMismatch if the name or the type differs from that in the
// queries of encodeQuery. The class is not compared.
func (p *parser) question() error {
	name, err := p.name()
	if err != nil {
		return err
	}
	fixedFields, err := p.readBytes(questionFixedLength)
	if err != nil {
		return err
	}
	if name != serviceName || binary.BigEndian.Uint16(fixedFields) != typeSRV {
		return errQuestionMismatch
	}
	return nil
}

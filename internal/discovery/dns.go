package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// serviceName is the name whose SRV records are the list of workers, in lower case as parseName returns it.
const serviceName = "_back._tcp.pool.lan"

// Record types and the class of RFC 1035 section 3.2 and RFC 2782.
const (
	typeA   = 1
	typeSOA = 6
	typeTXT = 16
	typeSRV = 33
	classIN = 1
)

// The flags of a message's header, RFC 1035 section 4.1.1.
const (
	flagResponse         = 0x8000 // QR
	flagTruncated        = 0x0200 // TC
	flagRecursionDesired = 0x0100 // RD
	responseCodeMask     = 0x000f // RCODE
)

// Lengths of the fixed parts of a message, in bytes.
const (
	headerLength       = 12
	questionFixedLength = 4 // type, class
)

// Offsets of the fields of a message's header, in bytes. Each field is two bytes long. The id has offset 0.
const (
	flagsOffset           = 2
	questionCountOffset   = 4
	answerCountOffset     = 6
	authorityCountOffset  = 8
	additionalCountOffset = 10
)

// Reasons why an answer can't be used. Two more are responseCodeError and, in endpoint.go, errNoAddress.
var (
	// errMalformed says that a message ends early, has an invalid name, a record whose data can't be read, or too many
	// records.
	errMalformed = errors.New("malformed DNS message")
	// errNotResponse says that a message is a query.
	errNotResponse = errors.New("not a response")
	// errTruncated says that the list did not fit into one datagram.
	errTruncated = errors.New("response is truncated")
	// errQuestionMismatch says that the question in a response is not the one of encodeQuery.
	errQuestionMismatch = errors.New("response to another question")
	// errNoSerial says that a response has no SOA record, which holds the list's serial.
	errNoSerial = errors.New("response has no SOA record")
	// errUnexpectedID says that a response is to a query that was answered before, was given up or was never sent.
	errUnexpectedID = errors.New("response matches no pending query")
)

// responseCodeError is a response code (RCODE) other than 0, which is "no error".
type responseCodeError uint8

// Error returns the code as a number; RFC 1035 section 4.1.1 lists the codes.
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
	b = append(b, 0) // the root ends the name
	b = binary.BigEndian.AppendUint16(b, typeSRV)
	return binary.BigEndian.AppendUint16(b, classIN)
}

// parseResponse reads a response to a query of encodeQuery. It fails with a responseCodeError or one of the errors above,
// errUnexpectedID excepted. It returns the id also on an error if the message has a header. A response without a question
// is accepted.
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

// messageHeader is what is used of a message's header.
type messageHeader struct {
	id        uint16
	flags     uint16
	questions int
	records   int // of the answer, authority and additional sections together
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

// parser reads a message from front to back. Its methods fail with errMalformed where the message can't be read. Compressed
// names point back to an earlier offset.
type parser struct {
	message []byte
	offset  int
}

// readBytes returns the next length bytes, which point into the message. It fails with errMalformed if fewer are left.
func (p *parser) readBytes(length int) ([]byte, error) {
	if len(p.message)-p.offset < length {
		return nil, errMalformed
	}
	b := p.message[p.offset : p.offset+length]
	p.offset += length
	return b, nil
}

// name reads the name that comes next, in lower case.
func (p *parser) name() (string, error) {
	name, next, err := parseName(p.message, p.offset)
	if err != nil {
		return "", err
	}
	p.offset = next
	return name, nil
}

// header reads the header, with which a message begins. It adds up the records of the three sections: all are read in the
// same way, since a record's type tells what it is for.
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

// question reads one question. It fails with errQuestionMismatch if its name or type is not that of encodeQuery; the class
// is not compared.
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

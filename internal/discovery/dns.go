package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// serviceName is the name whose SRV records are the list of workers.
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
	maskResponseCode     = 0x000f // RCODE
)

// Lengths of the fixed parts of a message, in bytes.
const (
	headerLength       = 12
	questionTailLength = 4 // type, class
)

// What can be wrong with an answer.
var (
	errMalformed        = errors.New("malformed DNS message")
	errNotResponse      = errors.New("not a response")
	errTruncated        = errors.New("response is truncated")
	errQuestionMismatch = errors.New("response to another question")
	errNoSerial         = errors.New("response has no SOA record")
	errUnexpectedID     = errors.New("response matches no pending query")
)

// responseCodeError is a response code (RCODE) other than 0, "no error".
type responseCodeError uint8

func (e responseCodeError) Error() string { return fmt.Sprintf("response code %d", uint8(e)) }

// encodeQuery returns a query for the SRV records of serviceName.
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

// parseResponse reads a response to a query of ours. It returns the id wherever the message has one.
func parseResponse(message []byte) (id uint16, r response, err error) {
	p := parser{message: message}
	h, err := p.header()
	if err != nil {
		return 0, response{}, err
	}
	if err := h.check(); err != nil {
		return h.id, response{}, err
	}
	for range h.questions {
		if err := p.question(); err != nil {
			return h.id, response{}, err
		}
	}
	r, err = p.records(h.records)
	return h.id, r, err
}

// header is what is used of a message's header.
type header struct {
	id        uint16
	flags     uint16
	questions int
	records   int // of the answer, authority and additional sections together
}

// check reports whether the message is a complete, successful response.
func (h header) check() error {
	if h.flags&flagResponse == 0 {
		return errNotResponse
	}
	if h.flags&flagTruncated != 0 {
		return errTruncated
	}
	if code := h.flags & maskResponseCode; code != 0 {
		return responseCodeError(code)
	}
	return nil
}

// parser reads a message from front to back. Compressed names point back into what it has read.
type parser struct {
	message []byte
	offset  int
}

// take returns the next bytes.
func (p *parser) take(length int) ([]byte, error) {
	if len(p.message)-p.offset < length {
		return nil, errMalformed
	}
	b := p.message[p.offset : p.offset+length]
	p.offset += length
	return b, nil
}

// name reads the name that comes next.
func (p *parser) name() (string, error) {
	name, next, err := parseName(p.message, p.offset)
	if err != nil {
		return "", err
	}
	p.offset = next
	return name, nil
}

func (p *parser) header() (header, error) {
	b, err := p.take(headerLength)
	if err != nil {
		return header{}, err
	}
	h := header{
		id:        binary.BigEndian.Uint16(b),
		flags:     binary.BigEndian.Uint16(b[2:]),
		questions: int(binary.BigEndian.Uint16(b[4:])),
	}
	for _, section := range [...]int{6, 8, 10} { // answer, authority, additional
		h.records += int(binary.BigEndian.Uint16(b[section:]))
	}
	return h, nil
}

// question reads one question and compares it with ours.
func (p *parser) question() error {
	name, err := p.name()
	if err != nil {
		return err
	}
	tail, err := p.take(questionTailLength)
	if err != nil {
		return err
	}
	if name != serviceName || binary.BigEndian.Uint16(tail) != typeSRV {
		return errQuestionMismatch
	}
	return nil
}

package ipfix

import (
	"encoding/binary"
	"time"
)

// Constants of the message format, RFC 7011 sections 3.1 (message header) and 3.3.2 (set header).
const (
	protocolVersion    = 10
	messageHeaderBytes = 16
	setHeaderBytes     = 4
	templateSetID      = 2

	noSetID = 0 // RFC 7011 does not use this ID
)

// maxMessageBytes keeps a message within one Ethernet frame, so that IP does not fragment it (RFC 7011 section 10.3.3).
// It leaves 100 of 1500 bytes for the headers of IP and UDP. The headers, the templates and the longest record, about
// 240 bytes in total, must fit in one message.
const maxMessageBytes = 1400

// messageEncoder encodes the messages of one observation domain.
type messageEncoder struct {
	domain uint32
	// sequence is the number of data records in all earlier messages, modulo 2^32 (RFC 7011 section 3.1).
	sequence uint32
}

// encode returns a message with as many of records as fit, starting with the first, and their number. Consecutive
// records of one template share a set; nevertheless encode requires space for a set header before each record. If
// withTemplates is set, the templates come first. The message belongs to the caller.
func (e *messageEncoder) encode(
	exportTime time.Time, withTemplates bool, records []record,
) (message []byte, count int) {
	b := make([]byte, messageHeaderBytes, maxMessageBytes)
	if withTemplates {
		b = appendTemplateSet(b)
	}
	setStart := 0
	var setID uint16 = noSetID // set of the previous record
	for _, r := range records {
		if len(b)+setHeaderBytes+len(r.data) > maxMessageBytes {
			break
		}
		if r.templateID != setID {
			setID = r.templateID
			setStart = len(b)
			b = appendSetHeader(b, setID)
		}
		b = append(b, r.data...)
		setSetLength(b, setStart)
		count++
	}
	e.putHeader(b, exportTime) // must precede the update of sequence
	e.sequence += uint32(count)
	return b, count
}

// putHeader writes the header into the first bytes of a complete message: version, length, export time in seconds,
// sequence number and observation domain, RFC 7011 section 3.1.
func (e *messageEncoder) putHeader(message []byte, exportTime time.Time) {
	binary.BigEndian.PutUint16(message[0:], protocolVersion)
	binary.BigEndian.PutUint16(message[2:], uint16(len(message)))
	binary.BigEndian.PutUint32(message[4:], uint32(exportTime.Unix()))
	binary.BigEndian.PutUint32(message[8:], e.sequence)
	binary.BigEndian.PutUint32(message[12:], e.domain)
}

// appendTemplateSet appends a set with all templates, RFC 7011 section 3.4.1.
func appendTemplateSet(b []byte) []byte {
	setStart := len(b)
	b = appendSetHeader(b, templateSetID)
	for _, t := range []template{ipv4Template, ipv6Template} {
		b = binary.BigEndian.AppendUint16(b, t.id)
		b = binary.BigEndian.AppendUint16(b, uint16(len(t.fields)))
		for _, f := range t.fields {
			b = binary.BigEndian.AppendUint16(b, uint16(f.element))
			b = binary.BigEndian.AppendUint16(b, f.length)
		}
	}
	setSetLength(b, setStart)
	return b
}

// appendSetHeader appends the header of a set: its ID and its length, which setSetLength fills in later.
func appendSetHeader(b []byte, id uint16) []byte {
	b = binary.BigEndian.AppendUint16(b, id)
	return binary.BigEndian.AppendUint16(b, 0)
}

// setSetLength writes the length of the set that begins at start and ends at the end of b. The length includes the
// header.
func setSetLength(b []byte, start int) {
	binary.BigEndian.PutUint16(b[start+2:], uint16(len(b)-start))
}

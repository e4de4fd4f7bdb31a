package discovery

import (
	"encoding/binary"
	"fmt"
)

// Offsets of the record counts in a message's header, in bytes.
const (
	answerCountField     = 6
	authorityCountField  = 8
	additionalCountField = 10
)

// questionNamePointer is a compressed name that consists of a pointer to the name in the question.
var questionNamePointer = []byte{0xc0, headerLength}

// buildResponse returns the directory's response to the query with this id: a list with one worker for each of
// priorities, which are the priorities of the SRV records. Owners' names and the names in the SOA record are
// compressed.
func buildResponse(id uint16, serial uint32, priorities ...uint16) []byte {
	b := encodeQuery(id)
	b[2] |= flagResponse >> 8
	var targetPointers [][]byte
	for i, priority := range priorities {
		data := binary.BigEndian.AppendUint16(nil, priority)
		data = binary.BigEndian.AppendUint16(data, 40) // weight
		data = binary.BigEndian.AppendUint16(data, 10080)
		targetOffset := len(b) + len(questionNamePointer) + recordFixedLength + len(data)
		data = append(data, lengthPrefixed(fmt.Sprintf("s-%d", i))...)
		data = append(data, lengthPrefixed("east")...)
		data = append(data, lengthPrefixed("hosts")...)
		data = append(data, 0)
		b = appendRecord(b, answerCountField, questionNamePointer, typeSRV, data)
		targetPointers = append(targetPointers, binary.BigEndian.AppendUint16(nil, labelTypePointer<<8|uint16(targetOffset)))
	}
	soa := append([]byte{}, questionNamePointer...)
	soa = append(soa, questionNamePointer...)
	soa = binary.BigEndian.AppendUint32(soa, serial)
	soa = append(soa, make([]byte, 16)...)
	b = appendRecord(b, authorityCountField, questionNamePointer, typeSOA, soa)
	for i, owner := range targetPointers {
		b = appendRecord(b, additionalCountField, owner, typeA, []byte{10, 1, 0, byte(i)})
		texts := append(lengthPrefixed("kind=std"), lengthPrefixed("cell=2")...)
		texts = append(texts, lengthPrefixed("started=5")...)
		b = appendRecord(b, additionalCountField, owner, typeTXT, texts)
	}
	return b
}

// appendRecord appends a resource record and increments the record count at countOffset in the header.
func appendRecord(b []byte, countOffset int, owner []byte, recordType uint16, data []byte) []byte {
	binary.BigEndian.PutUint16(b[countOffset:], binary.BigEndian.Uint16(b[countOffset:])+1)
	b = append(b, owner...)
	b = binary.BigEndian.AppendUint16(b, recordType)
	b = binary.BigEndian.AppendUint16(b, classIN)
	b = binary.BigEndian.AppendUint32(b, 0) // TTL
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}

// lengthPrefixed returns s preceded by its length as one byte, which is the encoding of labels and TXT strings.
func lengthPrefixed(s string) []byte { return append([]byte{byte(len(s))}, s...) }

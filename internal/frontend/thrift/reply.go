package thrift

import (
	"strconv"
	"time"
)

// The fields of a method's result: its return value and the exceptions that it declares.
const (
	resultSuccessID = 0 // Answer
	resultBackoffID = 1
	resultLostID    = 2
)

// The fields of Answer, Backoff and Lost.
const (
	answerBodyID      = 1
	answerFieldsID    = 2
	answerGoodID      = 3
	exceptionFieldsID = 1
)

// The names in the maps of Backoff and Lost.
const (
	backoffAfter = "after"  // Retry-After, in whole milliseconds
	lostReason   = "reason" // the field of the request that can't be used
)

// The fields of Thrift's TApplicationException, and the type that says that the service has no such method.
const (
	applicationExceptionMessageID = 1
	applicationExceptionTypeID    = 2
	unknownMethodType             = 1
)

// replyCapacity is the initial size of a reply's buffer, in bytes. A reply without its body fits, so that one allocation
// is enough.
const replyCapacity = 64

// encodeAnswer returns the frame of an Answer as the bytes before its body and those after it, so that the body, of
// bodyBytes bytes, need not be copied.
func encodeAnswer(method string, sequenceID uint32, bodyBytes int, good bool) (head, tail []byte) {
	tail = appendFieldHeader(nil, answerFieldsID, typeMap)
	tail = appendStringMap(tail)
	tail = appendFieldHeader(tail, answerGoodID, typeBool)
	tail = appendBool(tail, good)
	tail = append(tail, byte(typeStop)) // of the Answer
	tail = append(tail, byte(typeStop)) // of the result

	head = appendFrame(make([]byte, 0, replyCapacity), messageReply, method, sequenceID)
	head = appendFieldHeader(head, resultSuccessID, typeStruct)
	head = appendFieldHeader(head, answerBodyID, typeString)
	head = appendUint32(head, uint32(bodyBytes))
	setFrameLength(head, bodyBytes+len(tail))
	return head, tail
}

// encodeBackoff returns the frame of a Backoff. Retry-After is rounded up to whole milliseconds, so that a client that
// keeps to it never retries too early.
func encodeBackoff(sequenceID uint32, retryAfter time.Duration) []byte {
	roundedUp := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return encodeException(sequenceID, resultBackoffID, backoffAfter, strconv.FormatInt(int64(roundedUp), 10))
}

// encodeLost returns the frame of a Lost with the fields, given as names and values in turn.
func encodeLost(sequenceID uint32, namesAndValues ...string) []byte {
	return encodeException(sequenceID, resultLostID, namesAndValues...)
}

// encodeException returns the frame of an exception that execute declares, with the fields given as names and values in
// turn. resultID is the exception's field in the result.
func encodeException(sequenceID uint32, resultID uint16, namesAndValues ...string) []byte {
	frame := appendFrame(make([]byte, 0, replyCapacity), messageReply, methodExecute, sequenceID)
	frame = appendFieldHeader(frame, resultID, typeStruct)
	frame = appendFieldHeader(frame, exceptionFieldsID, typeMap)
	frame = appendStringMap(frame, namesAndValues...)
	frame = append(frame, byte(typeStop)) // of the exception
	frame = append(frame, byte(typeStop)) // of the result
	setFrameLength(frame, 0)
	return frame
}

// encodeUnknownMethod returns the frame of the TApplicationException for a method that the service does not have.
func encodeUnknownMethod(method string, sequenceID uint32) []byte {
	frame := appendFrame(nil, messageException, method, sequenceID)
	frame = appendFieldHeader(frame, applicationExceptionMessageID, typeString)
	frame = appendString(frame, "unknown method")
	frame = appendFieldHeader(frame, applicationExceptionTypeID, typeI32)
	frame = appendUint32(frame, unknownMethodType)
	frame = append(frame, byte(typeStop))
	setFrameLength(frame, 0)
	return frame
}

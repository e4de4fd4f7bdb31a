package thrift

import (
	"strconv"
	"time"
)

// The field IDs of a method's result: its return value and the exceptions that it declares.
const (
	resultSuccessField = 0 // Answer
	resultBackoffField = 1
	resultLostField    = 2
)

// The field IDs of Answer, Backoff and Lost.
const (
	answerBodyField      = 1
	answerFieldsField    = 2
	answerGoodField      = 3
	exceptionFieldsField = 1 // the map in a Backoff or a Lost
)

// The names in the maps of Backoff and Lost.
const (
	backoffAfter = "after"  // how long the client should wait before a retry, in whole milliseconds; 0 if not specified
	lostReason   = "reason" // the name of the request's invalid field; absent if the request failed in the router
)

// The field IDs of Thrift's TApplicationException, and the value of its type field for an unknown method.
const (
	applicationExceptionMessageField = 1
	applicationExceptionTypeField    = 2
	unknownMethodType                = 1
)

// replyCapacity is the initial capacity, in bytes, of the buffer for an exception or for the part of an Answer before
// its body. Both fit, so that the buffer does not grow.
const replyCapacity = 64

// encodeAnswer returns the frame of an Answer as the bytes before and the bytes after its body, so that the body is not
// copied. bodyBytes is the length of the body. good is true for execute; for check it is true if the server is ready.
func encodeAnswer(method string, sequenceID uint32, bodyBytes int, good bool) (head, tail []byte) {
	tail = appendFieldHeader(nil, answerFieldsField, typeMap)
	tail = appendStringMap(tail)
	tail = appendFieldHeader(tail, answerGoodField, typeBool)
	tail = appendBool(tail, good)
	tail = append(tail, byte(typeStop)) // ends the Answer
	tail = append(tail, byte(typeStop)) // ends the result

	head = appendHeaders(make([]byte, 0, replyCapacity), messageReply, method, sequenceID)
	head = appendFieldHeader(head, resultSuccessField, typeStruct)
	head = appendFieldHeader(head, answerBodyField, typeString)
	head = appendUint32(head, uint32(bodyBytes))
	setFrameLength(head, bodyBytes+len(tail))
	return head, tail
}

// encodeBackoff returns the frame of a Backoff in reply to an execute call. retryAfter is rounded up to whole
// milliseconds, so that a client that follows the advice never retries too early.
func encodeBackoff(sequenceID uint32, retryAfter time.Duration) []byte {
	roundedUp := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return encodeException(sequenceID, resultBackoffField, backoffAfter, strconv.FormatInt(int64(roundedUp), 10))
}

// encodeLost returns the frame of a Lost in reply to an execute call. The entries of its map are given as alternating
// names and values.
func encodeLost(sequenceID uint32, namesAndValues ...string) []byte {
	return encodeException(sequenceID, resultLostField, namesAndValues...)
}

// encodeException returns the frame of an exception that execute declares. resultField is the field ID of the exception
// in the result. The entries of the exception's map are given as alternating names and values.
func encodeException(sequenceID uint32, resultField uint16, namesAndValues ...string) []byte {
	frame := appendHeaders(make([]byte, 0, replyCapacity), messageReply, methodExecute, sequenceID)
	frame = appendFieldHeader(frame, resultField, typeStruct)
	frame = appendFieldHeader(frame, exceptionFieldsField, typeMap)
	frame = appendStringMap(frame, namesAndValues...)
	frame = append(frame, byte(typeStop)) // ends the exception
	frame = append(frame, byte(typeStop)) // ends the result
	setFrameLength(frame, 0)
	return frame
}

// encodeUnknownMethod returns the frame of the TApplicationException for a method that the service does not have.
func encodeUnknownMethod(method string, sequenceID uint32) []byte {
	frame := appendHeaders(nil, messageException, method, sequenceID)
	frame = appendFieldHeader(frame, applicationExceptionMessageField, typeString)
	frame = appendString(frame, "unknown method")
	frame = appendFieldHeader(frame, applicationExceptionTypeField, typeI32)
	frame = appendUint32(frame, unknownMethodType)
	frame = append(frame, byte(typeStop))
	setFrameLength(frame, 0)
	return frame
}

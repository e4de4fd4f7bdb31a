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
	exceptionFieldsField = 1 // of both exceptions
)

// The names in the maps of Backoff and Lost.
const (
	backoffAfter = "after"  // Retry-After, in whole milliseconds; 0: no advice
	lostReason   = "reason" // the field of the request that can't be used; absent from a Lost of the router
)

// The field IDs of Thrift's TApplicationException, and the type that says that the service has no such method.
const (
	applicationExceptionMessageField = 1
	applicationExceptionTypeField    = 2
	unknownMethodType                = 1
)

// replyCapacity is the initial size, in bytes, of the buffer of an exception or of an Answer's part before its body. Either
// fits, so that the buffer need not grow.
const replyCapacity = 64

// encodeAnswer returns the frame of an Answer as the bytes before its body and those after it, so that the body, of
// bodyBytes bytes, need not be copied. good is true for execute, and whether the server is ready for check.
func encodeAnswer(method string, sequenceID uint32, bodyBytes int, good bool) (head, tail []byte) {
	tail = appendFieldHeader(nil, answerFieldsField, typeMap)
	tail = appendStringMap(tail)
	tail = appendFieldHeader(tail, answerGoodField, typeBool)
	tail = appendBool(tail, good)
	tail = append(tail, byte(typeStop)) // of the Answer
	tail = append(tail, byte(typeStop)) // of the result

	head = appendFrame(make([]byte, 0, replyCapacity), messageReply, method, sequenceID)
	head = appendFieldHeader(head, resultSuccessField, typeStruct)
	head = appendFieldHeader(head, answerBodyField, typeString)
	head = appendUint32(head, uint32(bodyBytes))
	setFrameLength(head, bodyBytes+len(tail))
	return head, tail
}

// encodeBackoff returns the frame of a Backoff in reply to an execute call. Retry-After is rounded up to whole
// milliseconds, so that a client that keeps to it never retries too early.
func encodeBackoff(sequenceID uint32, retryAfter time.Duration) []byte {
	roundedUp := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return encodeException(sequenceID, resultBackoffField, backoffAfter, strconv.FormatInt(int64(roundedUp), 10))
}

// encodeLost returns the frame of a Lost in reply to an execute call, with the fields given as names and values in turn.
func encodeLost(sequenceID uint32, namesAndValues ...string) []byte {
	return encodeException(sequenceID, resultLostField, namesAndValues...)
}

// encodeException returns the frame of an exception that execute declares, with the fields given as names and values in
// turn. resultField is the field ID of the exception in the result.
func encodeException(sequenceID uint32, resultField uint16, namesAndValues ...string) []byte {
	frame := appendFrame(make([]byte, 0, replyCapacity), messageReply, methodExecute, sequenceID)
	frame = appendFieldHeader(frame, resultField, typeStruct)
	frame = appendFieldHeader(frame, exceptionFieldsField, typeMap)
	frame = appendStringMap(frame, namesAndValues...)
	frame = append(frame, byte(typeStop)) // of the exception
	frame = append(frame, byte(typeStop)) // of the result
	setFrameLength(frame, 0)
	return frame
}

// encodeUnknownMethod returns the frame of the TApplicationException for a method that the service does not have.
func encodeUnknownMethod(method string, sequenceID uint32) []byte {
	frame := appendFrame(nil, messageException, method, sequenceID)
	frame = appendFieldHeader(frame, applicationExceptionMessageField, typeString)
	frame = appendString(frame, "unknown method")
	frame = appendFieldHeader(frame, applicationExceptionTypeField, typeI32)
	frame = appendUint32(frame, unknownMethodType)
	frame = append(frame, byte(typeStop))
	setFrameLength(frame, 0)
	return frame
}

package thrift

import (
	"errors"
	"fmt"
)

// errProtocol is wrapped by every error that makes the server close a client's connection.
var errProtocol = errors.New("protocol violation")

// The protocol violations. Most are returned wrapped together with the received value, so compare them with errors.Is.
var (
	errFrameTooLarge     = violation("frame too large")
	errTruncated         = violation("truncated message or negative value length")
	errBadVersion        = violation("message is not in the strict binary protocol, version 1")
	errMethodNameTooLong = violation("method name too long")
	errUnexpectedMessage = violation("unexpected message")
	errUnknownType       = violation("unknown value type")
	errNestedTooDeep     = violation("value nested too deeply")
	errTooManyElements   = violation("too many elements")
	errNotStringMap      = violation("request fields are not a map of strings to strings")
	errDuplicateField    = violation("duplicate field")
	errTrailingBytes     = violation("bytes after the end of the message")
	errBodyTooLarge      = violation("request body too large")
	errSequenceID        = violation("invalid sequence ID")
)

// violation returns an error that wraps errProtocol.
func violation(text string) error { return fmt.Errorf("%w: %s", errProtocol, text) }

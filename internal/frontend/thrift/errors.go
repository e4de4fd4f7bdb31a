package thrift

import (
	"errors"
	"fmt"
)

// errProtocol is wrapped by every error that closes a client's connection.
var errProtocol = errors.New("protocol violation")

// The violations of the protocol. They are compared with errors.Is; some are wrapped with what was received.
var (
	errFrameTooLarge     = violation("frame too large")
	errTruncated         = violation("message truncated")
	errBadVersion        = violation("not the strict binary protocol, version 1")
	errMethodNameTooLong = violation("method name too long")
	errUnexpectedMessage = violation("unexpected message")
	errUnknownType       = violation("unknown value type")
	errNestedTooDeep     = violation("value nested too deep")
	errTooManyElements   = violation("too many elements")
	errNotStringMap      = violation("not a map of strings to strings")
	errBodyTooLarge      = violation("body too large")
	errSequenceID        = violation("sequence ID not above the last one")
)

// violation returns an error that wraps errProtocol.
func violation(text string) error { return fmt.Errorf("%w: %s", errProtocol, text) }

package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	maxHeadBytes    = 8 << 10  // request line and header lines
	maxHeaderFields = 64       // of a request
	maxCallBytes    = 16 << 10 // a call's body, once decoded
	maxBodyBytes    = 24 << 10 // a request's body: a call's body in base64 and the fields round it
	protocolVersion = "HTTP/1.1"
)

// Why a request can't be read. Where its body would end is then unknown, so that the connection can't be used any
// further.
var (
	errMalformedRequestLine = errors.New("malformed request line")
	errMalformedField       = errors.New("malformed header field")
	errBareLineFeed         = errors.New("line end is not CRLF")
	errMissingHost          = errors.New("not exactly one Host")
	errTransferEncoding     = errors.New("transfer codings are not supported")
	errContentLength        = errors.New("missing, repeated or malformed Content-Length")
	errHeadTooLarge         = errors.New("request head is too large")
	errBodyTooLarge         = errors.New("request body is too large")
)

// Why a request that could be read is no delivery.
var (
	errUnknownPath      = errors.New("unknown path")
	errMethodNotAllowed = errors.New("method is not POST")
)

// statusOf returns the status code (RFC 9110, section 15) that answers a request rejected with err.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errMalformedSignature), errors.Is(err, errStaleTimestamp), errors.Is(err, errNoMatchingKey):
		return http.StatusUnauthorized
	case errors.Is(err, errUnknownPath):
		return http.StatusNotFound
	case errors.Is(err, errMethodNotAllowed):
		return http.StatusMethodNotAllowed
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errOverloaded), errors.Is(err, errNoLedger):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// requestHead is an HTTP/1.1 request whose head has been read (RFC 9112). Its parts point into the bytes read.
type requestHead struct {
	method, target  []byte
	fields          []headerField
	contentLength   int
	closeRequested  bool // the client asked for the connection to be closed
	expectsContinue bool // the client waits for 100 Continue before it sends the body
}

type headerField struct{ name, value []byte }

// field returns the value of the last header field of that name, and how many there are.
func (h *requestHead) field(name string) (value []byte, count int) {
	for _, f := range h.fields {
		if len(f.name) == len(name) && bytes.EqualFold(f.name, []byte(name)) {
			value = f.value
			count++
		}
	}
	return value, count
}

// parseRequestHead reads the head at the front of b, in place. It returns the head's size in bytes, 0 while it is
// incomplete.
func parseRequestHead(b []byte) (head requestHead, size int, err error) {
	end := bytes.Index(b[:min(len(b), maxHeadBytes)], []byte("\r\n\r\n"))
	if end < 0 {
		return head, 0, checkIncompleteHead(b)
	}
	line, fields, _ := bytes.Cut(b[:end+len("\r\n")], []byte("\r\n"))
	if err := head.parseRequestLine(line); err != nil {
		return head, 0, err
	}
	if err := head.parseFields(fields); err != nil {
		return head, 0, err
	}
	if _, count := head.field("Host"); count != 1 {
		return head, 0, errMissingHost
	}
	if err := head.parseFraming(); err != nil {
		return head, 0, err
	}
	connection, _ := head.field("Connection")
	head.closeRequested = bytes.EqualFold(connection, []byte("close"))
	expect, _ := head.field("Expect")
	head.expectsContinue = bytes.EqualFold(expect, []byte("100-continue"))
	return head, end + len("\r\n\r\n"), nil
}

// checkIncompleteHead rejects bytes that no further ones can complete to a valid head.
func checkIncompleteHead(b []byte) error {
	if len(b) >= maxHeadBytes {
		return errHeadTooLarge
	}
	// An intermediary may have taken a bare line feed for a line end (RFC 9112, section 2.2, allows it). Waiting for CRLF
	// would then read beyond the request that it saw.
	if i := bytes.IndexByte(b, '\n'); i == 0 || i > 0 && b[i-1] != '\r' {
		return errBareLineFeed
	}
	return nil
}

// parseRequestLine reads METHOD SP TARGET SP VERSION (RFC 9112, section 3).
func (h *requestHead) parseRequestLine(line []byte) error {
	words := bytes.Split(line, []byte{' '})
	if len(words) != 3 || string(words[2]) != protocolVersion || !isToken(words[0]) || !isRequestTarget(words[1]) {
		return errMalformedRequestLine
	}
	h.method = words[0]
	h.target = words[1]
	return nil
}

// parseFields reads the header lines, each with its line end (RFC 9112, section 5). It rejects folded lines and
// space before the colon, which servers are known to read in different ways.
func (h *requestHead) parseFields(lines []byte) error {
	var line []byte
	for len(lines) > 0 {
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, found := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !found || !isToken(name) || !isFieldValue(value) {
			return errMalformedField
		}
		if len(h.fields) == maxHeaderFields {
			return fmt.Errorf("%w: more than %d fields", errHeadTooLarge, maxHeaderFields)
		}
		h.fields = append(h.fields, headerField{name, value})
	}
	return nil
}

// parseFraming finds the body's length. It rejects two lengths, and any transfer coding, rather than choose between
// them: on such a choice rests request smuggling (RFC 9112, sections 6.3 and 11.2).
func (h *requestHead) parseFraming() error {
	if _, count := h.field("Transfer-Encoding"); count > 0 {
		return errTransferEncoding
	}
	text, count := h.field("Content-Length")
	if count > 1 || count == 0 && string(h.method) == http.MethodPost {
		return errContentLength
	}
	if count == 0 {
		return nil
	}
	length, err := parseContentLength(text)
	if err != nil {
		return err
	}
	h.contentLength = length
	return nil
}

// parseContentLength takes digits only: no sign and no list.
func parseContentLength(text []byte) (int, error) {
	if len(text) == 0 {
		return 0, errContentLength
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, errContentLength
		}
	}
	length, err := strconv.Atoi(string(text))
	if err != nil || length > maxBodyBytes { // digits alone fail only where the number is too large for an int
		return 0, errBodyTooLarge
	}
	return length, nil
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

// isRequestTarget reports whether b may stand as a request's target: visible ASCII, and not empty.
func isRequestTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b may stand as a header field's value (RFC 9110, section 5.5): no control characters
// but tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// reasonPhrase returns the status's name as RFC 9110 has it; net/http still has an older one for 413.
func reasonPhrase(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return "Content Too Large"
	}
	return http.StatusText(status)
}

// continueResponse tells a client that waits for it to send its request's body (RFC 9110, section 15.2.1).
const continueResponse = protocolVersion + " 100 Continue\r\n\r\n"

// responseHead is what the head of a response is made of.
type responseHead struct {
	status        int
	contentLength int
	closes        bool          // the connection is closed behind it
	retryAfter    time.Duration // of 503: sent in whole seconds, rounded up, at least one
}

// encode returns the head's bytes.
func (h responseHead) encode() []byte {
	b := make([]byte, 0, 192)
	b = fmt.Appendf(b, "%s %d %s\r\nContent-Length: %d\r\n", protocolVersion, h.status, reasonPhrase(h.status), h.contentLength)
	if h.contentLength > 0 {
		b = append(b, "Content-Type: application/octet-stream\r\n"...)
	}
	if h.closes {
		b = append(b, "Connection: close\r\n"...)
	}
	switch h.status {
	case http.StatusServiceUnavailable:
		b = fmt.Appendf(b, "Retry-After: %d\r\n", max(1, (h.retryAfter+time.Second-1)/time.Second))
	case http.StatusMethodNotAllowed:
		b = append(b, "Allow: POST\r\n"...)
	}
	return append(b, "\r\n"...)
}

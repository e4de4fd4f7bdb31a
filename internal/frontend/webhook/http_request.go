package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// protocolVersion is the only HTTP version that is accepted in requests. Responses and notices have it too.
const protocolVersion = "HTTP/1.1"

// Limits on an HTTP request. They bound the memory that a connection uses for it.
const (
	maxHeadBytes    = 8 << 10 // request line, header lines and the empty line after them
	maxHeaderFields = 64      // header lines

	// maxHTTPBodyBytes bounds the body of an HTTP request, which is the payload of a delivery. A payload with a request
	// body of maxRequestBodyBytes fits: base64 increases its size by a third, which leaves 2 KiB for the other fields.
	maxHTTPBodyBytes = 24 << 10
)

// Errors of an HTTP request that can't be parsed. The end of its body is unknown, so no further HTTP request can be
// read from the connection.
var (
	errMalformedRequestLine = errors.New("malformed request line")
	errMalformedField       = errors.New("malformed header field")
	errBareLineFeed         = errors.New("line does not end with CRLF")
	errMissingHost          = errors.New("request does not have exactly one Host header field")
	errTransferEncoding     = errors.New("Transfer-Encoding is not supported")
	errContentLength        = errors.New("missing, repeated or malformed Content-Length")
	errHeadTooLarge         = errors.New("request head is too large")
	errHTTPBodyTooLarge     = errors.New("request body is too large")
)

// Errors of an HTTP request that could be parsed but is not a delivery.
var (
	errUnknownPath      = errors.New("unknown path")
	errMethodNotAllowed = errors.New("method is not POST")
)

// requestHead is the parsed head of an HTTP/1.1 request (RFC 9112). Its slices point into the received bytes.
type requestHead struct {
	method          []byte
	target          []byte
	fields          []headerField
	contentLength   int  // size in bytes of the body, which follows the head
	closeRequested  bool // the value of the last Connection field is "close"; lists are not supported
	expectsContinue bool // the client waits for 100 Continue before it sends the body
}

// headerField is a header line. Spaces and tabs around the value are removed.
type headerField struct {
	name  []byte
	value []byte
}

// field returns the value of the last header field with the name, and the number of such fields. The name is not
// case-sensitive.
func (h *requestHead) field(name string) (value []byte, count int) {
	for _, f := range h.fields {
		if len(f.name) == len(name) && bytes.EqualFold(f.name, []byte(name)) {
			value = f.value
			count++
		}
	}
	return value, count
}

// parseRequestHead parses the head at the start of b, in place: the slices of head point into b. It returns the head's
// size in bytes, or 0 if the head is incomplete.
func parseRequestHead(b []byte) (head requestHead, size int, err error) {
	headEnd := bytes.Index(b[:min(len(b), maxHeadBytes)], []byte("\r\n\r\n"))
	if headEnd < 0 {
		return head, 0, checkIncompleteHead(b)
	}
	line, fields, _ := bytes.Cut(b[:headEnd+len("\r\n")], []byte("\r\n"))
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
	return head, headEnd + len("\r\n\r\n"), nil
}

// checkIncompleteHead returns an error if b is too long for a head, or if its first line ends with a bare line feed.
// Once the head is complete, parseFields detects bare line feeds in later lines.
func checkIncompleteHead(b []byte) error {
	if len(b) >= maxHeadBytes {
		return errHeadTooLarge
	}
	// An intermediary may have accepted a bare line feed as a line end (RFC 9112, section 2.2, allows it). Waiting for
	// CRLF would then read beyond the end of the request that the intermediary forwarded.
	if i := bytes.IndexByte(b, '\n'); i == 0 || i > 0 && b[i-1] != '\r' {
		return errBareLineFeed
	}
	return nil
}

// parseRequestLine parses METHOD SP TARGET SP VERSION (RFC 9112, section 3).
func (h *requestHead) parseRequestLine(line []byte) error {
	words := bytes.Split(line, []byte{' '})
	if len(words) != 3 {
		return errMalformedRequestLine
	}
	method := words[0]
	target := words[1]
	version := words[2]
	if !isToken(method) || !isRequestTarget(target) || string(version) != protocolVersion {
		return errMalformedRequestLine
	}
	h.method = method
	h.target = target
	return nil
}

// parseFields parses the header lines, each of which includes its line end (RFC 9112, section 5). Folded lines and
// spaces before the colon are errors, because servers interpret them in different ways.
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

// parseFraming determines the length of the body. More than one Content-Length field and any Transfer-Encoding field
// are errors, because choosing between them would allow request smuggling (RFC 9112, sections 6.3 and 11.2).
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

// parseContentLength parses the value of Content-Length. It must consist of digits only, without a sign or a list.
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
	if err != nil || length > maxHTTPBodyBytes { // Atoi fails on digits only if the number overflows int
		return 0, errHTTPBodyTooLarge
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

// isRequestTarget reports whether b may be the target of an HTTP request: visible ASCII characters, at least one.
func isRequestTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b may be the value of a header field (RFC 9110, section 5.5). Tabs are the only control
// characters that it may contain.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

package webhook

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// response is the answer to an HTTP request.
type response struct {
	status     int // HTTP status code
	body       []byte
	retryAfter time.Duration // of 503; see responseHead
}

// statusOf returns the status code (RFC 9110, section 15) of the response to an HTTP request that is refused with err.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errMalformedSignature), errors.Is(err, errStaleTimestamp), errors.Is(err, errNoMatchingKey):
		return http.StatusUnauthorized
	case errors.Is(err, errUnknownPath):
		return http.StatusNotFound
	case errors.Is(err, errMethodNotAllowed):
		return http.StatusMethodNotAllowed
	case errors.Is(err, errHTTPBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errOverloaded), errors.Is(err, errNoLedger):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// reasonPhrase returns the status's name as RFC 9110 has it; net/http still has an older one for 413.
func reasonPhrase(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return "Content Too Large"
	}
	return http.StatusText(status)
}

// continueResponse makes a client that expects it send the body of its HTTP request (RFC 9110, section 15.2.1).
const continueResponse = protocolVersion + " 100 Continue\r\n\r\n"

// responseHeadCapacity is the initial size of a response head's buffer, in bytes. Each response head fits, so that the
// buffer need not grow.
const responseHeadCapacity = 192

// responseHead is the head of a response.
type responseHead struct {
	status        int           // HTTP status code
	contentLength int           // bytes
	closeConnection        bool          // the connection is closed after the response
	retryAfter    time.Duration // of 503; sent in whole seconds, rounded up, at least one
}

// encode returns the head's bytes.
func (h responseHead) encode() []byte {
	b := make([]byte, 0, responseHeadCapacity)
	b = fmt.Appendf(b, "%s %d %s\r\nContent-Length: %d\r\n", protocolVersion, h.status, reasonPhrase(h.status), h.contentLength)
	if h.contentLength > 0 {
		b = append(b, "Content-Type: application/octet-stream\r\n"...)
	}
	if h.closeConnection {
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

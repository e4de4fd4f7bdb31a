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
	retryAfter time.Duration // only sent with status 503; see responseHead
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

// reasonPhrase returns the reason phrase that RFC 9110 defines for a status; net/http has an outdated one for 413.
func reasonPhrase(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return "Content Too Large"
	}
	return http.StatusText(status)
}

// continueResponse tells a client that expects it to send the body of its HTTP request (RFC 9110, section 15.2.1).
const continueResponse = protocolVersion + " 100 Continue\r\n\r\n"

// responseHeadCapacity is the initial capacity of a response head's buffer, in bytes. Every response head fits into it,
// so the buffer is not reallocated.
const responseHeadCapacity = 192

// responseHead is the head of a response.
type responseHead struct {
	status          int           // HTTP status code
	contentLength   int           // size of the body in bytes
	closeConnection bool          // adds "Connection: close"; the router closes the connection after the response
	retryAfter      time.Duration // only sent with status 503, in whole seconds: rounded up, at least 1
}

// encode returns the head in its wire format.
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

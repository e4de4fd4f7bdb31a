package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxReplyBytes is the number of bytes at the start of a reply that must contain the complete status line. It does not
// bound the header fields of an interim reply, which are buffered until they are complete or the attempt times out.
const maxReplyBytes = 8 << 10

// Errors of an attempt that ends without an HTTP status.
var (
	errReplyTimeout   = errors.New("no reply before the attempt's deadline")
	errMalformedReply = fmt.Errorf("no complete status line in the first %d bytes of the reply", maxReplyBytes)
	errNoReply        = errors.New("connection closed without a reply")
)

// attempt is one attempt to deliver a notice. Each attempt has its own connection and is the connection's handler in
// the event loop.
type attempt struct {
	sender    *Sender
	notice    *notice
	transport Transport
	deadline  time.Duration // on the event loop's clock
	reply     []byte        // bytes received so far, without complete interim replies
	ended     bool          // the result has been reported to the Sender; later events are ignored
}

// OnOpen sends the notice, signed with the time of this attempt. If the dial has failed, OnOpen ends the attempt.
func (a *attempt) OnOpen(err error) {
	if err != nil {
		a.finish(0, err)
		return
	}
	if a.ended {
		return
	}
	a.transport.Write(a.encodeRequestHead(), a.notice.body)
}

// encodeRequestHead returns the head of the HTTP request that carries the notice.
func (a *attempt) encodeRequestHead() []byte {
	target := a.sender.url
	id := a.notice.id
	body := a.notice.body
	timestamp := strconv.FormatInt(a.sender.wallClock().Unix(), 10)
	signature := sign(a.sender.secret, id, timestamp, body)
	return fmt.Appendf(nil, "POST %s %s\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"%s: %s\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n",
		target.RequestURI(), protocolVersion, target.Host, len(body),
		idField, id, timestampField, timestamp, signatureField, signature)
}

// OnData parses the status line of the reply and ends the attempt with its status. The rest of the reply is ignored.
func (a *attempt) OnData(b []byte) {
	if a.ended {
		return
	}
	a.reply = append(a.reply, b...)
	line, _, complete := bytes.Cut(a.reply[:min(len(a.reply), maxReplyBytes)], []byte("\r\n"))
	if !complete {
		if len(a.reply) >= maxReplyBytes {
			a.finish(0, errMalformedReply)
		}
		return
	}
	status := parseStatusLine(line)
	if status >= http.StatusContinue && status < http.StatusOK {
		a.skipInterimReply()
		return
	}
	a.finish(status, nil)
}

// skipInterimReply discards the head of an interim reply once it is complete. The final reply follows it (RFC 9110,
// section 15.2).
func (a *attempt) skipInterimReply() {
	_, rest, complete := bytes.Cut(a.reply, []byte("\r\n\r\n"))
	if !complete {
		return
	}
	a.reply = nil
	a.OnData(rest)
}

// parseStatusLine returns the status code of an HTTP/1.x status line, or 0 if the line is malformed.
func parseStatusLine(line []byte) int {
	words := bytes.SplitN(line, []byte{' '}, 3)
	if len(words) < 2 || !bytes.HasPrefix(words[0], []byte("HTTP/1.")) || len(words[1]) != 3 {
		return 0
	}
	status, err := strconv.Atoi(string(words[1]))
	if err != nil {
		return 0
	}
	return status
}

// OnClose fails the attempt if the connection closes before the status of the final reply has arrived.
func (a *attempt) OnClose(err error) {
	if err == nil {
		err = errNoReply
	}
	a.finish(0, err)
}

// finish closes the connection and reports the result of the attempt to the Sender. Only the first call has an effect.
// If the reply has a valid status line, status is its HTTP status and err is nil. Otherwise status is 0, and err is the
// reason why there is no reply, or nil if the reply has a malformed status line.
func (a *attempt) finish(status int, err error) {
	if a.ended {
		return
	}
	a.ended = true
	a.transport.Close()
	a.sender.attemptEnded(a.notice, status, err)
}

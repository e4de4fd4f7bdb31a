package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxReplyBytes is how much of a reply is searched for its status line. It does not bound the header fields of an interim
// reply, which are kept until they are complete or the attempt times out.
const maxReplyBytes = 8 << 10

// Why an attempt ended without a status.
var (
	errReplyTimeout   = errors.New("no answer in time")
	errMalformedReply = errors.New("malformed answer")
	errNoReply        = errors.New("closed without an answer")
)

// attempt is one attempt to deliver a notice, on a connection of its own. It is the event loop's handler of the
// connection.
type attempt struct {
	sender    *Sender
	notice    *notice
	transport Transport
	deadline  time.Duration // on the event loop's clock
	reply     []byte        // received so far, without complete interim replies
	ended     bool          // reported to the Sender; nothing more is done
}

// OnOpen sends the notice, signed with the time of this attempt, or ends the attempt if the dial has failed.
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

// OnData parses the reply's status line and ends the attempt with it. The rest of the reply has no meaning.
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

// parseStatusLine returns the status code, or 0 if the line is malformed.
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

// OnClose ends an attempt that had no reply.
func (a *attempt) OnClose(err error) {
	if err == nil {
		err = errNoReply
	}
	a.finish(0, err)
}

// finish closes the connection and reports the attempt's finish to the Sender, once: with the reply's HTTP status and no error, or
// with status 0. err then says why there is no reply; it is nil if the reply's status line is malformed.
func (a *attempt) finish(status int, err error) {
	if a.ended {
		return
	}
	a.ended = true
	a.transport.Close()
	a.sender.attemptEnded(a.notice, status, err)
}

package webhook

import (
	"crypto/rand"
	"encoding/base64"
	"time"

	"functionrouter/internal/router"
)

// notice is an open notice, which has neither been delivered nor failed.
type notice struct {
	id        string        // its webhook-id, the same in each attempt
	body      []byte        // JSON of its noticePayload; must not be modified, because each attempt writes it
	attempts  int           // number of attempts that have ended
	notBefore time.Duration // the earliest start of the next attempt, on the event loop's clock
}

// noticePayload is the JSON payload of a notice. Receivers of notices depend on its JSON names.
type noticePayload struct {
	Type      string     `json:"type"`
	Timestamp time.Time  `json:"timestamp"` // time of the order's end, RFC 3339 in UTC
	Data      noticeData `json:"data"`
}

// noticeData identifies the order that a notice reports.
type noticeData struct {
	RequestID   string `json:"id"`                   // the request ID, router.Request.ID
	WebhookID   string `json:"webhook_id,omitempty"` // the order's webhook-id; empty for an order of another frontend
	FunctionKey string `json:"key"`
}

// noticeType returns the type of a notice that reports outcome. The types must not change, because receivers of notices
// compare them.
func noticeType(outcome router.RequestOutcome) string {
	const prefix = "repair-order."
	if outcome == router.RequestCancelled {
		return prefix + "abandoned"
	}
	return prefix + outcome.String()
}

// newMessageID returns a random webhook-id for a notice.
func newMessageID() string {
	var b [16]byte
	rand.Read(b[:]) // crypto/rand documents that it never fails
	return "msg_" + base64.RawURLEncoding.EncodeToString(b[:])
}

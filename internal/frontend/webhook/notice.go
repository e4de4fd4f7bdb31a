package webhook

import (
	"crypto/rand"
	"encoding/base64"
	"time"

	"functionrouter/internal/router"
)

// notice is a notice that is open: neither delivered nor failed.
type notice struct {
	id        string        // its webhook-id, the same in each attempt
	body      []byte        // the JSON of its noticePayload; each attempt writes it, so it is never changed
	attempts  int           // that have ended
	notBefore time.Duration // the earliest start of the next attempt, on the event loop's clock
}

// noticePayload is the JSON of a notice. Its names are part of the wire.
type noticePayload struct {
	Type      string     `json:"type"`
	Timestamp time.Time  `json:"timestamp"` // of the order's end, RFC 3339 in UTC
	Data      noticeData `json:"data"`
}

// noticeData says which order a notice is about.
type noticeData struct {
	RequestID   string `json:"id"`                   // router.Request.ID
	WebhookID   string `json:"webhook_id,omitempty"` // of the order's deliveries; empty if it did not come by webhook
	FunctionKey string `json:"key"`
}

// noticeType returns the type of a notice of an outcome. The types are part of the wire: receivers of notices compare
// them.
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
	rand.Read(b[:]) // it never fails: see crypto/rand
	return "msg_" + base64.RawURLEncoding.EncodeToString(b[:])
}

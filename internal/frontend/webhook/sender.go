package webhook

import (
	crand "crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
)

const (
	maxConcurrentAttempts = 4
	maxBackoff            = 10 * time.Minute
	maxBackoffDoublings   = 20        // the exponent's bound
	idleInterval          = time.Hour // until Process is called again where nothing waits
	defaultPort           = ":80"
)

// Sender sends a signed notice of each order's outcome. It never delays a request: notices that its queue has no room
// for are dropped and counted. It belongs to the event loop's goroutine.
type Sender struct {
	settings  *SenderConfig
	url       *url.URL
	address   string // to connect to
	secret    []byte
	dial      func(address string, timeout time.Duration, h eventloop.DialHandler) Transport
	wallClock func() time.Time
	now       time.Duration // the latest time that a caller passed
	queue     []*notice     // waiting for their first or next attempt
	attempts  []*attempt    // in flight, and those that ended since the last Process
	inFlight  int           // attempts that have not ended

	// Sent may be read on the loop's goroutine.
	Sent SenderCounters
}

// SenderCounters counts notices by what was done with them.
type SenderCounters struct {
	Queued    uint64
	Dropped   uint64 // not queued: the queue was full
	Delivered uint64 // accepted by their receiver
	Retried   uint64 // attempts that failed and were followed by another
	GivenUp   uint64 // notices whose last attempt failed
}

// notice is a message to be delivered.
type notice struct {
	id        string // its webhook-id, the same in each attempt
	body      []byte
	attempts  int           // that have ended
	notBefore time.Duration // of its next attempt
}

// noticePayload is the JSON of a notice.
type noticePayload struct {
	Type      string     `json:"type"`
	Timestamp time.Time  `json:"timestamp"` // of the order's end
	Data      noticeData `json:"data"`
}

type noticeData struct {
	ID        string `json:"id"`                   // of the request
	WebhookID string `json:"webhook_id,omitempty"` // of the delivery that asked for the order
	Key       string `json:"key"`                  // the function's
}

// NewSender reads the key. dial opens a connection and reports to h on the loop's goroutine, after it has returned.
func NewSender(cfg *Config, wallClock func() time.Time,
	dial func(address string, timeout time.Duration, h eventloop.DialHandler) Transport) (*Sender, error) {
	settings := &cfg.Sender
	target, err := url.Parse(settings.URL)
	if err != nil {
		return nil, fmt.Errorf("sender.url: %w", err)
	}
	address := settings.Connect
	if address == "" {
		address = target.Host
		if target.Port() == "" {
			address += defaultPort
		}
	}
	secret, err := readSecret(settings.Key)
	if err != nil {
		return nil, err
	}
	return &Sender{settings: settings, url: target, address: address, secret: secret, dial: dial, wallClock: wallClock}, nil
}

// Notify queues a notice of an order's outcome, whose name becomes part of the notice's type.
func (s *Sender) Notify(now time.Duration, r *router.Request, outcome router.RequestOutcome) {
	s.now = max(s.now, now)
	if s.OpenNotices() >= s.settings.Queue {
		s.Sent.Dropped++
		return
	}
	body, err := json.Marshal(noticePayload{
		Type:      noticeType(outcome),
		Timestamp: s.wallClock().UTC(),
		Data:      noticeData{ID: r.ID, WebhookID: r.ClientReference, Key: r.FunctionKey},
	})
	if err != nil {
		s.Sent.Dropped++
		return
	}
	s.Sent.Queued++
	s.queue = append(s.queue, &notice{id: newMessageID(), body: body, notBefore: s.now})
}

// noticeType returns the type of a notice of an outcome. The types are part of the wire: receivers compare them.
func noticeType(outcome router.RequestOutcome) string {
	const prefix = "repair-order."
	if outcome == router.RequestCancelled {
		return prefix + "abandoned"
	}
	return prefix + outcome.String()
}

// newMessageID returns a webhook-id.
func newMessageID() string {
	var b [16]byte
	crand.Read(b[:]) // it never fails: see crypto/rand
	return "msg_" + base64.RawURLEncoding.EncodeToString(b[:])
}

// OpenNotices returns how many notices have been neither delivered nor given up.
func (s *Sender) OpenNotices() int { return len(s.queue) + s.inFlight }

// Process starts the attempts that are due and ends those that take too long. It returns when it must be called
// again at the latest.
func (s *Sender) Process(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	nextStart := s.startAttempts(now)
	nextTimeout := s.expireAttempts(now)
	return min(now+idleInterval, nextStart, nextTimeout)
}

// startAttempts sends the notices that are due, as many at once as are allowed. It returns when the next is due.
func (s *Sender) startAttempts(now time.Duration) (next time.Duration) {
	next = now + idleInterval
	waiting := s.queue[:0]
	for _, n := range s.queue {
		if n.notBefore <= now && s.inFlight < maxConcurrentAttempts {
			s.startAttempt(now, n)
			continue
		}
		if s.inFlight < maxConcurrentAttempts {
			next = min(next, n.notBefore)
		}
		waiting = append(waiting, n)
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	return next
}

func (s *Sender) startAttempt(now time.Duration, n *notice) {
	s.inFlight++
	a := &attempt{sender: s, notice: n, deadline: now + s.settings.Timeout}
	a.transport = s.dial(s.address, s.settings.Timeout, a)
	s.attempts = append(s.attempts, a)
}

// expireAttempts ends the attempts whose time is over, and forgets those that have ended. It returns the next
// deadline.
func (s *Sender) expireAttempts(now time.Duration) (next time.Duration) {
	next = now + idleInterval
	running := s.attempts[:0]
	for _, a := range s.attempts {
		if !a.ended && a.deadline <= now {
			a.end(0, errReplyTimeout)
		}
		if !a.ended {
			next = min(next, a.deadline)
			running = append(running, a)
		}
	}
	clear(s.attempts[len(running):])
	s.attempts = running
	return next
}

// attemptEnded counts the end of a notice's attempt. A notice that was not accepted with a 2xx status is queued for a
// retry with exponential backoff, until its attempts are used up or its receiver answers 410 (Gone).
func (s *Sender) attemptEnded(n *notice, status int, err error) {
	s.inFlight--
	n.attempts++
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		s.Sent.Delivered++
		return
	}
	slog.Warn("webhook notice attempt failed", "webhook_id", n.id, "attempt", n.attempts, "status", status, "error", err)
	if n.attempts >= s.settings.Attempts || status == http.StatusGone {
		s.Sent.GivenUp++
		return
	}
	s.Sent.Retried++
	n.notBefore = s.now + retryDelay(s.settings.Backoff, n.attempts)
	s.queue = append(s.queue, n)
}

// retryDelay returns the backoff after so many failed attempts. It grows fourfold with each, up to maxBackoff; half of
// it is jitter, so that notices that failed together are not retried together.
func retryDelay(initial time.Duration, failed int) time.Duration {
	doublings := min(2*(failed-1), maxBackoffDoublings)
	delay := min(initial<<doublings, maxBackoff)
	return delay/2 + rand.N(delay/2+1)
}

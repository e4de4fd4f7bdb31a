package webhook

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
)

const (
	// maxConcurrentAttempts bounds the connections to the notices' receiver.
	maxConcurrentAttempts = 4

	// idleInterval is the longest time until the next call of Process, if no notice waits for anything.
	idleInterval = time.Hour

	// defaultPort is that of http URLs.
	defaultPort = ":80"
)

// The backoff between the attempts of a notice; see retryDelay.
const (
	maxBackoff                 = 10 * time.Minute
	backoffDoublingsPerAttempt = 2  // the backoff grows fourfold
	maxBackoffDoublings        = 20 // a time.Duration overflows only if the initial backoff is above 2.4 hours
)

// Sender sends signed notices of how orders ended. It never delays a request: while Queue notices of the settings are open,
// further ones are dropped and counted. It belongs to the event loop's goroutine.
type Sender struct {
	settings  *SenderConfig
	url       *url.URL
	address   string // to connect to
	secret    []byte // signs the notices
	dial      func(address string, timeout time.Duration, h eventloop.DialHandler) Transport
	wallClock func() time.Time
	now       time.Duration // the latest time on the event loop's clock that a caller passed
	queue     []*notice     // waiting for their first or next attempt
	attempts  []*attempt    // in flight, and those that ended since the last Process
	inFlight  int           // attempts that have not ended

	// Counters may be read on the event loop's goroutine.
	Counters SenderCounters
}

// SenderCounters counts notices by what was done with them. Each notice that was queued is Delivered, Failed or open.
type SenderCounters struct {
	Queued    uint64
	Dropped   uint64 // not queued: too many were open
	Delivered uint64 // accepted by their receiver
	Retried   uint64 // failed attempts that another one follows
	Failed    uint64 // notices that failed: no attempt follows the last one
}

// NewSender returns a Sender to the URL of the settings, and reads its key. An error of the key names its file.
//
// dial opens a connection to address, a HOST:PORT. It reports to h on the event loop's goroutine, and only after it has
// returned: the Sender is not ready for the end of an attempt before that.
func NewSender(cfg *Config, wallClock func() time.Time,
	dial func(address string, timeout time.Duration, h eventloop.DialHandler) Transport,
) (*Sender, error) {
	settings := &cfg.Sender
	target, err := url.Parse(settings.URL)
	if err != nil {
		return nil, &settingError{"sender.url", err}
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

// Notify queues a notice of an order's outcome, or drops and counts it. The caller decides which requests are orders; r may
// be of any frontend, and is not kept. now is the event loop's clock. The attempt starts with the next call of Process.
func (s *Sender) Notify(now time.Duration, r *router.Request, outcome router.RequestOutcome) {
	s.now = max(s.now, now)
	if s.OpenNotices() >= s.settings.Queue {
		s.Counters.Dropped++
		return
	}
	body, err := json.Marshal(noticePayload{
		Type:      noticeType(outcome),
		Timestamp: s.wallClock().UTC(),
		Data:      noticeData{RequestID: r.ID, WebhookID: r.ClientReference, FunctionKey: r.FunctionKey},
	})
	if err != nil {
		s.Counters.Dropped++
		return
	}
	s.Counters.Queued++
	s.queue = append(s.queue, &notice{id: newMessageID(), body: body, notBefore: s.now})
}

// OpenNotices returns how many notices have been neither delivered nor failed.
func (s *Sender) OpenNotices() int { return len(s.queue) + s.inFlight }

// Process starts the attempts that are due and ends those that take too long. now is the event loop's clock.
//
// It returns the time of the next start or timeout that it knows of, at which it must be called again at the latest. It must
// also be called after Notify and after the end of an attempt, including one that it has ended itself: the retry is not in
// the returned time. The program calls it in each turn of the event loop.
func (s *Sender) Process(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	nextStart := s.startAttempts(now)
	nextTimeout := s.expireAttempts(now)
	return min(now+idleInterval, nextStart, nextTimeout)
}

// startAttempts starts an attempt for each notice that is due, up to maxConcurrentAttempts in flight. It returns when the
// next notice is due. Notices that wait for the end of another's attempt are not included: their time is not known.
func (s *Sender) startAttempts(now time.Duration) (nextStart time.Duration) {
	nextStart = now + idleInterval
	waiting := s.queue[:0]
	for _, n := range s.queue {
		if n.notBefore <= now && s.inFlight < maxConcurrentAttempts {
			s.startAttempt(now, n)
			continue
		}
		if s.inFlight < maxConcurrentAttempts {
			nextStart = min(nextStart, n.notBefore)
		}
		waiting = append(waiting, n)
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	return nextStart
}

// startAttempt opens the connection of a notice's next attempt. The attempt must not end before dial returns: attemptEnded
// appends to the queue, which startAttempts is filtering in place.
func (s *Sender) startAttempt(now time.Duration, n *notice) {
	s.inFlight++
	a := &attempt{sender: s, notice: n, deadline: now + s.settings.Timeout}
	a.transport = s.dial(s.address, s.settings.Timeout, a)
	s.attempts = append(s.attempts, a)
}

// expireAttempts ends the attempts that are past their deadline, and forgets those that have ended. It returns the next
// deadline.
func (s *Sender) expireAttempts(now time.Duration) (nextTimeout time.Duration) {
	nextTimeout = now + idleInterval
	inFlight := s.attempts[:0]
	for _, a := range s.attempts {
		if !a.ended && a.deadline <= now {
			a.finish(0, errReplyTimeout)
		}
		if !a.ended {
			nextTimeout = min(nextTimeout, a.deadline)
			inFlight = append(inFlight, a)
		}
	}
	clear(s.attempts[len(inFlight):])
	s.attempts = inFlight
	return nextTimeout
}

// attemptEnded handles the end of a notice's attempt; status and err are those of attempt.end. A notice that was not
// accepted with a 2xx status is queued for a retry with exponential backoff, until its attempts are used up or its receiver
// answers 410 (Gone): then it has failed.
func (s *Sender) attemptEnded(n *notice, status int, err error) {
	s.inFlight--
	n.attempts++
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		s.Counters.Delivered++
		return
	}
	slog.Warn("webhook notice attempt failed", "webhook_id", n.id, "attempt", n.attempts, "status", status, "error", err)
	if n.attempts >= s.settings.Attempts || status == http.StatusGone {
		s.Counters.Failed++
		return
	}
	s.Counters.Retried++
	n.notBefore = s.now + retryDelay(s.settings.Backoff, n.attempts)
	s.queue = append(s.queue, n)
}

// retryDelay returns the backoff after a number of failed attempts, 1 or more: initial after the first, four times as long
// after each further one, up to maxBackoff. Up to half of it is taken off at random, so that notices that failed together
// are not retried together.
func retryDelay(initial time.Duration, failedAttempts int) time.Duration {
	doublings := min(backoffDoublingsPerAttempt*(failedAttempts-1), maxBackoffDoublings)
	delay := min(initial<<doublings, maxBackoff)
	return delay/2 + rand.N(delay/2+1)
}

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
	// maxConcurrentAttempts bounds the number of connections to the receiver of notices.
	maxConcurrentAttempts = 4

	// idleInterval is the maximum time until the next call of Process.
	idleInterval = time.Hour

	// defaultPort is the port, with its colon, of an http URL without a port.
	defaultPort = ":80"
)

// The backoff between the attempts of a notice; see retryDelay.
const (
	maxBackoff                 = 10 * time.Minute
	backoffDoublingsPerAttempt = 2  // the backoff grows fourfold
	maxBackoffDoublings        = 20 // a time.Duration overflows only if the initial backoff is above 2.4 hours
)

// Sender sends signed notices of how orders ended. It never delays a request: while SenderConfig.Queue notices are
// open, further notices are dropped and counted. Its methods must be called on the event loop's goroutine.
type Sender struct {
	settings  *SenderConfig
	url       *url.URL
	address   string // HOST:PORT to connect to
	secret    []byte // signs the notices
	dial      func(address string, timeout time.Duration, h eventloop.DialHandler) Transport
	wallClock func() time.Time
	now       time.Duration // latest time on the event loop's clock that a caller has passed
	queue     []*notice     // notices that wait for their first or next attempt
	attempts  []*attempt    // attempts in flight, and those that have ended since the last call of Process
	inFlight  int           // number of attempts that have not ended

	// Counters may be read on the event loop's goroutine.
	Counters SenderCounters
}

// SenderCounters counts notices by what happened to them. Each notice that was queued is delivered, failed or open.
type SenderCounters struct {
	Queued    uint64
	Dropped   uint64 // not queued, because too many notices were open or the payload could not be encoded
	Delivered uint64 // accepted by the receiver of notices
	Retried   uint64 // failed attempts that are followed by another attempt
	Failed    uint64 // notices whose last attempt failed
}

// NewSender returns a Sender that sends notices to the URL of the settings. It reads the key file; the error for an
// invalid key names the file.
//
// dial opens a connection to address, a HOST:PORT, and calls h on the event loop's goroutine. It must not call h before
// it returns, because an attempt must not end before then; see startAttempt.
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

// Notify queues a notice of an order's outcome. If SenderConfig.Queue notices are open, Notify drops and counts the
// notice. The caller decides which requests are orders; r may come from any frontend and is not retained. now is the
// time on the event loop's clock. A later call of Process starts the first attempt.
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

// OpenNotices returns the number of notices that have neither been delivered nor failed.
func (s *Sender) OpenNotices() int { return len(s.queue) + s.inFlight }

// Process starts the attempts that are due and ends those that have exceeded their timeout. now is the time on the
// event loop's clock.
//
// It returns the time at which it must be called again at the latest: the next known start or timeout, but not later
// than idleInterval from now. It must also be called after Notify and after the end of an attempt, including an attempt
// that Process itself has ended, because the returned time does not take the retry into account. The program calls it
// in each iteration of the event loop.
func (s *Sender) Process(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	nextStart := s.startAttempts(now)
	nextTimeout := s.expireAttempts(now)
	return min(now+idleInterval, nextStart, nextTimeout)
}

// startAttempts starts an attempt for each notice that is due, up to maxConcurrentAttempts in flight. It returns the
// time at which the next notice is due. Notices that wait for the end of another attempt are not considered, because
// the time of that end is unknown.
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

// startAttempt opens the connection of a notice's next attempt. The attempt must not end before dial returns:
// attemptEnded appends to the queue, which startAttempts is filtering in place.
func (s *Sender) startAttempt(now time.Duration, n *notice) {
	s.inFlight++
	a := &attempt{sender: s, notice: n, deadline: now + s.settings.Timeout}
	a.transport = s.dial(s.address, s.settings.Timeout, a)
	s.attempts = append(s.attempts, a)
}

// expireAttempts ends the attempts whose deadline has passed, and removes the ended attempts from s.attempts. It
// returns the earliest deadline of the remaining attempts.
func (s *Sender) expireAttempts(now time.Duration) (nextTimeout time.Duration) {
	nextTimeout = now + idleInterval
	remaining := s.attempts[:0]
	for _, a := range s.attempts {
		if !a.ended && a.deadline <= now {
			a.finish(0, errReplyTimeout)
		}
		if !a.ended {
			nextTimeout = min(nextTimeout, a.deadline)
			remaining = append(remaining, a)
		}
	}
	clear(s.attempts[len(remaining):])
	s.attempts = remaining
	return nextTimeout
}

// attemptEnded handles the end of a notice's attempt; status and err are those of attempt.finish. A notice that was not
// accepted with a 2xx status is queued for a retry with exponential backoff. It has failed if it has no attempts left
// or if its receiver has answered 410 (Gone).
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

// retryDelay returns the delay after failedAttempts failed attempts, 1 or more. The backoff is initial after the first
// attempt and grows fourfold with each further one, up to maxBackoff. The delay is a random value between half the
// backoff and the backoff, so that notices that failed at the same time are not retried at the same time.
func retryDelay(initial time.Duration, failedAttempts int) time.Duration {
	doublings := min(backoffDoublingsPerAttempt*(failedAttempts-1), maxBackoffDoublings)
	delay := min(initial<<doublings, maxBackoff)
	return delay/2 + rand.N(delay/2+1)
}

package webhook

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Config holds the settings of the webhook file (deploy/webhook.toml). A Receiver and a Sender keep a pointer to it, so
// it must not be changed after one of them has been created.
type Config struct {
	Receiver ReceiverConfig `toml:"receiver"`
	Sender   SenderConfig   `toml:"sender"`
}

// ReceiverConfig holds the settings of the Receiver. They are checked only if Enabled is true.
type ReceiverConfig struct {
	Enabled bool        `toml:"enabled"`
	Listen  string      `toml:"listen"` // IP:PORT
	Path    string      `toml:"path"`   // request target of deliveries
	Keys    []KeyConfig `toml:"keys"`   // keys that verify the signatures of deliveries
	// Tolerance is the maximum difference between a delivery's timestamp and the current time, in either direction.
	Tolerance time.Duration `toml:"tolerance"`
	// DedupeFor is how long the outcome of a request that is not an order is remembered after the request has ended.
	DedupeFor time.Duration `toml:"dedupe_for"`
	Ledger    LedgerConfig  `toml:"ledger"`
}

// LedgerConfig holds the settings of the ledger of orders. If Path is empty, the Receiver refuses orders, and the other
// fields are not checked.
type LedgerConfig struct {
	Path     string `toml:"path"`
	MaxBytes int64  `toml:"max_bytes"` // size limit of the file; the entries retained at the start may exceed it
	// Retention is how long an order is kept after its event.
	Retention time.Duration `toml:"retention"`
}

// SenderConfig holds the settings of the Sender. They are checked only if Enabled is true.
type SenderConfig struct {
	Enabled bool   `toml:"enabled"`
	URL     string `toml:"url"` // http://HOST/PATH
	// Connect is the HOST:PORT to connect to. If it is empty, the Sender connects to the host and port of URL. Connect
	// is not checked.
	Connect  string        `toml:"connect"`
	Key      string        `toml:"key"`      // path of the key file
	Queue    int           `toml:"queue"`    // maximum number of open notices, in-flight attempts included
	Attempts int           `toml:"attempts"` // maximum number of attempts per notice
	Backoff  time.Duration `toml:"backoff"`  // upper bound of the delay before the second attempt; see retryDelay
	Timeout  time.Duration `toml:"timeout"`  // maximum duration of an attempt, including its dial
}

// KeyConfig names a key file and the time at which its key is retired.
type KeyConfig struct {
	File  string    `toml:"file"`
	Until time.Time `toml:"until"` // zero: never retired
}

// signatureValidityInTolerances is the period, in tolerances, during which a signature is valid: from one tolerance
// before its timestamp to one tolerance after it. The Receiver must remember a delivery for the whole period, because
// the delivery can be sent again until the end of it.
const signatureValidityInTolerances = 2

// Bounds of the settings.
const (
	minTolerance   = time.Second       // timestamps have a resolution of one second
	minLedgerBytes = 2 * maxLedgerLine // 128 KiB

	// With a shorter dedupe_for, an outcome could be forgotten while the signature of a redelivery is still valid, and
	// the request would run again.
	minDedupeInTolerances = signatureValidityInTolerances

	// A first delivery of an order is refused if less than signatureValidityInTolerances tolerances of the retention
	// are left; see isWithinRetention. With this minimum, a client has two tolerances after the event to make the first
	// delivery.
	minRetentionInTolerances = 4

	maxSenderQueue    = 1 << 16 // notices
	maxSenderAttempts = 20      // per notice
)

// Reasons why a setting of the webhook file is rejected.
var (
	errUnknownSetting = errors.New("unknown setting")
	errMissingSetting = errors.New("must be set if the section is enabled")
	errInvalidPath    = errors.New("must begin with / and have no spaces, control characters or non-ASCII characters")
	errNotPlainHTTP   = errors.New("must be http://HOST/PATH without a user; for TLS, set sender.connect to a local TLS proxy")
	errOutOfRange     = errors.New("out of range")
)

// settingError reports which setting is rejected, and why.
type settingError struct {
	setting string // full name, such as "receiver.listen"
	reason  error
}

func (e *settingError) Error() string { return e.setting + ": " + e.reason.Error() }

func (e *settingError) Unwrap() error { return e.reason }

// outOfRange returns a *settingError for a value that is out of range. format and arguments say which values are allowed.
func outOfRange(setting string, value any, format string, arguments ...any) error {
	return &settingError{setting, fmt.Errorf("%v is %w: %s", value, errOutOfRange, fmt.Sprintf(format, arguments...))}
}

// ReadConfig reads and checks the webhook file at path. It reads neither the key files nor the ledger. Its errors name
// the file. If a setting is rejected, the error wraps a *settingError; if the file can't be read, it wraps an
// *fs.PathError.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("webhook file: %w", err)
	}
	return parseConfig(path, string(text))
}

// defaultConfig returns the settings of an empty file. deploy/webhook.toml lists the same values with descriptions; its
// receiver.listen and sender.url are examples, because these two settings have no default.
func defaultConfig() *Config {
	return &Config{
		Receiver: ReceiverConfig{
			Path:      "/hooks",
			Tolerance: 5 * time.Minute,
			DedupeFor: 15 * time.Minute,
			Ledger:    LedgerConfig{MaxBytes: 64 << 20, Retention: 72 * time.Hour},
		},
		Sender: SenderConfig{Queue: 256, Attempts: 6, Backoff: time.Second, Timeout: 10 * time.Second},
	}
}

// parseConfig parses and checks the text of a webhook file. Only the error messages use path.
func parseConfig(path, text string) (*Config, error) {
	c := defaultConfig()
	metadata, err := toml.Decode(text, c)
	if err != nil {
		return nil, fmt.Errorf("webhook file %s: %w", path, err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("webhook file %s: %w", path, &settingError{unknown[0].String(), errUnknownSetting})
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("webhook file %s: %w", path, err)
	}
	return c, nil
}

// check checks the sections that are enabled. Its errors, like those of the check methods below, are *settingErrors.
func (c *Config) check() error {
	if c.Receiver.Enabled {
		if err := c.Receiver.check(); err != nil {
			return err
		}
	}
	if c.Sender.Enabled {
		return c.Sender.check()
	}
	return nil
}

// check checks the receiver's settings. It reads neither the key files nor the ledger; NewReceiver reads them.
func (r *ReceiverConfig) check() error {
	if _, err := netip.ParseAddrPort(r.Listen); err != nil {
		return &settingError{"receiver.listen", err}
	}
	switch {
	case r.Path == "" || r.Path[0] != '/' || !isRequestTarget([]byte(r.Path)):
		return &settingError{"receiver.path", fmt.Errorf("%q is invalid: %w", r.Path, errInvalidPath)}
	case len(r.Keys) == 0:
		return &settingError{"receiver.keys", errMissingSetting}
	case r.Tolerance < minTolerance:
		return outOfRange("receiver.tolerance", r.Tolerance, "minimum %v", minTolerance)
	case r.DedupeFor < minDedupeInTolerances*r.Tolerance:
		return outOfRange("receiver.dedupe_for", r.DedupeFor, "minimum %d tolerances of %v", minDedupeInTolerances, r.Tolerance)
	}
	if r.Ledger.Path == "" {
		return nil
	}
	return r.Ledger.check(r.Tolerance)
}

// check checks the settings of a ledger whose path is set.
func (l *LedgerConfig) check(tolerance time.Duration) error {
	switch {
	case l.Retention < minRetentionInTolerances*tolerance:
		return outOfRange("receiver.ledger.retention", l.Retention, "minimum %d tolerances of %v", minRetentionInTolerances, tolerance)
	case l.MaxBytes < minLedgerBytes:
		return outOfRange("receiver.ledger.max_bytes", l.MaxBytes, "minimum %d", minLedgerBytes)
	}
	return nil
}

// check checks the sender's settings. It does not read the key file; NewSender reads it.
func (s *SenderConfig) check() error {
	target, err := url.Parse(s.URL)
	if err != nil {
		return &settingError{"sender.url", err}
	}
	switch {
	case target.Scheme != "http" || target.Host == "" || target.User != nil:
		return &settingError{"sender.url", errNotPlainHTTP}
	case s.Key == "":
		return &settingError{"sender.key", errMissingSetting}
	case s.Queue < 1 || s.Queue > maxSenderQueue:
		return outOfRange("sender.queue", s.Queue, "1 to %d", maxSenderQueue)
	case s.Attempts < 1 || s.Attempts > maxSenderAttempts:
		return outOfRange("sender.attempts", s.Attempts, "1 to %d", maxSenderAttempts)
	case s.Backoff <= 0:
		return outOfRange("sender.backoff", s.Backoff, "must be positive")
	case s.Timeout <= 0:
		return outOfRange("sender.timeout", s.Timeout, "must be positive")
	}
	return nil
}

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

// Config is what the webhook file sets (deploy/webhook.toml). A Receiver and a Sender
// read it as long as they are used: it must not change.
type Config struct {
	Receiver ReceiverConfig `toml:"receiver"`
	Sender   SenderConfig   `toml:"sender"`
}

// ReceiverConfig turns the Receiver on. Its fields are checked only where it is enabled.
type ReceiverConfig struct {
	Enabled bool        `toml:"enabled"`
	Listen  string      `toml:"listen"` // IP:PORT
	Path    string      `toml:"path"`   // of deliveries' HTTP requests
	Keys    []KeyConfig `toml:"keys"`   // that verify deliveries
	// Tolerance is how far a delivery's timestamp may be from now, in either direction.
	Tolerance time.Duration `toml:"tolerance"`
	// DedupeFor is how long the outcome of a request that is not an order is remembered, counted from its end.
	DedupeFor time.Duration `toml:"dedupe_for"`
	Ledger    LedgerConfig  `toml:"ledger"`
}

// LedgerConfig sets the ledger of orders. Without a path orders are refused, and the rest is not checked.
type LedgerConfig struct {
	Path     string `toml:"path"`
	MaxBytes int64  `toml:"max_bytes"` // of the file; what is retained at the start may exceed it
	// Retention is how long an order is kept, counted from its event.
	Retention time.Duration `toml:"retention"`
}

// SenderConfig turns the Sender on. Its fields are checked only where it is enabled.
type SenderConfig struct {
	Enabled bool   `toml:"enabled"`
	URL     string `toml:"url"` // http://HOST/PATH
	// Connect is the HOST:PORT to connect to, if it is not the URL's. It is not checked.
	Connect  string        `toml:"connect"`
	Key      string        `toml:"key"`      // path of the key file
	Queue    int           `toml:"queue"`    // the most notices that are open at once, including those with an attempt in flight
	Attempts int           `toml:"attempts"` // the most for one notice
	Backoff  time.Duration `toml:"backoff"`  // the longest random delay before the second attempt; see retryDelay
	Timeout  time.Duration `toml:"timeout"`  // of an attempt, including its dial
}

// KeyConfig names a key file, and the time at which the key is retired.
type KeyConfig struct {
	File  string    `toml:"file"`
	Until time.Time `toml:"until"` // zero: never retired
}

// signatureValidityInTolerances is how long a signature is valid: from one tolerance before its timestamp until one after
// it. As long as that, a delivery may be sent again, and must be remembered.
const signatureValidityInTolerances = 2

// The bounds of the settings.
const (
	minTolerance   = time.Second       // timestamps are in whole seconds
	minLedgerBytes = 2 * maxLedgerLine // 128 KiB

	// With a shorter dedupe_for, an outcome would be forgotten while a redelivery may still be valid, and the request
	// would run again.
	minDedupeInTolerances = signatureValidityInTolerances

	// Orders are refused in the last signatureValidityInTolerances of the retention; see isWithinRetention. This minimum
	// leaves a client two tolerances between an order's event and its last delivery.
	minRetentionInTolerances = 4

	maxSenderQueue    = 1 << 16 // notices
	maxSenderAttempts = 20      // for one notice
)

// Why a webhook file can't be used.
var (
	errUnknownSetting = errors.New("unknown setting")
	errMissingSetting        = errors.New("is missing")
	errInvalidPath       = errors.New("is no path")
	errNotPlainHTTP   = errors.New("must be http://HOST/PATH; TLS is a local proxy's work")
	errOutOfRange     = errors.New("out of range")
)

// settingError says which setting can't be used, and why.
type settingError struct {
	setting string // as in the file
	reason  error
}

func (e *settingError) Error() string { return e.setting + ": " + e.reason.Error() }

func (e *settingError) Unwrap() error { return e.reason }

// ReadConfig reads and checks the webhook file at path. Its errors name the file, and if a setting can't be used, the
// setting. That of a file that can't be read wraps the error of package fs. Neither the key files nor the ledger are read.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("webhook file: %w", err)
	}
	return parseConfig(path, string(text))
}

// defaultConfig returns the settings of an empty file. deploy/webhook.toml shows the same, with what they do.
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

// parseConfig parses and checks the text of a webhook file. path is for its errors.
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

// check checks the parts that are enabled. Its errors are *settingErrors, as those of the checks below.
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

// check checks the receiver's settings. Keys and ledger are read by NewReceiver.
func (r *ReceiverConfig) check() error {
	if _, err := netip.ParseAddrPort(r.Listen); err != nil {
		return &settingError{"receiver.listen", err}
	}
	switch {
	case r.Path == "" || r.Path[0] != '/' || !isRequestTarget([]byte(r.Path)):
		return &settingError{"receiver.path", errInvalidPath}
	case len(r.Keys) == 0:
		return &settingError{"receiver.keys", errMissingSetting}
	case r.Tolerance < minTolerance:
		return &settingError{"receiver.tolerance", fmt.Errorf("%w: at least %v", errOutOfRange, minTolerance)}
	case r.DedupeFor < minDedupeInTolerances*r.Tolerance:
		reason := fmt.Errorf("%w: at least %d tolerances", errOutOfRange, minDedupeInTolerances)
		return &settingError{"receiver.dedupe_for", reason}
	}
	if r.Ledger.Path == "" {
		return nil
	}
	return r.Ledger.check(r.Tolerance)
}

// check checks the settings of a ledger that is used.
func (l *LedgerConfig) check(tolerance time.Duration) error {
	switch {
	case l.Retention < minRetentionInTolerances*tolerance:
		reason := fmt.Errorf("%w: at least %d tolerances", errOutOfRange, minRetentionInTolerances)
		return &settingError{"receiver.ledger.retention", reason}
	case l.MaxBytes < minLedgerBytes:
		return &settingError{"receiver.ledger.max_bytes", fmt.Errorf("%w: at least %d", errOutOfRange, minLedgerBytes)}
	}
	return nil
}

// check checks the sender's settings. The key is read by NewSender.
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
		return &settingError{"sender.queue", errOutOfRange}
	case s.Attempts < 1 || s.Attempts > maxSenderAttempts:
		return &settingError{"sender.attempts", errOutOfRange}
	case s.Backoff <= 0:
		return &settingError{"sender.backoff", errOutOfRange}
	case s.Timeout <= 0:
		return &settingError{"sender.timeout", errOutOfRange}
	}
	return nil
}

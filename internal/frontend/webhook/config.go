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

// Config is the webhook file.
type Config struct {
	Receiver ReceiverConfig `toml:"receiver"`
	Sender   SenderConfig   `toml:"sender"`
}

// ReceiverConfig turns the Receiver on. Its fields are checked only where it is enabled.
type ReceiverConfig struct {
	Enabled bool        `toml:"enabled"`
	Listen  string      `toml:"listen"` // IP:PORT
	Path    string      `toml:"path"`   // of the requests' target
	Keys    []KeyConfig `toml:"keys"`
	// Tolerance is how far a delivery's timestamp may be from now, either way.
	Tolerance time.Duration `toml:"tolerance"`
	// DedupeFor is how long the outcome of a call other than a repair-order is remembered.
	DedupeFor time.Duration `toml:"dedupe_for"`
	Ledger    LedgerConfig  `toml:"ledger"`
}

// LedgerConfig is where the orders' ledger is. Without a path orders are not taken.
type LedgerConfig struct {
	Path     string `toml:"path"`
	MaxBytes int64  `toml:"max_bytes"`
	// Retention is how long an order is kept, counted from its event.
	Retention time.Duration `toml:"retention"`
}

// SenderConfig turns the Sender on. Its fields are checked only where it is enabled.
type SenderConfig struct {
	Enabled bool   `toml:"enabled"`
	URL     string `toml:"url"`
	// Connect is the address to connect to, where it is not the URL's host.
	Connect  string        `toml:"connect"`
	Key      string        `toml:"key"`      // file
	Queue    int           `toml:"queue"`    // notices that are open at once
	Attempts int           `toml:"attempts"` // per notice
	Backoff  time.Duration `toml:"backoff"`  // behind the first attempt; it grows from there
	Timeout  time.Duration `toml:"timeout"`  // of an attempt
}

// KeyConfig names a key file and, where the key is being retired, until when it is active.
type KeyConfig struct {
	File  string    `toml:"file"`
	Until time.Time `toml:"until"`
}

// Bounds of the settings.
const (
	minTolerance          = time.Second
	minLedgerBytes        = 1 << 17
	minRetentionTolerance = 4 // tolerances
	minDedupeTolerance    = 2 // tolerances
	maxSenderQueue        = 1 << 16
	maxSenderAttempts     = 20
)

// Why a webhook file is not taken.
var (
	errUnknownSetting = errors.New("unknown setting")
	errMissing        = errors.New("is missing")
	errNotAPath       = errors.New("is no path")
	errNotPlainHTTP   = errors.New("must be http://HOST/PATH; TLS is a local proxy's work")
	errOutOfRange     = errors.New("out of range")
)

// settingError names the setting that is wrong.
type settingError struct {
	setting string // as in the file
	reason  error
}

func (e *settingError) Error() string { return e.setting + ": " + e.reason.Error() }

func (e *settingError) Unwrap() error { return e.reason }

// ReadConfig reads and checks a webhook file. Its errors name the file, and where there is one the setting.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("webhook file: %w", err)
	}
	return parseConfig(path, string(text))
}

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

func (r *ReceiverConfig) check() error {
	if _, err := netip.ParseAddrPort(r.Listen); err != nil {
		return &settingError{"receiver.listen", err}
	}
	switch {
	case r.Path == "" || r.Path[0] != '/' || !isRequestTarget([]byte(r.Path)):
		return &settingError{"receiver.path", errNotAPath}
	case len(r.Keys) == 0:
		return &settingError{"receiver.keys", errMissing}
	case r.Tolerance < minTolerance:
		return &settingError{"receiver.tolerance", fmt.Errorf("%w: at least %v", errOutOfRange, minTolerance)}
	case r.DedupeFor < minDedupeTolerance*r.Tolerance:
		return &settingError{"receiver.dedupe_for", fmt.Errorf("%w: at least %d tolerances", errOutOfRange, minDedupeTolerance)}
	case r.Ledger.Path != "" && r.Ledger.Retention < minRetentionTolerance*r.Tolerance:
		return &settingError{"receiver.ledger.retention", fmt.Errorf("%w: at least %d tolerances", errOutOfRange, minRetentionTolerance)}
	case r.Ledger.Path != "" && r.Ledger.MaxBytes < minLedgerBytes:
		return &settingError{"receiver.ledger.max_bytes", fmt.Errorf("%w: at least %d", errOutOfRange, minLedgerBytes)}
	}
	return nil
}

func (s *SenderConfig) check() error {
	target, err := url.Parse(s.URL)
	if err != nil {
		return &settingError{"sender.url", err}
	}
	switch {
	case target.Scheme != "http" || target.Host == "" || target.User != nil:
		return &settingError{"sender.url", errNotPlainHTTP}
	case s.Key == "":
		return &settingError{"sender.key", errMissing}
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

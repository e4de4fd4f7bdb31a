package webhook

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The forms and limits of the Standard Webhooks specification (https://www.standardwebhooks.com).
const (
	secretPrefix     = "whsec_"
	minSecretBytes   = 24
	maxSecretBytes   = 64
	signatureVersion = "v1," // HMAC-SHA256 with a shared secret
)

// The limits of this program on a delivery's signature headers.
const (
	maxSignatures  = 16      // in one header field: each is compared with each active key's
	maxIDBytes     = 128     // of a webhook-id, which is kept in memory and in the ledger
	maxUnixSeconds = 1 << 40 // of a timestamp, far beyond any tolerance
)

// The header fields that the specification names.
const (
	idField        = "webhook-id"
	timestampField = "webhook-timestamp"
	signatureField = "webhook-signature"
)

// Why a delivery is not authentic.
var (
	errMalformedSignature = errors.New("unsigned or malformed signature headers")
	errStaleTimestamp     = errors.New("timestamp is out of tolerance")
	errNoMatchingKey      = errors.New("no active key made this signature")
)

// Why a key file can't be used.
var (
	errKeyPrefix = errors.New("does not begin with " + secretPrefix)
	errKeyBase64 = errors.New("not base64")
	errKeyLength = fmt.Errorf("not %d to %d bytes", minSecretBytes, maxSecretBytes)
)

// signingKey is a key that verifies deliveries until it is retired.
type signingKey struct {
	secret    []byte
	retiredAt time.Time // zero: never
}

// isActive reports whether the key verifies deliveries at now.
func (k *signingKey) isActive(now time.Time) bool {
	return k.retiredAt.IsZero() || now.Before(k.retiredAt)
}

// readSecret reads a key file: secretPrefix and the secret in base64, perhaps with space around it. Its errors name the
// file and never show parts of the secret.
func readSecret(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	encoded, found := strings.CutPrefix(strings.TrimSpace(string(text)), secretPrefix)
	if !found {
		return nil, fmt.Errorf("key %s: %w", path, errKeyPrefix)
	}
	secret, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("key %s: %w", path, errKeyBase64) // err would show parts of the secret
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("key %s: %d bytes: %w", path, len(secret), errKeyLength)
	}
	return secret, nil
}

// authenticationCode returns the HMAC-SHA256 of the text that is signed by the specification: ID.TIMESTAMP.BODY.
func authenticationCode(secret []byte, id, timestamp string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(id + "." + timestamp + "."))
	h.Write(body)
	return h.Sum(nil)
}

// sign returns the value of webhook-signature. timestamp is in seconds since 1970, as webhook-timestamp gives it.
func sign(secret []byte, id, timestamp string, body []byte) string {
	return signatureVersion + base64.StdEncoding.EncodeToString(authenticationCode(secret, id, timestamp, body))
}

// signedHeaders are a delivery's signature headers.
type signedHeaders struct {
	id         string
	timestamp  string    // as received: it is part of what is signed
	sentAt     time.Time // the timestamp's time
	signatures [][]byte  // with their versions; they point into the HTTP request
}

// parseSignedHeaders parses the three header fields, each of which must occur once.
func parseSignedHeaders(head *requestHead) (*signedHeaders, error) {
	id, idCount := head.field(idField)
	timestamp, timestampCount := head.field(timestampField)
	signatureList, signatureListCount := head.field(signatureField)
	if idCount != 1 || timestampCount != 1 || signatureListCount != 1 {
		return nil, errMalformedSignature
	}
	// If an ID could have dots, one signed text could stand for two different deliveries; see authenticationCode.
	if len(id) == 0 || len(id) > maxIDBytes || bytes.IndexByte(id, '.') >= 0 {
		return nil, errMalformedSignature
	}
	sentAt, err := parseTimestamp(string(timestamp))
	if err != nil {
		return nil, err
	}
	signatures := bytes.Fields(signatureList)
	if len(signatures) > maxSignatures {
		return nil, errMalformedSignature
	}
	return &signedHeaders{id: string(id), timestamp: string(timestamp), sentAt: sentAt, signatures: signatures}, nil
}

// parseTimestamp parses whole seconds since 1970, without a sign and leading zeros.
func parseTimestamp(text string) (time.Time, error) {
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seconds < 0 || seconds > maxUnixSeconds || strconv.FormatInt(seconds, 10) != text {
		return time.Time{}, errMalformedSignature
	}
	return time.Unix(seconds, 0), nil
}

// isSignedWith reports whether one of the signatures was made with an active key. It compares each signature
// with each key's, even after a match, so that the time taken reveals nothing about them.
func (s *signedHeaders) isSignedWith(keys []signingKey, now time.Time, body []byte) bool {
	matches := false
	for i := range keys {
		if !keys[i].isActive(now) {
			continue
		}
		expected := authenticationCode(keys[i].secret, s.id, s.timestamp, body)
		for _, signature := range s.signatures {
			encoded, found := bytes.CutPrefix(signature, []byte(signatureVersion))
			if !found {
				continue // of another version
			}
			received, err := base64.StdEncoding.DecodeString(string(encoded))
			if err == nil && hmac.Equal(received, expected) {
				matches = true
			}
		}
	}
	return matches
}

// verifySignature returns a delivery's webhook-id if an active key signed it and its timestamp is within tolerance of now.
// Else its error is the first that applies of errMalformedSignature, errNoMatchingKey and errStaleTimestamp.
func verifySignature(head *requestHead, body []byte, keys []signingKey, now time.Time, tolerance time.Duration) (id string, err error) {
	headers, err := parseSignedHeaders(head)
	if err != nil {
		return "", err
	}
	if !headers.isSignedWith(keys, now, body) {
		return "", errNoMatchingKey
	}
	if age := now.Sub(headers.sentAt); age > tolerance || age < -tolerance {
		return "", errStaleTimestamp
	}
	return headers.id, nil
}

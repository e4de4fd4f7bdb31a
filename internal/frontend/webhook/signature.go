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

// Formats and limits of the Standard Webhooks specification (https://www.standardwebhooks.com).
const (
	secretPrefix     = "whsec_"
	minSecretBytes   = 24
	maxSecretBytes   = 64
	signatureVersion = "v1," // HMAC-SHA256 with a shared secret
)

// Limits of this program on the signature headers of a delivery.
const (
	maxSignatures  = 16      // signatures per delivery; each is compared with the signature of each active key
	maxIDBytes     = 128     // size of a webhook-id, which is kept in memory and in the ledger
	maxUnixSeconds = 1 << 40 // maximum of a timestamp; no valid timestamp comes near it
)

// Names of the header fields that the specification defines.
const (
	idField        = "webhook-id"
	timestampField = "webhook-timestamp"
	signatureField = "webhook-signature"
)

// Reasons why a delivery is not authentic.
var (
	errMalformedSignature = errors.New("missing or malformed signature headers")
	errStaleTimestamp     = errors.New("timestamp is out of tolerance")
	errNoMatchingKey      = errors.New("no signature was made with an active key")
)

// Reasons why a key file can't be used.
var (
	errKeyPrefix = errors.New("does not begin with " + secretPrefix)
	errKeyBase64 = errors.New("secret is not valid base64")
	errKeyLength = fmt.Errorf("secret does not have %d to %d bytes", minSecretBytes, maxSecretBytes)
)

// signingKey is a key that verifies deliveries until it is retired.
type signingKey struct {
	secret    []byte
	retiredAt time.Time // zero if the key is never retired
}

// isActive reports whether the key verifies deliveries at now.
func (k *signingKey) isActive(now time.Time) bool {
	return k.retiredAt.IsZero() || now.Before(k.retiredAt)
}

// readSecret reads a key file, which holds secretPrefix and the secret in base64. White space around them is ignored.
// The errors name the file and never contain parts of the secret.
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
		return nil, fmt.Errorf("key %s: %w", path, errKeyBase64) // err could contain parts of the secret
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("key %s: %d bytes: %w", path, len(secret), errKeyLength)
	}
	return secret, nil
}

// authenticationCode returns the HMAC-SHA256 of the text that the specification defines as signed: ID.TIMESTAMP.BODY.
func authenticationCode(secret []byte, id, timestamp string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(id + "." + timestamp + "."))
	h.Write(body)
	return h.Sum(nil)
}

// sign returns the value of webhook-signature. timestamp is the value of webhook-timestamp, in seconds since 1970.
func sign(secret []byte, id, timestamp string, body []byte) string {
	return signatureVersion + base64.StdEncoding.EncodeToString(authenticationCode(secret, id, timestamp, body))
}

// signedHeaders holds the signature headers of a delivery.
type signedHeaders struct {
	id         string
	timestamp  string    // as received, because it is part of the signed text
	sentAt     time.Time // the time that timestamp denotes
	signatures [][]byte  // with their version prefixes; they point into the HTTP request
}

// parseSignedHeaders parses the three header fields, each of which must occur once.
func parseSignedHeaders(head *requestHead) (*signedHeaders, error) {
	id, idCount := head.field(idField)
	timestamp, timestampCount := head.field(timestampField)
	signatureList, signatureListCount := head.field(signatureField)
	if idCount != 1 || timestampCount != 1 || signatureListCount != 1 {
		return nil, fmt.Errorf("%w: %d %s fields, %d %s fields and %d %s fields, want one of each",
			errMalformedSignature, idCount, idField, timestampCount, timestampField, signatureListCount, signatureField)
	}
	// If IDs could contain dots, two different deliveries could have the same signed text; see authenticationCode.
	if len(id) == 0 || len(id) > maxIDBytes || bytes.IndexByte(id, '.') >= 0 {
		return nil, fmt.Errorf("%w: %s %.64q has %d bytes, want 1 to %d bytes without a dot",
			errMalformedSignature, idField, id, len(id), maxIDBytes)
	}
	sentAt, err := parseTimestamp(string(timestamp))
	if err != nil {
		return nil, err
	}
	signatures := bytes.Fields(signatureList)
	if len(signatures) > maxSignatures {
		return nil, fmt.Errorf("%w: %d signatures, maximum %d", errMalformedSignature, len(signatures), maxSignatures)
	}
	return &signedHeaders{id: string(id), timestamp: string(timestamp), sentAt: sentAt, signatures: signatures}, nil
}

// parseTimestamp parses whole seconds since 1970. A sign and leading zeros are errors.
func parseTimestamp(text string) (time.Time, error) {
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seconds < 0 || seconds > maxUnixSeconds || strconv.FormatInt(seconds, 10) != text {
		return time.Time{}, fmt.Errorf("%w: %s %.64q is not a whole number from 0 to %d without sign and leading zeros",
			errMalformedSignature, timestampField, text, int64(maxUnixSeconds))
	}
	return time.Unix(seconds, 0), nil
}

// isSignedWith reports whether one of the signatures was made with an active key. It compares every signature with that
// of every active key, even after a match, so that its duration reveals nothing about the keys and signatures.
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
				continue // the signature has another version
			}
			received, err := base64.StdEncoding.DecodeString(string(encoded))
			if err == nil && hmac.Equal(received, expected) {
				matches = true
			}
		}
	}
	return matches
}

// verifySignature returns the webhook-id of a delivery that was signed with an active key and whose timestamp differs
// from now by tolerance at most. For any other delivery the error wraps the first of these that applies:
// errMalformedSignature, errNoMatchingKey, errStaleTimestamp.
func verifySignature(head *requestHead, body []byte, keys []signingKey, now time.Time, tolerance time.Duration) (id string, err error) {
	headers, err := parseSignedHeaders(head)
	if err != nil {
		return "", err
	}
	if !headers.isSignedWith(keys, now, body) {
		return "", errNoMatchingKey
	}
	if age := now.Sub(headers.sentAt); age > tolerance || age < -tolerance {
		return "", fmt.Errorf("%w: %s is %s, the current time is %d, tolerance %v",
			errStaleTimestamp, timestampField, headers.timestamp, now.Unix(), tolerance)
	}
	return headers.id, nil
}

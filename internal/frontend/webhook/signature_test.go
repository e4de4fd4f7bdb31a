package webhook

import (
	"bytes"
	"encoding/base64"
	"errors"
	"io/fs"
	"strings"
	"testing"
	"time"
)

// exampleKeyFile and the signature below are the example in the libraries of the Standard Webhooks specification.
const exampleKeyFile = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"

func TestSignMatchesSpecificationExample(t *testing.T) {
	secret, err := readSecret(writeFile(t, exampleKeyFile+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	got := sign(secret, "msg_p5jXN8AQM9LWM0D4loKWxJek", "1614265330", []byte(`{"test": 2432232314}`))
	if want := "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestVerifySignatureErrors(t *testing.T) {
	const tolerance = 5 * time.Minute
	body := []byte("{}")
	valid := string(signedDelivery(activeSecret, "m", noon, body))
	replace := func(from, to string) []byte { return []byte(strings.Replace(valid, from, to, 1)) }
	for name, test := range map[string]struct {
		request []byte
		want    error
	}{
		"valid":                      {[]byte(valid), nil},
		"at the tolerance":           {signedDelivery(activeSecret, "m", noon.Add(-tolerance), body), nil},
		"beyond the tolerance":       {signedDelivery(activeSecret, "m", noon.Add(-tolerance-time.Second), body), errStaleTimestamp},
		"future timestamp":           {signedDelivery(activeSecret, "m", noon.Add(tolerance+time.Second), body), errStaleTimestamp},
		"retired key":                {signedDelivery(retiredSecret, "m", noon, body), errNoMatchingKey},
		"stale, retired key":         {signedDelivery(retiredSecret, "m", noon.Add(-time.Hour), body), errNoMatchingKey},
		"other version":              {replace(" v1,", " v2,"), errNoMatchingKey},
		"other id":                   {replace("webhook-id: m", "webhook-id: n"), errNoMatchingKey},
		"no id":                      {replace("webhook-id", "x-id"), errMalformedSignature},
		"empty id":                   {replace("webhook-id: m", "webhook-id:"), errMalformedSignature},
		"id too long":                {signedDelivery(activeSecret, strings.Repeat("m", maxIDBytes+1), noon, body), errMalformedSignature},
		"dotted id":                  {signedDelivery(activeSecret, "m.1", noon, body), errMalformedSignature},
		"no timestamp":               {replace("webhook-timestamp", "x-timestamp"), errMalformedSignature},
		"timestamp with a plus sign": {replace("webhook-timestamp: ", "webhook-timestamp: +"), errMalformedSignature},
		"negative timestamp":         {replace("webhook-timestamp: ", "webhook-timestamp: -"), errMalformedSignature},
		"timestamp too large":        {replace("webhook-timestamp: ", "webhook-timestamp: 99999"), errMalformedSignature},
		"no signature":               {replace("webhook-signature", "x-signature"), errMalformedSignature},
		"two signature lists":        {replace("webhook-signature", "webhook-signature: v1,\r\nwebhook-signature"), errMalformedSignature},
		"too many signatures":        {replace("v1a,other", strings.Repeat("v1a,other ", maxSignatures)), errMalformedSignature},
	} {
		t.Run(name, func(t *testing.T) {
			head, _, err := parseRequestHead(test.request)
			if err != nil {
				t.Fatal(err)
			}
			id, err := verifySignature(&head, body, testKeys, noon, tolerance)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if (err == nil) != (id == "m") {
				t.Errorf("id %q with error %v, want id m only without an error", id, err)
			}
		})
	}
}

func TestReadSecretErrors(t *testing.T) {
	encode := func(n int) string {
		return secretPrefix + base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("k"), n))
	}
	for name, test := range map[string]struct {
		path string
		want error
	}{
		"no file":    {"nowhere", fs.ErrNotExist},
		"no prefix":  {writeFile(t, "MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"), errKeyPrefix},
		"not base64": {writeFile(t, "whsec_-----------"), errKeyBase64},
		"too short":  {writeFile(t, encode(minSecretBytes-1)), errKeyLength},
		"too long":   {writeFile(t, encode(maxSecretBytes+1)), errKeyLength},
		"shortest":   {writeFile(t, encode(minSecretBytes)), nil},
		"longest":    {writeFile(t, encode(maxSecretBytes)), nil},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := readSecret(test.path); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

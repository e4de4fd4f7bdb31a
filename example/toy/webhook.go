package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// webhookKeyFile contains the secret that signs webhooks, as webhookKeyPrefix followed by base64.
const (
	webhookKeyFile   = "example/hook.key"
	webhookKeyPrefix = "whsec_"
)

// sendWebhook sends a request of the class "repair-order" as a webhook with the given webhook-id. It prints the status,
// the body and the Retry-After header of the response.
func sendWebhook(id string) error {
	secret, err := readWebhookKey()
	if err != nil {
		return err
	}
	request, err := newWebhookRequest(id, secret, time.Now())
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	// An error of Close has no effect: the whole body has been read, or sendWebhook returns the error of the read.
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	fmt.Printf("%s %q %s\n", response.Status, body, response.Header.Get("Retry-After"))
	return err
}

// readWebhookKey reads and decodes the secret in webhookKeyFile.
func readWebhookKey() ([]byte, error) {
	text, err := os.ReadFile(webhookKeyFile)
	if err != nil {
		return nil, err
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(strings.TrimSpace(string(text)), webhookKeyPrefix))
	if err != nil {
		return nil, fmt.Errorf("webhook key file %s: %w", webhookKeyFile, err)
	}
	return secret, nil
}

// newWebhookRequest returns a request that is signed according to the Standard Webhooks specification
// (https://www.standardwebhooks.com).
func newWebhookRequest(id string, secret []byte, now time.Time) (*http.Request, error) {
	body := webhookBody(now)
	timestamp := strconv.FormatInt(now.Unix(), 10)
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(id + "." + timestamp + "." + body))
	request, err := http.NewRequest(http.MethodPost, webhookURL, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("webhook-id", id)
	request.Header.Set("webhook-timestamp", timestamp)
	request.Header.Set("webhook-signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
	return request, nil
}

// webhookBody returns the event in JSON. A redelivery must repeat it byte for byte, so its timestamp is the start of
// the current clock hour: a webhook that is sent again with the same ID in the same clock hour is a redelivery.
func webhookBody(now time.Time) string {
	return fmt.Sprintf(`{"type":"call.requested","timestamp":%q,"data":{"class":"repair-order","key":%q,"wait_ms":1500,`+
		`"memory_mb":512,"lanes":1,"load_ms":640,"body":%q}}`,
		now.UTC().Truncate(time.Hour).Format(time.RFC3339),
		functionKey,
		base64.StdEncoding.EncodeToString([]byte("lamp 17 is dark")))
}

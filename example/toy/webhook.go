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

// webhookKeyFile has the secret that signs webhooks, in base64 behind webhookKeyPrefix.
const (
	webhookKeyFile   = "example/hook.key"
	webhookKeyPrefix = "whsec_"
)

// sendWebhook sends a repair-order as a webhook with the given webhook-id and prints the response: its status, its body and
// its Retry-After.
func sendWebhook(id string) error {
	secret, err := readWebhookKey()
	if err != nil {
		return err
	}
	request, err := webhookRequest(id, secret, time.Now())
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	fmt.Printf("%s %q %s\n", response.Status, body, response.Header.Get("Retry-After"))
	return err
}

// readWebhookKey reads the secret.
func readWebhookKey() ([]byte, error) {
	text, err := os.ReadFile(webhookKeyFile)
	if err != nil {
		return nil, err
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(strings.TrimSpace(string(text)), webhookKeyPrefix))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", webhookKeyFile, err)
	}
	return secret, nil
}

// webhookRequest returns a request signed by the Standard Webhooks specification (https://www.standardwebhooks.com).
func webhookRequest(id string, secret []byte, now time.Time) (*http.Request, error) {
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

// webhookBody is the event. A redelivery must repeat it byte for byte. So its time is the start of the hour: a webhook that
// is sent again in the same hour is a redelivery.
func webhookBody(now time.Time) string {
	return fmt.Sprintf(`{"type":"call.requested","timestamp":%q,"data":{"class":"repair-order","key":%q,"wait_ms":1500,`+
		`"memory_mb":512,"lanes":1,"load_ms":640,"body":%q}}`,
		now.UTC().Truncate(time.Hour).Format(time.RFC3339),
		functionKey,
		base64.StdEncoding.EncodeToString([]byte("lamp 17 is dark")))
}

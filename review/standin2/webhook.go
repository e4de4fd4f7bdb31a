package main

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// webhookSecret signs the deliveries of the cases.
const webhookSecret = "a secret of the second review, 32"

// webhookFile is what a case chooses of the webhook file; empty values keep the defaults of the deploy file's twin.
type webhookFile struct {
	tolerance, dedupeFor, retention string
}

// writeWebhookFile writes the webhook file of a router, with a ledger and a key beside it. It returns the file's path
// and the address of the front.
func writeWebhookFile(folder string, f webhookFile) (path, address string, err error) {
	key := filepath.Join(folder, "hook.key")
	secret := "whsec_" + base64.StdEncoding.EncodeToString([]byte(webhookSecret)) + "\n"
	if err := os.WriteFile(key, []byte(secret), 0o600); err != nil {
		return "", "", err
	}
	address = freePort()
	text := fmt.Sprintf("[receiver]\nenabled = true\nlisten = %q\npath = \"/hooks\"\nkeys = [{ file = %q }]\n", address, key)
	if f.tolerance != "" {
		text += fmt.Sprintf("tolerance = %q\ndedupe_for = %q\n", f.tolerance, f.dedupeFor)
	}
	text += fmt.Sprintf("[receiver.ledger]\npath = %q\n", filepath.Join(folder, "orders.ledger"))
	if f.retention != "" {
		text += fmt.Sprintf("retention = %q\n", f.retention)
	}
	path = filepath.Join(folder, "webhook.toml")
	return path, address, os.WriteFile(path, []byte(text), 0o600)
}

// delivery is a webhook that a client sends, and sends again.
type delivery struct {
	id      string // its bytes go on the wire as they are
	payload string
}

// newDelivery returns a delivery of a call. The timestamp is in the form of RFC 3339.
func newDelivery(id, class, key, timestamp, body string) delivery {
	return delivery{id: id, payload: fmt.Sprintf(`{"type":"call.requested","timestamp":%q,"data":{"class":%q,"key":%q,"wait_ms":4000,`+
		`"memory_mb":2100,"lanes":4,"load_ms":850,"body":%q}}`, timestamp, class, key, base64.StdEncoding.EncodeToString([]byte(body)))}
}

// hook is a client's connection to the webhook front.
type hook struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialHook(address string) (*hook, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &hook{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (h *hook) close() { _ = h.conn.Close() }

// send signs a delivery with the present time and sends it.
func (h *hook) send(d delivery) error {
	timestamp := strconv.FormatInt(time.Now().Unix(), 10)
	mac := hmac.New(sha256.New, []byte(webhookSecret))
	mac.Write([]byte(d.id + "." + timestamp + "." + d.payload))
	signature := base64.StdEncoding.EncodeToString(mac.Sum(nil))
	_, err := fmt.Fprintf(h.conn, "POST /hooks HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"webhook-id: %s\r\nwebhook-timestamp: %s\r\nwebhook-signature: v1,%s\r\n\r\n%s",
		h.conn.RemoteAddr(), len(d.payload), d.id, timestamp, signature, d.payload)
	return err
}

// answer reads one response.
func (h *hook) answer(timeout time.Duration) (status int, body string, err error) {
	_ = h.conn.SetReadDeadline(time.Now().Add(timeout))
	r := textproto.NewReader(h.reader)
	line, err := r.ReadLine()
	if err != nil {
		return 0, "", err
	}
	words := strings.SplitN(line, " ", 3)
	if len(words) < 2 {
		return 0, "", errors.New("malformed status line")
	}
	if status, err = strconv.Atoi(words[1]); err != nil {
		return 0, "", err
	}
	header, err := r.ReadMIMEHeader()
	if err != nil {
		return 0, "", err
	}
	size, _ := strconv.Atoi(header.Get("Content-Length"))
	b := make([]byte, size)
	_, err = io.ReadFull(h.reader, b)
	return status, string(b), err
}

// deliver sends a delivery on a new connection and returns its response.
func deliver(record *recorder, address string, d delivery, timeout time.Duration) (status int, body string, err error) {
	record.logf("deliver webhook-id=%q", d.id)
	h, err := dialHook(address)
	if err == nil {
		defer h.close()
		err = h.send(d)
	}
	if err == nil {
		status, body, err = h.answer(timeout)
	}
	record.logf("response webhook-id=%q status=%d body=%.60q err=%v", d.id, status, body, err)
	return status, body, err
}

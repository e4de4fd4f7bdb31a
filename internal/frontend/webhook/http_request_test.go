package webhook

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

func TestParseRequestHead(t *testing.T) {
	const valid = "POST /hooks HTTP/1.1\r\nHost: hooks.example.org\r\nContent-Length: 12\r\nEXPECT: 100-Continue\r\nconnection:\tCLOSE \r\n\r\n"
	head, size, err := parseRequestHead([]byte(valid + "{}"))
	if err != nil || size != len(valid) {
		t.Fatalf("size %d, want %d; error %v", size, len(valid), err)
	}
	if string(head.method) != http.MethodPost || string(head.target) != "/hooks" {
		t.Errorf("method %q and target %q, want POST and /hooks", head.method, head.target)
	}
	if head.contentLength != 12 || !head.closeRequested || !head.expectsContinue {
		t.Errorf("contentLength %d, closeRequested %v, expectsContinue %v, want 12, true and true",
			head.contentLength, head.closeRequested, head.expectsContinue)
	}
	if value, count := head.field("host"); string(value) != "hooks.example.org" || count != 1 {
		t.Errorf("%d Host fields, want 1; the last is %q, want hooks.example.org", count, value)
	}
	for i := range valid {
		if _, size, err := parseRequestHead([]byte(valid[:i])); size != 0 || err != nil {
			t.Fatalf("first %d bytes of the head: size %d, want 0; error %v, want none", i, size, err)
		}
	}
}

func TestParseRequestHeadErrors(t *testing.T) {
	const host = "Host: a\r\n"
	for name, test := range map[string]struct {
		head   string
		want   error
		status int
	}{
		"two words":                       {"POST /hooks\r\n" + host + "\r\n", errMalformedRequestLine, http.StatusBadRequest},
		"old version":                     {"POST /hooks HTTP/1.0\r\n" + host + "\r\n", errMalformedRequestLine, http.StatusBadRequest},
		"method is not a token":           {"PO(ST /hooks HTTP/1.1\r\n" + host + "\r\n", errMalformedRequestLine, http.StatusBadRequest},
		"control character in the target": {"POST /ho\x7foks HTTP/1.1\r\n" + host + "\r\n", errMalformedRequestLine, http.StatusBadRequest},
		"folded field":                    {"GET / HTTP/1.1\r\n" + host + " b\r\n\r\n", errMalformedField, http.StatusBadRequest},
		"space before colon":              {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", errMalformedField, http.StatusBadRequest},
		"control character in a value":    {"GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n", errMalformedField, http.StatusBadRequest},
		"leading line feed":               {"\nGET", errBareLineFeed, http.StatusBadRequest},
		"bare line feed":                  {"GET / HTTP/1.1\n", errBareLineFeed, http.StatusBadRequest},
		"no host":                         {"GET / HTTP/1.1\r\nA: b\r\n\r\n", errMissingHost, http.StatusBadRequest},
		"two hosts":                       {"GET / HTTP/1.1\r\n" + host + host + "\r\n", errMissingHost, http.StatusBadRequest},
		"transfer coding":                 {"GET / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n", errTransferEncoding, http.StatusBadRequest},
		"no length":                       {"POST / HTTP/1.1\r\n" + host + "\r\n", errContentLength, http.StatusBadRequest},
		"empty length":                    {"POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n", errContentLength, http.StatusBadRequest},
		"list of lengths":                 {"POST / HTTP/1.1\r\n" + host + "Content-Length: 1, 1\r\n\r\n", errContentLength, http.StatusBadRequest},
		"two lengths":                     {"POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", errContentLength, http.StatusBadRequest},
		"body too large":                  {"POST / HTTP/1.1\r\n" + host + "Content-Length: 24577\r\n\r\n", errHTTPBodyTooLarge, http.StatusRequestEntityTooLarge},
		"length beyond an int": {
			"POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n",
			errHTTPBodyTooLarge, http.StatusRequestEntityTooLarge,
		},
		"too many fields": {
			"GET / HTTP/1.1\r\n" + host + strings.Repeat("A: b\r\n", maxHeaderFields) + "\r\n",
			errHeadTooLarge, http.StatusRequestHeaderFieldsTooLarge,
		},
		"head too large": {"GET / HTTP/1.1\r\nHost: " + strings.Repeat("a", maxHeadBytes), errHeadTooLarge, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, size, err := parseRequestHead([]byte(test.head))
			if !errors.Is(err, test.want) || size != 0 {
				t.Errorf("error %v, want %v; size %d, want 0", err, test.want, size)
			}
			if got := statusOf(err); got != test.status {
				t.Errorf("status %d, want %d", got, test.status)
			}
		})
	}
}

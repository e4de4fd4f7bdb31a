package webhook

import (
	"errors"
	"strings"
	"testing"
)

func TestConfigErrorsNameTheFileAndTheSetting(t *testing.T) {
	const (
		receiver = "[receiver]\nenabled = true\nlisten = \"127.0.0.1:1\"\n"
		keys     = "keys = [{file = \"k\"}]\n"
		sender   = "[sender]\nenabled = true\nurl = \"http://hooks.example.org\"\nkey = \"k\"\n"
	)
	for name, test := range map[string]struct {
		text    string
		setting string // the setting that the settingError must name; empty: the error must not be a settingError
	}{
		"wrong type":        {"receiver.enabled = 3", ""},
		"unknown setting":   {"[receiver]\nfoo = 1", "receiver.foo"},
		"invalid address":   {"[receiver]\nenabled = true\nlisten = \"nowhere\"", "receiver.listen"},
		"no keys":           {receiver, "receiver.keys"},
		"https URL":         {"[sender]\nenabled = true\nurl = \"https://hooks.example.org\"\nkey = \"k\"", "sender.url"},
		"relative path":     {receiver + keys + "path = \"hooks\"", "receiver.path"},
		"short tolerance":   {receiver + keys + "tolerance = \"999ms\"", "receiver.tolerance"},
		"short dedupe_for":  {receiver + keys + "dedupe_for = \"599s\"", "receiver.dedupe_for"},
		"short retention":   {receiver + keys + "[receiver.ledger]\npath = \"l\"\nretention = \"1199s\"", "receiver.ledger.retention"},
		"small ledger":      {receiver + keys + "[receiver.ledger]\npath = \"l\"\nmax_bytes = 131071", "receiver.ledger.max_bytes"},
		"invalid URL":       {"[sender]\nenabled = true\nurl = \":\"", "sender.url"},
		"user in the URL":   {"[sender]\nenabled = true\nurl = \"http://a@hooks.example.org\"", "sender.url"},
		"no key":            {"[sender]\nenabled = true\nurl = \"http://hooks.example.org\"", "sender.key"},
		"zero queue":        {sender + "queue = 0", "sender.queue"},
		"too many attempts": {sender + "attempts = 21", "sender.attempts"},
		"zero backoff":      {sender + "backoff = \"0s\"", "sender.backoff"},
		"negative timeout":  {sender + "timeout = \"-1s\"", "sender.timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseConfig("f", test.text)
			if err == nil || !strings.HasPrefix(err.Error(), "webhook file f: ") {
				t.Fatalf("error %v for %q, want one that begins with \"webhook file f: \"", err, test.text)
			}
			var settingErr *settingError
			if errors.As(err, &settingErr) != (test.setting != "") || settingErr != nil && settingErr.setting != test.setting {
				t.Errorf("error %v (a settingError: %v), want a settingError for the setting %q; if that name is empty, want no settingError",
					err, settingErr != nil, test.setting)
			}
		})
	}
}

func TestConfigChecksOnlyEnabledSections(t *testing.T) {
	const text = "[receiver]\nlisten = \"nowhere\"\n[sender]\nurl = \":\""
	if _, err := parseConfig("f", text); err != nil {
		t.Errorf("error %v for %q, want none because neither section is enabled", err, text)
	}
}

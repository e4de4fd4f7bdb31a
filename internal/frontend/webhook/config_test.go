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
		setting string // of the settingError; empty: the file is no such TOML
	}{
		"wrong type":          {"receiver.enabled = 3", ""},
		"unknown setting":     {"[receiver]\nfoo = 1", "receiver.foo"},
		"bad address":         {"[receiver]\nenabled = true\nlisten = \"nowhere\"", "receiver.listen"},
		"no keys":             {receiver, "receiver.keys"},
		"TLS":                 {"[sender]\nenabled = true\nurl = \"https://hooks.example.org\"\nkey = \"k\"", "sender.url"},
		"bad path":            {receiver + keys + "path = \"hooks\"", "receiver.path"},
		"short tolerance":     {receiver + keys + "tolerance = \"999ms\"", "receiver.tolerance"},
		"short memory":        {receiver + keys + "dedupe_for = \"599s\"", "receiver.dedupe_for"},
		"short retention":     {receiver + keys + "[receiver.ledger]\npath = \"l\"\nretention = \"1199s\"", "receiver.ledger.retention"},
		"small ledger":        {receiver + keys + "[receiver.ledger]\npath = \"l\"\nmax_bytes = 131071", "receiver.ledger.max_bytes"},
		"bad URL":             {"[sender]\nenabled = true\nurl = \":\"", "sender.url"},
		"user in the URL":     {"[sender]\nenabled = true\nurl = \"http://a@hooks.example.org\"", "sender.url"},
		"no key":              {"[sender]\nenabled = true\nurl = \"http://hooks.example.org\"", "sender.key"},
		"empty queue":         {sender + "queue = 0", "sender.queue"},
		"too many attempts":   {sender + "attempts = 21", "sender.attempts"},
		"no backoff":          {sender + "backoff = \"0s\"", "sender.backoff"},
		"timeout in the past": {sender + "timeout = \"-1s\"", "sender.timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseConfig("f", test.text)
			if err == nil || !strings.HasPrefix(err.Error(), "webhook file f: ") {
				t.Fatalf("%q: %v", test.text, err)
			}
			var settingErr *settingError
			if errors.As(err, &settingErr) != (test.setting != "") || settingErr != nil && settingErr.setting != test.setting {
				t.Errorf("%v, want the setting %q named", err, test.setting)
			}
		})
	}
}

func TestConfigChecksOnlyEnabledSections(t *testing.T) {
	if _, err := parseConfig("f", "[receiver]\nlisten = \"nowhere\"\n[sender]\nurl = \":\""); err != nil {
		t.Error(err)
	}
}

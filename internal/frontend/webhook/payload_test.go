package webhook

import "testing"

// Guards the error texts in the log against renames of Go types, whose names encoding/json includes in its errors.
func TestPayloadErrorsKeepTheirTexts(t *testing.T) {
	receiver, _ := newTestReceiver(t, &fakeRouter{}, "")
	for _, test := range []struct {
		name string
		body string
		want string
	}{
		{"field of the request", `{"data":{"wait_ms":"x"}}`, "payload can't be decoded: " +
			"json: cannot unmarshal string into Go struct field callData.data.wait_ms of type float64"},
		{"whole request", `{"data":3}`, "payload can't be decoded: " +
			"json: cannot unmarshal number into Go struct field payload.data of type webhook.callData"},
		{"whole payload", `[]`, "payload can't be decoded: " +
			"json: cannot unmarshal array into Go value of type webhook.payload"},
		{"unknown type", `{"type":"other"}`, "type is not call.requested"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := receiver.parsePayload([]byte(test.body)); err == nil || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}

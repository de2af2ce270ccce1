package setup

import (
	"strings"
	"testing"
)

const validSettings = `
site: quimper-a
http: 127.0.0.1:8000
peer: 127.0.0.1:8001
admin: 127.0.0.1:8002
platform: http://127.0.0.1:7000
`

// TestParseErrors guards against invalid settings that are accepted, and against errors
// that do not give the field or line and the value.
func TestParseErrors(t *testing.T) {
	for _, tt := range []struct {
		name, data string
		want       []string
	}{
		{"unknown field", validSettings + "colour: red\n", []string{"colour", "line 7"}},
		{"invalid address", strings.Replace(validSettings, "127.0.0.1:8000", "here", 1), []string{"line 3", "here"}},
		{"two equal addresses", strings.Replace(validSettings, ":8001", ":8000", 1), []string{"field http"}},
		{"no site", strings.Replace(validSettings, "site: quimper-a", "", 1), []string{"field site"}},
		{"incomplete tls", validSettings + "tls: {cert: a.pem}\n", []string{"field tls", "1 of 3"}},
		{"no tls on a non-loopback address", strings.Replace(validSettings, "127.0.0.1:8001", "10.0.0.1:8001", 1), []string{"field tls", "loopback"}},
		{"negative limit", validSettings + "limits: {body: -1}\n", []string{"field limits.body", "-1"}},
		{"invalid platform URL", strings.Replace(validSettings, "http://127.0.0.1:7000", "nowhere", 1), []string{"field platform", "nowhere"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.data))
			if err == nil {
				t.Fatal("Parse accepted invalid settings")
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

// TestParseDefaults guards against defaults that are not set.
func TestParseDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.Body != 4<<20 || s.Hold == 0 || s.Drain == 0 {
		t.Errorf("defaults not set: %+v", s)
	}
}

package fleet

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

const goodSettings = `protocol: statements
host: h1
availability_zone: a
zones: {a: r, b: s}
listen: 10.0.0.1:6432
ready_listen: 10.0.0.1:8081
metrics_listen: 10.0.0.1:9100
peer_listen: 10.0.0.1:8432
store: 10.0.0.9:80
promotions: 10.0.0.9:81
stop_timeout: 6s
catch_up_timeout: 5000ms
heartbeat_interval: 900ms
memory_limit_mb: 206
platform_fencing: true
`

// Guards against settings that are parsed incorrectly.
func TestParseSettings(t *testing.T) {
	s, err := ParseSettings("file", []byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Host != "h1" || s.Zones["b"] != "s" || s.StopTimeout != 6*time.Second || s.CatchUpTimeout != 5*time.Second || s.HeartbeatInterval != 900*time.Millisecond || s.MemoryLimitMB != 206 || !s.PlatformFencing {
		t.Errorf("got settings %+v, want those of the file", s)
	}
	if !IsStatements([]byte(goodSettings)) || IsStatements([]byte("host: e1\n")) {
		t.Error("protocol of the settings is not recognized")
	}
}

// Guards against invalid settings that are accepted, and against errors that do
// not name every invalid key.
func TestBadSettings(t *testing.T) {
	for _, tt := range []struct {
		old, new string
		want     []string
	}{
		{"host: h1\n", "", []string{"host"}},
		{"10.0.0.9:80\n", "store\n", []string{"setting store", "10.0.1.1:6432"}},
		{"zones: {a: r, b: s}", "zones: {b: s}", []string{"zones", `"a"`}},
		{"heartbeat_interval: 900ms", "heartbeat_interval: soon", []string{"heartbeat_interval"}},
		{"stop_timeout: 6s\ncatch_up_timeout: 5000ms", "stop_timeout: 0s", []string{"stop_timeout", "catch_up_timeout"}},
		{"206", "-1", []string{"memory_limit_mb"}},
		{"host: h1", "hots: h1", []string{"hots"}},
		{"6s", "six", []string{"stop_timeout"}},
	} {
		_, err := ParseSettings("file", []byte(strings.Replace(goodSettings, tt.old, tt.new, 1)))
		if err == nil {
			t.Errorf("settings with %q for %q were accepted, want an error", tt.new, tt.old)
			continue
		}
		for _, want := range tt.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("settings with %q for %q: error lacks %q: %v", tt.new, tt.old, want, err)
			}
		}
	}
}

// Guards against a settings template whose keys differ from those that this
// package accepts.
func TestTemplateHasEveryKey(t *testing.T) {
	data, err := os.ReadFile("../../../deploy/settings.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	key := regexp.MustCompile(`(?m)^(?:\{\{[^}]*\}\})*([a-z_]+):`)
	var got, want []string
	for _, m := range key.FindAllStringSubmatch(string(data), -1) {
		got = append(got, m[1])
	}
	for _, m := range key.FindAllStringSubmatch(goodSettings, -1) {
		want = append(want, m[1])
	}
	for _, k := range want {
		if !strings.Contains(" "+strings.Join(got, " ")+" ", " "+k+" ") {
			t.Errorf("template lacks the key %s; it has %v", k, got)
		}
	}
	if len(got) != len(want) {
		t.Errorf("template has the keys %v, want %v", got, want)
	}
}

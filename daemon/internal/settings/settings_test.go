package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/finding"
)

const validSettings = `host: e1
availability_zone: randstad-a
region: randstad
listen: 127.0.1.1:6432
forward_listen: 127.0.1.1:7432
peer_listen: 127.0.1.1:8432
admin_listen: 127.0.1.1:9432
platform: http://127.0.0.1:5000
peers: [127.0.2.1:8432, 127.0.3.1:8432]
drain_timeout: 10s
`

func load(t *testing.T, text string, env, flags map[string]string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file, func(name string) (string, bool) { v, ok := env[name]; return v, ok }, flags)
}

// Guards against settings that are lost or applied in the wrong order of
// precedence.
func TestFlagsOverEnvironmentOverFile(t *testing.T) {
	s, err := load(t, validSettings,
		map[string]string{"GYPSUMGAP_HOST": "e2", "GYPSUMGAP_REGION": "brabant"},
		map[string]string{"host": "e3"})
	if err != nil {
		t.Fatal(err)
	}
	if s.Host != "e3" || s.Region != "brabant" || s.AvailabilityZone != "randstad-a" {
		t.Errorf("got host %q, region %q, zone %q; want e3, brabant, randstad-a", s.Host, s.Region, s.AvailabilityZone)
	}
	if len(s.Peers) != 2 || s.DrainTimeout != 10*time.Second || s.Listen.Port() != 6432 {
		t.Errorf("got peers %v, drain timeout %s, listen %s; want 2 peers, 10s, port 6432", s.Peers, s.DrainTimeout, s.Listen)
	}
}

// Guards against a process that starts with invalid settings, and against a
// report of only the first of several errors.
func TestAllFindingsAreReportedWithPlaces(t *testing.T) {
	bad := strings.NewReplacer(
		"region: randstad\n", "",
		"drain_timeout: 10s", "drain_timeout: 10",
		"listen: 127.0.1.1:6432", "listen: localhost:6432",
		"host: e1", "hosts: e1",
		"peer_listen: 127.0.1.1:8432", "peer_listen: 127.0.1.1:7432",
	).Replace(validSettings)
	_, err := load(t, bad, nil, nil)
	var input *finding.InputError
	if !errors.As(err, &input) {
		t.Fatalf("got error %v, want *finding.InputError", err)
	}
	for _, want := range []string{
		`:1:1: error: unknown setting "hosts"`,
		":3:9: error: listen:",
		":9:16: error: drain_timeout:",
		"host is missing",
		"region is missing",
		"forward_listen and peer_listen both use 127.0.1.1:7432",
	} {
		if !strings.Contains(input.Error(), want) {
			t.Errorf("want finding %q in\n%s", want, input.Error())
		}
	}
}

// Guards against parsing a file with invalid YAML as empty settings.
func TestFileWithoutYAML(t *testing.T) {
	if _, err := load(t, "host: [", nil, nil); err == nil || !strings.Contains(err.Error(), "not valid YAML") {
		t.Errorf("got error %v, want one about invalid YAML", err)
	}
}

package fleet

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/gypsumgap/gypsumgap/core/finding"
)

// Protocol is the value of the setting protocol that selects this package.
const Protocol = "statements"

// Settings are the settings of a host that serves single statements.
type Settings struct {
	// Protocol must equal the constant Protocol.
	Protocol string `yaml:"protocol"`
	// Host is unique among hosts. A replacement of a host gets a new name.
	Host string `yaml:"host"`
	// AvailabilityZone is the availability zone of the host.
	AvailabilityZone string `yaml:"availability_zone"`
	// Zones maps each availability zone to its region.
	Zones map[string]string `yaml:"zones"`
	// Listen is the address for callers.
	Listen string `yaml:"listen"`
	// ReadyListen is the address for readiness checks.
	ReadyListen string `yaml:"ready_listen"`
	// MetricsListen is the address for metrics.
	MetricsListen string `yaml:"metrics_listen"`
	// PeerListen is the address for other hosts.
	PeerListen string `yaml:"peer_listen"`
	// Store is the IP address and port of the platform's object store.
	Store string `yaml:"store"`
	// Promotions is the IP address and port of the platform's promotion service.
	Promotions string `yaml:"promotions"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration `yaml:"-"`
	// CatchUpTimeout is the time after a failure of the store, or of connections
	// to it, within which the host must have learned every change.
	CatchUpTimeout time.Duration `yaml:"-"`
	// HeartbeatInterval is the time between the heartbeats of a backend server. The
	// platform removes its entry after three intervals without one.
	HeartbeatInterval time.Duration `yaml:"-"`
	// PlatformFencing is true if the platform stops a replaced primary and checks
	// fencing tokens. Otherwise the hosts use write leases.
	PlatformFencing bool `yaml:"platform_fencing"`
	// MemoryLimitMB is the memory in MB above which the process is killed; 0 means
	// no limit.
	MemoryLimitMB int `yaml:"memory_limit_mb"`
}

// file is the form of the settings in the file, which holds durations as
// strings.
type file struct {
	Settings          `yaml:",inline"`
	StopTimeout       string `yaml:"stop_timeout"`
	CatchUpTimeout    string `yaml:"catch_up_timeout"`
	HeartbeatInterval string `yaml:"heartbeat_interval"`
}

// defaultHeartbeatInterval applies if the settings give no heartbeat_interval.
const defaultHeartbeatInterval = "1200ms"

// IsStatements reports whether the data are settings of this package.
func IsStatements(data []byte) bool {
	var s struct {
		Protocol string `yaml:"protocol"`
	}
	return yaml.Unmarshal(data, &s) == nil && s.Protocol == Protocol
}

// LoadSettings reads and checks a settings file. It fails with
// *finding.InputError if the settings are invalid, or with the error of reading
// the file.
func LoadSettings(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(name, data)
}

// ParseSettings parses and checks the contents of the named settings file. It
// fails with *finding.InputError.
func ParseSettings(name string, data []byte) (*Settings, error) {
	var f file
	var findings finding.List
	place := finding.Position{File: name}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&f); err != nil {
		findings.Errorf(place, "known keys with values of their type", "%s", yaml.FormatError(err, false, false))
		return nil, findings.Err()
	}
	s := f.Settings
	f.HeartbeatInterval = cmp.Or(f.HeartbeatInterval, defaultHeartbeatInterval)
	for _, required := range []struct{ key, value string }{
		{"host", s.Host}, {"availability_zone", s.AvailabilityZone},
	} {
		if required.value == "" {
			findings.Errorf(place, "a name", "setting %s is missing", required.key)
		}
	}
	for _, address := range []struct{ key, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"metrics_listen", s.MetricsListen}, {"peer_listen", s.PeerListen},
		{"store", s.Store}, {"promotions", s.Promotions},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			findings.Errorf(place, "an IP number and a port, such as 10.0.1.1:6432", "setting %s: %v", address.key, err)
		}
	}
	if _, ok := s.Zones[s.AvailabilityZone]; !ok {
		findings.Errorf(place, "the region of each availability zone", "setting zones lacks %q", s.AvailabilityZone)
	}
	for _, duration := range []struct {
		key, text string
		to        *time.Duration
	}{{"stop_timeout", f.StopTimeout, &s.StopTimeout}, {"catch_up_timeout", f.CatchUpTimeout, &s.CatchUpTimeout},
		{"heartbeat_interval", f.HeartbeatInterval, &s.HeartbeatInterval}} {
		d, err := time.ParseDuration(duration.text)
		if err != nil || d <= 0 {
			findings.Errorf(place, "a positive duration with a unit, such as 6s", "setting %s is %q", duration.key, duration.text)
		}
		*duration.to = d
	}
	if s.MemoryLimitMB < 0 {
		findings.Errorf(place, "a number of megabytes", "setting memory_limit_mb is negative")
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

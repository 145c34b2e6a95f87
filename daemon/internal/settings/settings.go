// Package settings reads and validates the settings of one gypsumgap process. They
// come from a YAML file; environment variables override the file, and flags
// override both. All errors are reported together before anything starts.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/gypsumgap/gypsumgap/core/finding"
)

// DefaultDrainTimeout bounds a graceful shutdown if drain_timeout is not set.
const DefaultDrainTimeout = 30 * time.Second

// EnvironmentPrefix is the prefix of the environment variables. The rest of a
// name is the key in upper case.
const EnvironmentPrefix = "GYPSUMGAP_"

// Settings holds the settings of one process.
type Settings struct {
	// Host is the unique name of the host. A replacement host has a new name.
	Host string
	// AvailabilityZone is the name of the host's zone, such as randstad-a.
	AvailabilityZone string
	// Region is the name of the host's region, such as randstad.
	Region string
	// Listen is the address that serves callers.
	Listen netip.AddrPort
	// ForwardListen is the address for statements that other hosts forward.
	ForwardListen netip.AddrPort
	// PeerListen is the address for control messages from other hosts.
	PeerListen netip.AddrPort
	// AdminListen is the address that serves metrics and health.
	AdminListen netip.AddrPort
	// Platform is the base URL of the platform's object API.
	Platform string
	// Peers are the peer addresses of other hosts, from which this host discovers
	// the fleet while the platform is down.
	Peers []string
	// DrainTimeout bounds a graceful shutdown; it is always positive.
	DrainTimeout time.Duration
	// TLSCertificate is the name of a PEM file; empty if TLS is disabled.
	TLSCertificate string
	// TLSKey is the name of a PEM file; empty if TLS is disabled.
	TLSKey string
}

// key describes one known setting.
type key struct {
	name     string
	required bool
	expected string
	set      func(*Settings, string) error
}

var keys = []key{
	{"host", true, "a name", func(s *Settings, v string) error { s.Host = v; return nil }},
	{"availability_zone", true, "a name such as randstad-a", func(s *Settings, v string) error { s.AvailabilityZone = v; return nil }},
	{"region", true, "a name such as randstad", func(s *Settings, v string) error { s.Region = v; return nil }},
	{"listen", true, expectedAddress, func(s *Settings, v string) error { return parseAddress(&s.Listen, v) }},
	{"forward_listen", true, expectedAddress, func(s *Settings, v string) error { return parseAddress(&s.ForwardListen, v) }},
	{"peer_listen", true, expectedAddress, func(s *Settings, v string) error { return parseAddress(&s.PeerListen, v) }},
	{"admin_listen", true, expectedAddress, func(s *Settings, v string) error { return parseAddress(&s.AdminListen, v) }},
	{"platform", true, "a URL such as http://10.0.0.1:5000", setPlatform},
	{"peers", false, "a list of IP:port", setPeers},
	{"drain_timeout", false, "a duration with a unit, such as 30s", setDrainTimeout},
	{"tls_certificate", false, "a file name", func(s *Settings, v string) error { s.TLSCertificate = v; return nil }},
	{"tls_key", false, "a file name", func(s *Settings, v string) error { s.TLSKey = v; return nil }},
}

const expectedAddress = "an IP number and a port, such as 10.0.1.1:6432"

// listSeparator separates the entries of a list that is given as one string.
const listSeparator = ","

func parseAddress(dst *netip.AddrPort, v string) error {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return fmt.Errorf("address %q: %w", v, err)
	}
	*dst = a
	return nil
}

func setPlatform(s *Settings, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%q is not an HTTP URL", v)
	}
	s.Platform = v
	return nil
}

func setPeers(s *Settings, v string) error {
	s.Peers = nil
	for entry := range strings.SplitSeq(v, listSeparator) {
		entry = strings.TrimSpace(entry)
		if entry == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return fmt.Errorf("address %q: %w", entry, err)
		}
		s.Peers = append(s.Peers, entry)
	}
	return nil
}

func setDrainTimeout(s *Settings, v string) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return fmt.Errorf("duration %q: %w", v, err)
	}
	if d <= 0 {
		return fmt.Errorf("duration %q is not positive", v)
	}
	s.DrainTimeout = d
	return nil
}

// Load reads the file and applies overrides from the environment, a function such
// as os.LookupEnv, and from flags, a map from keys to values. Flags override the
// environment. Invalid settings yield a *finding.InputError; other errors come
// from reading the file.
func Load(file string, environment func(string) (string, bool), flags map[string]string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data, environment, flags)
}

// Parse is like Load for data that was already read from the file.
func Parse(file string, data []byte, environment func(string) (string, bool), flags map[string]string) (*Settings, error) {
	r := &reader{file: file, settings: Settings{DrainTimeout: DefaultDrainTimeout}, seen: map[string]bool{}}
	r.parseYAML(data)
	for _, k := range keys {
		name := EnvironmentPrefix + strings.ToUpper(k.name)
		if v, ok := environment(name); ok {
			r.apply(k, finding.Position{File: "environment variable " + name}, v)
		}
		if v, ok := flags[k.name]; ok {
			r.apply(k, finding.Position{File: "flag --" + strings.ReplaceAll(k.name, "_", "-")}, v)
		}
	}
	r.validate()
	if err := r.findings.Err(); err != nil {
		return nil, err
	}
	return &r.settings, nil
}

type reader struct {
	file     string
	settings Settings
	seen     map[string]bool
	findings finding.List
}

func (r *reader) parseYAML(data []byte) {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.findings.Errorf(finding.Position{File: r.file}, "a YAML mapping", "the file is not valid YAML: %v", err)
		return
	}
	for _, doc := range parsed.Docs {
		if doc.Body == nil {
			continue
		}
		mapping, ok := doc.Body.(ast.MapNode)
		if !ok {
			r.findings.Errorf(r.position(doc.Body), "a YAML mapping", "the file does not contain a mapping of settings")
			continue
		}
		for entries := mapping.MapRange(); entries.Next(); {
			r.applyEntry(entries.Key(), entries.Value())
		}
	}
}

func (r *reader) applyEntry(name ast.MapKeyNode, value ast.Node) {
	for _, k := range keys {
		if k.name == name.String() {
			r.apply(k, r.position(value), nodeText(value))
			return
		}
	}
	r.findings.Errorf(r.position(name), "one of "+keyNames(), "unknown setting %q", name.String())
}

func keyNames() string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = k.name
	}
	return strings.Join(out, ", ")
}

// nodeText returns the text of a scalar, or the entries of a list joined with
// listSeparator.
func nodeText(n ast.Node) string {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.SequenceNode:
		parts := make([]string, len(n.Values))
		for i, v := range n.Values {
			parts[i] = nodeText(v)
		}
		return strings.Join(parts, listSeparator)
	default:
		return n.GetToken().Value
	}
}

func (r *reader) position(n ast.Node) finding.Position {
	at := n.GetToken().Position
	return finding.Position{File: r.file, Line: at.Line, Column: at.Column}
}

func (r *reader) apply(k key, at finding.Position, value string) {
	r.seen[k.name] = true
	if value == "" && k.required {
		r.findings.Errorf(at, k.expected, "%s is empty", k.name)
		return
	}
	if err := k.set(&r.settings, value); err != nil {
		r.findings.Errorf(at, k.expected, "%s: %v", k.name, err)
	}
}

// validate checks for missing settings and for settings that conflict.
func (r *reader) validate() {
	at := finding.Position{File: r.file}
	for _, k := range keys {
		if k.required && !r.seen[k.name] {
			r.findings.Errorf(at, k.expected, "%s is missing", k.name)
		}
	}
	if (r.settings.TLSCertificate == "") != (r.settings.TLSKey == "") {
		r.findings.Errorf(at, "both or neither", "only one of tls_certificate and tls_key is set")
	}
	used := map[netip.AddrPort]string{}
	for _, l := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"listen", r.settings.Listen},
		{"forward_listen", r.settings.ForwardListen},
		{"peer_listen", r.settings.PeerListen},
		{"admin_listen", r.settings.AdminListen},
	} {
		if other, ok := used[l.address]; ok && l.address.IsValid() {
			r.findings.Errorf(at, "an address of its own for each listener", "%s and %s both use %s", other, l.name, l.address)
		}
		used[l.address] = l.name
	}
}

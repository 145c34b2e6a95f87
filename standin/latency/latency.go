// Package latency simulates network latency between availability zones. A Table,
// built from settings, maps IP prefixes to zones and pairs of zones to one-way
// latencies; a Conn delays the bytes of a connection accordingly.
package latency

import (
	"fmt"
	"net/netip"
	"time"
)

// Duration is a time span written with a unit, for example "1.5ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats d with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration with a unit. It returns an error for a number without
// one, except 0.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Settings describes a Table in YAML or JSON.
type Settings struct {
	// Zones maps a zone name to the IP prefixes of the zone, for example "127.0.1.0/24".
	Zones map[string][]string `json:"zones" yaml:"zones"`
	// Links lists the latencies between zones; each applies in both directions.
	Links []Link `json:"links" yaml:"links"`
	// Within is the one-way latency inside a zone.
	Within Duration `json:"within" yaml:"within"`
	// Default is the one-way latency between different zones without a link, and
	// to or from addresses that belong to no zone.
	Default Duration `json:"default" yaml:"default"`
}

// Link is the one-way latency between two zones.
type Link struct {
	A      string   `json:"a" yaml:"a"`
	B      string   `json:"b" yaml:"b"`
	OneWay Duration `json:"one_way" yaml:"one_way"`
}

type pair struct{ a, b string }

type prefixZone struct {
	prefix netip.Prefix
	zone   string
}

// Table maps addresses to zones and pairs of zones to latencies. It is immutable; in a
// nil Table all latencies are 0.
type Table struct {
	prefixes []prefixZone
	links    map[pair]time.Duration
	within   time.Duration
	fallback time.Duration
}

// NewTable builds a table from the settings. It returns an error for a malformed
// prefix, a link that names an unknown zone, or a negative latency.
func NewTable(s Settings) (*Table, error) {
	t := &Table{links: map[pair]time.Duration{}, within: s.Within.Std(), fallback: s.Default.Std()}
	for zone, prefixes := range s.Zones {
		for _, text := range prefixes {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				return nil, fmt.Errorf("zone %q: %w", zone, err)
			}
			t.prefixes = append(t.prefixes, prefixZone{prefix.Masked(), zone})
		}
	}
	for _, link := range s.Links {
		if err := checkLink(s, link); err != nil {
			return nil, err
		}
		t.links[pair{link.A, link.B}] = link.OneWay.Std()
		t.links[pair{link.B, link.A}] = link.OneWay.Std()
	}
	if s.Within < 0 || s.Default < 0 {
		return nil, fmt.Errorf("latency within a zone and default latency must not be negative")
	}
	return t, nil
}

func checkLink(s Settings, link Link) error {
	for _, zone := range []string{link.A, link.B} {
		if _, ok := s.Zones[zone]; !ok {
			return fmt.Errorf("link %q to %q: unknown zone %q", link.A, link.B, zone)
		}
	}
	if link.OneWay < 0 {
		return fmt.Errorf("link %q to %q: latency must not be negative", link.A, link.B)
	}
	return nil
}

// Zone returns the zone with the longest prefix that contains the address, or an empty
// string if there is none.
func (t *Table) Zone(ip netip.Addr) string {
	if t == nil {
		return ""
	}
	zone, bits := "", -1
	for _, p := range t.prefixes {
		if p.prefix.Bits() > bits && p.prefix.Contains(ip.Unmap()) {
			zone, bits = p.zone, p.prefix.Bits()
		}
	}
	return zone
}

// OneWay returns the one-way latency between two zones.
func (t *Table) OneWay(a, b string) time.Duration {
	if t == nil {
		return 0
	}
	if d, ok := t.links[pair{a, b}]; ok {
		return d
	}
	if a == b && a != "" {
		return t.within
	}
	return t.fallback
}

package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Action is the kind of a Change.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two snapshots.
type Change struct {
	Action Action `json:"action"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Part is the path of the difference within the service, separated by spaces,
	// for example "databases werkplaats-1-a connection_limit". It is empty if the
	// whole service was added or removed.
	Part string `json:"part,omitempty"`
	// From is the value before the change, as JSON. It is empty for secrets and for
	// parts that exist on one side only.
	From string `json:"from,omitempty"`
	// To is the value after the change, as JSON. It is empty in the same cases as
	// From.
	To string `json:"to,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	s := fmt.Sprintf("%s service %s", c.Action, c.Service)
	if c.Part != "" {
		s = fmt.Sprintf("%s %s: %s", c.Action, c.Service, c.Part)
	}
	if c.From != "" || c.To != "" {
		s += fmt.Sprintf(": %s -> %s", c.From, c.To)
	}
	return s
}

// Diff returns the changes from one snapshot to another, ordered by service
// and part.
func Diff(from, to *Snapshot) []Change {
	var out []Change
	names := slices.Concat(from.Names(), to.Names())
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		out = append(out, diffService(name, from.services[name], to.services[name])...)
	}
	return out
}

func diffService(name string, from, to *Service) []Change {
	switch {
	case from == to:
		return nil
	case from == nil:
		return []Change{{Action: Added, Service: name}}
	case to == nil:
		return []Change{{Action: Removed, Service: name}}
	}
	a, b := mustEncode(from), mustEncode(to)
	if bytes.Equal(a, b) {
		return nil
	}
	d := differ{service: name}
	d.diffValues("", mustDecode(a), mustDecode(b))
	return d.changes
}

// mustEncode encodes a service. It panics on an error, which the types of the
// model can't cause.
func mustEncode(s *Service) []byte {
	b, err := EncodeService(s)
	if err != nil {
		panic(err)
	}
	return b
}

func mustDecode(b []byte) any {
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		panic(err)
	}
	return v
}

// differ collects the differences between two JSON forms of one service.
type differ struct {
	service string
	changes []Change
}

func (d *differ) diffValues(part string, from, to any) {
	switch f := from.(type) {
	case map[string]any:
		if t, ok := to.(map[string]any); ok {
			d.diffMaps(part, f, t)
			return
		}
	case []any:
		if t, ok := to.([]any); ok {
			d.diffMaps(part, indexByName(f), indexByName(t))
			return
		}
	}
	if a, b := encodeCompact(from), encodeCompact(to); a != b {
		d.add(Changed, part, a, b)
	}
}

func (d *differ) diffMaps(part string, from, to map[string]any) {
	keys := slices.Concat(slices.Collect(maps.Keys(from)), slices.Collect(maps.Keys(to)))
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		f, before := from[key]
		t, after := to[key]
		switch {
		case !before:
			d.addOneSided(Added, joinPart(part, key), t)
		case !after:
			d.addOneSided(Removed, joinPart(part, key), f)
		default:
			d.diffValues(joinPart(part, key), f, t)
		}
	}
}

// addOneSided records a part that exists on one side only. For a list it records
// each item by name.
func (d *differ) addOneSided(a Action, part string, v any) {
	list, ok := v.([]any)
	if !ok {
		d.add(a, part, "", "")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(indexByName(list))) {
		d.add(a, joinPart(part, name), "", "")
	}
}

func (d *differ) add(a Action, part, from, to string) {
	if isSecret(part) {
		from, to = "", ""
	}
	d.changes = append(d.changes, Change{Action: a, Service: d.service, Part: part, From: from, To: to})
}

// isSecret reports whether the values of a part must not appear in a Change.
func isSecret(part string) bool { return lastWord(part) == keyVerifier }

func lastWord(part string) string {
	for i := len(part) - 1; i >= 0; i-- {
		if part[i] == ' ' {
			return part[i+1:]
		}
	}
	return part
}

// indexByName returns the items of a list by their names.
func indexByName(list []any) map[string]any {
	out := make(map[string]any, len(list))
	for i, v := range list {
		out[itemName(i, v)] = v
	}
	return out
}

// itemName returns the name, user or ID of an item, or its index if it has none.
// A slot has no JSON tags, so its key is "ID".
func itemName(i int, v any) string {
	if m, ok := v.(map[string]any); ok {
		for _, key := range []string{keyName, keyUser, "ID"} {
			if s, ok := m[key].(string); ok {
				return s
			}
		}
	}
	return fmt.Sprint(i)
}

func encodeCompact(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func joinPart(part, key string) string {
	if part == "" {
		return key
	}
	return part + " " + key
}

package config

import (
	"reflect"

	"github.com/gypsumgap/gypsumgap/core/finding"
)

// merger merges the trees of files in the order of their names.
type merger struct {
	findings *finding.List
}

// merge overrides the values of an earlier file with those of a later one and
// returns the result. It warns about every value that changes in this way.
func (m *merger) merge(earlier, later *node, key string) *node {
	switch {
	case earlier == nil:
		return later
	case later == nil:
		return earlier
	}
	switch later.schema.kind {
	case kindMapping, kindNamedMapping:
		return m.mergeMapping(earlier, later)
	case kindNamedList:
		return m.mergeNamedList(earlier, later)
	default:
		return m.override(earlier, later, key)
	}
}

func (m *merger) mergeMapping(earlier, later *node) *node {
	out := &node{position: later.position, schema: later.schema}
	for _, key := range earlier.keys {
		out.set(key, earlier.fields[key])
	}
	for _, key := range later.keys {
		out.set(key, m.merge(out.fields[key], later.fields[key], key))
	}
	return out
}

func (m *merger) mergeNamedList(earlier, later *node) *node {
	out := &node{position: later.position, schema: later.schema}
	out.items = append(out.items, earlier.items...)
	for _, item := range later.items {
		name := item.text(later.schema.nameKey)
		m.mergeItem(out, item, name)
	}
	return out
}

// mergeItem merges item into the item of that name, or appends it if there is none.
func (m *merger) mergeItem(list, item *node, name string) {
	for i, it := range list.items {
		if it.text(list.schema.nameKey) == name {
			list.items[i] = m.merge(it, item, name)
			return
		}
	}
	list.items = append(list.items, item)
}

// override replaces a scalar or an unnamed list. Different values of repeatable
// are an error, since a wrong one would allow a request to run twice.
func (m *merger) override(earlier, later *node, key string) *node {
	if later.invalid {
		return earlier
	}
	if earlier.invalid {
		return later
	}
	if reflect.DeepEqual(earlier.plainValue(), later.plainValue()) {
		return later
	}
	if key == keyRepeatable {
		m.findings.Errorf(later.position, "the same value in all files",
			"the class is both repeatable and not repeatable: %s is %v here and %v at %s", key, later.value, earlier.value, earlier.position)
		return later
	}
	m.findings.Warnf(later.position, "each value in one file", "%s overrides the value set at %s", key, earlier.position)
	return later
}

// plainValue returns the value without positions, for comparison.
func (n *node) plainValue() any {
	switch {
	case n.value != nil:
		return n.value
	case n.fields != nil:
		out := map[string]any{}
		for key, f := range n.fields {
			out[key] = f.plainValue()
		}
		return out
	default:
		out := make([]any, len(n.items))
		for i, it := range n.items {
			out[i] = it.plainValue()
		}
		return out
	}
}

package config

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/gypsumgap/gypsumgap/core/finding"
)

// node is a value that was checked against its schema, with its position.
type node struct {
	position finding.Position
	schema   *schema
	// value holds a scalar: string, int, Duration, bool or float64.
	value any
	// keys holds the keys of a mapping in the order of the file.
	keys []string
	// fields holds the values of a mapping by key.
	fields map[string]*node
	// items holds the items of a list.
	items []*node
	// invalid marks a value that was rejected with a finding; only its key is
	// known.
	invalid bool
}

// set adds an entry to a mapping or replaces it without changing its place.
func (n *node) set(key string, value *node) {
	if n.fields == nil {
		n.fields = map[string]*node{}
	}
	if _, ok := n.fields[key]; !ok {
		n.keys = append(n.keys, key)
	}
	n.fields[key] = value
}

// text returns the text value of a mapping's key, or "" if it is missing or
// invalid.
func (n *node) text(key string) string {
	if f := n.fields[key]; f != nil {
		s, _ := f.value.(string)
		return s
	}
	return ""
}

// fileReader parses one file into a tree and collects its findings.
type fileReader struct {
	name     string
	findings *finding.List
}

// read parses a file and checks it against the schema. It returns nil if the
// file is not valid YAML or has no content.
func (r *fileReader) read(data []byte) *node {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.reportSyntaxError(err)
		return nil
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		r.findings.Warnf(finding.Position{File: r.name}, `a mapping with the key "services"`, "the file has no content")
		return nil
	}
	if len(bodies) > 1 {
		r.findings.Errorf(r.position(bodies[1]), "one document per file", "the file holds more than one YAML document")
	}
	return r.readValue(bodies[0], fileSchema)
}

func (r *fileReader) reportSyntaxError(err error) {
	position := finding.Position{File: r.name}
	message := err.Error()
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		message = yamlErr.GetMessage()
		position = r.tokenPosition(yamlErr.GetToken())
	}
	message, _, _ = strings.Cut(message, "\n")
	r.findings.Errorf(position, "a YAML mapping", "the file is not valid YAML: %s", message)
}

// position returns the position of a value. A block mapping starts at its first
// key.
func (r *fileReader) position(n ast.Node) finding.Position {
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		return r.tokenPosition(m.Values[0].Key.GetToken())
	}
	if m, ok := n.(*ast.MappingValueNode); ok {
		return r.tokenPosition(m.Key.GetToken())
	}
	return r.tokenPosition(n.GetToken())
}

func (r *fileReader) tokenPosition(t *token.Token) finding.Position {
	if t == nil || t.Position == nil {
		return finding.Position{File: r.name}
	}
	return finding.Position{File: r.name, Line: t.Position.Line, Column: t.Position.Column}
}

// readValue checks a value against its schema. It reports an invalid value and
// returns nil for it.
func (r *fileReader) readValue(n ast.Node, s *schema) *node {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		r.findings.Errorf(r.position(n), s.kind.expected(), "YAML anchors, aliases and tags are not supported")
		return nil
	}
	switch s.kind {
	case kindMapping, kindNamedMapping:
		return r.readMapping(n, s)
	case kindList, kindNamedList:
		return r.readList(n, s)
	default:
		return r.readScalar(n, s)
	}
}

func (r *fileReader) readMapping(n ast.Node, s *schema) *node {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		r.reportWrongType(n, s)
		return nil
	}
	out := &node{position: r.position(n), schema: s}
	seen := map[string]finding.Position{}
	for _, v := range values {
		r.readMappingEntry(out, v, seen)
	}
	return out
}

// readMappingEntry checks one key of a mapping and its value and adds them to out.
// seen holds the positions of the keys before it.
func (r *fileReader) readMappingEntry(out *node, v *ast.MappingValueNode, seen map[string]finding.Position) {
	key := v.Key.GetToken().Value
	position := r.tokenPosition(v.Key.GetToken())
	if first, ok := seen[key]; ok {
		what := "key"
		if out.schema.kind == kindNamedMapping {
			what = out.schema.label
		}
		r.findings.Errorf(position, "each name once in a file", "%s %q is already set at %s", what, key, first)
		return
	}
	seen[key] = position
	valueSchema := out.schema.item
	if out.schema.kind == kindMapping {
		f, ok := out.schema.field(key)
		if !ok {
			r.reportUnknownKey(position, key, out.schema)
			return
		}
		valueSchema = f.schema
	} else {
		r.checkName(position, out.schema.label, key)
	}
	child := r.readValue(v.Value, valueSchema)
	if child == nil {
		// Keep the key, so that it is not reported as missing too.
		child = &node{schema: valueSchema, invalid: true}
	}
	// Findings about a mapping or list point to its key, those about a scalar to
	// its value.
	if child.value == nil {
		child.position = position
	}
	out.set(key, child)
}

func (r *fileReader) reportUnknownKey(position finding.Position, key string, s *schema) {
	expected := "one of " + s.keyList()
	if suggestion := s.nearestKey(key); suggestion != "" {
		expected = suggestion
	}
	r.findings.Errorf(position, expected, "unknown key %q", key)
}

func (r *fileReader) readList(n ast.Node, s *schema) *node {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		r.reportWrongType(n, s)
		return nil
	}
	out := &node{position: r.position(n), schema: s}
	seen := map[string]finding.Position{}
	for _, v := range seq.Values {
		item := r.readValue(v, s.item)
		if item == nil {
			continue
		}
		if s.kind == kindNamedList && !r.checkItemName(item, s, seen) {
			continue
		}
		out.items = append(out.items, item)
	}
	return out
}

// checkItemName checks the name of an item of a kindNamedList and reports whether
// the item can be kept.
func (r *fileReader) checkItemName(item *node, s *schema, seen map[string]finding.Position) bool {
	nameNode := item.fields[s.nameKey]
	if nameNode == nil {
		r.findings.Errorf(item.position, s.nameKey+": a name", "%s without %s", s.item.label, s.nameKey)
		return false
	}
	name, ok := nameNode.value.(string)
	if !ok {
		return false
	}
	r.checkName(nameNode.position, s.item.label, name)
	if first, ok := seen[name]; ok {
		r.findings.Errorf(nameNode.position, "each name once in a file", "%s %q is already set at %s", s.item.label, name, first)
		return false
	}
	seen[name] = nameNode.position
	return true
}

// checkName rejects empty names and characters that act as separators or quotes
// in logs, tokens and paths, where such names would be ambiguous.
func (r *fileReader) checkName(position finding.Position, what, name string) {
	disallowed := func(c rune) bool {
		return c <= ' ' || c == 0x7f || strings.ContainsRune(`/\:='"`, c)
	}
	if name == "" || strings.ContainsFunc(name, disallowed) {
		r.findings.Errorf(position, `a name without spaces, quotes and / \ : =`, "name %q of a %s is empty or has characters that are not allowed", name, what)
	}
}

func (r *fileReader) readScalar(n ast.Node, s *schema) *node {
	out := &node{position: r.position(n), schema: s}
	switch s.kind {
	case kindText:
		out.value = textValue(n)
	case kindInteger:
		out.value = integerValue(n)
	case kindBool:
		if b, ok := n.(*ast.BoolNode); ok {
			out.value = b.Value
		}
	case kindShare:
		out.value = shareValue(n)
	case kindDuration:
		return r.readDuration(n, out)
	}
	if out.value == nil {
		r.reportWrongType(n, s)
		return nil
	}
	return out
}

// textValue returns the string of a plain, quoted or block scalar, or nil.
func textValue(n ast.Node) any {
	switch t := n.(type) {
	case *ast.StringNode:
		return t.Value
	case *ast.LiteralNode:
		return t.Value.Value
	default:
		return nil
	}
}

// integerValue returns an int of at most 31 bits and a sign, or nil.
func integerValue(n ast.Node) any {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return nil
	}
	const limit = 1 << 31
	switch v := i.Value.(type) {
	case uint64:
		if v < limit {
			return int(v)
		}
	case int64:
		if v > -limit && v < limit {
			return int(v)
		}
	}
	return nil
}

// shareValue returns a float64 from 0 to 1, or nil.
func shareValue(n ast.Node) any {
	var v float64
	switch t := n.(type) {
	case *ast.FloatNode:
		v = t.Value
	case *ast.IntegerNode:
		i, ok := integerValue(n).(int)
		if !ok {
			return nil
		}
		v = float64(i)
	default:
		return nil
	}
	if !(v >= 0 && v <= 1) {
		return nil
	}
	return v
}

func (r *fileReader) readDuration(n ast.Node, out *node) *node {
	written, ok := textValue(n).(string)
	if !ok {
		if _, number := integerValue(n).(int); number {
			r.findings.Errorf(out.position, out.schema.kind.expected(), "duration %s has no unit", n.GetToken().Value)
			return nil
		}
		r.reportWrongType(n, out.schema)
		return nil
	}
	d, err := time.ParseDuration(written)
	if err != nil || d < 0 {
		r.findings.Errorf(out.position, out.schema.kind.expected(), "%q is not a duration", written)
		return nil
	}
	out.value = Duration(d)
	return out
}

func (r *fileReader) reportWrongType(n ast.Node, s *schema) {
	r.findings.Errorf(r.position(n), s.kind.expected(), "wrong type: %s", describeNode(n))
}

// describeNode returns the type of a YAML value, and the text of a scalar, for a
// message.
func describeNode(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "no value"
	default:
		return fmt.Sprintf("%s %q", strings.ToLower(n.Type().String()), n.GetToken().Value)
	}
}

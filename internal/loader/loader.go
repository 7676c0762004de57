package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes bounds the bytes of a settings file.
const maxFileBytes = 1 << 20

// ValidationError describes one invalid part of a settings file.
type ValidationError struct {
	File    string
	Line    int    // from 1
	Column  int    // from 1
	Key     string // path of the key with dots, or "file" for the whole file
	Found   string
	Allowed string
}

// Error returns the position, the key, the value found and the values allowed.
func (e ValidationError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: found %s, allowed is %s", e.File, e.Line, e.Column, e.Key, e.Found, e.Allowed)
}

// ValidationErrors lists everything that is invalid in a settings file.
type ValidationErrors []ValidationError

// Error returns one line for each error.
func (e ValidationErrors) Error() string {
	var lines []string
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

var (
	_ error = ValidationError{}
	_ error = ValidationErrors{}
)

// Load reads and validates a settings file. If the file is invalid, the error is
// of type ValidationErrors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse validates the content of a settings file. The parameter file is the name
// that errors give.
func Parse(file string, data []byte) (Settings, error) {
	d := &decoder{file: file, settings: Default()}
	if len(data) > maxFileBytes {
		return Settings{}, ValidationErrors{{File: file, Line: 1, Column: 1, Key: "file", Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d", maxFileBytes)}}
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, ValidationErrors{d.syntaxError(err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return Settings{}, ValidationErrors{{File: file, Line: 1, Column: 1, Key: "file", Found: fmt.Sprintf("%d documents", len(tree.Docs)), Allowed: "one document with settings"}}
	}
	d.decodeSection("", tree.Docs[0].Body, schema())
	d.checkCombinations()
	if len(d.errs) > 0 {
		slices.SortStableFunc(d.errs, func(a, b ValidationError) int { return (a.Line-b.Line)*maxFileBytes + a.Column - b.Column })
		return Settings{}, d.errs
	}
	return d.settings, nil
}

// decoder walks the syntax tree of a file, fills in the settings and collects
// validation errors.
type decoder struct {
	file     string
	settings Settings
	errs     ValidationErrors
	nodes    map[string]ast.Node // values by the path of their key
}

func (d *decoder) syntaxError(err error) ValidationError {
	invalid := ValidationError{File: d.file, Line: 1, Column: 1, Key: "file", Found: "no valid YAML", Allowed: "YAML"}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		if token := syntax.GetToken(); token != nil {
			invalid.Line, invalid.Column = token.Position.Line, token.Position.Column
		}
		invalid.Found = syntax.GetMessage()
	}
	return invalid
}

func (d *decoder) report(key string, node ast.Node, found, allowed string) {
	line, column := 1, 1
	if node != nil && node.GetToken() != nil {
		position := node.GetToken().Position
		line, column = position.Line, position.Column
	}
	d.errs = append(d.errs, ValidationError{File: d.file, Line: line, Column: column, Key: key, Found: found, Allowed: allowed})
}

// decodeSection decodes a mapping and reports unknown, missing and invalid keys.
func (d *decoder) decodeSection(prefix string, node ast.Node, fields []field) {
	values, ok := mapping(node)
	if !ok {
		d.report(sectionKey(prefix), node, describeNode(node), "a mapping")
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.GetToken().Value
		seen[key] = true
		d.decodeKey(prefix, key, v, fields)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.report(prefix+f.name, node, "nothing", f.allowed)
		}
	}
}

func (d *decoder) decodeKey(prefix, key string, v *ast.MappingValueNode, fields []field) {
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == key })
	if i < 0 {
		d.report(prefix+key, v.Key, "an unknown key", "one of "+fieldNames(fields))
		return
	}
	f := fields[i]
	if d.nodes == nil {
		d.nodes = map[string]ast.Node{}
	}
	d.nodes[prefix+key] = v.Value
	if f.section != nil {
		d.decodeSection(prefix+key+".", v.Value, f.section)
		return
	}
	if !f.set(v.Value, &d.settings) {
		d.report(prefix+key, v.Value, describeNode(v.Value), f.allowed)
	}
}

// checkCombinations reports values that are valid alone but not together.
func (d *decoder) checkCombinations() {
	s := d.settings
	if s.Zone != "" && len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone) {
		d.report("zone", d.nodes["zone"], fmt.Sprintf("%q", s.Zone), "one of the zones in zones")
	}
	if s.Limits.Notice > s.Limits.Drain {
		d.report("limits.notice", d.firstNode("limits.notice", "limits.drain"), s.Limits.Notice.String(), "at most limits.drain, "+s.Limits.Drain.String())
	}
	if s.Limits.Lease > 0 && s.Limits.Drift > 0 && s.Limits.Drift >= s.Limits.Lease {
		d.report("limits.drift", d.nodes["limits.drift"], s.Limits.Drift.String(), "less than limits.lease, "+s.Limits.Lease.String())
	}
	used := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers}, {"listen.forward", s.Listen.Forward},
	} {
		if other := used[l.address]; l.address != "" && other != "" {
			d.report(l.key, d.nodes[l.key], l.address, "an address other than that of "+other)
		}
		used[l.address] = l.key
	}
}

// firstNode returns the value of the first key that the file contains, or nil.
func (d *decoder) firstNode(keys ...string) ast.Node {
	for _, key := range keys {
		if node := d.nodes[key]; node != nil {
			return node
		}
	}
	return nil
}

func mapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// sectionKey returns the key that errors about a whole section give.
func sectionKey(prefix string) string {
	if prefix == "" {
		return "file"
	}
	return strings.TrimSuffix(prefix, ".")
}

func describeNode(node ast.Node) string {
	if _, ok := mapping(node); ok {
		return "a mapping"
	}
	if _, ok := node.(*ast.SequenceNode); ok {
		return "a list"
	}
	return fmt.Sprintf("%q", node.GetToken().Value)
}

func fieldNames(fields []field) string {
	var list []string
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}

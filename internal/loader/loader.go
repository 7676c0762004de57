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

// maxFile bounds the bytes of a settings file.
const maxFile = 1 << 20

// Fault is one fault of a settings file.
type Fault struct {
	File    string
	Line    int
	Column  int
	Key     string
	Found   string
	Allowed string
}

// Error describes the fault.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: found %s, allowed is %s", f.File, f.Line, f.Column, f.Key, f.Found, f.Allowed)
}

// Faults are all faults of a file.
type Faults []Fault

// Error describes all faults, a line each.
func (f Faults) Error() string {
	var lines []string
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

var (
	_ error = Fault{}
	_ error = Faults{}
)

// Load reads and checks a file. A faulty file gives Faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse checks the text of a file.
func Parse(file string, data []byte) (Settings, error) {
	r := &reader{file: file, settings: Default()}
	if len(data) > maxFile {
		return Settings{}, Faults{{File: file, Line: 1, Column: 1, Key: "file", Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d", maxFile)}}
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, Faults{r.syntax(err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return Settings{}, Faults{{File: file, Line: 1, Column: 1, Key: "file", Found: fmt.Sprintf("%d documents", len(tree.Docs)), Allowed: "one document with settings"}}
	}
	r.section("", tree.Docs[0].Body, schema())
	r.pairs()
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return (a.Line-b.Line)*maxFile + a.Column - b.Column })
		return Settings{}, r.faults
	}
	return r.settings, nil
}

// reader walks the tree of one file and gathers faults.
type reader struct {
	file     string
	settings Settings
	faults   Faults
	places   map[string]ast.Node
}

func (r *reader) syntax(err error) Fault {
	fault := Fault{File: r.file, Line: 1, Column: 1, Key: "file", Found: "no valid YAML", Allowed: "YAML"}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		if token := syntax.GetToken(); token != nil {
			fault.Line, fault.Column = token.Position.Line, token.Position.Column
		}
		fault.Found = syntax.GetMessage()
	}
	return fault
}

func (r *reader) fault(key string, node ast.Node, found, allowed string) {
	line, column := 1, 1
	if node != nil && node.GetToken() != nil {
		position := node.GetToken().Position
		line, column = position.Line, position.Column
	}
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Column: column, Key: key, Found: found, Allowed: allowed})
}

// section checks the keys of a mapping against what it may hold.
func (r *reader) section(prefix string, node ast.Node, fields []field) {
	values, ok := mapping(node)
	if !ok {
		r.fault(orRoot(prefix), node, describe(node), "a mapping")
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.GetToken().Value
		seen[key] = true
		r.one(prefix, key, v, fields)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.fault(prefix+f.name, node, "nothing", f.allowed)
		}
	}
}

func (r *reader) one(prefix, key string, v *ast.MappingValueNode, fields []field) {
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == key })
	if i < 0 {
		r.fault(prefix+key, v.Key, "an unknown key", "one of "+names(fields))
		return
	}
	f := fields[i]
	if r.places == nil {
		r.places = map[string]ast.Node{}
	}
	r.places[prefix+key] = v.Value
	if f.section != nil {
		r.section(prefix+key+".", v.Value, f.section)
		return
	}
	if !f.set(v.Value, &r.settings) {
		r.fault(prefix+key, v.Value, describe(v.Value), f.allowed)
	}
}

// pairs checks values that exclude each other.
func (r *reader) pairs() {
	s := r.settings
	if s.Zone != "" && len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone) {
		r.fault("zone", r.places["zone"], fmt.Sprintf("%q", s.Zone), "one of the zones in zones")
	}
	if s.Limits.Notice > s.Limits.Drain {
		r.fault("limits.notice", r.place("limits.notice", "limits.drain"), s.Limits.Notice.String(), "at most limits.drain, "+s.Limits.Drain.String())
	}
	if s.Limits.Lease > 0 && s.Limits.Drift > 0 && s.Limits.Drift >= s.Limits.Lease {
		r.fault("limits.drift", r.places["limits.drift"], s.Limits.Drift.String(), "less than limits.lease, "+s.Limits.Lease.String())
	}
	used := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers}, {"listen.forward", s.Listen.Forward},
	} {
		if other := used[l.address]; l.address != "" && other != "" {
			r.fault(l.key, r.places[l.key], l.address, "an address other than that of "+other)
		}
		used[l.address] = l.key
	}
}

func (r *reader) place(keys ...string) ast.Node {
	for _, key := range keys {
		if node := r.places[key]; node != nil {
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

func orRoot(prefix string) string {
	if prefix == "" {
		return "file"
	}
	return strings.TrimSuffix(prefix, ".")
}

func describe(node ast.Node) string {
	if _, ok := mapping(node); ok {
		return "a mapping"
	}
	if _, ok := node.(*ast.SequenceNode); ok {
		return "a list"
	}
	return fmt.Sprintf("%q", node.GetToken().Value)
}

func names(fields []field) string {
	var list []string
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}

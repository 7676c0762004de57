package loader

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/sirupsen/logrus"
)

// Cell holds the settings of an entry that schedules jobs on a cell of the
// platform.
type Cell struct {
	Name     string        `yaml:"name"`
	Zone     string        `yaml:"zone"`
	Listen   CellListen    `yaml:"listen"`
	Platform string        `yaml:"platform"` // address of the platform's log
	Advice   string        `yaml:"advice"`   // address of the advice service; empty if there is none
	Lease    time.Duration `yaml:"lease"`    // longest lease that a worker grants
	Grace    time.Duration `yaml:"grace"`    // time from the request to stop until the process is killed
	Keep     time.Duration `yaml:"keep"`     // how long the states of ended jobs can be queried
	Strict   bool          `yaml:"strict"`   // revoked keys must not be served after Revoke
	Revoke   Milliseconds  `yaml:"revoke"`   // from the publication of a configuration that revokes a key; 0 for no limit
	Apply    Milliseconds  `yaml:"apply"`    // time after which a new configuration must be in force; 0 for no limit
	Far      float64       `yaml:"far"`      // how many times as long a task takes away from its data or its gang; 0 or 1 if places don't matter
	Share    float64       `yaml:"share"`    // CPU share of the entry, in cores
	Memory   int64         `yaml:"memory"`   // memory of the entry, in megabytes
	Level    string        `yaml:"level"`    // log level: error, warning, info or debug

	Descriptors int `yaml:"descriptors"` // file descriptors of the entry; 0 if they are not limited
}

// Milliseconds is a time in milliseconds.
type Milliseconds int64

// Duration returns the time.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// CellListen holds the addresses of the listeners of such an entry.
type CellListen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"`
	Metrics string `yaml:"metrics"`
}

// LoadCell reads and validates a settings file. Unknown keys are errors.
func LoadCell(path string) (Cell, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Cell{}, errors.Wrap(err, "read settings")
	}
	return ParseCell(path, data)
}

// ParseCell validates the content of a settings file. The parameter file is the
// name that errors give.
func ParseCell(file string, data []byte) (Cell, error) {
	c := Cell{Level: "info"}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&c); err != nil {
		if invalid := invalidDurations(file, data); len(invalid) > 0 {
			return Cell{}, invalid
		}
		return Cell{}, errors.Newf("%s: %s", file, yaml.FormatError(err, false, true))
	}
	invalid := c.validate(file)
	if len(invalid) > 0 {
		for i := range invalid {
			invalid[i].Line, invalid[i].Column = position(data, invalid[i].Key)
		}
		return Cell{}, invalid
	}
	return c, nil
}

// invalidDurations returns an error for each duration that cannot be parsed, with
// its position, which the YAML decoder does not report for durations.
func invalidDurations(file string, data []byte) ValidationErrors {
	var all ValidationErrors
	for _, key := range []string{"lease", "grace", "keep"} {
		node, err := lookupNode(data, key)
		if err != nil {
			continue // validate reports missing keys
		}
		token := node.GetToken()
		if _, err := time.ParseDuration(token.Value); err != nil {
			all = append(all, ValidationError{
				File: file, Line: token.Position.Line, Column: token.Position.Column, Key: key,
				Found: fmt.Sprintf("%q", token.Value), Allowed: allowedDuration,
			})
		}
	}
	return all
}

// lookupNode returns the value of a key, given as a path with dots.
func lookupNode(data []byte, key string) (ast.Node, error) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return nil, err
	}
	return path.ReadNode(bytes.NewReader(data))
}

// position returns the line and column of the value of a key, or 1 and 1 if the
// file does not contain the key.
func position(data []byte, key string) (line, column int) {
	node, err := lookupNode(data, key)
	if err != nil {
		return 1, 1
	}
	position := node.GetToken().Position
	return position.Line, position.Column
}

// validate returns an error without a position for each invalid value.
func (c Cell) validate(file string) ValidationErrors {
	var all ValidationErrors
	check := func(ok bool, key string, found any, allowed string) {
		if !ok {
			all = append(all, ValidationError{File: file, Key: key, Found: fmt.Sprintf("%q", fmt.Sprint(found)), Allowed: allowed})
		}
	}
	check(isName(c.Name), "name", c.Name, allowedName)
	check(isName(c.Zone), "zone", c.Zone, allowedName)
	for _, l := range []struct{ key, value string }{
		{"listen.callers", c.Listen.Callers}, {"listen.ready", c.Listen.Ready},
		{"listen.peers", c.Listen.Peers}, {"listen.metrics", c.Listen.Metrics}, {"platform", c.Platform},
	} {
		check(isAddress(l.value), l.key, l.value, allowedAddress)
	}
	check(c.Advice == "" || isAddress(c.Advice), "advice", c.Advice, allowedAddress)
	for _, d := range []struct {
		key   string
		value time.Duration
	}{{"lease", c.Lease}, {"grace", c.Grace}, {"keep", c.Keep}} {
		check(d.value > 0, d.key, d.value, allowedDuration)
	}
	check(c.Revoke >= 0, "revoke", c.Revoke, allowedLimit)
	check(c.Apply >= 0, "apply", c.Apply, allowedLimit)
	check(c.Far == 0 || c.Far >= 1, "far", c.Far, "0 or a number from 1")
	check(c.Share > 0, "share", c.Share, "a number above 0")
	check(c.Memory > 0, "memory", c.Memory, "a number above 0")
	check(c.Descriptors >= 0, "descriptors", c.Descriptors, "a number, 0 for no limit")
	_, err := logrus.ParseLevel(c.Level)
	check(err == nil, "level", c.Level, "one of error, warning, info, debug")
	return all
}

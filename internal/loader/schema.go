package loader

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// Log formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// field describes one key of a mapping. If section is set, the value is a mapping
// with these fields; otherwise set validates and stores the value.
type field struct {
	name     string
	required bool
	allowed  string // what errors say is allowed
	section  []field
	set      func(node ast.Node, s *Settings) bool
}

const (
	allowedName     = "a name of letters, digits, dots and dashes"
	allowedAddress  = "an IP number and a port such as 10.0.0.1:7000"
	allowedDuration = "a positive duration with a unit such as 1500ms or 2s"
	allowedMemory   = "a number of megabytes from 1 to 1048576"
	allowedLimit    = "a number of milliseconds, or 0 for no limit"
)

// schema returns the top-level fields of a settings file.
func schema() []field {
	return []field{
		{name: "name", required: true, allowed: allowedName, set: textSetter(isName, func(s *Settings, v string) { s.Name = v })},
		{name: "zone", required: true, allowed: allowedName, set: textSetter(isName, func(s *Settings, v string) { s.Zone = scheduler.Zone(v) })},
		{name: "zones", required: true, allowed: "a list of names, each once", set: setZones},
		{name: "listen", required: true, allowed: "a mapping", section: listenSchema()},
		{name: "platform", required: true, allowed: "a URL such as http://10.0.0.9:9000", set: textSetter(isURL, func(s *Settings, v string) { s.Platform = v })},
		{name: "servers", section: []field{
			{name: "status", allowed: "a path such as /slots", set: textSetter(isPath, func(s *Settings, v string) { s.Status = v })},
		}},
		{name: "memory", allowed: allowedMemory, set: setMemory},
		{name: "limits", section: limitsSchema()},
		{name: "log", section: []field{
			{name: "level", allowed: "one of error, warning, info, debug", set: setLevel},
			{name: "format", allowed: "one of text, json", set: textSetter(isFormat, func(s *Settings, v string) { s.Log.Format = v })},
		}},
		{name: "goals", section: []field{
			durationField("wait", func(s *Settings) *time.Duration { return &s.Goals.Wait }),
			{name: "share", allowed: "a number between 0 and 1", set: setShare},
		}},
	}
}

func listenSchema() []field {
	return []field{
		addressField("callers", func(s *Settings) *string { return &s.Listen.Callers }),
		addressField("operators", func(s *Settings) *string { return &s.Listen.Operators }),
		addressField("peers", func(s *Settings) *string { return &s.Listen.Peers }),
		addressField("forward", func(s *Settings) *string { return &s.Listen.Forward }),
	}
}

func limitsSchema() []field {
	return []field{
		durationField("queue", func(s *Settings) *time.Duration { return &s.Limits.Queue }),
		{name: "length", allowed: "a number from 1 to 1000000", set: setLength},
		durationField("request", func(s *Settings) *time.Duration { return &s.Limits.Request }),
		durationField("silence", func(s *Settings) *time.Duration { return &s.Limits.Silence }),
		durationField("lease", func(s *Settings) *time.Duration { return &s.Limits.Lease }),
		durationField("drift", func(s *Settings) *time.Duration { return &s.Limits.Drift }),
		durationField("lag", func(s *Settings) *time.Duration { return &s.Limits.Lag }),
		durationField("keep", func(s *Settings) *time.Duration { return &s.Limits.Keep }),
		durationField("drain", func(s *Settings) *time.Duration { return &s.Limits.Drain }),
		durationField("notice", func(s *Settings) *time.Duration { return &s.Limits.Notice }),
	}
}

// textSetter returns a set function that stores a scalar if it is valid.
func textSetter(valid func(string) bool, store func(*Settings, string)) func(ast.Node, *Settings) bool {
	return func(node ast.Node, s *Settings) bool {
		value, ok := scalar(node)
		if !ok || !valid(value) {
			return false
		}
		store(s, value)
		return true
	}
}

func addressField(name string, target func(*Settings) *string) field {
	set := textSetter(isAddress, func(s *Settings, v string) { *target(s) = v })
	return field{name: name, required: true, allowed: allowedAddress, set: set}
}

func durationField(name string, target func(*Settings) *time.Duration) field {
	return field{name: name, allowed: allowedDuration, set: func(node ast.Node, s *Settings) bool {
		value, ok := scalar(node)
		d, err := time.ParseDuration(value)
		if !ok || err != nil || d <= 0 {
			return false
		}
		*target(s) = d
		return true
	}}
}

func setZones(node ast.Node, s *Settings) bool {
	list, ok := node.(*ast.SequenceNode)
	if !ok || len(list.Values) == 0 {
		return false
	}
	seen := map[string]bool{}
	for _, v := range list.Values {
		name, ok := scalar(v)
		if !ok || !isName(name) || seen[name] {
			return false
		}
		seen[name] = true
		s.Zones = append(s.Zones, scheduler.Zone(name))
	}
	return true
}

func setLength(node ast.Node, s *Settings) bool {
	value, ok := scalar(node)
	n, err := strconv.Atoi(value)
	s.Limits.Length = n
	return ok && err == nil && n >= 1 && n <= 1000000
}

func setMemory(node ast.Node, s *Settings) bool {
	value, ok := scalar(node)
	n, err := strconv.ParseInt(value, 10, 64)
	s.Memory = n
	return ok && err == nil && n >= 1 && n <= 1<<20
}

func setShare(node ast.Node, s *Settings) bool {
	value, ok := scalar(node)
	share, err := strconv.ParseFloat(value, 64)
	s.Goals.Share = share
	return ok && err == nil && share > 0 && share < 1
}

func setLevel(node ast.Node, s *Settings) bool {
	value, ok := scalar(node)
	switch value {
	case "error", "warning", "info", "debug":
		level, err := logrus.ParseLevel(value)
		s.Log.Level = level
		return ok && err == nil
	}
	return false
}

func scalar(node ast.Node) (string, bool) {
	s, ok := node.(ast.ScalarNode)
	if !ok || node.Type() == ast.NullType {
		return "", false
	}
	return s.GetToken().Value, true
}

func isName(v string) bool {
	return regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$`).MatchString(v)
}

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 65536
}

func isURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path == ""
}

func isPath(v string) bool {
	u, err := url.Parse(v)
	return err == nil && len(v) > 1 && v[0] == '/' && u.Host == ""
}

func isFormat(v string) bool {
	return v == formatText || v == formatJSON
}

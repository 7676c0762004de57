// Package checker checks a configuration before it is sent, and tells it apart from
// another one. Its results name places by the fields of router.Config.
package checker

import (
	"fmt"
	"strings"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/router"
)

// Severities of findings.
const (
	Error   = "error"   // can't work as it stands
	Warning = "warning" // works, perhaps not as meant
)

// Finding is something that is wrong, or looks so.
type Finding struct {
	Severity string
	Place    string // such as routes[2].prefix
	Text     string
}

// Bounds are what a configuration is checked against besides itself.
type Bounds struct {
	Revoke    time.Duration // within which a revoked key is out of use; 0 if unknown
	Apply     time.Duration // within which a version is in force; 0 if unknown
	BodyBytes int64         // largest body that an entry can hold; 0 if unknown
}

// findings collects findings.
type findings []Finding

func (f *findings) add(severity, place, format string, arguments ...any) {
	*f = append(*f, Finding{severity, place, fmt.Sprintf(format, arguments...)})
}

// Check returns what is wrong with a configuration, in the order of its lists.
func Check(c router.Config, b Bounds) []Finding {
	var f findings
	f.checkRoutes(c)
	f.checkServices(c)
	f.checkWorkspaces(c)
	f.checkLimits(c.Limits, b)
	if b.Revoke > 0 && b.Apply > b.Revoke {
		f.add(Error, "revoke", "%v is under the apply time %v: a key must be out of use before the version without it has to be in force", b.Revoke, b.Apply)
	}
	return f
}

// CheckAgainst returns what is wrong with a configuration as the successor of the one in force.
func CheckAgainst(force, c router.Config) []Finding {
	var f findings
	switch {
	case c.Version < force.Version:
		f.add(Error, "version", "%d is under %d, the version in force", c.Version, force.Version)
	case c.Version == force.Version && len(Compare(force, c)) > 0:
		f.add(Warning, "version", "%d is the version in force, which differs", c.Version)
	}
	return f
}

func (f *findings) checkRoutes(c router.Config) {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	type match struct{ host, prefix string }
	matches, names := map[match]int{}, map[string]int{}
	for i, r := range c.Routes {
		place := fmt.Sprintf("routes[%d]", i)
		if first, ok := names[r.Queue.Name]; ok {
			f.add(Warning, place+".name", "%q is also the name of routes[%d]", r.Queue.Name, first)
		} else {
			names[r.Queue.Name] = i
		}
		m := match{r.Host, r.Prefix}
		if first, ok := matches[m]; ok {
			f.add(Error, place, "never matches: routes[%d] has the same host and prefix", first)
		} else {
			matches[m] = i
		}
		f.checkMatch(place, r)
		if !services[r.Queue.Service] {
			f.add(Error, place+".service", "service %q doesn't exist", r.Queue.Service)
		}
		f.checkTimes(place, r)
	}
}

// checkMatch finds what no request matches.
func (f *findings) checkMatch(place string, r router.Route) {
	switch {
	case r.Host == "":
		f.add(Error, place+".host", "never matches: empty")
	case strings.Contains(r.Host, ":"):
		f.add(Error, place+".host", "never matches: %q has a port, which requests are matched without", r.Host)
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		f.add(Error, place+".prefix", "never matches: %q doesn't start with /", r.Prefix)
	}
}

func (f *findings) checkTimes(place string, r router.Route) {
	if r.Timeout < 0 {
		f.add(Error, place+".timeout", "%v is negative", r.Timeout)
	}
	if r.Queue.Objective < 0 {
		f.add(Error, place+".objective", "%v is negative", r.Queue.Objective)
	}
	if r.Timeout > 0 && r.Timeout < r.Queue.Objective {
		f.add(Warning, place+".timeout", "%v is under the objective %v", r.Timeout, r.Queue.Objective)
	}
}

func (f *findings) checkServices(c router.Config) {
	used, names := map[string]bool{}, map[string]int{}
	for _, r := range c.Routes {
		used[r.Queue.Service] = true
	}
	for i, s := range c.Services {
		place := fmt.Sprintf("services[%d]", i)
		if first, ok := names[s.Name]; ok {
			f.add(Error, place+".name", "%q is also the name of services[%d]", s.Name, first)
			continue
		}
		names[s.Name] = i
		if !used[s.Name] && !s.Spare {
			f.add(Warning, place, "no route leads to service %q", s.Name)
		}
	}
}

func (f *findings) checkWorkspaces(c router.Config) {
	asked := false
	for _, r := range c.Routes {
		asked = asked || !r.Public
	}
	for i, w := range c.Workspaces {
		place := fmt.Sprintf("workspaces[%d]", i)
		switch {
		case len(w.Keys) == 0:
			f.add(Warning, place+".keys", "no request can come from %q: no keys", w.Name)
		case !asked:
			f.add(Warning, place+".keys", "no route asks for the keys of %q", w.Name)
		}
		for j, key := range w.Keys {
			if key == router.Hash("") {
				f.add(Error, fmt.Sprintf("%s.keys[%d]", place, j), "empty")
			}
		}
		if w.Weight == 0 && w.Cap != (ledger.Resources{}) {
			f.add(Warning, place+".weight", "0 counts as 1, and %q has a cap", w.Name)
		}
	}
}

func (f *findings) checkLimits(l router.Limits, b Bounds) {
	for _, d := range [...]struct {
		field string
		value time.Duration
	}{{"header_timeout", l.HeaderTimeout}, {"idle_timeout", l.IdleTimeout}} {
		switch {
		case d.value < 0:
			f.add(Error, "limits."+d.field, "%v is negative", d.value)
		case d.value == 0:
			f.add(Warning, "limits."+d.field, "0 or missing: entries take their default")
		}
	}
	if l.HeaderBytes < 0 {
		f.add(Error, "limits.header_bytes", "%d is negative", l.HeaderBytes)
	}
	switch {
	case l.BodyBytes < 0:
		f.add(Error, "limits.body_bytes", "%d is negative", l.BodyBytes)
	case b.BodyBytes > 0 && l.BodyBytes > b.BodyBytes:
		f.add(Error, "limits.body_bytes", "%d is over the %d that an entry holds of all requests together", l.BodyBytes, b.BodyBytes)
	}
}

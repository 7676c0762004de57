package checker

import (
	"fmt"
	"slices"

	"github.com/endivelock/endivelock/internal/router"
)

// Changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Difference is one difference in meaning between two configurations.
type Difference struct {
	Change string
	List   string // routes, services, workspaces or limits
	Name   string // in the list; empty for limits
	Field  string // empty if the whole entry was added or removed
	Before string // value of a changed field, or a short hash of a removed key
	After  string // value of a changed field, or a short hash of an added key
}

// property is a field and its value.
type property struct{ field, value string }

// entry is an entry of a list.
type entry struct {
	list, name string
	properties []property // the same fields in the same order in all entries of a list
	keys       []router.KeyHash
}

// Compare returns what differs. The order of entries and keys has no meaning.
func Compare(before, after router.Config) []Difference {
	old, current := entries(before), entries(after)
	var all []Difference
	for _, e := range current {
		i := slices.IndexFunc(old, e.same)
		if i < 0 {
			all = append(all, Difference{Change: Added, List: e.list, Name: e.name})
			continue
		}
		all = append(all, e.since(old[i])...)
		old = slices.Delete(old, i, i+1) // a second entry of this name has another predecessor
	}
	for _, e := range old {
		all = append(all, Difference{Change: Removed, List: e.list, Name: e.name})
	}
	return all
}

func (e entry) same(o entry) bool { return e.list == o.list && e.name == o.name }

// since returns what differs from an older form of the entry.
func (e entry) since(old entry) []Difference {
	var all []Difference
	for i, p := range e.properties {
		if was := old.properties[i].value; was != p.value {
			all = append(all, Difference{Changed, e.list, e.name, p.field, was, p.value})
		}
	}
	for _, key := range old.keys {
		if !slices.Contains(e.keys, key) {
			all = append(all, Difference{Change: Removed, List: e.list, Name: e.name, Field: "keys", Before: short(key)})
		}
	}
	for _, key := range e.keys {
		if !slices.Contains(old.keys, key) {
			all = append(all, Difference{Change: Added, List: e.list, Name: e.name, Field: "keys", After: short(key)})
		}
	}
	return all
}

// shortBytes is how much of a hash is shown.
const shortBytes = 4

func short(key router.KeyHash) string { return fmt.Sprintf("%x", key[:shortBytes]) }

func entries(c router.Config) []entry {
	l := c.Limits
	all := []entry{{list: "limits", properties: []property{
		{"header_bytes", fmt.Sprint(l.HeaderBytes)}, {"body_bytes", fmt.Sprint(l.BodyBytes)},
		{"header_timeout", l.HeaderTimeout.String()}, {"idle_timeout", l.IdleTimeout.String()},
	}}}
	for _, r := range c.Routes {
		advice := "none"
		if a := r.Queue.Advice; a != nil {
			advice = fmt.Sprintf("%v a call, %v a worker, valid for %v", a.PerCall, a.PerWorker, a.TTL)
		}
		all = append(all, entry{list: "routes", name: r.Queue.Name, properties: []property{
			{"host", r.Host}, {"prefix", r.Prefix}, {"service", r.Queue.Service}, {"timeout", r.Timeout.String()},
			{"objective", r.Queue.Objective.String()}, {"priority", fmt.Sprint(r.Queue.Priority)}, {"attempts", fmt.Sprint(r.Queue.Attempts)},
			{"stretch", fmt.Sprint(r.Queue.Stretch)}, {"public", fmt.Sprint(r.Public)}, {"advice", advice},
		}})
	}
	for _, s := range c.Services {
		all = append(all, entry{list: "services", name: s.Name, properties: []property{
			{"health_path", s.HealthPath}, {"connections", fmt.Sprint(s.Connections)}, {"protocol", s.Protocol},
			{"tls", fmt.Sprint(s.TLS)}, {"admission_check", fmt.Sprint(s.AdmissionCheck)}, {"spare", fmt.Sprint(s.Spare)},
		}})
	}
	for _, w := range c.Workspaces {
		all = append(all, entry{list: "workspaces", name: w.Name, keys: w.Keys, properties: []property{
			{"weight", fmt.Sprint(w.Weight)}, {"cap.cpu", fmt.Sprint(w.Cap.CPU)},
			{"cap.memory", fmt.Sprint(w.Cap.Memory)}, {"cap.gpu", fmt.Sprint(w.Cap.GPU)},
		}})
	}
	return all
}

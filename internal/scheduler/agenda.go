package scheduler

import (
	"iter"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
)

// Agenda is a persistent set of names ordered by time. It answers which names
// are due without visiting the others. The zero value is empty.
type Agenda struct {
	items *immutable.SortedMap[agendaKey, struct{}]
}

type agendaKey struct {
	at   int64 // Unix nanoseconds
	name string
}

type agendaOrder struct{}

var _ immutable.Comparer[agendaKey] = agendaOrder{}

// Compare orders keys by time, then by name.
func (agendaOrder) Compare(a, b agendaKey) int {
	if a.at != b.at {
		if a.at < b.at {
			return -1
		}
		return 1
	}
	return strings.Compare(a.name, b.name)
}

// Len returns the number of names.
func (a Agenda) Len() int {
	if a.items == nil {
		return 0
	}
	return a.items.Len()
}

// With returns an agenda that also holds name at the given time.
func (a Agenda) With(at time.Time, name string) Agenda {
	if a.items == nil {
		a.items = immutable.NewSortedMap[agendaKey, struct{}](agendaOrder{})
	}
	a.items = a.items.Set(agendaKey{at.UnixNano(), name}, struct{}{})
	return a
}

// Without returns an agenda that lacks name at the given time.
func (a Agenda) Without(at time.Time, name string) Agenda {
	if a.items == nil {
		return a
	}
	a.items = a.items.Delete(agendaKey{at.UnixNano(), name})
	return a
}

// First returns the earliest time and its name.
func (a Agenda) First() (time.Time, string, bool) {
	for at, name := range a.All() {
		return at, name, true
	}
	return time.Time{}, "", false
}

// All iterates in order of time.
func (a Agenda) All() iter.Seq2[time.Time, string] {
	return func(yield func(time.Time, string) bool) {
		if a.items == nil {
			return
		}
		it := a.items.Iterator()
		for !it.Done() {
			key, _, _ := it.Next()
			if !yield(time.Unix(0, key.at), key.name) {
				return
			}
		}
	}
}

// Due returns the names whose time is not after now, earliest first.
func (a Agenda) Due(now time.Time) []string {
	var due []string
	for at, name := range a.All() {
		if at.After(now) {
			break
		}
		due = append(due, name)
	}
	return due
}

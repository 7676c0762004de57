package scheduler

import (
	"iter"
	"time"

	"github.com/endivelock/endivelock/internal/container"
)

// Table is a persistent map from a name to a value.
type Table[V any] = container.Table[V]

// Ranking is a persistent set of names in order of a score.
type Ranking = container.Ranking

// TimeIndex is a persistent set of names ordered by time. The zero value is empty.
type TimeIndex struct {
	ranking Ranking
}

// Len returns the number of names.
func (a TimeIndex) Len() int { return a.ranking.Len() }

// Has reports whether the index holds name.
func (a TimeIndex) Has(name string) bool {
	_, ok := a.ranking.Score(name)
	return ok
}

// Time returns the time at which the index holds name, if it does.
func (a TimeIndex) Time(name string) (time.Time, bool) {
	at, ok := a.ranking.Score(name)
	return time.Unix(0, at), ok
}

// With returns an index that holds name at the given time and at no other.
func (a TimeIndex) With(at time.Time, name string) TimeIndex {
	a.ranking = a.ranking.With(name, at.UnixNano())
	return a
}

// Without returns an index that lacks name.
func (a TimeIndex) Without(name string) TimeIndex {
	a.ranking = a.ranking.Without(name)
	return a
}

// All iterates in order of time.
func (a TimeIndex) All() iter.Seq2[time.Time, string] {
	return func(yield func(time.Time, string) bool) {
		for name, at := range a.ranking.From(-1 << 63) {
			if !yield(time.Unix(0, at), name) {
				return
			}
		}
	}
}

// Due returns the names whose time is not after now, earliest first.
func (a TimeIndex) Due(now time.Time) []string {
	var due []string
	for at, name := range a.All() {
		if at.After(now) {
			break
		}
		due = append(due, name)
	}
	return due
}

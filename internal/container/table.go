// Package container provides persistent collections: a change returns a new value
// that shares structure with the old one, so that a snapshot costs nothing.
package container

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// Table is a persistent map from a name to a value. The cost of a change is less
// than linear in the number of entries. The zero value is an empty table.
type Table[V any] struct {
	// Values are behind pointers, since a change copies the nodes on its path.
	entries *immutable.Map[string, *V]
}

// Get returns the value stored under name.
func (t Table[V]) Get(name string) (V, bool) {
	if t.entries != nil {
		if value, ok := t.entries.Get(name); ok {
			return *value, true
		}
	}
	var zero V
	return zero, false
}

// Has reports whether name is present.
func (t Table[V]) Has(name string) bool {
	if t.entries == nil {
		return false
	}
	_, ok := t.entries.Get(name)
	return ok
}

// Len returns the number of entries.
func (t Table[V]) Len() int {
	if t.entries == nil {
		return 0
	}
	return t.entries.Len()
}

// With returns a table in which name maps to value.
func (t Table[V]) With(name string, value V) Table[V] {
	if t.entries == nil {
		t.entries = immutable.NewMap[string, *V](nil)
	}
	t.entries = t.entries.Set(name, &value)
	return t
}

// Without returns a table that lacks name.
func (t Table[V]) Without(name string) Table[V] {
	if t.entries == nil {
		return t
	}
	t.entries = t.entries.Delete(name)
	return t
}

// All iterates over the entries. The order depends only on the names.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.entries == nil {
			return
		}
		it := t.entries.Iterator()
		for !it.Done() {
			name, value, _ := it.Next()
			if !yield(name, *value) {
				return
			}
		}
	}
}

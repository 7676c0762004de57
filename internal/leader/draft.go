package leader

import (
	"iter"

	"github.com/endivelock/endivelock/internal/container"
)

// draft is a table that a transition changes. It keeps the value that changed last
// aside, so that a series of changes to one value costs one change of the table. The
// table itself is complete only after save.
type draft[V any] struct {
	table *container.Table[V]
	name  string
	value V
	held  bool // value is newer than the table's
}

// get returns the value of a name, if there is one.
func (d *draft[V]) get(name string) (V, bool) {
	if d.held && d.name == name {
		return d.value, true
	}
	return d.table.Get(name)
}

// set sets the value of a name.
func (d *draft[V]) set(name string, value V) {
	if d.name != name {
		d.save()
	}
	d.name, d.value, d.held = name, value, true
}

// remove removes a name and its value.
func (d *draft[V]) remove(name string) {
	d.save()
	*d.table = d.table.Without(name)
}

// all iterates over the values as they are now.
func (d *draft[V]) all() iter.Seq2[string, V] {
	d.save()
	return d.table.All()
}

// save brings the table up to date.
func (d *draft[V]) save() {
	if d.held {
		*d.table, d.held = d.table.With(d.name, d.value), false
	}
}

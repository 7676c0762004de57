// Package bookkeeper keeps the account of what each workspace may have running, and decides
// whether further starts fit under its cap. It knows no jobs and no workers, and does not
// choose what starts.
package bookkeeper

import (
	"cmp"
	"slices"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Account is the immutable account of all workspaces. The zero value knows no caps and no
// use. A workspace without a known cap may have one start running at a time: it may have been
// added so recently that its cap is on its way here, and its jobs must go on if it has gone.
type Account struct {
	version int64
	books   container.Table[book]
}

// book is the account of a workspace.
type book struct {
	cap   ledger.Resources
	known bool // a configuration had a cap
	gone  bool // the newest one has none
	use   Use
	jobs  int
}

// Use is what a workspace may have running.
type Use struct {
	Size ledger.Resources
	Runs int
}

// Standing is a workspace's use beside its cap.
type Standing struct {
	Name  string
	Use   Use
	Cap   ledger.Resources // 0 for no limit of that resource
	Known bool             // the cap is known
}

// Version returns the version of the configuration that the caps are from.
func (a Account) Version() int64 { return a.version }

// WithCaps returns the account with the caps of a version of the configuration, unless it has
// those of a later one. A workspace that this version lacks keeps its last cap for as long
// as it has jobs.
func (a Account) WithCaps(version int64, workspaces []ledger.Workspace) Account {
	if version <= a.version {
		return a
	}
	a.version = version
	for name, b := range a.books.All() {
		b.gone = true
		a = a.with(name, b)
	}
	for _, w := range workspaces {
		b, _ := a.books.Get(w.Name)
		b.cap, b.known, b.gone = w.Cap, true, false
		a = a.with(w.Name, b)
	}
	return a
}

// WithJobs returns the account with n added to the jobs of a workspace.
func (a Account) WithJobs(name string, n int) Account {
	b, _ := a.books.Get(name)
	b.jobs += n
	return a.with(name, b)
}

// WithRuns returns the account with n runs of a size added to what a workspace may have
// running; n is negative for runs that are over.
func (a Account) WithRuns(name string, size ledger.Resources, n int) Account {
	b, _ := a.books.Get(name)
	b.use = Use{Size: b.use.Size.Plus(size.Times(n)), Runs: b.use.Runs + n}
	return a.with(name, b)
}

// with returns the account with a book, or without it if nothing is left that it is kept for.
func (a Account) with(name string, b book) Account {
	if (b.gone || !b.known) && b.jobs == 0 && b.use == (Use{}) {
		a.books = a.books.Without(name)
		return a
	}
	a.books = a.books.With(name, b)
	return a
}

// Fits reports whether n tasks of a size may start at once in addition to what a workspace
// may have running.
//
// Tasks that would not fit alone, as their cap was lowered after they were accepted, may
// start while the rest takes up half of the cap at most, if all but one of them fit: they
// would wait for ever otherwise. One task more than the cap is the most that this allows.
func (a Account) Fits(name string, size ledger.Resources, n int) bool {
	b, _ := a.books.Get(name)
	switch {
	case !b.known:
		return b.use.Runs == 0
	case within(b.use.Size, size.Times(n), b.cap):
		return true
	case within(ledger.Resources{}, size.Times(n), b.cap):
		return false
	}
	return within(b.use.Size, size.Times(n-1), b.cap) && b.halfFree(size)
}

// halfFree reports whether what runs takes up half of the cap at most, of the resources that
// a size needs.
func (b book) halfFree(size ledger.Resources) bool {
	for _, r := range [...]struct{ use, size, cap int64 }{{b.use.Size.CPU, size.CPU, b.cap.CPU}, {b.use.Size.Memory, size.Memory, b.cap.Memory}, {b.use.Size.GPU, size.GPU, b.cap.GPU}} {
		if r.cap > 0 && r.size > 0 && 2*r.use > r.cap {
			return false
		}
	}
	return true
}

// Room returns how many tasks of a size may start one by one, at most limit.
func (a Account) Room(name string, size ledger.Resources, limit int) int {
	b, _ := a.books.Get(name)
	if !b.known || !within(b.use.Size, size, b.cap) {
		if limit > 0 && a.Fits(name, size, 1) {
			return 1
		}
		return 0
	}
	return min(limit, b.tasks(b.use.Size, size, limit))
}

// Most returns how many tasks of a size a workspace may have running if it has nothing else,
// at least 1 and at most limit.
func (a Account) Most(name string, size ledger.Resources, limit int) int {
	b, _ := a.books.Get(name)
	if !b.known {
		return min(limit, 1)
	}
	return min(limit, max(1, b.tasks(ledger.Resources{}, size, limit)))
}

// tasks returns how many tasks of a size fit beside a use, at most limit.
func (b book) tasks(use, size ledger.Resources, limit int) int {
	n := int64(limit)
	for _, r := range [...]struct{ cap, use, size int64 }{{b.cap.CPU, use.CPU, size.CPU}, {b.cap.Memory, use.Memory, size.Memory}, {b.cap.GPU, use.GPU, size.GPU}} {
		if r.cap > 0 && r.size > 0 {
			n = min(n, max(r.cap-r.use, 0)/r.size)
		}
	}
	return int(n)
}

// within reports whether a size fits under a cap beside what is used. What the size does not
// need is not looked at.
func within(used, size, most ledger.Resources) bool {
	return withinOne(used.CPU, size.CPU, most.CPU) && withinOne(used.Memory, size.Memory, most.Memory) && withinOne(used.GPU, size.GPU, most.GPU)
}

func withinOne(used, size, most int64) bool { return most == 0 || size == 0 || used+size <= most }

// Standing returns the use and the cap of a workspace.
func (a Account) Standing(name string) Standing {
	b, _ := a.books.Get(name)
	return Standing{Name: name, Use: b.use, Cap: b.cap, Known: b.known}
}

// Largest returns the standings of the workspaces that use most of their cap, at most limit,
// the fullest first.
func (a Account) Largest(limit int) []Standing {
	var all []Standing
	for name, b := range a.books.All() {
		if b.use.Runs > 0 {
			all = append(all, Standing{Name: name, Use: b.use, Cap: b.cap, Known: b.known})
		}
	}
	slices.SortFunc(all, func(x, y Standing) int {
		return cmp.Or(cmp.Compare(y.Share(), x.Share()), cmp.Compare(y.Use.Size.CPU, x.Use.Size.CPU), cmp.Compare(x.Name, y.Name))
	})
	return all[:min(len(all), limit)]
}

// Share returns the largest fraction of a limited resource of the cap that is in use.
func (s Standing) Share() float64 {
	share := 0.0
	for _, r := range [...]struct{ use, cap int64 }{{s.Use.Size.CPU, s.Cap.CPU}, {s.Use.Size.Memory, s.Cap.Memory}, {s.Use.Size.GPU, s.Cap.GPU}} {
		if r.cap > 0 {
			share = max(share, float64(r.use)/float64(r.cap))
		}
	}
	return share
}

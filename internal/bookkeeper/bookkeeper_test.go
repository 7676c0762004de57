package bookkeeper_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/bookkeeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

func capped(name string, most ledger.Resources) ledger.Workspace {
	return ledger.Workspace{Name: name, Cap: most}
}

func cpu(n int64) ledger.Resources { return ledger.Resources{CPU: n} }

func TestFits(t *testing.T) {
	for _, c := range []struct {
		what  string
		most  ledger.Resources
		used  ledger.Resources
		size  ledger.Resources
		tasks int
		fits  bool
		room  int // single tasks, at most 9
	}{
		{"empty", cpu(10), cpu(0), cpu(4), 1, true, 2},
		{"to the brim", cpu(10), cpu(6), cpu(4), 1, true, 1},
		{"one over", cpu(10), cpu(7), cpu(4), 1, false, 0},
		{"a group as a whole", cpu(10), cpu(2), cpu(4), 2, true, 2},
		{"all but one of a group", cpu(12), cpu(1), cpu(4), 3, false, 2},
		{"no limit", cpu(0), cpu(1 << 40), cpu(4), 5, true, 9},
		{"no limit of one resource", ledger.Resources{Memory: 8}, ledger.Resources{CPU: 99, Memory: 4}, ledger.Resources{CPU: 9, Memory: 4}, 1, true, 1},
		{"the scarcest counts", ledger.Resources{CPU: 9, Memory: 4, GPU: 9}, ledger.Resources{}, ledger.Resources{CPU: 1, Memory: 2, GPU: 1}, 4, false, 2},
		{"needs nothing that is used up", ledger.Resources{CPU: 9, Memory: 4}, ledger.Resources{Memory: 5}, cpu(1), 1, true, 9},
		{"a cap lowered below use", cpu(3), cpu(8), cpu(1), 1, false, 0},
		{"larger than the cap, alone", cpu(3), cpu(0), cpu(4), 1, true, 1},
		{"larger than the cap, half is left", cpu(4), cpu(2), cpu(5), 1, true, 1},
		{"larger than the cap, less than half is left", cpu(4), cpu(3), cpu(5), 1, false, 0},
		{"a group larger than the cap by part of a task", cpu(10), cpu(0), cpu(4), 3, true, 2},
		{"a group larger than the cap by more", cpu(10), cpu(0), cpu(4), 4, false, 2},
	} {
		a := bookkeeper.Account{}.WithCaps(1, []ledger.Workspace{capped("a", c.most)}).WithRuns("a", c.used, 1)
		assert.Equal(t, a.Fits("a", c.size, c.tasks), c.fits, c.what)
		assert.Equal(t, a.Room("a", c.size, 9), c.room, c.what)
	}
}

// Guards against a leader that stops jobs whose workspace it has never heard of, or starts
// all of them at once.
func TestAWorkspaceWithoutAKnownCapHasOneStartAtATime(t *testing.T) {
	a := bookkeeper.Account{}.WithJobs("new", 1)
	assert.Assert(t, a.Fits("new", cpu(1000), 4))
	assert.Equal(t, a.Room("new", cpu(1), 9), 1)
	a = a.WithRuns("new", cpu(1000), 1)
	assert.Assert(t, !a.Fits("new", cpu(1), 1))
	assert.Equal(t, a.Room("new", cpu(1), 9), 0)
	assert.Equal(t, a.Most("new", cpu(1), 9), 1)
}

func TestAWorkspaceThatHasGoneKeepsItsCapForItsJobs(t *testing.T) {
	a := bookkeeper.Account{}.WithCaps(1, []ledger.Workspace{capped("a", cpu(10)), capped("b", cpu(10))}).WithJobs("a", 1)
	a = a.WithCaps(2, nil)
	assert.DeepEqual(t, a.Standing("a"), bookkeeper.Standing{Name: "a", Cap: cpu(10), Known: true})
	assert.DeepEqual(t, a.Standing("b"), bookkeeper.Standing{Name: "b"})
	assert.DeepEqual(t, a.WithJobs("a", -1).Standing("a"), bookkeeper.Standing{Name: "a"})
	a = a.WithCaps(3, []ledger.Workspace{capped("a", cpu(5))}).WithCaps(1, []ledger.Workspace{capped("a", cpu(10))})
	assert.Equal(t, a.Standing("a").Cap, cpu(5), "an older version changes nothing")
	assert.Equal(t, a.Version(), int64(3))
}

func TestLargestNamesTheFullestFirst(t *testing.T) {
	a := bookkeeper.Account{}.WithCaps(1, []ledger.Workspace{capped("a", cpu(10)), capped("b", cpu(100)), capped("c", cpu(1))})
	a = a.WithRuns("a", cpu(5), 1).WithRuns("b", cpu(6), 1).WithRuns("d", cpu(6), 1)
	names := ""
	for _, s := range a.Largest(2) {
		names += s.Name
	}
	assert.Equal(t, names, "ab")
}

// Guards the rule of the caps over any series of starts, ends and changes of caps: a start
// never brings the use above the cap, but by part of one task that is larger than the cap
// alone; and what fits alone is never refused while half of the cap is free of use.
func TestNoStartThatFitsPassesTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string, least, most int) int64 { return int64(rapid.IntRange(least, most).Draw(t, what)) }
		var a bookkeeper.Account
		var runs []ledger.Resources
		used := ledger.Resources{}
		for version := range rapid.IntRange(1, 5).Draw(t, "versions") {
			most := ledger.Resources{CPU: draw("cap cpu", 1, 20), Memory: draw("cap memory", 1, 20)}
			a = a.WithCaps(int64(version+1), []ledger.Workspace{capped("a", most)})
			for range rapid.IntRange(1, 20).Draw(t, "changes") {
				if len(runs) > 0 && rapid.Bool().Draw(t, "end") {
					a, used, runs = a.WithRuns("a", runs[0], -1), used.Minus(runs[0]), runs[1:]
					continue
				}
				size, n := ledger.Resources{CPU: draw("cpu", 0, 12), Memory: draw("memory", 0, 12)}, rapid.IntRange(1, 3).Draw(t, "tasks")
				room := a.Room("a", size, n)
				assert.Equal(t, room > 0, a.Fits("a", size, 1))
				after := used.Plus(size.Times(n))
				if a.Fits("a", size, n) {
					alone := !most.CanFit(size.Times(n))
					assert.Assert(t, most.CanFit(needed(after, size)) || alone && most.CanFit(needed(after.Minus(size), size)))
					a, used = a.WithRuns("a", size, n), after
					for range n {
						runs = append(runs, size)
					}
				} else {
					assert.Assert(t, !most.CanFit(needed(after, size)), "refused though it fits")
				}
			}
		}
	})
}

// needed returns the part of an amount in resources that a size needs.
func needed(amount, size ledger.Resources) ledger.Resources {
	if size.CPU == 0 {
		amount.CPU = 0
	}
	if size.Memory == 0 {
		amount.Memory = 0
	}
	return amount
}

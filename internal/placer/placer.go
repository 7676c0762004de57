// Package placer chooses a worker for a task among the candidates that have room. It
// is independent of jobs and leases: package leader passes in what the task needs
// and which workers may run it.
//
// Placer is the policy interface, BestFit its production implementation and
// FirstFit a baseline. A Candidate describes a worker, a Demand a task.
package placer

import (
	"cmp"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Candidate is a worker that may run the task.
type Candidate struct {
	ID                  string
	Free                ledger.Resources
	Capacity            ledger.Resources
	Rack                string
	ConsecutiveFailures int // failed runs since the last completed one
	// Slowness is the run time there relative to the average; 0 means unknown and
	// counts as 1.
	Slowness   float64
	Serving    bool // runs a task with a latency target
	BestEffort bool // runs a best-effort task
}

// Demand is what a task needs.
type Demand struct {
	Size       ledger.Resources
	Rack       string // where its data is, "" if not known
	Urgent     bool
	BestEffort bool
	Serving    bool // has a latency target
}

// Placer is a placement policy.
type Placer interface {
	// Pick returns the index of a candidate, or -1 if none has room.
	Pick(d Demand, candidates []*Candidate) int
}

// FirstFit takes the first worker with room. It is the baseline for comparing
// policies.
type FirstFit struct{}

// Pick returns the index of the first candidate with room, or -1.
func (FirstFit) Pick(d Demand, candidates []*Candidate) int {
	for i, c := range candidates {
		if c.Free.CanFit(d.Size) {
			return i
		}
	}
	return -1
}

// BestFit prefers the rack of the data, then workers with fewer consecutive
// failures, and keeps best-effort tasks apart from tasks with a latency target.
// Among equal candidates it takes for an urgent task the fastest, then the one with
// the most free capacity, and for other tasks the one with the least left over.
type BestFit struct{}

var (
	_ Placer = FirstFit{}
	_ Placer = BestFit{}
)

// Pick returns the index of the best candidate with room, or -1.
func (BestFit) Pick(d Demand, candidates []*Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Free.CanFit(d.Size) && (best < 0 || compare(d, c, candidates[best]) < 0) {
			best = i
		}
	}
	return best
}

// compare returns a negative number if a is the better candidate, a positive one if
// b is, and 0 if they are equal.
func compare(d Demand, a, b *Candidate) int {
	if d.Rack != "" && (a.Rack == d.Rack) != (b.Rack == d.Rack) {
		return prefer(a.Rack == d.Rack)
	}
	if a.ConsecutiveFailures != b.ConsecutiveFailures {
		return cmp.Compare(a.ConsecutiveFailures, b.ConsecutiveFailures)
	}
	if d.BestEffort && a.Serving != b.Serving {
		return prefer(b.Serving)
	}
	if d.Serving && a.BestEffort != b.BestEffort {
		return prefer(b.BestEffort)
	}
	if d.Urgent {
		if x, y := SlownessTenths(a.Slowness), SlownessTenths(b.Slowness); x != y {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(remainingShare(b, ledger.Resources{}), remainingShare(a, ledger.Resources{}))
	}
	return cmp.Compare(remainingShare(a, d.Size), remainingShare(b, d.Size))
}

// SlownessTenths returns a slowness in tenths, rounded because smaller differences
// are noise. An unknown slowness of 0 counts as 1.
func SlownessTenths(slowness float64) int {
	if slowness == 0 {
		return 10
	}
	return int(10*slowness + 0.5)
}

// prefer returns the order of two candidates, given whether the first is better.
func prefer(first bool) int {
	if first {
		return -1
	}
	return 1
}

// remainingShare returns the fraction of a candidate's capacity that is left after
// a task of the given size, of processor or memory, whichever is scarcer.
func remainingShare(c *Candidate, size ledger.Resources) float64 {
	left := c.Free.Minus(size)
	return min(ratio(left.CPU, c.Capacity.CPU), ratio(left.Memory, c.Capacity.Memory))
}

func ratio(left, all int64) float64 {
	if all <= 0 {
		return 0
	}
	return float64(left) / float64(all)
}

// Package placer chooses the worker for a task among those that have room. It
// knows no jobs and no leases; package leader tells it what a task needs and
// which workers may take it.
package placer

import (
	"cmp"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Candidate is a worker that may take the task.
type Candidate struct {
	ID                  string
	Free                ledger.Size
	Capacity            ledger.Size
	Rack                string
	ConsecutiveFailures int // failed runs since the last one that was done
	// Slowness is how many times as long as usual runs take there; 0 and 1 are
	// usual.
	Slowness   float64
	Serving    bool // runs a task with a response target
	BestEffort bool // runs a filling task
}

// Demand is what a task needs.
type Demand struct {
	Size       ledger.Size
	Rack       string // where its data is, may be empty
	Urgent     bool
	BestEffort bool
	Serving    bool // has a response target
}

// Placer chooses a worker.
type Placer interface {
	// Pick returns the index of the chosen candidate, or -1 if none has room.
	Pick(d Demand, candidates []*Candidate) int
}

// FirstFit takes the first worker with room. It is the baseline that other
// policies are measured against.
type FirstFit struct{}

// Pick returns the first candidate with room.
func (FirstFit) Pick(d Demand, candidates []*Candidate) int {
	for i, c := range candidates {
		if c.Free.Fits(d.Size) {
			return i
		}
	}
	return -1
}

// BestFit prefers the rack of the data, workers without failures, and apart
// from each other tasks that fill and tasks that serve. Among equals, urgent
// tasks go where most is free and others where least is left.
type BestFit struct{}

var (
	_ Placer = FirstFit{}
	_ Placer = BestFit{}
)

// Pick returns the best candidate with room.
func (BestFit) Pick(d Demand, candidates []*Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Free.Fits(d.Size) && (best < 0 || compare(d, c, candidates[best]) < 0) {
			best = i
		}
	}
	return best
}

// compare orders two candidates, the better one first.
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
		return cmp.Compare(remainingShare(b, ledger.Size{}), remainingShare(a, ledger.Size{}))
	}
	return cmp.Compare(remainingShare(a, d.Size), remainingShare(b, d.Size))
}

// SlownessTenths rounds a slowness to tenths: smaller differences are noise.
func SlownessTenths(slowness float64) int {
	if slowness == 0 {
		return 10
	}
	return int(10*slowness + 0.5)
}

// prefer returns the order of two candidates of which one is better.
func prefer(first bool) int {
	if first {
		return -1
	}
	return 1
}

// remainingShare returns the remainingShare of a worker's room that is left after a task, of
// processor or memory, whichever is scarcer.
func remainingShare(c *Candidate, size ledger.Size) float64 {
	left := c.Free.Minus(size)
	return min(ratio(left.CPU, c.Capacity.CPU), ratio(left.Memory, c.Capacity.Memory))
}

func ratio(left, all int64) float64 {
	if all <= 0 {
		return 0
	}
	return float64(left) / float64(all)
}

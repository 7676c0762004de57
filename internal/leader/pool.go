package leader

import (
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// slot is a worker as a placement pass sees it.
type slot struct {
	placer.Candidate
	service        string
	labels         []string
	open           bool // as Worker.open
	excludedUntil  time.Time
	freeAfterStops ledger.Resources // free capacity after pending stops, less what the pass has claimed
	preemptible    ledger.Resources // capacity that preemption may free in addition
	urgent         ledger.Resources // capacity that short urgent tasks use
	urgentRuns     int              // short urgent tasks
}

// usable reports whether the worker may be given new tasks at time now.
func (s *slot) usable(now time.Time) bool { return s.open && !now.Before(s.excludedUntil) }

// newSlot returns the slot of a worker.
func newSlot(w Worker) slot {
	free := w.Free()
	return slot{
		Candidate: placer.Candidate{
			ID: w.ID, Free: free, Capacity: w.Capacity, Rack: w.Rack, ConsecutiveFailures: w.ConsecutiveFailures, Slowness: w.slowness(),
			Serving: w.ServingRuns > 0, BestEffort: w.BestEffortRuns > 0,
		},
		service: w.Service, labels: w.Labels, open: w.open(), excludedUntil: w.ExcludedUntil,
		freeAfterStops: free.Plus(w.UsedByStopping), preemptible: w.UsedByPreemptible,
		urgent: w.UsedByUrgent, urgentRuns: w.UrgentRuns,
	}
}

// pool holds the slots of all workers between two placement passes, so that a pass
// costs only what has changed since the last one. A stored pool is never changed.
type pool struct {
	slots []slot
	index map[string]int // positions in slots, by worker
}

// with returns the pool with the slots of the stale workers taken anew.
func (p pool) with(workers container.Table[Worker], stale container.Table[bool]) pool {
	if len(p.slots) != workers.Len() {
		return newPool(workers)
	}
	slots := slices.Clone(p.slots)
	for id := range stale.All() {
		i, known := p.index[id]
		w, exists := workers.Get(id)
		if !known || !exists {
			return newPool(workers)
		}
		slots[i] = newSlot(w)
	}
	return pool{slots: slots, index: p.index}
}

func newPool(workers container.Table[Worker]) pool {
	p := pool{slots: make([]slot, 0, workers.Len()), index: make(map[string]int, workers.Len())}
	for id, w := range workers.All() {
		p.index[id] = len(p.slots)
		p.slots = append(p.slots, newSlot(w))
	}
	return p
}

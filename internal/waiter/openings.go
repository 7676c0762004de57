package waiter

import (
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// End is the expected end of a run.
type End struct {
	After time.Duration
	Size  ledger.Resources // that it frees
}

// Worker is a worker in the wanted rack.
type Worker struct {
	Free  ledger.Resources
	Ends  []End         // in order
	Limit int           // most further tasks that it may take; negative for any number
	Until time.Duration // it may be used until then; negative for no bound
}

// Openings returns when places for tasks of a size become free at the workers, in order, up
// to a number of places. Those that are free now count as 0. Place n is also when n tasks
// fit at the same time, if nobody else takes the room.
func Openings(workers []Worker, size ledger.Resources, most int) []time.Duration {
	var opens []time.Duration
	for _, w := range workers {
		limit := most
		if w.Limit >= 0 {
			limit = min(limit, w.Limit)
		}
		free, places := w.Free, 0
		add := func(at time.Duration) {
			for n := free.Count(size, limit); places < n; places++ {
				opens = append(opens, at)
			}
		}
		add(0)
		for _, e := range w.Ends {
			if places >= limit || w.Until >= 0 && e.After > w.Until {
				break
			}
			free = free.Plus(e.Size)
			add(e.After)
		}
	}
	slices.Sort(opens)
	return opens[:min(len(opens), most)]
}

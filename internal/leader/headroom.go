package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// headroomShare is the room that is kept for urgent tasks, as a fraction of those that
// run.
const headroomShare = 0.25

// headroom is the room at the workers for further urgent tasks. A cell full of less
// urgent work has none; each urgent task then waits for a preemption, which takes longer
// than its objective allows, and the stopped work has to be started again.
type headroom struct {
	size ledger.Resources // of an urgent task, the mean of those that run
	kept int              // urgent tasks for which room is kept
	room int              // urgent tasks for which there is room
}

// newHeadroom returns the headroom at the workers that may take tasks.
func newHeadroom(slots []slot, now time.Time) headroom {
	var used ledger.Resources
	runs := 0
	for i := range slots {
		used, runs = used.Plus(slots[i].urgent), runs+slots[i].urgentRuns
	}
	h := headroom{kept: int(headroomShare * float64(runs))}
	if h.kept == 0 {
		return h
	}
	h.size = ledger.Resources{CPU: used.CPU / int64(runs), Memory: used.Memory / int64(runs), GPU: used.GPU / int64(runs)}
	for i := range slots {
		if slots[i].usable(now) {
			h.room += h.fits(slots[i].Free)
		}
	}
	return h
}

// fits returns how many urgent tasks fit into free capacity.
func (h headroom) fits(free ledger.Resources) int { return countFits(free, h.size, maxFits) }

// maxFits bounds the urgent tasks that count as room at one worker.
const maxFits = 1 << 10

// needed reports whether all room that is left is kept for urgent tasks.
func (h headroom) needed() bool { return h.kept > 0 && h.room <= h.kept }

// take accounts for a task that is placed into free capacity.
func (h *headroom) take(free, size ledger.Resources) {
	if h.kept > 0 {
		h.room -= h.fits(free) - h.fits(free.Minus(size))
	}
}

// isUrgent reports whether tasks of a step are of the highest priority and not meant to
// last.
func isUrgent(j ledger.Job, step int) bool {
	return j.Queue.Priority == 0 && !j.Steps[step].LongRunning
}

// mayWaitForRoom reports whether tasks of a step leave the headroom to urgent ones.
// Services do not: they are meant to last, and would wait for as long as there is other
// work.
func mayWaitForRoom(j ledger.Job, step int) bool {
	return j.Queue.Priority > 0 && !j.Steps[step].LongRunning
}

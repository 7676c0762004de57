package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// headroomShare is the room that is kept for urgent tasks, as a fraction of those
	// that run.
	headroomShare = 0.25
	// maxHeadroomShare bounds that room as a fraction of a service's capacity: urgent
	// tasks may need workers of their own kind, and room is kept at all.
	maxHeadroomShare = 0.1
)

// headroom is the room at a service's workers for further urgent tasks. A service full
// of less urgent work has none; each urgent task then waits for a preemption, which
// takes longer than its objective allows, and the stopped work has to be started again.
type headroom struct {
	size     ledger.Resources // of an urgent task, the mean of those that run
	used     ledger.Resources // by the urgent tasks that run
	runs     int              // urgent tasks that run
	kept     int              // urgent tasks for which room is kept
	room     int              // urgent tasks for which there is room
	capacity int              // urgent tasks that would fit into empty workers
}

// newHeadrooms returns the headroom of each service at its workers that may take tasks.
func newHeadrooms(slots []slot, now time.Time) map[string]*headroom {
	rooms := map[string]*headroom{}
	for i := range slots {
		s := &slots[i]
		if s.urgentRuns == 0 {
			continue
		}
		h := rooms[s.service]
		if h == nil {
			h = &headroom{}
			rooms[s.service] = h
		}
		h.used, h.runs = h.used.Plus(s.urgent), h.runs+s.urgentRuns
	}
	for _, h := range rooms {
		n := int64(h.runs)
		h.size = ledger.Resources{CPU: h.used.CPU / n, Memory: h.used.Memory / n, GPU: h.used.GPU / n}
	}
	for i := range slots {
		if h := rooms[slots[i].service]; h != nil && slots[i].usable(now) {
			h.room += h.fits(slots[i].Free)
			h.capacity += h.fits(slots[i].Capacity)
		}
	}
	for _, h := range rooms {
		h.kept = int(min(headroomShare*float64(h.runs), maxHeadroomShare*float64(h.capacity)))
	}
	return rooms
}

// fits returns how many urgent tasks fit into free capacity.
func (h *headroom) fits(free ledger.Resources) int { return free.Count(h.size, maxFits) }

// maxFits bounds the urgent tasks that count as room at one worker.
const maxFits = 1 << 10

// keeps reports whether a task must not be placed into free capacity, since it would
// take room that is kept for urgent ones. What is too small for these is not.
func (h *headroom) keeps(free, size ledger.Resources) bool {
	return h != nil && h.room <= h.kept && h.fits(free.Minus(size)) < h.fits(free)
}

// take accounts for a task that is placed into free capacity.
func (h *headroom) take(free, size ledger.Resources) {
	if h != nil {
		h.room -= h.fits(free) - h.fits(free.Minus(size))
	}
}

// isUrgent reports whether tasks of a step are of the highest priority, within the share of
// their workspace, and not meant to last.
func isUrgent(j ActiveJob, step int) bool {
	return j.Job.Queue.Priority == 0 && !j.Standing.Beyond && !j.Job.Steps[step].LongRunning
}

// mayWaitForRoom reports whether tasks of a step leave the headroom to urgent ones.
// Services do not: they are meant to last, and would wait for as long as there is other
// work.
func mayWaitForRoom(j ActiveJob, step int) bool {
	return (j.Job.Queue.Priority > 0 || j.Standing.Beyond) && !j.Job.Steps[step].LongRunning
}

package leader

import "github.com/endivelock/endivelock/internal/ledger"

// makeRoom reports whether a candidate will have room for a task of the given
// size after pending stops, and stops preemptible runs if that is necessary and
// sufficient; on demand only runs beyond the share of their workspace.
func (p *placementPass) makeRoom(i int, size ledger.Resources, beyond bool) bool {
	c := &p.slots[i]
	if c.freeAfterStops.CanFit(size) {
		return true
	}
	stoppable := c.preemptible
	if beyond {
		stoppable = c.beyond
	}
	if !c.freeAfterStops.Plus(stoppable).CanFit(size) {
		return false
	}
	w, _ := p.fleet.get(c.ID)
	free := c.freeAfterStops
	var victims []Placement
	for _, placed := range p.stoppable(w, beyond) {
		if free.CanFit(size) {
			break
		}
		victims = append(victims, placed)
		free = free.Plus(placed.Size)
	}
	if !free.CanFit(size) {
		return false
	}
	for _, v := range victims {
		w = p.stopRun(w, v, "preempted by a more urgent job")
		c.preemptible = c.preemptible.Minus(v.Size)
		if v.Beyond {
			c.beyond = c.beyond.Minus(v.Size)
		}
	}
	c.freeAfterStops = free
	return true
}

// stoppable returns the runs of a worker that may be stopped now, the first to be stopped
// first.
func (p *placementPass) stoppable(w Worker, beyond bool) []Placement {
	var runs []Placement
	for _, placed := range w.Placements.All() {
		if placed.Preemptible && placed.Stage == Running && p.now.Sub(placed.StartedAt) >= minRunTime && (placed.Beyond || !beyond) {
			runs = append(runs, placed)
		}
	}
	if p.shared() {
		byLoss(runs, p.now)
	}
	return runs
}

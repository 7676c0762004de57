package leader

import "github.com/endivelock/endivelock/internal/ledger"

// takeRoom claims room for a number of tasks of a step at the candidates, and stops runs where
// that is necessary: on demand those beyond the share of their workspace first.
func (p *placementPass) takeRoom(eligible []int, missing int, spec *ledger.Step, counts map[string]int, beyondFirst bool) {
	size := spec.Reservation()
	for _, beyond := range [...]bool{true, false} {
		if beyond && !beyondFirst {
			continue
		}
		for _, i := range eligible {
			id := p.slots[i].ID
			for missing > 0 && belowLimit(spec.MaxPerWorker, id, counts) && p.makeRoom(i, size, beyond) {
				p.slots[i].freeAfterStops = p.slots[i].freeAfterStops.Minus(size)
				p.markStale(id) // the claim ends with the pass
				counts[id]++
				missing--
			}
		}
	}
}

// makeRoom reports whether a candidate will have room for a task of the given
// size after pending stops, and stops preemptible runs if that is necessary and
// sufficient; on demand only runs beyond the share of their workspace.
func (p *placementPass) makeRoom(i int, size ledger.Resources, beyond bool) bool {
	c := &p.slots[i]
	if c.freeAfterStops.CanFit(size) {
		return true
	}
	if !c.freeAfterStops.Plus(c.preemptible).CanFit(size) {
		return false
	}
	w, _ := p.fleet.get(c.ID)
	if beyond && !c.freeAfterStops.Plus(w.UsedByBeyond).CanFit(size) {
		return false
	}
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

package leader

import (
	"iter"

	"github.com/endivelock/endivelock/internal/ledger"
)

// placeGang places all members of a gang or none. All get the same run number.
func (p *placementPass) placeGang(r stepRef, held tickets) {
	tasks := r.job.Progress.Step(r.round, r.step)
	run := 0
	for _, task := range tasks {
		if task.Phase != ledger.Idle {
			return // members of the last run have not all ended
		}
		run = max(run, task.Run)
	}
	eligible := p.eligible(r, held)
	racks := []string{""}
	wants := p.wantsRack(r.spec())
	switch {
	case r.spec().SameRack:
		racks = append(p.racksByPreference(r.spec().Rack), "")
	case wants:
		racks = []string{r.spec().Rack, ""}
	}
	for _, rack := range racks {
		chosen := p.chooseForGang(r, tasks, eligible, rack)
		if len(chosen) < len(tasks) {
			continue
		}
		if wants && !isNear(r.spec(), rack) && p.holdGang(r, len(tasks), eligible, held) {
			return
		}
		for index, i := range chosen {
			id := ledger.TaskID{Job: r.job.Job.ID, Round: r.round, Step: r.step, Index: index}
			p.placeRun(r, id, run+1, i, held)
		}
		p.pauseNearWait(r.key)
		return
	}
	p.pauseNearWait(r.key)
	p.fullSteps.Spend(r.key)
	p.deferStep(r)
	p.noteFull(r.job)
}

// isNear reports whether a gang runs no longer than it must in a rack; "" stands for several.
func isNear(s *ledger.Step, rack string) bool {
	return rack != "" && (s.Rack == "" || s.Rack == rack)
}

// racksByPreference returns the racks of the candidates, the one near the data
// first.
func (p *placementPass) racksByPreference(near string) []string {
	var racks []string
	seen := map[string]bool{}
	if near != "" {
		racks, seen[near] = append(racks, near), true
	}
	for i := range p.slots {
		c := &p.slots[i]
		if !seen[c.Rack] && c.Rack != "" && c.usable(p.now) {
			racks, seen[c.Rack] = append(racks, c.Rack), true
		}
	}
	return racks
}

// chooseForGang chooses a candidate for each member of a gang, as far as there is
// room. It deducts the capacity of each choice from the candidate for the choices
// that follow and restores it at the end.
func (p *placementPass) chooseForGang(r stepRef, tasks []ledger.Task, eligible []int, rack string) []int {
	var chosen []int
	counts := p.runsByWorker(r)
	size := r.spec().Reservation()
	for _, task := range tasks {
		i := p.pick(r, task, eligible, counts, rack)
		if i < 0 {
			break
		}
		chosen = append(chosen, i)
		p.slots[i].Free = p.slots[i].Free.Minus(size)
		counts[p.slots[i].ID]++
	}
	for _, i := range chosen {
		p.slots[i].Free = p.slots[i].Free.Plus(size)
	}
	return chosen
}

// gangObstacle returns why the other members of a gang will not all start, or "" if
// they will. A member that starts without the others makes no progress.
func (t *transition) gangObstacle(job ActiveJob, p Placement) string {
	for other, w := range t.otherMembers(job, p) {
		if other.Run == 0 {
			return "a member of its gang is no longer placed"
		}
		if other.Stage == Recording {
			if why := t.startObstacle(w, other); why != "" {
				return "a member of its gang can't start: " + why
			}
		}
	}
	return ""
}

// lacksMember reports whether another member of a gang's run is not known to be executed.
func (t *transition) lacksMember(job ActiveJob, p Placement) bool {
	for other, w := range t.otherMembers(job, p) {
		if other.Run == 0 || w.Reachability != Reachable {
			return true
		}
		switch other.Stage {
		case Recording, Withdrawn, StartSent:
			return true
		}
	}
	return false
}

// otherMembers iterates over the placements of the other members of a gang's run
// and their workers. A member without a placement yields the zero Placement.
func (t *transition) otherMembers(job ActiveJob, p Placement) iter.Seq2[Placement, Worker] {
	return func(yield func(Placement, Worker) bool) {
		for index, task := range job.Progress.Step(p.Task.Round, p.Task.Step) {
			if index == p.Task.Index {
				continue
			}
			id := p.Task
			id.Index = index
			w, _ := t.fleet.get(task.Worker)
			other, ok := w.Placements.Get(runKey(id.String(), p.Run))
			if !ok {
				other = Placement{}
			}
			if !yield(other, w) {
				return
			}
		}
	}
}

// stopGang stops the other members of the gang of a run that was not started.
func (t *transition) stopGang(p Placement) {
	job, ok := t.active.get(string(p.Task.Job))
	if !ok || !job.Progress.HasTask(p.Task) || !job.Job.Steps[p.Task.Step].Gang {
		return
	}
	for other, w := range t.otherMembers(job, p) {
		if other.Run > 0 {
			t.stopRun(w, other, "a member of its gang did not start")
		}
	}
}

package leader

import (
	"iter"

	"github.com/endivelock/endivelock/internal/ledger"
)

// gang places all members of a gang or none. All get the same run.
func (p *pass) gang(r stepRef, held tickets) {
	tasks := r.work.Progress.Step(r.round, r.step)
	run := 0
	for _, task := range tasks {
		if task.Phase != ledger.Idle {
			return // members of the last run have not all ended
		}
		run = max(run, task.Run)
	}
	able := p.able(r, held)
	racks := []string{""}
	if r.spec().Together {
		racks = append(p.racks(r.spec().Rack), "")
	}
	for _, rack := range racks {
		chosen := p.seats(r, tasks, able, rack)
		if len(chosen) < len(tasks) {
			continue
		}
		for index, i := range chosen {
			id := ledger.TaskID{Job: r.work.Job.ID, Round: r.round, Step: r.step, Index: index}
			p.start(r, id, run+1, i, held)
		}
		return
	}
}

// racks lists the racks of the candidates, the one near the data first.
func (p *pass) racks(near string) []string {
	var racks []string
	seen := map[string]bool{}
	if near != "" {
		racks, seen[near] = append(racks, near), true
	}
	for _, c := range p.candidates {
		if !seen[c.Rack] && c.Rack != "" {
			racks, seen[c.Rack] = append(racks, c.Rack), true
		}
	}
	return racks
}

// seats chooses a candidate for each member of a gang. Room is taken from the
// candidates while it chooses and given back at the end.
func (p *pass) seats(r stepRef, tasks []ledger.Task, able []int, rack string) []int {
	var chosen []int
	here := p.perWorker(r)
	size := r.spec().Room()
	for _, task := range tasks {
		i := p.pick(r, task, able, here, rack)
		if i < 0 {
			break
		}
		chosen = append(chosen, i)
		p.candidates[i].Free = p.candidates[i].Free.Minus(size)
		here[p.candidates[i].ID]++
	}
	for _, i := range chosen {
		p.candidates[i].Free = p.candidates[i].Free.Plus(size)
	}
	return chosen
}

// incomplete says why the other members of a gang will not all start, or
// nothing. One that starts without them waits in vain.
func (t *turn) incomplete(work Work, p Placement) string {
	for other, w := range t.members(work, p) {
		if other.Run == 0 {
			return "a member of its gang is not placed any more"
		}
		if other.Stage == Recording {
			if why := t.unfit(w, other); why != "" {
				return "a member of its gang can't start: " + why
			}
		}
	}
	return ""
}

// members iterates over the other members of a gang's run and their workers. One
// that has no placement is the zero value.
func (t *turn) members(work Work, p Placement) iter.Seq2[Placement, Worker] {
	return func(yield func(Placement, Worker) bool) {
		for index, task := range work.Progress.Step(p.Task.Round, p.Task.Step) {
			if index == p.Task.Index {
				continue
			}
			id := p.Task
			id.Index = index
			w, _ := t.workers.Get(task.Worker)
			other, ok := w.Placed.Get(runKey(id.String(), p.Run))
			if !ok {
				other = Placement{}
			}
			if !yield(other, w) {
				return
			}
		}
	}
}

// disband stops the other members of a gang whose member was not started.
func (t *turn) disband(p Placement) {
	work, ok := t.works.Get(string(p.Task.Job))
	if !ok || !work.Progress.Holds(p.Task) || !work.Job.Steps[p.Task.Step].Gang {
		return
	}
	for other, w := range t.members(work, p) {
		if other.Run > 0 {
			t.stop(w, other, "a member of its gang did not start")
		}
	}
}

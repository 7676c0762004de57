package leader

import (
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// pass is one attempt to place everything that waits. It sees the workers that
// may take tasks and the room that stops under way will free.
type pass struct {
	*turn
	candidates []placer.Candidate
	index      map[string]int
	freeing    []ledger.Size // room at a candidate once its stops are done, less what counts on it
	yielding   []ledger.Size // room that preemption may add to that
	services   []string
	labels     [][]string
	some       []*placer.Candidate // reused between choices
	at         []int               // index of each of them
	suitable   map[kind][]int      // candidates by the kind of worker that a step needs
	naming     map[string]int      // calls for advice under way by worker that they name, nil if not counted yet
	searches   int                 // steps that found no room to ask about
	moved      []ledger.ID         // jobs whose steps have to be ranked again
}

// kind is what a step asks of a worker beside room.
type kind struct{ service, label string }

// placeAll places the idle tasks of all waiting steps, the most urgent first.
func (t *turn) placeAll() {
	if t.waiting.Len() == 0 && t.ahead.Len() == 0 {
		return
	}
	p := &pass{turn: t, index: make(map[string]int, t.workers.Len()), suitable: map[kind][]int{}}
	for id, w := range t.workers.All() {
		if !w.Usable(t.now) {
			continue
		}
		free := w.Free()
		p.index[id] = len(p.candidates)
		p.candidates = append(p.candidates, placer.Candidate{
			ID: id, Free: free, Room: w.Room, Rack: w.Rack, Doubt: w.Fails, Slowness: w.slowness(), Serving: w.Serving > 0, Filling: w.Filling > 0,
		})
		p.freeing = append(p.freeing, free.Plus(w.Ending))
		p.yielding = append(p.yielding, w.Yielding)
		p.services = append(p.services, w.Service)
		p.labels = append(p.labels, w.Labels)
	}
	for key := range t.waiting.From(minScore) {
		if r, ok := t.resolve(key); ok {
			p.step(r)
		}
	}
	for _, id := range p.moved {
		p.rank(id)
	}
	p.askAhead()
}

// minScore is below the score of every waiting step.
const minScore = -1 << 62

// stepRef is a step of a round of a job.
type stepRef struct {
	key   string
	work  Work
	round int
	step  int
}

func (r stepRef) spec() *ledger.Step { return &r.work.Job.Steps[r.step] }

// resolve finds a step by its key.
func (t *turn) resolve(key string) (stepRef, bool) {
	id, err := ledger.ParseTask(key + ".0")
	if err != nil {
		return stepRef{}, false
	}
	w, ok := t.works.Get(string(id.Job))
	if !ok || w.Progress.State.Final() {
		return stepRef{}, false
	}
	return stepRef{key, w, id.Round, id.Step}, true
}

// step places what is idle in a step, as far as there is room.
func (p *pass) step(r stepRef) {
	if p.state(r.work.Job.ID).Final() {
		return
	}
	held, ok := p.permitted(r)
	if !ok {
		return
	}
	if r.spec().Gang {
		p.gang(r, held)
		return
	}
	able := p.able(r, held)
	here := p.perWorker(r)
	for index, task := range r.work.Progress.Step(r.round, r.step) {
		if task.Phase != ledger.Idle {
			continue
		}
		id := ledger.TaskID{Job: r.work.Job.ID, Round: r.round, Step: r.step, Index: index}
		i := p.pick(r, task, able, here, "")
		if i < 0 {
			p.preempt(r, able, here)
			return
		}
		p.start(r, id, task.Run+1, i, held)
		here[p.candidates[i].ID]++
	}
}

// able lists the candidates that may run tasks of a step, with room or without.
func (p *pass) able(r stepRef, held tickets) []int {
	if r.work.Job.Queue.Advice == nil {
		return p.suiting(r)
	}
	var able []int
	for id, t := range held {
		if !p.now.Before(t.until) {
			continue
		}
		if i, ok := p.index[id]; ok && p.suits(r, i) {
			able = append(able, i)
		}
	}
	slices.Sort(able) // the order of a map differs from run to run
	return able
}

// state returns the state of a job as it is now.
func (p *pass) state(id ledger.ID) ledger.State {
	w, ok := p.works.Get(string(id))
	if !ok {
		return ledger.Complete
	}
	return w.Progress.State
}

// perWorker counts a step's runs by worker, if their number is limited.
func (p *pass) perWorker(r stepRef) map[string]int {
	here := map[string]int{}
	if r.spec().Most == 0 {
		return here
	}
	for index, task := range r.work.Progress.Step(r.round, r.step) {
		if task.Run == 0 {
			continue // a task that is done may still have a run, if an earlier one ended late
		}
		id := ledger.TaskID{Job: r.work.Job.ID, Round: r.round, Step: r.step, Index: index}
		if w, ok := p.workers.Get(task.Worker); ok && w.Placed.Has(runKey(id.String(), task.Run)) {
			here[task.Worker]++
		}
	}
	return here
}

// suiting lists the candidates of a step's service that carry its label.
func (p *pass) suiting(r stepRef) []int {
	k := kind{r.work.Job.Queue.Service, r.spec().Label}
	found, ok := p.suitable[k]
	if ok {
		return found
	}
	for i := range p.candidates {
		if p.suits(r, i) {
			found = append(found, i)
		}
	}
	p.suitable[k] = found
	return found
}

// pick returns the candidate for a task, or -1. A task that has failed goes to
// a worker without failures, other than the last one, if there is one.
func (p *pass) pick(r stepRef, task ledger.Task, able []int, here map[string]int, rack string) int {
	spec := r.spec()
	d := placer.Demand{
		Size: spec.Room(), Rack: spec.Rack, Urgent: r.work.Job.Queue.Priority == 0,
		Fills: spec.Fills, Serving: spec.Target > 0,
	}
	if rack != "" {
		d.Rack = rack
	}
	for _, careful := range []bool{true, false} {
		if careful && task.Fails == 0 {
			continue
		}
		if i := p.choose(d, able, func(c *placer.Candidate) bool {
			return p.below(r, c.ID, here) && (rack == "" || c.Rack == rack) &&
				(!careful || c.ID != task.Worker && c.Doubt == 0)
		}); i >= 0 {
			return i
		}
	}
	return -1
}

// choose lets the placer choose among those of the candidates that have room
// and that a filter lets pass.
func (p *pass) choose(d placer.Demand, able []int, pass func(c *placer.Candidate) bool) int {
	p.some, p.at = p.some[:0], p.at[:0]
	for _, i := range able {
		if c := &p.candidates[i]; c.Free.Fits(d.Size) && pass(c) {
			p.some, p.at = append(p.some, c), append(p.at, i)
		}
	}
	i := p.policy.Placer.Pick(d, p.some)
	if i < 0 {
		return -1
	}
	return p.at[i]
}

// below reports whether a worker has fewer tasks of a step than it may have.
func (p *pass) below(r stepRef, id string, here map[string]int) bool {
	most := r.spec().Most
	return most == 0 || here[id] < most
}

// suits reports whether a candidate is of the step's service and carries its
// label.
func (p *pass) suits(r stepRef, i int) bool {
	label := r.spec().Label
	return p.services[i] == r.work.Job.Queue.Service && (label == "" || slices.Contains(p.labels[i], label))
}

// start places a run at a candidate. It is ordered once its record is in the
// log.
func (p *pass) start(r stepRef, id ledger.TaskID, run, i int, held tickets) {
	c := &p.candidates[i]
	w, _ := p.workers.Get(c.ID)
	work, _ := p.works.Get(string(id.Job))
	spec := r.spec()
	task := work.Progress.Task(id.Round, id.Step, id.Index)
	progress := work.Progress.WithTask(id, task.WithRun(run, c.ID))
	if progress.State == ledger.Queued {
		progress = progress.WithState(ledger.Running)
	}
	p.setWork(work.WithProgress(progress))
	placed := Placement{
		Task: id, Run: run, Stage: Recording, Size: spec.Room(), Saved: task.Saved, Ticket: held[c.ID].value, Valid: held[c.ID].until,
		Fills: spec.Fills, Target: spec.Target, Pace: fullPace, Yields: yields(work.Job, id.Step),
		Whole: task.Saved == "",
	}
	p.put(w, placed)
	p.await(p.next(), w.ID, placed.key())
	if len(p.moved) == 0 || p.moved[len(p.moved)-1] != id.Job {
		p.moved = append(p.moved, id.Job)
	}
	c.Free = c.Free.Minus(spec.Room())
	p.freeing[i] = p.freeing[i].Minus(spec.Room())
	c.Serving = c.Serving || spec.Target > 0
	c.Filling = c.Filling || spec.Fills
	p.emit(Note{What: "place", Job: id.Job, Task: id.String(), Run: run, Worker: c.ID, Batch: p.next(), Why: r.work.Job.Queue.Name})
}

// preempt makes room for an urgent step that found none. It stops
// checkpointed runs of less urgent queues, unless stops under way free enough.
func (p *pass) preempt(r stepRef, able []int, here map[string]int) {
	if r.work.Job.Queue.Priority != 0 || r.work.Due.Before(p.now) {
		return
	}
	if since, ok := p.ready.Get(r.key); !ok || p.now.Sub(since) < preemptAfter {
		return
	}
	size := r.spec().Room()
	missing := 0
	w, _ := p.works.Get(string(r.work.Job.ID)) // with what this pass has placed of the step
	for _, task := range w.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			missing++
		}
	}
	for _, i := range able {
		id := p.candidates[i].ID
		for missing > 0 && p.below(r, id, here) && p.makeRoom(i, size) {
			p.freeing[i] = p.freeing[i].Minus(size)
			here[id]++
			missing--
		}
	}
}

// makeRoom sees to it that a candidate will have room for a size, by stops
// under way or by new ones, and reports whether it will.
func (p *pass) makeRoom(i int, size ledger.Size) bool {
	if p.freeing[i].Fits(size) {
		return true
	}
	if !p.freeing[i].Plus(p.yielding[i]).Fits(size) {
		return false
	}
	w, _ := p.workers.Get(p.candidates[i].ID)
	free := p.freeing[i]
	var victims []Placement
	for _, placed := range w.Placed.All() {
		if free.Fits(size) {
			break
		}
		if placed.Yields && placed.Stage == Working && p.now.Sub(placed.Began) >= minPreempt {
			victims = append(victims, placed)
			free = free.Plus(placed.Size)
		}
	}
	if !free.Fits(size) {
		return false
	}
	for _, v := range victims {
		w = p.stop(w, v, "preempted by a more urgent job")
		p.yielding[i] = p.yielding[i].Minus(v.Size)
	}
	p.freeing[i] = free
	return true
}

// preemptAfter is how long an urgent step waits for room before it preempts.
// Urgent tasks are short, so those that end soon make room; a stop takes up to
// 0.9 s, and what it stops needs advice anew. It is within the 250 ms that the
// objectives of urgent queues add to the work.
const preemptAfter = 200 * time.Millisecond

// minPreempt is how long a run works before it may be preempted, so that work
// does not only start and stop.
const minPreempt = time.Second

// yields reports whether tasks of a step may be stopped for urgent ones: they
// lose nothing that is not saved, and no other task waits for them.
func yields(j ledger.Job, step int) bool {
	s := j.Steps[step]
	return s.Checkpoint && !s.Lasting && !s.Gang && j.Queue.Priority > 0
}

package leader

import (
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// placementPass is one attempt to place everything that waits. It sees the workers that
// may take tasks and the room that stops under way will free.
type placementPass struct {
	*transition
	candidates     []placer.Candidate
	indexByID      map[string]int
	freeAfterStops []ledger.Size // room at a candidate once its stops are done, less what counts on it
	preemptible    []ledger.Size // room that preemption may add to that
	services       []string
	labels         [][]string
	fitting        []*placer.Candidate   // reused between choices
	fittingIndex   []int                 // index of each of them
	matchCache     map[requirement][]int // candidates by the kind of worker that a step needs
	callCounts     map[string]int        // calls for advice under way by worker that they name, nil if not counted yet
	failedSearches int                   // steps that found no room to ask about
	rerank         []ledger.ID           // jobs whose steps have to be ranked again
}

// requirement is what a step asks of a worker beside room.
type requirement struct{ service, label string }

// placeAll places the idle tasks of all waiting steps, the most urgent first.
func (t *transition) placeAll() {
	if t.waiting.Len() == 0 && t.prefetch.Len() == 0 {
		return
	}
	p := &placementPass{transition: t, indexByID: make(map[string]int, t.workers.Len()), matchCache: map[requirement][]int{}}
	for id, w := range t.workers.All() {
		if !w.Schedulable(t.now) {
			continue
		}
		free := w.Free()
		p.indexByID[id] = len(p.candidates)
		p.candidates = append(p.candidates, placer.Candidate{
			ID: id, Free: free, Capacity: w.Room, Rack: w.Rack, ConsecutiveFailures: w.ConsecutiveFailures, Slowness: w.slowness(), Serving: w.ServingRuns > 0, BestEffort: w.BestEffortRuns > 0,
		})
		p.freeAfterStops = append(p.freeAfterStops, free.Plus(w.UsedByStopping))
		p.preemptible = append(p.preemptible, w.UsedByPreemptible)
		p.services = append(p.services, w.Service)
		p.labels = append(p.labels, w.Labels)
	}
	for key := range t.waiting.From(minScore) {
		if r, ok := t.resolveStep(key); ok {
			p.placeStep(r)
		}
	}
	for _, id := range p.rerank {
		p.rankSteps(id)
	}
	p.prefetchAdvice()
}

// minScore is below the score of every waiting step.
const minScore = -1 << 62

// stepRef is a step of a round of a job.
type stepRef struct {
	key   string
	job   ActiveJob
	round int
	step  int
}

func (r stepRef) spec() *ledger.Step { return &r.job.Job.Steps[r.step] }

// resolveStep finds a step by its key.
func (t *transition) resolveStep(key string) (stepRef, bool) {
	id, err := ledger.ParseTask(key + ".0")
	if err != nil {
		return stepRef{}, false
	}
	w, ok := t.jobs.Get(string(id.Job))
	if !ok || w.Progress.State.Final() {
		return stepRef{}, false
	}
	return stepRef{key, w, id.Round, id.Step}, true
}

// placeStep places what is idle in a placeStep, as far as there is room.
func (p *placementPass) placeStep(r stepRef) {
	if p.jobState(r.job.Job.ID).Final() {
		return
	}
	held, ok := p.heldTickets(r)
	if !ok {
		return
	}
	if r.spec().Gang {
		p.placeGang(r, held)
		return
	}
	able := p.eligible(r, held)
	here := p.runsByWorker(r)
	for index, task := range r.job.Progress.Step(r.round, r.step) {
		if task.Phase != ledger.Idle {
			continue
		}
		id := ledger.TaskID{Job: r.job.Job.ID, Round: r.round, Step: r.step, Index: index}
		i := p.pick(r, task, able, here, "")
		if i < 0 {
			p.preempt(r, able, here)
			return
		}
		p.placeRun(r, id, task.Run+1, i, held)
		here[p.candidates[i].ID]++
	}
}

// eligible lists the candidates that may run tasks of a step, with room or without.
func (p *placementPass) eligible(r stepRef, held tickets) []int {
	if r.job.Job.Queue.Advice == nil {
		return p.matching(r)
	}
	var able []int
	for id, t := range held {
		if !p.now.Before(t.expiry) {
			continue
		}
		if i, ok := p.indexByID[id]; ok && p.matches(r, i) {
			able = append(able, i)
		}
	}
	slices.Sort(able) // the order of a map differs from run to run
	return able
}

// jobState returns the jobState of a job as it is now.
func (p *placementPass) jobState(id ledger.ID) ledger.State {
	w, ok := p.jobs.Get(string(id))
	if !ok {
		return ledger.Complete
	}
	return w.Progress.State
}

// runsByWorker counts a step's runs by worker, if their number is limited.
func (p *placementPass) runsByWorker(r stepRef) map[string]int {
	here := map[string]int{}
	if r.spec().Most == 0 {
		return here
	}
	for index, task := range r.job.Progress.Step(r.round, r.step) {
		if task.Run == 0 {
			continue // a task that is done may still have a run, if an earlier one ended late
		}
		id := ledger.TaskID{Job: r.job.Job.ID, Round: r.round, Step: r.step, Index: index}
		if w, ok := p.workers.Get(task.Worker); ok && w.Placements.Has(runKey(id.String(), task.Run)) {
			here[task.Worker]++
		}
	}
	return here
}

// matching lists the candidates of a step's service that carry its label.
func (p *placementPass) matching(r stepRef) []int {
	k := requirement{r.job.Job.Queue.Service, r.spec().Label}
	found, ok := p.matchCache[k]
	if ok {
		return found
	}
	for i := range p.candidates {
		if p.matches(r, i) {
			found = append(found, i)
		}
	}
	p.matchCache[k] = found
	return found
}

// pick returns the candidate for a task, or -1. A task that has failed goes to
// a worker without failures, other than the last one, if there is one.
func (p *placementPass) pick(r stepRef, task ledger.Task, able []int, here map[string]int, rack string) int {
	spec := r.spec()
	d := placer.Demand{
		Size: spec.Room(), Rack: spec.Rack, Urgent: r.job.Job.Queue.Priority == 0,
		BestEffort: spec.Fills, Serving: spec.Target > 0,
	}
	if rack != "" {
		d.Rack = rack
	}
	for _, careful := range []bool{true, false} {
		if careful && task.Fails == 0 {
			continue
		}
		if i := p.choose(d, able, func(c *placer.Candidate) bool {
			return p.belowLimit(r, c.ID, here) && (rack == "" || c.Rack == rack) &&
				(!careful || c.ID != task.Worker && c.ConsecutiveFailures == 0)
		}); i >= 0 {
			return i
		}
	}
	return -1
}

// choose lets the placer choose among those of the candidates that have room
// and that a filter lets pass.
func (p *placementPass) choose(d placer.Demand, able []int, pass func(c *placer.Candidate) bool) int {
	p.fitting, p.fittingIndex = p.fitting[:0], p.fittingIndex[:0]
	for _, i := range able {
		if c := &p.candidates[i]; c.Free.Fits(d.Size) && pass(c) {
			p.fitting, p.fittingIndex = append(p.fitting, c), append(p.fittingIndex, i)
		}
	}
	i := p.policy.Placer.Pick(d, p.fitting)
	if i < 0 {
		return -1
	}
	return p.fittingIndex[i]
}

// belowLimit reports whether a worker has fewer tasks of a step than it may have.
func (p *placementPass) belowLimit(r stepRef, id string, here map[string]int) bool {
	most := r.spec().Most
	return most == 0 || here[id] < most
}

// matches reports whether a candidate is of the step's service and carries its
// label.
func (p *placementPass) matches(r stepRef, i int) bool {
	label := r.spec().Label
	return p.services[i] == r.job.Job.Queue.Service && (label == "" || slices.Contains(p.labels[i], label))
}

// placeRun places a run at a candidate. It is ordered once its record is in the
// log.
func (p *placementPass) placeRun(r stepRef, id ledger.TaskID, run, i int, held tickets) {
	c := &p.candidates[i]
	w, _ := p.workers.Get(c.ID)
	work, _ := p.jobs.Get(string(id.Job))
	spec := r.spec()
	task := work.Progress.Task(id.Round, id.Step, id.Index)
	progress := work.Progress.WithTask(id, task.WithRun(run, c.ID))
	if progress.State == ledger.Queued {
		progress = progress.WithState(ledger.Running)
	}
	p.setJob(work.WithProgress(progress))
	placed := Placement{
		Task: id, Run: run, Stage: Recording, Size: spec.Room(), Checkpoint: task.Saved, Ticket: held[c.ID].value, TicketExpiry: held[c.ID].expiry,
		BestEffort: spec.Fills, LatencyTarget: spec.Target, SpeedPercent: fullSpeed, Preemptible: isPreemptible(work.Job, id.Step),
		FromStart: task.Saved == "",
	}
	p.putPlacement(w, placed)
	p.awaitCommit(p.nextBatch(), w.ID, placed.key())
	if len(p.rerank) == 0 || p.rerank[len(p.rerank)-1] != id.Job {
		p.rerank = append(p.rerank, id.Job)
	}
	c.Free = c.Free.Minus(spec.Room())
	p.freeAfterStops[i] = p.freeAfterStops[i].Minus(spec.Room())
	c.Serving = c.Serving || spec.Target > 0
	c.BestEffort = c.BestEffort || spec.Fills
	p.emit(Note{What: "place", Job: id.Job, Task: id.String(), Run: run, Worker: c.ID, Batch: p.nextBatch(), Why: r.job.Job.Queue.Name})
}

// preempt makes room for an urgent step that found none. It stops
// checkpointed runs of less urgent queues, unless stops under way free enough.
func (p *placementPass) preempt(r stepRef, able []int, here map[string]int) {
	if r.job.Job.Queue.Priority != 0 || r.job.ObjectiveEnd.Before(p.now) {
		return
	}
	if since, ok := p.readySince.Get(r.key); !ok || p.now.Sub(since) < preemptDelay {
		return
	}
	size := r.spec().Room()
	missing := 0
	w, _ := p.jobs.Get(string(r.job.Job.ID)) // with what this pass has placed of the step
	for _, task := range w.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			missing++
		}
	}
	for _, i := range able {
		id := p.candidates[i].ID
		for missing > 0 && p.belowLimit(r, id, here) && p.makeRoom(i, size) {
			p.freeAfterStops[i] = p.freeAfterStops[i].Minus(size)
			here[id]++
			missing--
		}
	}
}

// makeRoom sees to it that a candidate will have room for a size, by stops
// under way or by new ones, and reports whether it will.
func (p *placementPass) makeRoom(i int, size ledger.Size) bool {
	if p.freeAfterStops[i].Fits(size) {
		return true
	}
	if !p.freeAfterStops[i].Plus(p.preemptible[i]).Fits(size) {
		return false
	}
	w, _ := p.workers.Get(p.candidates[i].ID)
	free := p.freeAfterStops[i]
	var victims []Placement
	for _, placed := range w.Placements.All() {
		if free.Fits(size) {
			break
		}
		if placed.Preemptible && placed.Stage == Running && p.now.Sub(placed.StartedAt) >= minRunTime {
			victims = append(victims, placed)
			free = free.Plus(placed.Size)
		}
	}
	if !free.Fits(size) {
		return false
	}
	for _, v := range victims {
		w = p.stopRun(w, v, "preempted by a more urgent job")
		p.preemptible[i] = p.preemptible[i].Minus(v.Size)
	}
	p.freeAfterStops[i] = free
	return true
}

// preemptDelay is how long an urgent step waits for room before it preempts.
// Urgent tasks are short, so those that end soon make room; a stop takes up to
// 0.9 s, and what it stops needs advice anew. It is within the 250 ms that the
// objectives of urgent queues add to the work.
const preemptDelay = 200 * time.Millisecond

// minRunTime is how long a run works before it may be preempted, so that work
// does not only start and stop.
const minRunTime = time.Second

// isPreemptible reports whether tasks of a step may be stopped for urgent ones: they
// lose nothing that is not saved, and no other task waits for them.
func isPreemptible(j ledger.Job, step int) bool {
	s := j.Steps[step]
	return s.Checkpoint && !s.Lasting && !s.Gang && j.Queue.Priority > 0
}

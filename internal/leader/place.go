package leader

import (
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
	"github.com/endivelock/endivelock/internal/rationer"
)

// placementPass is one attempt to place all waiting steps. It covers the workers
// that may take tasks and the capacity that pending stops will free.
type placementPass struct {
	*transition
	slots          []slot // changed by the pass as it claims capacity
	indexByID      map[string]int
	fitting        []*placer.Candidate   // candidates with room for a task; reused between choices
	fittingIndex   []int                 // index in slots of each in fitting
	matchCache     map[requirement][]int // candidates that meet each requirement
	callCounts     []int32               // advice calls in progress that query each slot, nil until counted
	nomineeSpace   nomineeQueue          // reused between advice calls
	callersBusy    map[bool]bool         // no entry is idle for a long (true) or short call
	fullSteps      rationer.Effort       // steps with tickets and without room
	failedSearches rationer.Effort       // steps without room anywhere that an advice call could query
	rerank         []ledger.ID           // jobs whose steps must be ranked again
	deferrable     bool                  // the step that is placed can wait while the leader is behind
	headrooms      map[string]*headroom  // by service; none where no urgent task runs
	reserves       map[string]*reserve   // by service; none where nothing waits that may go first
	racks          rackView              // for steps that want a rack
}

// requirement is what a step requires of a worker in addition to capacity.
type requirement struct{ service, label string }

// placeAll places the idle tasks of all waiting steps, the most urgent first.
func (t *transition) placeAll() {
	t.releaseSteps()
	if t.waiting.Len() == 0 && t.prefetch.Len() == 0 {
		t.settleReleased()
		return
	}
	t.fleet.save()
	t.pool, t.staleSlots = t.pool.with(t.workers, t.staleSlots), container.Table[bool]{}
	// The slots that the pass changes are stale afterwards, since their workers have changed.
	p := &placementPass{transition: t, slots: t.pool.slots, indexByID: t.pool.index, matchCache: map[requirement][]int{}, callersBusy: map[bool]bool{}}
	p.headrooms = newHeadrooms(p.slots, p.now)
	p.fullSteps = rationer.Effort{Half: maxFullSteps, Turns: p.fullTurns}
	p.failedSearches = rationer.Effort{Half: maxFailedSearches, Turns: p.searchTurns}
	p.placeWaiting()
	for _, id := range p.rerank {
		p.rankSteps(id)
	}
	p.settleReleased()
	p.prefetchAdvice()
	p.fullTurns, p.searchTurns = p.fullSteps.Left(), p.failedSearches.Left()
}

// placeWaiting places the idle tasks of the waiting steps. While starts are held back, those
// of services still go on: they are few, and wait for as long as there is other work.
func (p *placementPass) placeWaiting() {
	for key, score := range p.waiting.From(minScore) {
		if p.deferrable = deferrable(score); p.deferrable && !p.mayStart() {
			p.shortAt = p.now
			break
		}
		if !p.visit(key) {
			p.shortAt = p.now
			return
		}
	}
	if p.pace.limit == 0 {
		return
	}
	for key := range p.services.From(minScore) {
		if !p.visit(key) {
			return
		}
	}
}

// visit places the idle tasks of a waiting step unless it is known to find no room. It reports
// whether the pass goes on.
func (p *placementPass) visit(key string) bool {
	if at, ok := p.retryAt.Get(key); ok && p.now.Before(at) {
		p.reserveFor(key)
		return true
	}
	if !p.fullSteps.Allows(key) {
		p.reserveFor(key)
		return !p.fullSteps.Cut()
	}
	if r, ok := p.resolveStep(key); ok {
		p.placeStep(r)
		p.reserveFor(key)
	}
	return true
}

// maxFullSteps is how many steps in one pass may find no room at the workers that they
// may run on, in either half of the effort. Room is scarce then, and what there is belongs
// to the most urgent.
const maxFullSteps = 64

const (
	// urgentRetryPausePerStep and retryPausePerStep give, for each waiting step, how
	// long one that found no room is not visited again, up to maxUrgentRetryPause and
	// maxRetryPause. Each pass would otherwise visit all of a backlog; where few steps
	// wait, each is visited by every pass.
	urgentRetryPausePerStep = 100 * time.Microsecond
	retryPausePerStep       = 300 * time.Microsecond
	maxUrgentRetryPause     = 30 * time.Millisecond
	maxRetryPause           = 100 * time.Millisecond
)

// deferStep has the next passes leave out a step that found no room.
func (p *placementPass) deferStep(r stepRef) {
	backlog := time.Duration(p.waiting.Len())
	pause := min(backlog*retryPausePerStep, maxRetryPause)
	if r.job.Job.Queue.Priority == 0 {
		pause = min(backlog*urgentRetryPausePerStep, maxUrgentRetryPause)
	}
	p.retryAt = p.retryAt.With(r.key, p.now.Add(pause))
}

// minScore is less than the score of every ranked step.
const minScore = -1 << 62

// stepRef is a step of a round of a job.
type stepRef struct {
	key   string
	job   ActiveJob
	round int
	step  int
}

func (r stepRef) spec() *ledger.Step { return &r.job.Job.Steps[r.step] }

// resolveStep returns the step with the given key, or false if its job has ended.
func (t *transition) resolveStep(key string) (stepRef, bool) {
	id, err := ledger.ParseTaskID(key + ".0")
	if err != nil {
		return stepRef{}, false
	}
	job, ok := t.active.get(string(id.Job))
	if !ok || job.Progress.State.Final() {
		return stepRef{}, false
	}
	return stepRef{key, job, id.Round, id.Step}, true
}

// placeStep places the idle tasks of a step as far as there is room.
func (p *placementPass) placeStep(r stepRef) {
	if p.jobState(r.job.Job.ID).Final() {
		return
	}
	if !p.fitsCap(r) {
		p.park(r)
		return
	}
	held, ok := p.heldTickets(r)
	if !ok {
		return
	}
	if !r.spec().LongRunning && !p.mayStart() {
		return // its advice is asked for nevertheless
	}
	if r.spec().Gang {
		p.placeGang(r, held)
		return
	}
	eligible := p.eligible(r, held)
	counts := p.runsByWorker(r)
	near := p.nearStep(r)
	defer near.end()
	for index, task := range r.job.Progress.Step(r.round, r.step) {
		if task.Phase != ledger.Idle || near.holds(task) {
			continue
		}
		if !r.spec().LongRunning && !p.mayStart() {
			return
		}
		if !p.fitsCap(r) {
			p.park(r)
			return
		}
		id := ledger.TaskID{Job: r.job.Job.ID, Round: r.round, Step: r.step, Index: index}
		i := p.pick(r, task, eligible, counts, "")
		if i < 0 {
			p.fullSteps.Spend(r.key)
			p.deferStep(r)
			p.noteFull(r.job)
			p.preempt(r, eligible, counts, near.held)
			return
		}
		if near.refuses(task, p.slots[i].Rack, eligible, held, counts) {
			continue
		}
		p.placeRun(r, id, task.Run+1, i, held)
		counts[p.slots[i].ID]++
	}
}

// eligible returns the indexes of the candidates that may run tasks of a step,
// whether or not they have room.
func (p *placementPass) eligible(r stepRef, held tickets) []int {
	if r.job.Job.Queue.Advice == nil {
		return p.matching(r)
	}
	var eligible []int
	usableAt := p.ticketsUsableAt(r.job.Job.Queue)
	for id, t := range held {
		if !usableAt.Before(t.expiry) {
			continue
		}
		if i, ok := p.indexByID[id]; ok && p.slots[i].usable(p.now) && p.matches(r, i) {
			eligible = append(eligible, i)
		}
	}
	slices.Sort(eligible) // map iteration order is random
	return eligible
}

// jobState returns the current state of a job, including changes by this pass.
func (p *placementPass) jobState(id ledger.ID) ledger.State {
	job, ok := p.active.get(string(id))
	if !ok {
		return ledger.Complete
	}
	return job.Progress.State
}

// runsByWorker counts a step's runs by worker. It is empty for a step without a
// limit per worker.
func (p *placementPass) runsByWorker(r stepRef) map[string]int {
	counts := map[string]int{}
	if r.spec().MaxPerWorker == 0 {
		return counts
	}
	for index, task := range r.job.Progress.Step(r.round, r.step) {
		if task.Run == 0 {
			continue // never placed; a done task may still have a run if an earlier run ended late
		}
		id := ledger.TaskID{Job: r.job.Job.ID, Round: r.round, Step: r.step, Index: index}
		if w, ok := p.fleet.get(task.Worker); ok && w.Placements.Has(runKey(id.String(), task.Run)) {
			counts[task.Worker]++
		}
	}
	return counts
}

// matching returns the indexes of the candidates that match a step.
func (p *placementPass) matching(r stepRef) []int {
	k := requirement{r.job.Job.Queue.Service, r.spec().RequiredLabel}
	found, ok := p.matchCache[k]
	if ok {
		return found
	}
	for i := range p.slots {
		if p.slots[i].usable(p.now) && p.matches(r, i) {
			found = append(found, i)
		}
	}
	p.matchCache[k] = found
	return found
}

// pick returns the index of the candidate for a task, or -1. A task that has
// failed goes to a worker without failures, other than the last one, if possible.
// A non-empty rack restricts the choice to that rack.
func (p *placementPass) pick(r stepRef, task ledger.Task, eligible []int, counts map[string]int, rack string) int {
	spec := r.spec()
	if r.job.Standing.Beyond && !spec.LongRunning && p.reserves[r.job.Job.Queue.Service].keeps(spec.Reservation()) {
		return -1
	}
	var kept *headroom
	if mayWaitForRoom(r.job, r.step) {
		kept = p.headrooms[r.job.Job.Queue.Service]
	}
	d := placer.Demand{
		Size: spec.Reservation(), Rack: spec.Rack, Urgent: r.job.Job.Queue.Priority == 0,
		BestEffort: spec.BestEffort, Serving: spec.LatencyTarget > 0,
	}
	if rack != "" {
		d.Rack = rack
	}
	for _, careful := range []bool{true, false} {
		if careful && !task.HasFailed() {
			continue
		}
		if i := p.choose(d, eligible, func(c *placer.Candidate) bool {
			return !kept.keeps(c.Free, d.Size) && belowLimit(spec.MaxPerWorker, c.ID, counts) && (rack == "" || c.Rack == rack) &&
				(!careful || c.ID != task.Worker && c.ConsecutiveFailures == 0)
		}); i >= 0 {
			return i
		}
	}
	return -1
}

// choose has the placer choose among the eligible candidates that have room and
// that the filter accepts. It returns an index, or -1.
func (p *placementPass) choose(d placer.Demand, eligible []int, accept func(c *placer.Candidate) bool) int {
	p.fitting, p.fittingIndex = p.fitting[:0], p.fittingIndex[:0]
	for _, i := range eligible {
		if c := &p.slots[i].Candidate; c.Free.CanFit(d.Size) && accept(c) {
			p.fitting, p.fittingIndex = append(p.fitting, c), append(p.fittingIndex, i)
		}
	}
	i := p.policy.Placer.Pick(d, p.fitting)
	if i < 0 {
		return -1
	}
	return p.fittingIndex[i]
}

// belowLimit reports whether a worker may run another task of a step of which it may run a
// number at most. It is asked for each worker, so that it takes no more of the step.
func belowLimit(most int, id string, counts map[string]int) bool {
	return most == 0 || counts[id] < most
}

// matches reports whether a candidate belongs to the step's service and carries
// its label.
func (p *placementPass) matches(r stepRef, i int) bool {
	label := r.spec().RequiredLabel
	return p.slots[i].service == r.job.Job.Queue.Service && (label == "" || slices.Contains(p.slots[i].labels, label))
}

// placeRun places a run at a candidate. Its start is ordered once its record is in
// the log.
func (p *placementPass) placeRun(r stepRef, id ledger.TaskID, run, i int, held tickets) {
	c := &p.slots[i]
	w, _ := p.fleet.get(c.ID)
	job, _ := p.active.get(string(id.Job))
	spec := r.spec()
	task := job.Progress.Task(id.Round, id.Step, id.Index)
	progress := job.Progress.WithTask(id, task.WithRun(run, c.ID))
	if progress.State == ledger.Queued {
		progress = progress.WithState(ledger.Running)
		p.noteBegun(job.Job, job.Standing)
	}
	p.setJob(job.WithProgress(progress))
	placed := Placement{
		Task: id, Run: run, Incarnation: w.ReportedIncarnation, Stage: Recording, PlacedAt: p.now, Size: spec.Reservation(), Checkpoint: task.Checkpoint, Ticket: held[c.ID].value, TicketExpiry: held[c.ID].expiry,
		BestEffort: spec.BestEffort, LatencyTarget: spec.LatencyTarget, Preemptible: isPreemptible(job, id.Step),
		Urgent: isUrgent(job, id.Step), Workspace: job.Job.Workspace, Beyond: job.Standing.Beyond,
		FromStart: task.Checkpoint == "",
	}
	p.putPlacement(w, placed)
	p.pace = p.pace.withStarts(p.starting)
	p.awaitCommit(p.nextBatch(), w.ID, placed.key())
	if len(p.rerank) == 0 || p.rerank[len(p.rerank)-1] != id.Job {
		p.rerank = append(p.rerank, id.Job)
	}
	p.headrooms[c.service].take(c.Free, spec.Reservation())
	p.reserves[c.service].take(spec.Reservation())
	c.Free = c.Free.Minus(spec.Reservation())
	c.freeAfterStops = c.freeAfterStops.Minus(spec.Reservation())
	c.Serving = c.Serving || spec.LatencyTarget > 0
	c.BestEffort = c.BestEffort || spec.BestEffort
	p.emit(Decision{What: "place", Job: id.Job, Task: id.String(), Run: run, Worker: c.ID, Batch: p.nextBatch(), Why: r.job.Job.Queue.Name})
}

// preempt frees capacity for an urgent step that found none. It stops checkpointed
// runs of less urgent queues, unless pending stops free enough. Nothing is stopped for the
// tasks that wait for a rack.
func (p *placementPass) preempt(r stepRef, eligible []int, counts map[string]int, waiting int) {
	if r.job.Job.Queue.Priority != 0 || p.deferrable {
		return
	}
	if since, ok := p.readySince.Get(r.key); !ok || p.now.Sub(p.mayStartSince(r.key, since)) < preemptDelay {
		return
	}
	spec, missing := r.spec(), -waiting
	job, _ := p.active.get(string(r.job.Job.ID)) // includes the tasks that this pass has placed
	for _, task := range job.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			missing++
		}
	}
	missing = p.underCap(r, missing)
	p.takeRoom(eligible, missing, spec, counts, p.beyond > 0)
}

// preemptDelay is how long an urgent step waits for room before it preempts other
// runs. Urgent tasks are short and soon free capacity, whereas a stop takes up to
// 0.9 s and the stopped task needs new advice. The delay is within the 250 ms that
// the objectives of urgent queues allow beyond the run time.
const preemptDelay = 200 * time.Millisecond

// minRunTime is how long a run executes before it may be preempted, so that tasks
// make progress between preemptions.
const minRunTime = time.Second

// isPreemptible reports whether runs of a step may be stopped for urgent tasks:
// they resume from a checkpoint, no gang depends on them, and they are less urgent or beyond
// the share of their workspace.
func isPreemptible(j ActiveJob, step int) bool {
	s := j.Job.Steps[step]
	return s.Checkpoint && !s.LongRunning && !s.Gang && (j.Job.Queue.Priority > 0 || j.Standing.Beyond)
}

package leader

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// transition is one application of an event: the state as it changes and the effects
// so far.
type transition struct {
	State
	now         time.Time
	effects     []Effect
	changed     container.Table[bool] // jobs whose progress needs a record
	changeOrder []ledger.ID           // the same, in the order of change
	ownsWaiters bool                  // pending is this turn's own copy
}

// Apply returns the state after an event and what is to be done.
func (s State) Apply(e Event, now time.Time) (State, []Effect) {
	t := &transition{State: s, now: now}
	e.apply(t)
	t.placeWhenDue()
	t.recordChanges()
	return t.State, t.effects
}

// pausePerStep is by how much each waiting step lengthens the pause between two
// passes. A pass visits every waiting step; this bounds the share of the
// processor that passes take while a backlog grows.
const pausePerStep = 20 * time.Microsecond

// placeWhenDue places what waits if anything has changed since the last pass.
// Changes that come during the pause after a pass wait for the next one, so
// that the cost of placement does not grow with the number of events.
func (t *transition) placeWhenDue() {
	if !t.placementDue {
		return
	}
	pause := t.policy.Pause
	if pause > 0 {
		pause += time.Duration(t.waiting.Len()) * pausePerStep
	}
	if wait := pause - t.now.Sub(t.lastPass); wait > 0 && pause > 0 {
		if !t.wakePending {
			t.wakePending = true
			t.emit(Wake{After: wait})
		}
		return
	}
	t.placementDue, t.lastPass = false, t.now
	t.placeAll()
}

func (Woken) apply(t *transition) { t.wakePending = false }

// Counts sums up the state of a cell.
type Counts struct {
	Jobs     int // that have not ended
	Waiting  int // steps with tasks that wait
	Listed   int // workers
	Heard    int // listed workers whose last look was answered
	Excluded int // workers that take no new tasks for a time
	Asks     int // calls for advice under way
	Used     ledger.Size
	Room     ledger.Size // of the workers that are heard
}

// Counts sums up the state.
func (s State) Counts(now time.Time) Counts {
	c := Counts{Jobs: s.jobs.Len(), Waiting: s.waiting.Len(), Asks: s.adviceCalls.Len()}
	for _, w := range s.workers.All() {
		c.Used = c.Used.Plus(w.Used)
		if !w.Listed {
			continue
		}
		c.Listed++
		if w.Reachability == Reachable {
			c.Heard++
			c.Room = c.Room.Plus(w.Room)
		}
		if now.Before(w.ExcludedUntil) {
			c.Excluded++
		}
	}
	return c
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

// nextBatch returns the number of the batch that this turn's records will have.
func (t *transition) nextBatch() int64 { return t.batch + 1 }

// markChanged marks a job for a record.
func (t *transition) markChanged(id ledger.ID) {
	if t.changed.Has(string(id)) {
		return
	}
	t.changed = t.changed.With(string(id), true)
	t.changeOrder = append(t.changeOrder, id)
}

// recordChanges puts the changed jobs into the log and lets go of those whose last
// run is gone.
func (t *transition) recordChanges() {
	awaited := len(t.commitWaiters) > 0 && t.commitWaiters[len(t.commitWaiters)-1].batch == t.nextBatch()
	if len(t.changeOrder) == 0 && !awaited {
		return
	}
	t.batch++
	if len(t.changeOrder) == 0 {
		t.emit(Record{Batch: t.batch})
	}
	for _, id := range t.changeOrder {
		w, ok := t.jobs.Get(string(id))
		if !ok {
			continue
		}
		r := Record{Batch: t.batch, Job: id, Progress: w.Progress}
		if w.Progress.State.Final() && w.Runs == 0 {
			r.Progress = w.Progress.WithoutTasks()
			t.removeJob(w)
		}
		t.emit(r)
	}
}

// removeJob forgets a job and what was kept for its steps.
func (t *transition) removeJob(w ActiveJob) {
	id := w.Job.ID
	t.jobs = t.jobs.Without(string(id))
	t.dueRounds = t.dueRounds.Without(string(id))
	for round := range w.Progress.Rounds {
		for step := range w.Job.Steps {
			key := stepKey(id, round, step)
			t.permits = t.permits.Without(key)
			t.runTimes = t.runTimes.Without(key)
			t.unrankStep(key)
			t.prefetch = t.prefetch.Without(key)
		}
	}
}

// setJob stores a work whose progress has changed.
func (t *transition) setJob(w ActiveJob) {
	t.jobs = t.jobs.With(string(w.Job.ID), w)
	t.markChanged(w.Job.ID)
}

// setWorker stores a worker.
func (t *transition) setWorker(w Worker) { t.workers = t.workers.With(w.ID, w) }

// stepKey names a step of a round.
func stepKey(id ledger.ID, round, step int) string {
	return string(id) + "." + strconv.Itoa(round) + "." + strconv.Itoa(step)
}

// putPlacement adds or replaces a placement at a worker.
func (t *transition) putPlacement(w Worker, p Placement) Worker {
	if !w.Placements.Has(p.key()) {
		t.addRuns(p.Task.Job, 1)
	}
	w = w.WithPlacement(p)
	t.setWorker(w)
	return w
}

// removePlacement removes a placement from a worker: the run is known not to go on.
func (t *transition) removePlacement(w Worker, p Placement) Worker {
	if w.Placements.Has(p.key()) {
		t.addRuns(p.Task.Job, -1)
	}
	w = w.WithoutPlacement(p.key())
	t.setWorker(w)
	t.placementDue = true
	return w
}

// addRuns changes the number of runs of a job. The last run of a job that has
// ended gets it its last record.
func (t *transition) addRuns(id ledger.ID, n int) {
	w, ok := t.jobs.Get(string(id))
	if !ok {
		return
	}
	w = w.WithRuns(n)
	t.jobs = t.jobs.With(string(id), w)
	if w.Runs == 0 && w.Progress.State.Final() {
		t.markChanged(id)
	}
}

// awaitCommit notes what depends on a batch being in the log: the start of a
// placement or, without a key, the acknowledgement of ends.
func (t *transition) awaitCommit(batch int64, worker, key string) {
	if !t.ownsWaiters {
		t.commitWaiters, t.ownsWaiters = slices.Clone(t.commitWaiters), true
	}
	t.commitWaiters = append(t.commitWaiters, commitWaiter{batch, worker, key})
}

func (e Committed) apply(t *transition) {
	for len(t.commitWaiters) > 0 && t.commitWaiters[0].batch <= e.Batch {
		d := t.commitWaiters[0]
		t.commitWaiters = t.commitWaiters[1:]
		w, ok := t.workers.Get(d.worker)
		if !ok {
			continue
		}
		if d.key == "" {
			t.acknowledge(w, e.Batch)
			t.removeIfUnused(w)
			continue
		}
		p, ok := w.Placements.Get(d.key)
		switch {
		case ok && p.Stage == Recording:
			t.sendStart(w, p)
		case ok && p.Stage == Withdrawn:
			t.removePlacement(w, p)
			t.requeue(p, "")
		}
	}
}

// sendStart orders a sendStart whose record is in the log.
func (t *transition) sendStart(w Worker, p Placement) {
	work, ok := t.jobs.Get(string(p.Task.Job))
	if !ok || work.Progress.State.Final() {
		t.removePlacement(w, p)
		return
	}
	why := t.startObstacle(w, p)
	if why == "" && work.Job.Steps[p.Task.Step].Gang {
		why = t.gangObstacle(work, p)
	}
	if why != "" {
		t.removePlacement(w, p)
		t.requeue(p, "")
		t.emit(Note{What: "withhold", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
		return
	}
	t.putPlacement(w, p.WithStage(StartSent).WithSent(t.now))
	t.emit(Order{
		Worker: w.ID, Address: w.Address, Kind: OrderStart, Task: p.Task, Run: p.Run,
		Spec: work.Job.Spec, Saved: work.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index).Saved, Ticket: p.Ticket,
	})
}

// startObstacle says why a start whose record took its time is not to be ordered any
// more, or nothing.
func (t *transition) startObstacle(w Worker, p Placement) string {
	switch {
	case !w.Listed || w.Draining || w.Reachability != Reachable:
		return "the worker left or fell silent"
	case !p.TicketExpiry.IsZero() && t.now.After(p.TicketExpiry):
		return "the ticket has run out"
	}
	return ""
}

// stopRun orders the end of a run, or forgets one that was not ordered yet.
func (t *transition) stopRun(w Worker, p Placement, why string) Worker {
	switch p.Stage {
	case Recording:
		return t.putPlacement(w, p.WithStage(Withdrawn))
	case Withdrawn, Stopping:
		return w
	}
	w = t.putPlacement(w, p.WithStage(Stopping).WithSent(t.now))
	t.emit(Order{Worker: w.ID, Address: w.Address, Kind: OrderStop, Task: p.Task, Run: p.Run})
	t.emit(Note{What: "stop", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
	return w
}

// requeue makes the task of a run that is over wait for another one.
func (t *transition) requeue(p Placement, saved string) {
	w, ok := t.jobs.Get(string(p.Task.Job))
	if !ok || !w.Progress.Holds(p.Task) {
		return
	}
	task := w.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index)
	if task.Run != p.Run || task.Phase != ledger.Started {
		return
	}
	task = task.WithPhase(ledger.Idle).WithSaved(p.Checkpoint).WithSaved(saved)
	t.setJob(w.WithProgress(w.Progress.WithTask(p.Task, task)))
	t.rankSteps(w.Job.ID)
}

package leader

import (
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// transition applies one event: it holds the state as it changes and the effects
// so far.
type transition struct {
	State
	fleet         draft[Worker]    // the workers of the state
	active        draft[ActiveJob] // the jobs of the state
	now           time.Time
	effects       []Effect
	changed       container.Table[bool] // jobs whose progress must be recorded
	changeOrder   []ledger.ID           // the keys of changed, in order of change
	leasesChanged bool                  // a record of leases is part of the current batch
}

// Apply returns the state after event e at time now and the effects to carry out.
func (s State) Apply(e Event, now time.Time) (State, []Effect) {
	t := &transition{State: s, now: now}
	t.fleet.table, t.active.table = &t.workers, &t.jobs
	e.apply(t)
	t.recordLeases()
	t.placeWhenDue()
	t.recordChanges()
	t.fleet.save()
	t.active.save()
	return t.State, t.effects
}

// pausePerStep is added to the pause between two placement passes for each
// waiting step. A pass visits every waiting step; the longer pause bounds the
// fraction of processor time that passes take while a backlog grows.
const pausePerStep = 20 * time.Microsecond

// placeWhenDue runs a placement pass if one is due. Changes during the pause
// after a pass are deferred to the next one, so that the cost of placement does
// not grow with the number of events.
func (t *transition) placeWhenDue() {
	if !t.placementDue {
		return
	}
	pause := t.policy.MinPassInterval
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
	if t.released.Len() > 0 {
		t.placementDue = true
		if !t.wakePending && t.pace.room(t.starting, true) {
			t.wakePending = true
			t.emit(Wake{After: max(pause, releaseInterval)})
		}
	}
}

func (e Batch) apply(t *transition) {
	for _, event := range e.Events {
		event.apply(t)
	}
}

func (Woken) apply(t *transition) { t.wakePending = false }

// Counts summarizes the state of a cell.
type Counts struct {
	Jobs         int // that have not ended
	WaitingSteps int // steps with tasks that wait
	Listed       int // workers
	Reachable    int // listed workers whose last poll was answered
	Excluded     int // workers temporarily barred from new tasks
	SilentRuns   int // runs at workers that do not answer
	AdviceCalls  int // advice calls in progress
	Callers      int // entries that can call for advice
	IdleCallers  int // of these, without a call in progress or a recent failure
	Starting     int // most starts in progress between the last two ticks
	PaceLimit    int // starts that may be in progress, 0 for no limit
	Used         ledger.Resources
	Capacity     ledger.Resources // capacity of the workers counted in Reachable
}

// Counts returns a summary of the state at time now.
func (s State) Counts(now time.Time) Counts {
	c := Counts{Jobs: s.jobs.Len(), WaitingSteps: s.waiting.Len() + s.parkedSteps, AdviceCalls: s.adviceCalls.Len(), Callers: s.callers.Len(), Starting: s.pace.last, PaceLimit: s.pace.limit}
	for _, caller := range s.callers.All() {
		if caller.idle(now) {
			c.IdleCallers++
		}
	}
	for _, w := range s.workers.All() {
		c.Used = c.Used.Plus(w.Used)
		if w.Reachability != Reachable {
			c.SilentRuns += w.Placements.Len()
		}
		if !w.Listed {
			continue
		}
		c.Listed++
		if w.Reachability == Reachable {
			c.Reachable++
			c.Capacity = c.Capacity.Plus(w.Capacity)
		}
		if now.Before(w.ExcludedUntil) {
			c.Excluded++
		}
	}
	return c
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

// nextBatch returns the batch number of the records of this transition.
func (t *transition) nextBatch() int64 { return t.batch + 1 }

// markChanged has the progress of a job recorded at the end of the transition.
func (t *transition) markChanged(id ledger.ID) {
	if t.changed.Has(string(id)) {
		return
	}
	t.changed = t.changed.With(string(id), true)
	t.changeOrder = append(t.changeOrder, id)
}

// recordChanges emits a record for each changed job and removes the jobs that have
// ended and have no runs left.
func (t *transition) recordChanges() {
	last, waits := t.commitWaiters.Last()
	awaited := waits && last.batch == t.nextBatch()
	if len(t.changeOrder) == 0 && !awaited && !t.leasesChanged {
		return
	}
	t.batch++
	if len(t.changeOrder) == 0 {
		t.emit(Record{Batch: t.batch})
	}
	for _, id := range t.changeOrder {
		job, ok := t.active.get(string(id))
		if !ok {
			continue
		}
		r := Record{Batch: t.batch, Job: id, Progress: job.Progress}
		if job.Progress.State.Final() && job.Runs == 0 {
			r.Progress = job.Progress.WithoutTasks()
			t.removeJob(job)
		}
		t.emit(r)
	}
}

// removeJob removes a job and the state kept for its steps.
func (t *transition) removeJob(job ActiveJob) {
	id := job.Job.ID
	t.active.remove(string(id))
	t.accountJob(job.Job, -1)
	t.dueRounds = t.dueRounds.Without(string(id))
	for round := range job.Progress.Rounds {
		for step := range job.Job.Steps {
			key := stepKey(id, round, step)
			t.permits = t.permits.Without(key)
			t.runTimes = t.runTimes.Without(key)
			t.unrankStep(key)
			t.unrankPrefetch(key)
		}
	}
}

// setJob stores a job whose progress has changed.
func (t *transition) setJob(job ActiveJob) {
	if job.Standing.Beyond {
		old, _ := t.active.get(string(job.Job.ID))
		t.countWaiting(old, job)
	}
	t.active.set(string(job.Job.ID), job)
	t.markChanged(job.Job.ID)
}

func (t *transition) setWorker(w Worker) {
	old, _ := t.fleet.get(w.ID)
	t.starting += w.StartingRuns - old.StartingRuns
	t.fleet.set(w.ID, w)
	t.markStale(w.ID)
}

// markStale has the next placement pass take the slot of a worker anew.
func (t *transition) markStale(id string) {
	if !t.staleSlots.Has(id) {
		t.staleSlots = t.staleSlots.With(id, true)
	}
}

// stepKey returns the key of a step of a round.
func stepKey(id ledger.ID, round, step int) string {
	return string(id) + "." + strconv.Itoa(round) + "." + strconv.Itoa(step)
}

// putPlacement adds or replaces a placement at a worker and returns the worker.
func (t *transition) putPlacement(w Worker, p Placement) Worker {
	if old, ok := w.Placements.Get(p.key()); (!ok || old.Orphan) && !p.Orphan {
		t.addRuns(p.Task.Job, 1)
		t.accountRun(p, 1)
	}
	w = w.WithPlacement(p)
	t.setWorker(w)
	return w
}

// removePlacement removes a placement, whose run is known to have ended, from a
// worker and returns the worker.
func (t *transition) removePlacement(w Worker, p Placement) Worker {
	if counted, ok := w.Placements.Get(p.key()); ok && !counted.Orphan {
		t.addRuns(p.Task.Job, -1)
		t.accountRun(counted, -1)
	}
	w = w.WithoutPlacement(p.key())
	t.setWorker(w)
	t.placementDue = true
	return w
}

// addRuns adds n to the number of runs of a job. When the last run of an ended
// job is gone, the job's final record is due.
func (t *transition) addRuns(id ledger.ID, n int) {
	job, ok := t.active.get(string(id))
	if !ok {
		return
	}
	job = job.WithRuns(n)
	t.active.set(string(id), job)
	if job.Runs == 0 && job.Progress.State.Final() {
		t.markChanged(id)
	}
}

// awaitCommit defers an action until a batch is in the log: the start of the
// placement with the given key or, if key is empty, the acknowledgement of ends.
func (t *transition) awaitCommit(batch int64, worker, key string) {
	t.commitWaiters = t.commitWaiters.With(commitWaiter{batch: batch, worker: worker, key: key})
}

func (e Committed) apply(t *transition) {
	t.committed = max(t.committed, e.Batch)
	for {
		d, waits := t.commitWaiters.First()
		if !waits || d.batch > e.Batch {
			return
		}
		t.commitWaiters = t.commitWaiters.WithoutFirst()
		w, ok := t.fleet.get(d.worker)
		if !ok {
			continue
		}
		if d.renew {
			if w.Renewed && w.RenewedIn <= t.committed && w.Reachability == Reachable {
				t.renew(w)
			}
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

// sendStart orders the start of a run whose record is in the log, unless the start
// has become impossible meanwhile.
func (t *transition) sendStart(w Worker, p Placement) {
	job, ok := t.active.get(string(p.Task.Job))
	if !ok || job.Progress.State.Final() {
		t.removePlacement(w, p)
		return
	}
	why := t.startObstacle(w, p)
	if why == "" && job.Job.Steps[p.Task.Step].Gang {
		why = t.gangObstacle(job, p)
	}
	if why == "" {
		why = t.capObstacle(job, p)
	}
	if why != "" {
		t.removePlacement(w, p)
		t.requeue(p, "")
		t.emit(Decision{What: "withhold", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
		return
	}
	t.putPlacement(w, p.WithStage(StartSent).WithSent(t.now))
	t.emit(Order{
		Worker: w.ID, Address: w.Address, Incarnation: p.Incarnation, Silence: w.Silence, Kind: OrderStart, Task: p.Task, Run: p.Run,
		Spec: job.Job.Spec, Checkpoint: job.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index).Checkpoint, Ticket: p.Ticket,
		Valid: p.ticketLeft(t.now),
	})
}

// startObstacle returns why a recorded run can no longer be started at w, or "" if
// it can.
func (t *transition) startObstacle(w Worker, p Placement) string {
	switch {
	case !w.open():
		return "the worker left, restarted or stopped reporting"
	case p.Incarnation != w.ReportedIncarnation:
		return "the worker has restarted since the run was placed"
	case !p.TicketExpiry.IsZero() && t.now.After(p.TicketExpiry):
		return "the ticket has expired"
	}
	return ""
}

// stopRun orders the stop of a run, or withdraws one whose start has not been sent,
// and returns the worker. Nothing is ordered about an inherited run while its worker is not
// listed, since nobody calls it: the run may be over, and superviseRun stops it if a report lists it.
func (t *transition) stopRun(w Worker, p Placement, why string) Worker {
	switch p.Stage {
	case Recording:
		return t.putPlacement(w, p.WithStage(Withdrawn))
	case Withdrawn, Stopping:
		return w
	case Inherited:
		if !w.Listed {
			return w
		}
	}
	w = t.putPlacement(w, p.WithStage(Stopping).WithSent(t.now))
	t.emit(w.order(OrderStop, p))
	t.emit(Decision{What: "stop", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
	return w
}

// requeue makes the task of an ended run wait for another run. A non-empty saved
// is its latest checkpoint.
func (t *transition) requeue(p Placement, saved string) {
	job, ok := t.active.get(string(p.Task.Job))
	if !ok || !job.Progress.HasTask(p.Task) {
		return
	}
	task := job.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index)
	if task.Run != p.Run || task.Phase != ledger.Started {
		return
	}
	task = task.WithPhase(ledger.Idle).WithCheckpoint(p.Checkpoint).WithCheckpoint(saved)
	progress := job.Progress.WithTask(p.Task, task)
	if !p.StartedAt.IsZero() {
		progress = progress.WithBegan()
	}
	t.setJob(job.WithProgress(progress))
	t.rankSteps(job.Job.ID)
}

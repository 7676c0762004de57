package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// priorityWeight sets the priority of a step above its urgency in the order
	// of waiting steps. It is larger than any time in milliseconds.
	priorityWeight = 1 << 46
	// latePenalty puts steps that can't make their objective behind those of
	// their priority that can.
	latePenalty = 1 << 45
	// defaultAttempts is used for a queue that does not limit failed runs.
	defaultAttempts = 3
)

func (e Accepted) apply(t *transition) {
	if t.jobs.Has(string(e.Job.ID)) {
		return
	}
	w := ActiveJob{Job: e.Job, ObjectiveEnd: objectiveEnd(e.Job, e.Job.Accepted)}
	if e.Progress != nil {
		w.Progress = *e.Progress
	} else {
		w.Progress = ledger.Begin(e.Job)
	}
	t.jobs = t.jobs.With(string(e.Job.ID), w)
	if e.Progress != nil {
		t.inheritRuns(w)
	} else {
		t.emit(Note{What: "accept", Job: e.Job.ID, Why: e.Job.Queue.Name})
	}
	w, _ = t.jobs.Get(string(e.Job.ID))
	if w.Progress.State.Final() {
		t.markChanged(e.Job.ID)
		return
	}
	t.beginDueRounds(e.Job.ID)
	t.rankSteps(e.Job.ID)
	t.placementDue = true
}

// objectiveEnd returns the end of a job's objective.
func objectiveEnd(j ledger.Job, from time.Time) time.Time {
	stretched := time.Duration(max(j.Queue.Stretch, 1) * float64(j.Longest()))
	return from.Add(stretched + j.Queue.Objective)
}

// inheritRuns takes up the runs that an earlier leader recorded. Each takes room at
// its worker until the worker says otherwise or its leases have lapsed.
func (t *transition) inheritRuns(work ActiveJob) {
	for round, r := range work.Progress.Rounds {
		for step, tasks := range r.Tasks {
			for index, task := range tasks {
				if task.Phase != ledger.Started {
					continue
				}
				w, ok := t.workers.Get(task.Worker)
				if !ok {
					w = Worker{Listing: Listing{ID: task.Worker}}
				}
				t.putPlacement(w, Placement{
					Task: ledger.TaskID{Job: work.Job.ID, Round: round, Step: step, Index: index}, Run: task.Run,
					Stage: Inherited, Size: work.Job.Steps[step].Room(), Checkpoint: task.Saved, SentAt: t.now,
					BestEffort: work.Job.Steps[step].Fills, LatencyTarget: work.Job.Steps[step].Target, SpeedPercent: fullSpeed,
					Preemptible: isPreemptible(work.Job, step),
				})
			}
		}
	}
}

// beginDueRounds puts the tasks of the rounds that are due in place and sets the time of
// the next one.
func (t *transition) beginDueRounds(id ledger.ID) {
	w, ok := t.jobs.Get(string(id))
	if !ok || w.Progress.State.Final() {
		return
	}
	t.dueRounds = t.dueRounds.Without(string(id))
	for round, r := range w.Progress.Rounds {
		if r.Done || r.Tasks != nil {
			continue
		}
		if at := w.Job.Due(round); at.After(t.now) {
			t.dueRounds = t.dueRounds.With(string(id), at.UnixMilli())
			break
		}
		w = w.WithProgress(w.Progress.WithBegun(w.Job, round))
	}
	t.jobs = t.jobs.With(string(id), w)
}

// rankSteps puts the steps of a job that have idle tasks and may start among the
// waiting ones, and takes out the others.
func (t *transition) rankSteps(id ledger.ID) {
	w, ok := t.jobs.Get(string(id))
	if !ok {
		return
	}
	for round, r := range w.Progress.Rounds {
		if r.Tasks == nil {
			continue
		}
		for step, tasks := range r.Tasks {
			key := stepKey(id, round, step)
			t.rankForPrefetch(w, round, step, key)
			if w.Progress.State.Final() || !w.Progress.Ready(w.Job, round, step) || !anyIdle(tasks) {
				t.unrankStep(key)
				continue
			}
			if !t.readySince.Has(key) {
				t.readySince = t.readySince.With(key, t.now)
			}
			t.waiting = t.waiting.With(key, t.urgency(w, round, step))
		}
	}
}

// unrankStep takes a step out of the waiting ones.
func (t *transition) unrankStep(key string) {
	t.waiting, t.readySince = t.waiting.Without(key), t.readySince.Without(key)
}

// rankForPrefetch puts a step that needs advice and waits for others that have begun
// among those to ask for ahead of time.
func (t *transition) rankForPrefetch(w ActiveJob, round, step int, key string) {
	after := w.Job.Steps[step].After
	if w.Job.Queue.Advice == nil || len(after) == 0 {
		return
	}
	soon := !w.Progress.State.Final() && !w.Progress.Ready(w.Job, round, step)
	for _, before := range after {
		soon = soon && !anyIdle(w.Progress.Step(round, before))
	}
	if !soon {
		t.prefetch = t.prefetch.Without(key)
		return
	}
	t.prefetch = t.prefetch.With(key, t.urgency(w, round, step))
}

func anyIdle(tasks []ledger.Task) bool {
	for _, task := range tasks {
		if task.Phase == ledger.Idle {
			return true
		}
	}
	return false
}

// urgency orders waiting steps: by priority, then those that can make their
// objective by the latest time at which they may start, then the others.
func (t *transition) urgency(w ActiveJob, round, step int) int64 {
	end := w.ObjectiveEnd
	if at := w.Job.Due(round); !at.IsZero() {
		end = objectiveEnd(w.Job, at)
	}
	latest := end.Add(-w.Job.Chain(step))
	score := int64(w.Job.Queue.Priority) * priorityWeight
	if !w.Job.Steps[step].Lasting && latest.Before(t.now) {
		score += latePenalty
	}
	return score + latest.UnixMilli()
}

func (e CancelAccepted) apply(t *transition) {
	w, ok := t.jobs.Get(string(e.Job))
	if !ok || w.Progress.State.Final() {
		return
	}
	t.emit(Note{What: "cancel", Job: e.Job})
	t.finishJob(w, ledger.Cancelled, "cancelled by the client")
}

// finishJob gives a job its final state and stops what still runs.
func (t *transition) finishJob(w ActiveJob, s ledger.State, why string) {
	w = w.WithProgress(w.Progress.WithState(s))
	t.setJob(w)
	t.rankSteps(w.Job.ID)
	t.dueRounds = t.dueRounds.Without(string(w.Job.ID))
	t.emit(Note{What: "finish", Job: w.Job.ID, Why: string(s) + ": " + why, Batch: t.nextBatch()})
	if w.Runs == 0 {
		return
	}
	for _, worker := range t.workers.All() {
		for _, p := range worker.Placements.All() {
			if p.Task.Job == w.Job.ID {
				worker = t.stopRun(worker, p, why)
			}
		}
	}
}

// handleEnd takes up the handleEnd of a run.
func (t *transition) handleEnd(w Worker, e End) {
	id, err := ledger.ParseTask(e.Task)
	if err != nil {
		t.emit(Note{What: "ignore", Task: e.Task, Worker: w.ID, Why: err.Error()})
		return
	}
	p, placed := w.Placements.Get(runKey(e.Task, e.Run))
	if placed {
		w = t.removePlacement(w, p)
	}
	work, ok := t.jobs.Get(string(id.Job))
	if !ok || !work.Progress.Holds(id) {
		return
	}
	if placed && e.How == EndDone && !work.Progress.State.Final() {
		t.recordRunTime(w.ID, p, work.Job.Steps[id.Step])
	}
	t.emit(Note{What: "end", Job: id.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Why: string(e.How), Batch: t.nextBatch()})
	t.trackFailures(w.ID, work, id, e)
	task := work.Progress.Task(id.Round, id.Step, id.Index)
	step := work.Job.Steps[id.Step]
	switch {
	case e.How == EndDone && !step.Lasting:
		t.stopSuperseded(id, task, e.Run)
		work, _ = t.jobs.Get(string(id.Job))
		t.completeTask(work, id, task)
	case task.Run != e.Run || task.Phase != ledger.Started:
		// An earlier run than the last one: it changes nothing.
	case e.How == EndFailed && !step.Lasting:
		t.failTask(work, id, task.WithSaved(e.Saved))
	default:
		task = task.WithPhase(ledger.Idle).WithSaved(e.Saved)
		t.setJob(work.WithProgress(work.Progress.WithTask(id, task)))
		t.rankSteps(id.Job)
	}
}

// stopSuperseded stops the last run of a task of which an earlier one, held to be lost,
// has ended well.
func (t *transition) stopSuperseded(id ledger.TaskID, task ledger.Task, run int) {
	if task.Phase != ledger.Started || task.Run == run {
		return
	}
	w, ok := t.workers.Get(task.Worker)
	if !ok {
		return
	}
	if p, ok := w.Placements.Get(runKey(id.String(), task.Run)); ok {
		t.stopRun(w, p, "an earlier run is done")
	}
}

// completeTask takes up a run that ended well. One member of a gang stands for all.
func (t *transition) completeTask(work ActiveJob, id ledger.TaskID, task ledger.Task) {
	p := work.Progress.WithTask(id, task.WithPhase(ledger.Done))
	if work.Job.Steps[id.Step].Gang {
		for index, other := range p.Step(id.Round, id.Step) {
			member := id
			member.Index = index
			p = p.WithTask(member, other.WithPhase(ledger.Done))
		}
	}
	work = work.WithProgress(p)
	t.setJob(work)
	if work.Progress.State.Final() {
		return
	}
	if t.roundDone(work, id.Round) {
		work = work.WithProgress(work.Progress.WithRoundDone(id.Round))
		t.setJob(work)
		for step := range work.Job.Steps {
			key := stepKey(id.Job, id.Round, step)
			t.permits, t.runTimes = t.permits.Without(key), t.runTimes.Without(key)
		}
	}
	for _, r := range work.Progress.Rounds {
		if !r.Done {
			t.rankSteps(id.Job)
			return
		}
	}
	t.finishJob(work, ledger.Complete, "all tasks are done")
}

func (t *transition) roundDone(w ActiveJob, round int) bool {
	for step := range w.Job.Steps {
		if !w.Progress.StepDone(round, step) {
			return false
		}
	}
	return true
}

// failTask takes up a run that failTask. A job ends as failTask once a task has
// failTask as often as its queue allows. The members of a gang count together.
func (t *transition) failTask(work ActiveJob, id ledger.TaskID, task ledger.Task) {
	task = task.WithFail()
	work = work.WithProgress(work.Progress.WithTask(id, task))
	t.setJob(work)
	attempts := work.Job.Queue.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	fails := task.Fails
	if work.Job.Steps[id.Step].Gang {
		fails = 0
		for _, member := range work.Progress.Step(id.Round, id.Step) {
			fails += member.Fails
		}
	}
	if fails >= attempts && !work.Progress.State.Final() {
		t.finishJob(work, ledger.Failed, "task "+id.String()+" has failed too often")
		return
	}
	t.rankSteps(id.Job)
}

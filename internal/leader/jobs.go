package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// priorityWeight ranks waiting steps by priority before urgency. It is larger
	// than any time in milliseconds.
	priorityWeight = 1 << 46
	// latePenalty ranks steps that can no longer meet their objective behind
	// those of the same priority that can.
	latePenalty    = 1 << 45
	microsPerMilli = 1000
	// leadWeight is how much later a step counts as due for each second by which its
	// workspace is ahead of its part of the cell.
	leadWeight = 10
	// defaultAttempts is the number of failed runs allowed by a queue that sets no
	// limit.
	defaultAttempts = 3
)

func (e Accepted) apply(t *transition) {
	if _, known := t.active.get(string(e.Job.ID)); known {
		return
	}
	if e.Progress != nil {
		if err := e.Progress.Validate(e.Job); err != nil {
			t.emit(Decision{What: "ignore", Job: e.Job.ID, Why: err.Error()})
			return
		}
	}
	job := ActiveJob{Job: e.Job, ObjectiveEnd: objectiveEnd(e.Job, e.Job.Accepted), Standing: t.charge(e.Job)}
	if e.Progress != nil {
		job.Progress = e.Progress.WithoutSurplus(e.Job)
	} else {
		job.Progress = ledger.NewProgress(e.Job)
	}
	t.active.set(string(e.Job.ID), job)
	t.accountJob(e.Job, 1)
	t.countWaiting(ActiveJob{}, job)
	if e.Progress != nil {
		t.inheritRuns(job)
		if job.Progress.State != ledger.Queued {
			t.noteBegun(job.Job, job.Standing)
		}
	} else {
		why := e.Job.Queue.Name
		if job.Standing.Beyond {
			why += ", beyond the share of workspace " + e.Job.Workspace
		}
		t.emit(Decision{What: "accept", Job: e.Job.ID, Why: why})
	}
	job, _ = t.active.get(string(e.Job.ID))
	if job.Progress.State.Final() {
		t.markChanged(e.Job.ID)
		return
	}
	t.beginDueRounds(e.Job.ID)
	t.rankSteps(e.Job.ID)
	t.placementDue = true
}

// objectiveEnd returns the deadline of a job's objective, counted from a time.
func objectiveEnd(j ledger.Job, from time.Time) time.Time {
	return from.Add(j.ObjectiveTime())
}

// inheritRuns adds placements for the runs that an earlier leader recorded. Each
// occupies capacity at its worker until a report shows that it has ended or its
// leases have expired.
func (t *transition) inheritRuns(job ActiveJob) {
	for round, r := range job.Progress.Rounds {
		for step, tasks := range r.Tasks {
			for index, task := range tasks {
				if task.Phase != ledger.Started {
					continue
				}
				w, ok := t.fleet.get(task.Worker)
				if !ok {
					w = Worker{Listing: Listing{ID: task.Worker}}
				}
				t.putPlacement(w, Placement{
					Task: ledger.TaskID{Job: job.Job.ID, Round: round, Step: step, Index: index}, Run: task.Run,
					Stage: Inherited, Size: job.Job.Steps[step].Reservation(), Checkpoint: task.Checkpoint, SentAt: t.now,
					BestEffort: job.Job.Steps[step].BestEffort, LatencyTarget: job.Job.Steps[step].LatencyTarget, Throttle: Throttle{Unknown: true},
					Preemptible: isPreemptible(job, step), Urgent: isUrgent(job, step), Workspace: job.Job.Workspace, Beyond: job.Standing.Beyond,
				})
			}
		}
	}
}

// beginDueRounds creates the tasks of the rounds that are due, as far as their progress
// fits into a record, and schedules the next round.
func (t *transition) beginDueRounds(id ledger.ID) {
	job, ok := t.active.get(string(id))
	if !ok || job.Progress.State.Final() {
		return
	}
	t.dueRounds = t.dueRounds.Without(string(id))
	room := job.Job.MaxRoundsInProgress()
	var due []int
	for round, r := range job.Progress.Rounds {
		if r.Done {
			continue
		}
		if r.Tasks != nil {
			room--
			continue
		}
		if at := job.Job.Due(round); at.After(t.now) || room <= 0 {
			t.dueRounds = t.dueRounds.With(string(id), at.UnixMilli())
			break
		}
		due = append(due, round)
		room--
	}
	if len(due) > 0 {
		job = job.WithProgress(job.Progress.WithRoundsBegun(job.Job, due...))
	}
	t.active.set(string(id), job)
}

// rankSteps adds the steps of a job that have idle tasks and may start to the
// waiting steps, and removes its other steps.
func (t *transition) rankSteps(id ledger.ID) {
	job, ok := t.active.get(string(id))
	if !ok {
		return
	}
	var paths []time.Duration // from each step on, computed once one is needed
	for round, r := range job.Progress.Rounds {
		if r.Tasks == nil {
			continue
		}
		for step, tasks := range r.Tasks {
			key := stepKey(id, round, step)
			t.rankForPrefetch(job, round, step, key)
			if job.Progress.State.Final() || !job.Progress.Ready(job.Job, round, step) || !anyIdle(tasks) {
				t.unrankStep(key)
				continue
			}
			if !t.readySince.Has(key) {
				t.readySince = t.readySince.With(key, t.now)
			}
			if paths == nil {
				paths = job.Job.CriticalPaths()
			}
			score := t.urgencyAhead(job, round, step, paths[step])
			if t.rankParked(key, score) {
				continue
			}
			t.waiting = t.waiting.With(key, score)
			if job.Job.Steps[step].LongRunning {
				t.services = t.services.With(key, score)
			}
		}
	}
}

// unrankStep removes a step from the waiting steps.
func (t *transition) unrankStep(key string) {
	t.waiting, t.services, t.readySince, t.retryAt = t.waiting.Without(key), t.services.Without(key), t.readySince.Without(key), t.retryAt.Without(key)
	t.fullTurns, t.searchTurns = t.fullTurns.Without(key), t.searchTurns.Without(key)
	t.forgetHeld(key)
	t.endNearWait(key)
}

// rankForPrefetch adds a step to those whose advice is requested ahead of time if
// it needs advice and all tasks of the steps before it have started.
func (t *transition) rankForPrefetch(job ActiveJob, round, step int, key string) {
	after := job.Job.Steps[step].After
	if job.Job.Queue.Advice == nil || len(after) == 0 {
		return
	}
	soon := !job.Progress.State.Final() && !job.Progress.Ready(job.Job, round, step)
	for _, before := range after {
		soon = soon && !anyIdle(job.Progress.Step(round, before))
	}
	if !soon {
		t.unrankPrefetch(key)
		return
	}
	t.prefetch = t.prefetch.With(key, t.urgency(job, round, step))
}

func (t *transition) unrankPrefetch(key string) {
	t.prefetch, t.prefetchDue = t.prefetch.Without(key), t.prefetchDue.Without(key)
}

func anyIdle(tasks []ledger.Task) bool {
	for _, task := range tasks {
		if task.Phase == ledger.Idle {
			return true
		}
	}
	return false
}

// urgency returns the score of a waiting step, lowest first: by priority, then
// steps that can still meet their objective, then those that can't, each by the latest
// time at which it may start; behind all of them those beyond the share of their workspace,
// by priority and turn.
func (t *transition) urgency(job ActiveJob, round, step int) int64 {
	return t.urgencyAhead(job, round, step, job.Job.CriticalPathFrom(step))
}

// urgencyAhead is urgency for a step with a critical path from it on.
func (t *transition) urgencyAhead(job ActiveJob, round, step int, path time.Duration) int64 {
	end := job.ObjectiveEnd
	if at := job.Job.Due(round); !at.IsZero() {
		end = objectiveEnd(job.Job, at)
	}
	latest := end.Add(-path)
	score := int64(job.Job.Queue.Priority) * priorityWeight
	if job.Job.Steps[step].LongRunning {
		return score + latest.UnixMilli()
	}
	if job.Standing.Beyond {
		return (maxPriority+1)*priorityWeight + score + job.Standing.Turn/microsPerMilli
	}
	if latest.Before(t.now.Add(t.lateMargin())) {
		score += latePenalty
	}
	return score + latest.UnixMilli() + leadWeight*job.Standing.Tag.Lead.Milliseconds()
}

func (e CancelAccepted) apply(t *transition) {
	job, ok := t.active.get(string(e.Job))
	if !ok || job.Progress.State.Final() {
		return
	}
	t.emit(Decision{What: "cancel", Job: e.Job})
	t.finishJob(job, ledger.Cancelled, "cancelled by the client")
}

// finishJob gives a job its final state and stops its remaining runs.
func (t *transition) finishJob(job ActiveJob, s ledger.State, why string) {
	job = job.WithProgress(job.Progress.WithState(s))
	t.setJob(job)
	t.rankSteps(job.Job.ID)
	t.dueRounds = t.dueRounds.Without(string(job.Job.ID))
	t.emit(Decision{What: "finish", Job: job.Job.ID, Why: string(s) + ": " + why, Batch: t.nextBatch()})
	if job.Runs == 0 {
		return
	}
	for _, worker := range t.fleet.all() {
		for _, p := range worker.Placements.All() {
			if p.Task.Job == job.Job.ID {
				worker = t.stopRun(worker, p, why)
			}
		}
	}
}

// handleEnd processes the end of a run at worker w.
func (t *transition) handleEnd(w Worker, e RunEnd) {
	id, err := ledger.ParseTaskID(e.Task)
	if err != nil {
		t.emit(Decision{What: "ignore", Task: e.Task, Worker: w.ID, Why: err.Error()})
		return
	}
	p, placed := w.Placements.Get(runKey(e.Task, e.Run))
	if placed {
		w = t.removePlacement(w, p)
	}
	job, ok := t.active.get(string(id.Job))
	if !ok || !job.Progress.HasTask(id) {
		if e.Kind == EndDone {
			t.endFailures(w.ID) // as of the member of a gang that completed the round
		}
		return
	}
	if placed && e.Kind == EndDone && !job.Progress.State.Final() {
		t.recordRunTime(w.ID, p, job.Job.Steps[id.Step], job.Job.Queue.Name)
	}
	var stages RunStages
	if e.Kind == EndDone {
		stages = p.stages(t.now)
	}
	t.emit(Decision{What: "end", Job: id.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Why: string(e.Kind), Batch: t.nextBatch(), Stages: stages})
	t.trackFailures(w.ID, job, id, e)
	task := job.Progress.Task(id.Round, id.Step, id.Index)
	step := job.Job.Steps[id.Step]
	switch {
	case e.Kind == EndDone && !step.LongRunning:
		t.stopSuperseded(id, task, e.Run)
		job, _ = t.active.get(string(id.Job))
		t.completeTask(job, id, task)
	case task.Run != e.Run || task.Phase != ledger.Started:
		// The end of a run other than the task's current one changes nothing.
	case e.Kind == EndFailed && !step.LongRunning:
		t.failTask(job, id, e.Checkpoint)
	default:
		task = task.WithPhase(ledger.Idle).WithCheckpoint(e.Checkpoint)
		t.setJob(job.WithProgress(job.Progress.WithTask(id, task).WithBegan()))
		t.rankSteps(id.Job)
	}
}

// stopSuperseded stops the current run of a task after an earlier run, believed
// lost, has completed.
func (t *transition) stopSuperseded(id ledger.TaskID, task ledger.Task, run int) {
	if task.Phase != ledger.Started || task.Run == run {
		return
	}
	w, ok := t.fleet.get(task.Worker)
	if !ok {
		return
	}
	if p, ok := w.Placements.Get(runKey(id.String(), task.Run)); ok {
		t.stopRun(w, p, "an earlier run of the task is done")
	}
}

// completeTask marks a task as done, and with it all members of its gang.
func (t *transition) completeTask(job ActiveJob, id ledger.TaskID, task ledger.Task) {
	p := job.Progress.WithTask(id, task.WithPhase(ledger.Done))
	if job.Job.Steps[id.Step].Gang {
		for index, other := range p.Step(id.Round, id.Step) {
			member := id
			member.Index = index
			p = p.WithTask(member, other.WithPhase(ledger.Done))
		}
	}
	job = job.WithProgress(p)
	t.setJob(job)
	if job.Progress.State.Final() {
		return
	}
	if t.roundDone(job, id.Round) {
		job = job.WithProgress(job.Progress.WithRoundDone(id.Round))
		t.setJob(job)
		for step := range job.Job.Steps {
			key := stepKey(id.Job, id.Round, step)
			t.permits, t.runTimes = t.permits.Without(key), t.runTimes.Without(key)
		}
	}
	for _, r := range job.Progress.Rounds {
		if !r.Done {
			t.rankSteps(id.Job)
			return
		}
	}
	t.finishJob(job, ledger.Complete, "all tasks are done")
}

func (t *transition) roundDone(job ActiveJob, round int) bool {
	for step := range job.Job.Steps {
		if !job.Progress.StepDone(round, step) {
			return false
		}
	}
	return true
}

// failTask counts the failed run of a task. The job fails once a task or a gang has failed as
// often as its queue allows.
func (t *transition) failTask(job ActiveJob, id ledger.TaskID, checkpoint string) {
	job = job.WithProgress(job.Progress.WithFailure(job.Job, id, checkpoint).WithBegan())
	t.setJob(job)
	attempts := job.Job.Queue.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	task, failures := job.Progress.Task(id.Round, id.Step, id.Index), job.Progress.Failures(job.Job, id)
	t.emit(Decision{What: "fail", Job: id.Job, Task: id.String(), Run: task.Run, Worker: task.Worker, Failures: failures, Attempts: attempts})
	if failures >= attempts && !job.Progress.State.Final() {
		t.finishJob(job, ledger.Failed, "task "+id.String()+" has failed too often")
		return
	}
	t.rankSteps(id.Job)
}

package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// priorityWeight sets the priority of a step above its urgency in the order
	// of waiting steps. It is larger than any time in milliseconds.
	priorityWeight = 1 << 46
	// lateWeight puts steps that can't make their objective behind those of
	// their priority that can.
	lateWeight = 1 << 45
	// defaultAttempts is used for a queue that does not limit failed runs.
	defaultAttempts = 3
)

func (e Accepted) apply(t *turn) {
	if t.works.Has(string(e.Job.ID)) {
		return
	}
	w := Work{Job: e.Job, Due: due(e.Job, e.Job.Accepted)}
	if e.Progress != nil {
		w.Progress = *e.Progress
	} else {
		w.Progress = ledger.Begin(e.Job)
	}
	t.works = t.works.With(string(e.Job.ID), w)
	if e.Progress != nil {
		t.inherit(w)
	} else {
		t.emit(Note{What: "accept", Job: e.Job.ID, Why: e.Job.Queue.Name})
	}
	w, _ = t.works.Get(string(e.Job.ID))
	if w.Progress.State.Final() {
		t.touch(e.Job.ID)
		return
	}
	t.begin(e.Job.ID)
	t.rank(e.Job.ID)
	t.place = true
}

// due returns the end of a job's objective.
func due(j ledger.Job, from time.Time) time.Time {
	stretched := time.Duration(max(j.Queue.Stretch, 1) * float64(j.Longest()))
	return from.Add(stretched + j.Queue.Objective)
}

// inherit takes up the runs that an earlier leader recorded. Each takes room at
// its worker until the worker says otherwise or its leases have lapsed.
func (t *turn) inherit(work Work) {
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
				t.put(w, Placement{
					Task: ledger.TaskID{Job: work.Job.ID, Round: round, Step: step, Index: index}, Run: task.Run,
					Stage: Inherited, Size: work.Job.Steps[step].Room(), Saved: task.Saved, Sent: t.now,
					Fills: work.Job.Steps[step].Fills, Target: work.Job.Steps[step].Target, Pace: fullPace,
					Yields: yields(work.Job, step),
				})
			}
		}
	}
}

// begin puts the tasks of the rounds that are due in place and sets the time of
// the next one.
func (t *turn) begin(id ledger.ID) {
	w, ok := t.works.Get(string(id))
	if !ok || w.Progress.State.Final() {
		return
	}
	t.agenda = t.agenda.Without(string(id))
	for round, r := range w.Progress.Rounds {
		if r.Done || r.Tasks != nil {
			continue
		}
		if at := w.Job.Due(round); at.After(t.now) {
			t.agenda = t.agenda.With(string(id), at.UnixMilli())
			break
		}
		w = w.WithProgress(w.Progress.WithBegun(w.Job, round))
	}
	t.works = t.works.With(string(id), w)
}

// rank puts the steps of a job that have idle tasks and may start among the
// waiting ones, and takes out the others.
func (t *turn) rank(id ledger.ID) {
	w, ok := t.works.Get(string(id))
	if !ok {
		return
	}
	for round, r := range w.Progress.Rounds {
		if r.Tasks == nil {
			continue
		}
		for step, tasks := range r.Tasks {
			key := stepKey(id, round, step)
			t.rankAhead(w, round, step, key)
			if w.Progress.State.Final() || !w.Progress.Ready(w.Job, round, step) || !anyIdle(tasks) {
				t.unrank(key)
				continue
			}
			if !t.ready.Has(key) {
				t.ready = t.ready.With(key, t.now)
			}
			t.waiting = t.waiting.With(key, t.urgency(w, round, step))
		}
	}
}

// unrank takes a step out of the waiting ones.
func (t *turn) unrank(key string) {
	t.waiting, t.ready = t.waiting.Without(key), t.ready.Without(key)
}

// rankAhead puts a step that needs advice and waits for others that have begun
// among those to ask for ahead of time.
func (t *turn) rankAhead(w Work, round, step int, key string) {
	after := w.Job.Steps[step].After
	if w.Job.Queue.Advice == nil || len(after) == 0 {
		return
	}
	soon := !w.Progress.State.Final() && !w.Progress.Ready(w.Job, round, step)
	for _, before := range after {
		soon = soon && !anyIdle(w.Progress.Step(round, before))
	}
	if !soon {
		t.ahead = t.ahead.Without(key)
		return
	}
	t.ahead = t.ahead.With(key, t.urgency(w, round, step))
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
func (t *turn) urgency(w Work, round, step int) int64 {
	end := w.Due
	if at := w.Job.Due(round); !at.IsZero() {
		end = due(w.Job, at)
	}
	latest := end.Add(-w.Job.Chain(step))
	score := int64(w.Job.Queue.Priority) * priorityWeight
	if !w.Job.Steps[step].Lasting && latest.Before(t.now) {
		score += lateWeight
	}
	return score + latest.UnixMilli()
}

func (e CancelAccepted) apply(t *turn) {
	w, ok := t.works.Get(string(e.Job))
	if !ok || w.Progress.State.Final() {
		return
	}
	t.emit(Note{What: "cancel", Job: e.Job})
	t.finish(w, ledger.Cancelled, "cancelled by the client")
}

// finish gives a job its final state and stops what still runs.
func (t *turn) finish(w Work, s ledger.State, why string) {
	w = w.WithProgress(w.Progress.WithState(s))
	t.setWork(w)
	t.rank(w.Job.ID)
	t.agenda = t.agenda.Without(string(w.Job.ID))
	t.emit(Note{What: "finish", Job: w.Job.ID, Why: string(s) + ": " + why, Batch: t.next()})
	if w.Runs == 0 {
		return
	}
	for _, worker := range t.workers.All() {
		for _, p := range worker.Placed.All() {
			if p.Task.Job == w.Job.ID {
				worker = t.stop(worker, p, why)
			}
		}
	}
}

// end takes up the end of a run.
func (t *turn) end(w Worker, e End) {
	id, err := ledger.ParseTask(e.Task)
	if err != nil {
		t.emit(Note{What: "ignore", Task: e.Task, Worker: w.ID, Why: err.Error()})
		return
	}
	p, placed := w.Placed.Get(runKey(e.Task, e.Run))
	if placed {
		w = t.drop(w, p)
	}
	work, ok := t.works.Get(string(id.Job))
	if !ok || !work.Progress.Holds(id) {
		return
	}
	if placed && e.How == EndDone && !work.Progress.State.Final() {
		t.timed(w.ID, p, work.Job.Steps[id.Step])
	}
	t.emit(Note{What: "end", Job: id.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Why: string(e.How), Batch: t.next()})
	t.judge(w.ID, work, id, e)
	task := work.Progress.Task(id.Round, id.Step, id.Index)
	step := work.Job.Steps[id.Step]
	switch {
	case e.How == EndDone && !step.Lasting:
		t.outrun(id, task, e.Run)
		work, _ = t.works.Get(string(id.Job))
		t.done(work, id, task)
	case task.Run != e.Run || task.Phase != ledger.Started:
		// An earlier run than the last one: it changes nothing.
	case e.How == EndFailed && !step.Lasting:
		t.failed(work, id, task.WithSaved(e.Saved))
	default:
		task = task.WithPhase(ledger.Idle).WithSaved(e.Saved)
		t.setWork(work.WithProgress(work.Progress.WithTask(id, task)))
		t.rank(id.Job)
	}
}

// outrun stops the last run of a task of which an earlier one, held to be lost,
// has ended well.
func (t *turn) outrun(id ledger.TaskID, task ledger.Task, run int) {
	if task.Phase != ledger.Started || task.Run == run {
		return
	}
	w, ok := t.workers.Get(task.Worker)
	if !ok {
		return
	}
	if p, ok := w.Placed.Get(runKey(id.String(), task.Run)); ok {
		t.stop(w, p, "an earlier run is done")
	}
}

// done takes up a run that ended well. One member of a gang stands for all.
func (t *turn) done(work Work, id ledger.TaskID, task ledger.Task) {
	p := work.Progress.WithTask(id, task.WithPhase(ledger.Done))
	if work.Job.Steps[id.Step].Gang {
		for index, other := range p.Step(id.Round, id.Step) {
			member := id
			member.Index = index
			p = p.WithTask(member, other.WithPhase(ledger.Done))
		}
	}
	work = work.WithProgress(p)
	t.setWork(work)
	if work.Progress.State.Final() {
		return
	}
	if t.roundDone(work, id.Round) {
		work = work.WithProgress(work.Progress.WithRoundDone(id.Round))
		t.setWork(work)
		for step := range work.Job.Steps {
			key := stepKey(id.Job, id.Round, step)
			t.permits, t.meters = t.permits.Without(key), t.meters.Without(key)
		}
	}
	for _, r := range work.Progress.Rounds {
		if !r.Done {
			t.rank(id.Job)
			return
		}
	}
	t.finish(work, ledger.Complete, "all tasks are done")
}

func (t *turn) roundDone(w Work, round int) bool {
	for step := range w.Job.Steps {
		if !w.Progress.StepDone(round, step) {
			return false
		}
	}
	return true
}

// failed takes up a run that failed. A job ends as failed once a task has
// failed as often as its queue allows. The members of a gang count together.
func (t *turn) failed(work Work, id ledger.TaskID, task ledger.Task) {
	task = task.WithFail()
	work = work.WithProgress(work.Progress.WithTask(id, task))
	t.setWork(work)
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
		t.finish(work, ledger.Failed, "task "+id.String()+" has failed too often")
		return
	}
	t.rank(id.Job)
}

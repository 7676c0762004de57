package ledger

import (
	"fmt"
	"slices"
)

// State is the state of a job.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether no other state can follow.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// Phase is the phase of a task.
type Phase int

// The phases of a task.
const (
	Idle    Phase = iota // not running; it may have run before
	Started              // sent to a worker, or about to be
	Done
)

// Task is the last run of one task. The zero value has not run.
type Task struct {
	Phase         Phase  `json:"p,omitempty"`
	Run           int    `json:"r,omitempty"` // number of the last run, from 1
	Failures      int    `json:"f,omitempty"` // number of failed runs; each failed run of a gang is counted at one of its tasks
	LastRunFailed bool   `json:"x,omitempty"` // set for tasks of gangs only
	Worker        string `json:"w,omitempty"` // worker of the last run
	Checkpoint    string `json:"s,omitempty"` // last known checkpoint
}

// WithRun returns the task with its next run started at a worker.
func (t Task) WithRun(run int, worker string) Task {
	t.Phase, t.Run, t.Worker, t.LastRunFailed = Started, run, worker, false
	return t
}

// WithPhase returns the task in another phase.
func (t Task) WithPhase(p Phase) Task {
	t.Phase = p
	return t
}

// HasFailed reports whether a run of the task is known to have failed.
func (t Task) HasFailed() bool { return t.Failures > 0 || t.LastRunFailed }

// WithCheckpoint returns the task with a checkpoint. An empty checkpoint is ignored.
func (t Task) WithCheckpoint(saved string) Task {
	if saved != "" {
		t.Checkpoint = saved
	}
	return t
}

// Round is the state of one occurrence of a job. The zero value has not begun.
type Round struct {
	Done  bool     `json:"done,omitempty"`
	Tasks [][]Task `json:"tasks,omitempty"` // by step and index, nil unless the round is in progress
}

// Progress is the progress of a job.
type Progress struct {
	State  State   `json:"state"`
	Began  bool    `json:"began,omitempty"` // a run is known to have begun that is over
	Rounds []Round `json:"rounds,omitempty"`
}

// NewProgress returns the progress of a job that has not begun.
func NewProgress(j Job) Progress {
	return Progress{State: Queued, Rounds: make([]Round, j.Rounds())}
}

// Validate returns why this can't be the progress of a job, or nil.
func (p Progress) Validate(j Job) error {
	if len(p.Rounds) > j.Rounds() {
		return fmt.Errorf("progress of %d rounds of a job that has %d", len(p.Rounds), j.Rounds())
	}
	for round, r := range p.Rounds {
		if r.Tasks == nil {
			continue
		}
		if len(r.Tasks) != len(j.Steps) {
			return fmt.Errorf("round %d has %d steps, the job has %d", round, len(r.Tasks), len(j.Steps))
		}
		for step, tasks := range r.Tasks {
			if len(tasks) != j.Steps[step].Count {
				return fmt.Errorf("round %d has %d tasks of step %d, the job has %d", round, len(tasks), step, j.Steps[step].Count)
			}
		}
	}
	return nil
}

// WithState returns the progress in another state.
func (p Progress) WithState(s State) Progress {
	p.State = s
	return p
}

// WithoutTasks returns the progress with nothing but its state. This is what is
// kept of a job that has ended once none of its runs is left.
func (p Progress) WithoutTasks() Progress {
	p.Rounds = nil
	return p
}

// Terminated reports whether the job has ended and none of its runs is left.
func (p Progress) Terminated() bool { return p.State.Final() && p.Rounds == nil }

// Task returns a task, or the zero value if its round is not in progress.
func (p Progress) Task(round, step, index int) Task {
	if round >= len(p.Rounds) || p.Rounds[round].Tasks == nil {
		return Task{}
	}
	return p.Rounds[round].Tasks[step][index]
}

// Step returns the tasks of a step, or nil if its round is not in progress. The
// caller must not modify them.
func (p Progress) Step(round, step int) []Task {
	if round >= len(p.Rounds) || p.Rounds[round].Tasks == nil {
		return nil
	}
	return p.Rounds[round].Tasks[step]
}

// HasTask reports whether the task exists and its round is in progress.
func (p Progress) HasTask(t TaskID) bool {
	if t.Round >= len(p.Rounds) || p.Rounds[t.Round].Tasks == nil {
		return false
	}
	tasks := p.Rounds[t.Round].Tasks
	return t.Step < len(tasks) && t.Index < len(tasks[t.Step])
}

// WithRoundsBegun returns the progress with rounds begun and their tasks idle.
func (p Progress) WithRoundsBegun(j Job, rounds ...int) Progress {
	p.Rounds = slices.Clone(p.Rounds)
	for _, round := range rounds {
		tasks := make([][]Task, len(j.Steps))
		for i, s := range j.Steps {
			tasks[i] = make([]Task, s.Count)
		}
		p.Rounds[round].Tasks = tasks
	}
	return p
}

// WithTask returns the progress with a task replaced. The round of the task must be
// in progress.
func (p Progress) WithTask(id TaskID, t Task) Progress {
	p.Rounds = slices.Clone(p.Rounds)
	r := &p.Rounds[id.Round]
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[id.Step] = slices.Clone(r.Tasks[id.Step])
	r.Tasks[id.Step][id.Index] = t
	return p
}

// WithFailure returns the progress after the current run of a task has failed, with the task's
// checkpoint. A run of a gang fails once, however many of its tasks do.
func (p Progress) WithFailure(j Job, id TaskID, checkpoint string) Progress {
	t := p.Task(id.Round, id.Step, id.Index).WithCheckpoint(checkpoint)
	t.Phase = Idle
	if !j.Steps[id.Step].Gang {
		t.Failures++
		return p.WithTask(id, t)
	}
	// A failure that an earlier version has counted for this run is not marked.
	if !p.gangHasFailed(id, t.Run) && p.Failures(j, id) < t.Run {
		t.Failures++
	}
	t.LastRunFailed = true
	return p.WithTask(id, t)
}

// gangHasFailed reports whether a run of a task's gang is marked as failed.
func (p Progress) gangHasFailed(id TaskID, run int) bool {
	for _, t := range p.Step(id.Round, id.Step) {
		if t.LastRunFailed && t.Run == run {
			return true
		}
	}
	return false
}

// Failures returns the number of failed runs of a task, or of its gang.
func (p Progress) Failures(j Job, id TaskID) int {
	if !j.Steps[id.Step].Gang {
		return p.Task(id.Round, id.Step, id.Index).Failures
	}
	failures := 0
	for _, member := range p.Step(id.Round, id.Step) {
		failures += member.Failures
	}
	return failures
}

// WithoutSurplus returns the progress with no more failures of a gang than it has had runs. Earlier
// versions counted a run once for each task that failed in it.
func (p Progress) WithoutSurplus(j Job) Progress {
	for round, r := range p.Rounds {
		for step, tasks := range r.Tasks {
			if !j.Steps[step].Gang {
				continue
			}
			id := TaskID{Job: j.ID, Round: round, Step: step}
			runs := 0
			for _, t := range tasks {
				runs = max(runs, t.Run)
			}
			surplus := p.Failures(j, id) - runs
			for index, t := range tasks {
				if n := min(surplus, t.Failures); n > 0 {
					id.Index = index
					t.Failures -= n
					surplus -= n
					p = p.WithTask(id, t)
				}
			}
		}
	}
	return p
}

// WithRoundDone returns the progress with a round done and its tasks dropped.
func (p Progress) WithRoundDone(round int) Progress {
	p.Rounds = slices.Clone(p.Rounds)
	p.Rounds[round] = Round{Done: true}
	return p
}

// StepDone reports whether all tasks of a step are done.
func (p Progress) StepDone(round, step int) bool {
	if round < len(p.Rounds) && p.Rounds[round].Done {
		return true
	}
	tasks := p.Step(round, step)
	if tasks == nil {
		return false
	}
	for _, t := range tasks {
		if t.Phase != Done {
			return false
		}
	}
	return true
}

// Ready reports whether the steps that a step depends on are done.
func (p Progress) Ready(j Job, round, step int) bool {
	for _, before := range j.Steps[step].After {
		if !p.StepDone(round, before) {
			return false
		}
	}
	return true
}

// WithBegan returns the progress of a job of which a run has begun.
func (p Progress) WithBegan() Progress {
	p.Began = true
	return p
}

// Begun reports whether any task was ever started, or is about to be. A run number alone
// does not tell: the worker may have refused the run.
func (p Progress) Begun() bool {
	if p.Began {
		return true
	}
	for _, r := range p.Rounds {
		if r.Done {
			return true
		}
		for _, tasks := range r.Tasks {
			for _, t := range tasks {
				if t.Phase != Idle {
					return true
				}
			}
		}
	}
	return false
}

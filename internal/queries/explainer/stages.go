package explainer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The stages of a job, in order. Those from Task on are of each task or step.
const (
	Call   = "wait for an entry to ask"      // from the acceptance to the first call for advice
	Advice = "advice"                        // from that call to its answer
	Room   = "wait for room"                 // from the answer, or else the acceptance, to the first task placed
	Task   = "record, order, run and report" // of a task that is done, from its placement to its end
	Record = "record"                        // of these, until its start was ordered
	Order  = "order"                         // until the worker's answer
	Run    = "run and report"                // until the leader handled the end
	Spread = "first to last task of a step"  // between the placements of a step's tasks, runs anew included
	Gap    = "between two steps"             // from the last end of a step to the first task of the next
	Whole  = "whole"                         // from the acceptance to the end of a job that is complete
)

// Stage is the time that a queue's jobs spent in one stage.
type Stage struct {
	Queue       string        `json:"queue"`
	Name        string        `json:"stage"`
	Count       int           `json:"count"` // jobs, tasks or steps that went through it
	Median, P95 time.Duration // nanoseconds
}

// stageOrder are the stages in the order of a job's life.
func stageOrder() []string {
	return []string{Call, Advice, Room, Task, Record, Order, Run, Spread, Gap, Whole}
}

// jobTimes are the times of one job, zero where no line has one.
type jobTimes struct {
	queue                                   string
	accepted, asked, advised, placed, ended time.Time
	placements                              map[string]time.Time // by task and run
	steps                                   map[string]*stepTimes
}

// stepTimes are the times of one step of a job.
type stepTimes struct{ first, last, done time.Time }

// Stages returns how long the jobs of each queue spent in each stage, by the decisions
// in the logs that were read. Jobs whose acceptance is not in them are left out.
func (e *Explainer) Stages() []Stage {
	lines := slices.Clone(e.lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	jobs := map[string]*jobTimes{}
	samples := map[Stage][]time.Duration{}
	add := func(queue, stage string, from, to time.Time) {
		if !from.IsZero() && !to.IsZero() {
			key := Stage{Queue: queue, Name: stage}
			samples[key] = append(samples[key], to.Sub(from))
		}
	}
	for _, l := range lines {
		id := stringValue(l.Fields["job"])
		if l.Text == "decision accept" && jobs[id] == nil {
			jobs[id] = &jobTimes{queue: stringValue(l.Fields["why"]), accepted: l.Time, placements: map[string]time.Time{}, steps: map[string]*stepTimes{}}
		}
		if j := jobs[id]; j != nil {
			j.follow(l, add)
		}
	}
	for _, j := range jobs {
		j.sum(add)
	}
	return summarize(samples)
}

// adder adds a sample of a stage, unless one of its times is not known.
type adder func(queue, stage string, from, to time.Time)

// follow takes the time of a line about the job.
func (j *jobTimes) follow(l Line, add adder) {
	task := stringValue(l.Fields["task"])
	switch l.Text {
	case "decision ask":
		setFirst(&j.asked, l.Time)
	case "decision advice":
		setFirst(&j.advised, l.Time)
	case "decision place":
		setFirst(&j.placed, l.Time)
		j.placements[runOf(l)] = l.Time
		s := j.step(task)
		setFirst(&s.first, l.Time)
		s.last = l.Time
	case "decision end":
		if stringValue(l.Fields["why"]) == "done" {
			add(j.queue, Task, j.placements[runOf(l)], l.Time)
			for stage, field := range map[string]string{Record: "recordms", Order: "orderms", Run: "runms"} {
				if ms, ok := l.Fields[field].(float64); ok {
					add(j.queue, stage, l.Time.Add(-time.Duration(ms)*time.Millisecond), l.Time)
				}
			}
			j.step(task).done = l.Time
		}
	case "decision finish":
		if strings.HasPrefix(stringValue(l.Fields["why"]), "complete") {
			setFirst(&j.ended, l.Time)
		}
	}
}

// sum adds the stages of the job and of its steps.
func (j *jobTimes) sum(add adder) {
	add(j.queue, Call, j.accepted, j.asked)
	add(j.queue, Advice, j.asked, j.advised)
	if j.advised.IsZero() {
		j.advised = j.accepted
	}
	add(j.queue, Room, j.advised, j.placed)
	add(j.queue, Whole, j.accepted, j.ended)
	var steps []*stepTimes
	for _, s := range j.steps {
		add(j.queue, Spread, s.first, s.last)
		if !s.first.IsZero() {
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *stepTimes) int { return a.first.Compare(b.first) })
	for i := 1; i < len(steps); i++ {
		if !steps[i].first.Before(steps[i-1].done) {
			add(j.queue, Gap, steps[i-1].done, steps[i].first)
		}
	}
}

// step returns the times of the step of a task, job.round.step.index.
func (j *jobTimes) step(task string) *stepTimes {
	key := task
	if end := strings.LastIndexByte(task, '.'); end >= 0 {
		key = task[:end]
	}
	if j.steps[key] == nil {
		j.steps[key] = &stepTimes{}
	}
	return j.steps[key]
}

// runOf returns the run of a line about a task.
func runOf(l Line) string {
	number, _ := l.Fields["run"].(float64)
	return stringValue(l.Fields["task"]) + "#" + time.Duration(number).String()
}

// setFirst sets a time that is not known yet.
func setFirst(t *time.Time, at time.Time) {
	if t.IsZero() {
		*t = at
	}
}

// summarize returns the samples' stages by queue, the queues by name.
func summarize(samples map[Stage][]time.Duration) []Stage {
	stages := make([]Stage, 0, len(samples))
	for s, times := range samples {
		slices.Sort(times)
		s.Count, s.Median, s.P95 = len(times), times[(len(times)-1)/2], times[(len(times)-1)*95/100]
		stages = append(stages, s)
	}
	order := stageOrder()
	slices.SortFunc(stages, func(a, b Stage) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(slices.Index(order, a.Name), slices.Index(order, b.Name)))
	})
	return stages
}

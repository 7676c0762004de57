// Package ledger defines the durable model of jobs: accepted jobs and their
// progress, as the log stores them under a job's identifier. It makes no decisions
// and does not read the clock.
//
// The types, from the outside in:
//
//	Job       an accepted job: a queue, a specification and steps
//	Step      tasks of one size that may run in parallel
//	Progress  the progress of a job: a Round for each occurrence
//	Round     the tasks of one occurrence, by step
//	Task      the last run of one task
//
// Values are immutable. A With method returns a changed copy that shares the
// unchanged parts.
package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ID identifies a job. The client chooses it.
type ID string

// TaskID identifies one task of a job.
type TaskID struct {
	Job   ID
	Round int // occurrence, from 0
	Step  int
	Index int
}

// String returns the four parts joined by dots: job.round.step.index.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Round, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task %q is not of the form job.round.step.index", s)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: part %d is not a number", s, i+2)
		}
		numbers[i] = n
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Resources is an amount of resources: what a task needs, or what a worker has.
type Resources struct {
	CPU    int64 `json:"cpu,omitempty"`    // thousandths of a core
	Memory int64 `json:"memory,omitempty"` // megabytes
	GPU    int64 `json:"gpu,omitempty"`    // accelerators
}

// Plus returns the sum.
func (s Resources) Plus(o Resources) Resources {
	return Resources{s.CPU + o.CPU, s.Memory + o.Memory, s.GPU + o.GPU}
}

// Minus returns the difference.
func (s Resources) Minus(o Resources) Resources {
	return Resources{s.CPU - o.CPU, s.Memory - o.Memory, s.GPU - o.GPU}
}

// Times returns the size n times over.
func (s Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{s.CPU * k, s.Memory * k, s.GPU * k}
}

// CanFit reports whether o fits into s. A resource that o does not need may be
// negative in s.
func (s Resources) CanFit(o Resources) bool {
	return (o.CPU == 0 || o.CPU <= s.CPU) && (o.Memory == 0 || o.Memory <= s.Memory) && (o.GPU == 0 || o.GPU <= s.GPU)
}

// Count returns how many tasks of size o fit into s, at most limit.
func (s Resources) Count(o Resources, limit int) int {
	n := int64(max(limit, 0))
	for _, r := range [...]struct{ free, size int64 }{{s.CPU, o.CPU}, {s.Memory, o.Memory}, {s.GPU, o.GPU}} {
		if r.size > 0 {
			n = min(n, max(r.free, 0)/r.size)
		}
	}
	return int(n)
}

// Advice describes the service that names the workers permitted for a step, and the
// time that a call to it takes.
type Advice struct {
	PerCall   time.Duration `json:"decide"` // for each call
	PerWorker time.Duration `json:"each"`   // for each worker named in the call
	TTL       time.Duration `json:"valid"`  // how long a ticket is valid
}

// Queue is the policy that a job was accepted under. The job keeps it when the
// configuration changes.
type Queue struct {
	Name      string        `json:"name"`
	Service   string        `json:"service"` // service whose workers run the tasks
	Priority  int           `json:"priority,omitempty"`
	Attempts  int           `json:"attempts,omitempty"` // runs that may fail
	Stretch   float64       `json:"stretch,omitempty"`  // objective as a multiple of the longest chain
	Objective time.Duration `json:"objective,omitempty"`
	Advice    *Advice       `json:"advice,omitempty"` // nil if every worker may run the steps
}

// Step is a group of identical tasks.
type Step struct {
	Count          int           `json:"count"`
	Request        Resources     `json:"size"`
	Estimate       time.Duration `json:"estimate,omitempty"`    // rough run time of a task
	After          []int         `json:"after,omitempty"`       // indexes of the steps that must be done first
	Gang           bool          `json:"gang,omitempty"`        // the tasks must run at the same time
	SameRack       bool          `json:"together,omitempty"`    // the tasks are slow on more than one rack
	Checkpoint     bool          `json:"checkpoint,omitempty"`  // the tasks save checkpoints
	Speculative    bool          `json:"speculative,omitempty"` // copies of a task may run in parallel
	LongRunning    bool          `json:"lasting,omitempty"`     // the tasks run until the job is cancelled
	BestEffort     bool          `json:"fills,omitempty"`       // best effort: uses processor time that others leave idle
	RequiredLabel  string        `json:"label,omitempty"`       // label that a worker must have
	Rack           string        `json:"rack,omitempty"`        // rack that holds the data
	MaxPerWorker   int           `json:"most,omitempty"`        // most tasks on one worker, 0 for any number
	MaxUnavailable int           `json:"absent,omitempty"`      // most long-running tasks that the scheduler itself may keep from running
	Image          string        `json:"image,omitempty"`
	LatencyTarget  time.Duration `json:"target,omitempty"` // bound of the response times of a long-running task
}

// Reservation returns the resources that a task reserves on its worker. The processor time
// of best-effort steps is not reserved.
func (s Step) Reservation() Resources {
	if s.BestEffort {
		return Resources{Memory: s.Request.Memory, GPU: s.Request.GPU}
	}
	return s.Request
}

// Schedule makes a job run several times at a fixed interval.
type Schedule struct {
	Times    int           `json:"times"`
	First    time.Time     `json:"first"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Job is an accepted job.
type Job struct {
	ID        ID        `json:"id"`
	Queue     Queue     `json:"queue"`
	Workspace string    `json:"workspace,omitempty"` // name of the workspace that it counts against, empty for none
	Spec      string    `json:"spec,omitempty"`      // passed on to the workers
	Steps     []Step    `json:"steps"`
	Schedule  *Schedule `json:"schedule,omitempty"` // nil: runs once, immediately
	Accepted  time.Time `json:"accepted"`           // by the clock of the entry that accepted it
}

const (
	// MaxTasks bounds the tasks of one occurrence of a job. The progress of all of them
	// is one record, and the platform takes records of up to 256 KB.
	MaxTasks = 3500
	// MaxSteps bounds the steps of a job. Each change of a task looks at all of them.
	MaxSteps = 1000
	// MaxRounds bounds the occurrences of a job.
	MaxRounds = 10_000

	// maxProgressBytes bounds the progress of a job as a record, with room for its name
	// and its state. taskBytes, stepBytes and roundBytes are the most that a task, a step
	// and an occurrence add to it, doneBytes what is left of an occurrence that is done.
	maxProgressBytes = 256<<10 - 100
	taskBytes        = 74
	stepBytes        = 3
	roundBytes       = 12
	doneBytes        = 14
)

// MaxRoundsInProgress returns how many occurrences may be in progress at a time so that
// the progress of all fits into a record.
func (j Job) MaxRoundsInProgress() int {
	round := roundBytes + stepBytes*len(j.Steps)
	for _, s := range j.Steps {
		round += taskBytes * s.Count
	}
	return (maxProgressBytes - doneBytes*(j.Rounds()-1)) / round
}

// Validate returns why a job can't be scheduled, or nil. A job that is not valid must
// not be accepted, and a record of one not be used: whoever made room for its tasks
// could not go on.
func (j Job) Validate() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("steps: a job needs at least one")
	}
	if len(j.Steps) > MaxSteps {
		return fmt.Errorf("steps: %d, at most %d are allowed", len(j.Steps), MaxSteps)
	}
	if s := j.Schedule; s != nil && (s.Times < 1 || s.Times > MaxRounds || s.Interval < 0) {
		return fmt.Errorf("a job runs between 1 and %d times at an interval of 0 or more, not %d times at %v", MaxRounds, s.Times, s.Interval)
	}
	tasks, lasting := 0, false
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return fmt.Errorf("steps[%d]: %w", i, err)
		}
		lasting = lasting || s.LongRunning
		if tasks += s.Count; tasks > MaxTasks {
			return fmt.Errorf("steps: %d tasks, at most %d are allowed", tasks, MaxTasks)
		}
	}
	if most := j.MaxRoundsInProgress(); most < 1 || lasting && j.Rounds() > most {
		return fmt.Errorf("the progress of %d occurrences of %d tasks outgrows a record", j.Rounds(), tasks)
	}
	return nil
}

// validate returns why a step at an index can't be scheduled, or nil.
func (s Step) validate(index int) error {
	if s.Count < 1 {
		return fmt.Errorf("count is %d, it has to be 1 or more", s.Count)
	}
	if s.Count > MaxTasks {
		return fmt.Errorf("%d tasks, at most %d are allowed", s.Count, MaxTasks)
	}
	if r := s.Request; r.CPU < 0 || r.Memory < 0 || r.GPU < 0 || s.Estimate < 0 {
		return fmt.Errorf("the size and the run time of a task must not be negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("after names step %d, which is not an earlier one", before)
		}
	}
	return nil
}

// Rounds returns the number of occurrences.
func (j Job) Rounds() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Times
}

// Due returns the earliest start time of a round, or the zero time for a job
// without a schedule.
func (j Job) Due(round int) time.Time {
	if j.Schedule == nil {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(round) * j.Schedule.Interval)
}

// CriticalPathFrom returns the estimated run time of the critical path from a step on: the
// longest chain of dependent steps that begins with it.
func (j Job) CriticalPathFrom(step int) time.Duration {
	return j.chains(step)[step]
}

// CriticalPaths returns CriticalPathFrom of all steps.
func (j Job) CriticalPaths() []time.Duration { return j.chains(0) }

// chains returns the longest chain that begins with each step from one on.
func (j Job) chains(first int) []time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= first; i-- {
		longest[i] += j.Steps[i].Estimate
		for _, before := range j.Steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest
}

// CriticalPath returns the estimated run time of the critical path of the job.
func (j Job) CriticalPath() time.Duration {
	var longest time.Duration
	for _, chain := range j.chains(0) {
		longest = max(longest, chain)
	}
	return longest
}

// Package leader makes the scheduling decisions of a cell's leader: which task
// starts on which worker, which runs are stopped, what a worker's report means
// and what must be in the log first. It is a pure function of state, event and
// time; the packages around it do all input and output.
//
// The types:
//
//	State      everything the leader knows; Apply returns the next state
//	Event      an input: events.go
//	Effect     an output to be carried out: effects.go
//	ActiveJob  a job that has not ended, and its progress
//	Worker     a worker: its capacity, its incarnation and the runs placed there
//	Placement  one run of one task at a worker
//
// Ordering rules: a run is recorded in the log before its start is ordered; the
// end of a run is recorded before the worker may forget it; a task with a run
// that may still be executing anywhere is not started again.
package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
	"github.com/endivelock/endivelock/internal/sharer"
)

// Policy holds the settings that decisions depend on.
type Policy struct {
	Lease           time.Duration // how long a worker keeps its tasks without being polled
	LongestLease    time.Duration // longest lease that a worker grants; 0 for Lease
	MaxStaleRenewal time.Duration // longest time that a deposed leader may renew leases without the log
	Placer          placer.Placer // chooses among the workers with room; nil means placer.BestFit
	Far             float64       // how many times as long a task takes away from its data or its gang; up to 1 no task waits for a rack
	MinPassInterval time.Duration // least time between two placement passes; 0 runs one after each event
}

// State is the immutable control state of a leader. New returns the initial one.
type State struct {
	policy     Policy
	inherited  Leases    // of earlier leaders
	renews     bool      // a record of leases has been written, so that leases may be renewed
	leasesDue  bool      // workers have fallen silent or been heard since the last one
	nextLeases time.Time // earliest time of the next one

	workspaces workspaces
	capacities
	shares   sharer.Shares
	fair     container.Table[sharer.Fair] // order of the jobs within the shares, by priority
	backlogs container.Table[backlog]     // of jobs beyond the share of their workspace, by backlogKey
	beyond   int                          // jobs beyond the share of their workspace that have not ended
	shortAt  time.Time                    // when a pass last left out steps, since there was no room or too much in progress

	batch          int64 // number of the last batch of log records
	committed      int64 // number of the last one in the log
	jobs           container.Table[ActiveJob]
	waiting        container.Ranking          // steps with idle tasks that may start, by urgency
	services       container.Ranking          // those of services among them
	readySince     container.Table[time.Time] // when each waiting step became startable
	prefetch       container.Ranking          // steps to request advice for while their predecessors run, by urgency
	dueRounds      container.Ranking          // jobs by the time at which their next round is due
	retryAt        container.Table[time.Time] // when to visit a waiting step again that found no room
	nearWaits      container.Table[nearWait]  // waits of steps for a rack
	kinds          container.Table[kindTimes] // run times by image or queue
	fullTurns      container.Table[bool]      // steps that found no room, as in rationer.Effort.Turns
	searchTurns    container.Table[bool]      // steps that found no worker to query, as in rationer.Effort.Turns
	prefetchDue    container.Table[time.Time] // when to estimate again when a step in prefetch becomes ready
	workers        container.Table[Worker]
	pool           pool                          // slots of the workers as of the last placement pass
	staleSlots     container.Table[bool]         // workers that have changed since
	commitWaiters  container.Queue[commitWaiter] // actions that wait for a batch, in order of batches
	adviceCalls    container.Table[adviceCall]   // advice calls in progress, by number
	permits        container.Table[permits]      // advice received, by step
	callers        container.Table[callerState]  // entries that can call for advice, by name
	permitRatios   container.Table[float64]      // fraction of queried workers that advice permits, by queue
	lastAdviceCall int64
	runTimes       container.Table[runTimeSum] // run times of completed tasks, by step
	meanRatio      float64                     // moving average of run time relative to the mean of the step
	placementDue   bool                        // capacity or steps may have become available since the last pass
	lastPass       time.Time                   // time of the last placement pass
	pace           pace                        // bounds the starts while events wait for the control thread
	starting       int                         // starts in progress
	orderTime      time.Duration               // moving average of the time from an order to start a run to its answer
	startTime      time.Duration               // moving average of the time from a placement to the answer to its start
	wakePending    bool                        // a Wake has been emitted and not answered
}

// commitWaiter is an action that waits until a batch is in the log.
type commitWaiter struct {
	batch  int64
	worker string
	key    string // of the placement to start; empty to acknowledge ends
	renew  bool   // renew the leases of the worker instead
}

// New returns the state of a leader that takes over at time now.
func New(p Policy, now time.Time) State {
	if p.Placer == nil {
		p.Placer = placer.BestFit{}
	}
	return State{policy: p, inherited: Leases{Others: p.LeaseEnd(now.Add(p.MaxStaleRenewal))}}
}

// ActiveJob is a job that has not ended, or that has ended while some of its runs
// have not.
type ActiveJob struct {
	Job          ledger.Job
	Progress     ledger.Progress
	Runs         int       // runs that may be executing
	ObjectiveEnd time.Time // deadline of the objective
	Standing     sharer.Standing
}

// WithProgress returns the job with p as its progress.
func (j ActiveJob) WithProgress(p ledger.Progress) ActiveJob {
	j.Progress = p
	return j
}

// WithRuns returns the job with n added to its number of runs.
func (j ActiveJob) WithRuns(n int) ActiveJob {
	j.Runs += n
	return j
}

// Stage is the stage of a placement's life cycle.
type Stage int

// The stages of a placement.
const (
	Recording Stage = iota // its record is being written to the log
	Withdrawn              // as Recording, but it must not be started
	StartSent              // the start was sent and has not been answered
	Running                // the worker executes it
	Stopping               // a stop was sent
	Inherited              // started by an earlier leader; the worker has not reported yet
)

// Placement is one run of one task at a worker. It occupies capacity until the
// run is known to have ended or to be impossible.
type Placement struct {
	Task          ledger.TaskID
	Run           int
	Incarnation   int64 // of the worker that the run was placed on; 0 if this leader has not placed it
	Stage         Stage
	Size          ledger.Resources
	PlacedAt      time.Time // when this leader placed the run
	SentAt        time.Time // when the last order was sent
	AnsweredAt    time.Time // when the last order was answered
	Percent       int       // progress in the last report
	Measurement   int       // response time in milliseconds or processor use, in the last report
	ProgressedAt  time.Time // when Percent last changed
	SavedAt       time.Time // when Checkpoint last changed
	StartedAt     time.Time // when the start was confirmed
	Throttle      Throttle  // of a best-effort task
	Checkpoint    string
	Ticket        string
	TicketExpiry  time.Time     // zero without a ticket
	Workspace     string        // that the run counts against, empty for none
	BestEffort    bool          // uses only processor time that other tasks leave idle
	LatencyTarget time.Duration // bound on its response times, 0 for none
	FromStart     bool          // this leader started the task without a checkpoint
	Orphan        bool          // its job was not known when the run was reported; does not count against it
	Straggles     bool          // the slowness of its worker includes that it straggles
	Preemptible   bool          // may be stopped for a task of the highest priority
	Urgent        bool          // of the highest priority, within the share of its workspace, and not meant to last
	Beyond        bool          // beyond the share of its workspace
}

// key identifies the run at its worker.
func (p Placement) key() string { return runKey(p.Task.String(), p.Run) }

// WithStage returns the placement in stage s.
func (p Placement) WithStage(s Stage) Placement {
	p.Stage = s
	return p
}

// ticketLeft returns how long the ticket of the run is still valid, 0 for no limit.
func (p Placement) ticketLeft(now time.Time) time.Duration {
	if p.TicketExpiry.IsZero() {
		return 0
	}
	return max(p.TicketExpiry.Sub(now), 1)
}

// stages returns how long the start of the run took, as far as this leader knows it.
func (p Placement) stages(now time.Time) RunStages {
	if p.PlacedAt.IsZero() || p.SentAt.IsZero() || p.AnsweredAt.IsZero() {
		return RunStages{}
	}
	return RunStages{Known: true, Record: p.SentAt.Sub(p.PlacedAt), Order: p.AnsweredAt.Sub(p.SentAt), Run: now.Sub(p.AnsweredAt)}
}

// WithSent returns the placement with an unanswered order sent at the given time.
func (p Placement) WithSent(at time.Time) Placement {
	p.SentAt, p.AnsweredAt = at, time.Time{}
	return p
}

// WithAnswer returns the placement with its order answered at the given time.
func (p Placement) WithAnswer(at time.Time) Placement {
	p.AnsweredAt = at
	return p
}

// WithThrottle returns the placement with the throttle h.
func (p Placement) WithThrottle(h Throttle) Placement {
	p.Throttle = h
	return p
}

// WithReport returns the placement updated from a run in a report that arrived
// at time now.
func (p Placement) WithReport(r RunStatus, now time.Time) Placement {
	if r.Percent != p.Percent || p.ProgressedAt.IsZero() {
		p.ProgressedAt = now
	}
	p.Percent, p.Measurement = r.Percent, r.Measurement
	if r.Checkpoint != "" && r.Checkpoint != p.Checkpoint {
		p.Checkpoint, p.SavedAt = r.Checkpoint, now
	}
	return p
}

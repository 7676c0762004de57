// Package leader decides what the leader of a cell does: which task starts on
// which worker, what is stopped, what a worker's report means and what has to be
// in the log first. It is a pure function of state, event and time; input and
// output live in the packages around it.
//
// The types:
//
//	State      everything the leader knows; Apply gives the next one
//	Event      what happened: events.go
//	Effect     what is to be done: effects.go
//	Work       a job that has not ended, and how far it is
//	Worker     a worker: its room, its life, what was placed there
//	Placement  one run of one task at a worker
//
// Order of things: a run is recorded in the log before its start is ordered; an
// end is recorded before the worker may forget it; a task whose run may still be
// going on anywhere is not started again.
package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// Policy is the part of the settings that decisions need.
type Policy struct {
	Lease     time.Duration // length of the leases: how long a worker keeps tasks without a look
	Inherited time.Duration // longest time that a former leader renews leases without the log
	Placer    placer.Placer // chooses among workers; nil means placer.BestFit
	Pause     time.Duration // least time between two passes of placement, 0 for one after each event
}

// maxClockDrift is how much slower than ours a worker's steady clock may run. It
// is the platform's bound.
const maxClockDrift = 0.02

// State is the control state of a leader. The zero value, with a policy, leads
// nothing yet.
type State struct {
	policy         Policy
	leadingSince   time.Time // when this leader took over
	batch          int64     // number of the last batch of records
	jobs           container.Table[ActiveJob]
	waiting        container.Ranking          // steps with idle tasks that may start, by urgency
	readySince     container.Table[time.Time] // since when a waiting step could start
	prefetch       container.Ranking          // steps that need advice and wait for others, by urgency
	dueRounds      container.Ranking          // jobs whose next round is due at a time
	workers        container.Table[Worker]
	commitWaiters  []commitWaiter               // what waits for batches, in their order
	adviceCalls    container.Table[adviceCall]  // calls for advice under way, by number
	permits        container.Table[permits]     // tickets by step
	callers        container.Table[callerState] // entries that can ask for advice, by name
	permitRatios   container.Table[float64]     // share of named workers that advice permits, by queue
	lastAdviceCall int64
	runTimes       container.Table[runTimeSum] // run times by step
	meanRatio      float64                     // how many times as long as their siblings runs took lately
	placementDue   bool                        // something may have come free or ready since the last pass
	lastPass       time.Time                   // when the last pass was
	wakePending    bool                        // a Wake is under way
}

// commitWaiter is what waits for a batch to be in the log.
type commitWaiter struct {
	batch  int64
	worker string
	key    string // of a placement; empty for ends to be acknowledged
}

// New returns the state of a leader that takes over at a time.
func New(p Policy, now time.Time) State {
	if p.Placer == nil {
		p.Placer = placer.BestFit{}
	}
	return State{policy: p, leadingSince: now}
}

// ActiveJob is a job that has not ended, or whose last runs have not.
type ActiveJob struct {
	Job          ledger.Job
	Progress     ledger.Progress
	Runs         int       // runs that may be going on
	ObjectiveEnd time.Time // end of the objective
}

// WithProgress returns the work with other progress.
func (w ActiveJob) WithProgress(p ledger.Progress) ActiveJob {
	w.Progress = p
	return w
}

// WithRuns returns the work with a number of runs added.
func (w ActiveJob) WithRuns(n int) ActiveJob {
	w.Runs += n
	return w
}

// Stage is how far a placement is.
type Stage int

// The stages of a placement.
const (
	Recording Stage = iota // its record is on the way to the log
	Withdrawn              // as Recording, but it is not to be started any more
	StartSent              // the start was sent and not answered
	Running                // the worker has it
	Stopping               // a stop was sent
	Inherited              // an earlier leader started it; the worker was not heard yet
)

// Placement is one run of one task at a worker. It takes room until the worker
// is known to have ended it, or to be unable to have it.
type Placement struct {
	Task          ledger.TaskID
	Run           int
	Stage         Stage
	Size          ledger.Size
	SentAt        time.Time // when the last order went out
	AnsweredAt    time.Time // when the last order was answered
	Percent       int       // share of the work done, of the last report
	Measurement   int       // response time or processor use, of the last report
	ProgressedAt  time.Time // when Percent last changed
	StartedAt     time.Time // when the start was answered
	SpeedPercent  int       // percent of its speed that a filling task may use
	Checkpoint    string
	Ticket        string
	TicketExpiry  time.Time     // end of the ticket, zero without one
	BestEffort    bool          // takes processor time that others leave
	LatencyTarget time.Duration // bound of its response times, 0 for none
	FromStart     bool          // this leader started the task from its beginning
	Preemptible   bool          // may be stopped for a task of the highest priority
}

// key names the run at its worker.
func (p Placement) key() string { return runKey(p.Task.String(), p.Run) }

// WithStage returns the placement in another stage.
func (p Placement) WithStage(s Stage) Placement {
	p.Stage = s
	return p
}

// WithSent returns the placement with an order sent at a time.
func (p Placement) WithSent(at time.Time) Placement {
	p.SentAt, p.AnsweredAt = at, time.Time{}
	return p
}

// WithAnswer returns the placement with its order answered at a time.
func (p Placement) WithAnswer(at time.Time) Placement {
	p.AnsweredAt = at
	return p
}

// WithSpeed returns the placement at a percentage of its speed.
func (p Placement) WithSpeed(percent int) Placement {
	p.SpeedPercent = percent
	return p
}

// WithReport returns the placement with what the worker says of it.
func (p Placement) WithReport(r Run, now time.Time) Placement {
	if r.Percent != p.Percent || p.ProgressedAt.IsZero() {
		p.ProgressedAt = now
	}
	p.Percent, p.Measurement = r.Percent, r.Figure
	if r.Saved != "" {
		p.Checkpoint = r.Saved
	}
	return p
}

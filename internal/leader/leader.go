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

// clockDrift is how much slower than ours a worker's steady clock may run. It
// is the platform's bound.
const clockDrift = 0.02

// State is the control state of a leader. The zero value, with a policy, leads
// nothing yet.
type State struct {
	policy  Policy
	since   time.Time // when this leader took over
	batch   int64     // number of the last batch of records
	works   container.Table[Work]
	waiting container.Ranking          // steps with idle tasks that may start, by urgency
	ready   container.Table[time.Time] // since when a waiting step could start
	ahead   container.Ranking          // steps that need advice and wait for others, by urgency
	agenda  container.Ranking          // jobs whose next round is due at a time
	workers container.Table[Worker]
	pending []dependent              // what waits for batches, in their order
	asks    container.Table[ask]     // calls for advice under way, by number
	permits container.Table[permits] // tickets by step
	callers container.Table[asker]   // entries that can ask for advice, by name
	ratios  container.Table[float64] // share of named workers that advice permits, by queue
	lastAsk int64
	meters  container.Table[meter] // run times by step
	typical float64                // how many times as long as their siblings runs took lately
	place   bool                   // something may have come free or ready since the last pass
	passed  time.Time              // when the last pass was
	waking  bool                   // a Wake is under way
}

// dependent is what waits for a batch to be in the log.
type dependent struct {
	batch  int64
	worker string
	key    string // of a placement; empty for ends to be acknowledged
}

// New returns the state of a leader that takes over at a time.
func New(p Policy, now time.Time) State {
	if p.Placer == nil {
		p.Placer = placer.BestFit{}
	}
	return State{policy: p, since: now}
}

// Work is a job that has not ended, or whose last runs have not.
type Work struct {
	Job      ledger.Job
	Progress ledger.Progress
	Runs     int       // runs that may be going on
	Due      time.Time // end of the objective
}

// WithProgress returns the work with other progress.
func (w Work) WithProgress(p ledger.Progress) Work {
	w.Progress = p
	return w
}

// WithRuns returns the work with a number of runs added.
func (w Work) WithRuns(n int) Work {
	w.Runs += n
	return w
}

// Stage is how far a placement is.
type Stage int

// The stages of a placement.
const (
	Recording Stage = iota // its record is on the way to the log
	Dropped                // as Recording, but it is not to be started any more
	Ordered                // the start was sent and not answered
	Working                // the worker has it
	Stopping               // a stop was sent
	Inherited              // an earlier leader started it; the worker was not heard yet
)

// Placement is one run of one task at a worker. It takes room until the worker
// is known to have ended it, or to be unable to have it.
type Placement struct {
	Task     ledger.TaskID
	Run      int
	Stage    Stage
	Size     ledger.Size
	Sent     time.Time // when the last order went out
	Answered time.Time // when the last order was answered
	Percent  int       // share of the work done, of the last report
	Figure   int       // response time or processor use, of the last report
	Moved    time.Time // when Percent last changed
	Began    time.Time // when the start was answered
	Pace     int       // percent of its speed that a filling task may use
	Saved    string
	Ticket   string
	Valid    time.Time     // end of the ticket, zero without one
	Fills    bool          // takes processor time that others leave
	Target   time.Duration // bound of its response times, 0 for none
	Whole    bool          // this leader started the task from its beginning
	Yields   bool          // may be stopped for a task of the highest priority
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
	p.Sent, p.Answered = at, time.Time{}
	return p
}

// WithAnswer returns the placement with its order answered at a time.
func (p Placement) WithAnswer(at time.Time) Placement {
	p.Answered = at
	return p
}

// WithPace returns the placement at a percentage of its speed.
func (p Placement) WithPace(percent int) Placement {
	p.Pace = percent
	return p
}

// WithReport returns the placement with what the worker says of it.
func (p Placement) WithReport(r Run, now time.Time) Placement {
	if r.Percent != p.Percent || p.Moved.IsZero() {
		p.Moved = now
	}
	p.Percent, p.Figure = r.Percent, r.Figure
	if r.Saved != "" {
		p.Saved = r.Saved
	}
	return p
}

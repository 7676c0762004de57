package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Event is something that happened.
type Event interface{ apply(t *transition) }

// Accepted tells of a job in the log. A job that an earlier leader has worked
// on comes with its progress.
type Accepted struct {
	Job      ledger.Job
	Progress *ledger.Progress
}

// CancelAccepted tells of the cancelling of a job in the log.
type CancelAccepted struct{ Job ledger.ID }

// Listed tells of a worker that the platform lists, or lists otherwise.
type Listed struct{ Listing Listing }

// Unlisted tells of a worker that the platform lists no more.
type Unlisted struct{ ID string }

// Run is a run in a worker's report.
type Run struct {
	Task    string
	Number  int
	Saved   string
	Percent int
	Figure  int // response time in milliseconds of a serving task, else processor use
}

// How a run ended.
type How string

// The ways in which runs end.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken" // another member of its gang ended
	EndAlone   How = "alone"  // the other members of its gang did not come
)

// End is an ended run in a worker's report.
type End struct {
	Number int64 // counts the ends in one life of the worker, from 1
	Task   string
	Run    int
	How    How
	Saved  string
}

// Report is a worker's account of what runs and what has ended.
type Report struct {
	Life    int64
	Clock   int64 // steady clock of the worker, milliseconds
	Running []Run
	Ended   []End
}

// Reported tells of a report that arrived.
type Reported struct {
	Worker   string
	Report   Report
	Sent     time.Time // when the worker was asked
	Deadline int64     // end of the lease that was sent, on the worker's clock
}

// Missed tells that a worker was asked for a report and gave none.
type Missed struct {
	Worker   string
	Deadline int64 // end of the lease that was sent
}

// Committed tells that all batches of records up to one are in the log.
type Committed struct{ Batch int64 }

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	Obeyed   Outcome = iota
	Refused          // the worker did nothing
	Unknown          // it may have been carried out, or may be later
	NoTicket         // refused since its ticket does not hold
	NoRoom           // refused for want of room
	NotNewer         // refused since the worker knows this run or a later one
)

// Answered tells what became of an order.
type Answered struct {
	Worker  string
	Kind    OrderKind
	Task    ledger.TaskID
	Run     int
	Outcome Outcome
}

// Permit allows a worker to run a step.
type Permit struct{ Worker, Ticket string }

// Advised tells the answer to a call for advice.
type Advised struct {
	Ask     int64
	Permits []Permit
	Failed  bool
	Valid   time.Duration // how long the tickets hold, 0 for that of the queue
}

// CallersChanged tells which entries can ask for advice.
type CallersChanged struct{ Callers []string }

// Ticked tells that time has passed.
type Ticked struct{}

// Woken tells that the time of a Wake has passed.
type Woken struct{}

var (
	_ Event = Accepted{}
	_ Event = CancelAccepted{}
	_ Event = Listed{}
	_ Event = Unlisted{}
	_ Event = Reported{}
	_ Event = Missed{}
	_ Event = Committed{}
	_ Event = Answered{}
	_ Event = Advised{}
	_ Event = CallersChanged{}
	_ Event = Ticked{}
	_ Event = Woken{}
)

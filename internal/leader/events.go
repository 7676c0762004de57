package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Event is an input to the state machine.
type Event interface{ apply(t *transition) }

// Accepted reports a job in the log. Progress is nil unless an earlier leader has
// recorded progress of the job.
type Accepted struct {
	Job      ledger.Job
	Progress *ledger.Progress
}

// CancelAccepted reports the cancellation of a job in the log.
type CancelAccepted struct{ Job ledger.ID }

// Listed reports a worker that the platform lists anew or with a changed listing.
type Listed struct{ Listing Listing }

// Unlisted reports a worker that the platform no longer lists.
type Unlisted struct{ ID string }

// Run is an executing run in a worker's report.
type Run struct {
	Task    string
	Number  int
	Saved   string
	Percent int
	Figure  int // response time in milliseconds of a task with a latency target, otherwise processor use
}

// How is the way in which a run ended.
type How string

// The values of How.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken" // stopped because another member of its gang ended
	EndAlone   How = "alone"  // stopped because the other members of its gang did not start
)

// End is the end of a run in a worker's report.
type End struct {
	Number int64 // sequence number within one incarnation of the worker, from 1
	Task   string
	Run    int
	How    How
	Saved  string
}

// Report is a worker's report of executing runs and of ends that have not been
// acknowledged.
type Report struct {
	Life    int64 // incarnation of the worker
	Clock   int64 // monotonic clock of the worker, in milliseconds
	Running []Run
	Ended   []End
}

// Reported reports the arrival of a report, the answer to a poll.
type Reported struct {
	Worker   string
	Report   Report
	Sent     time.Time // when the worker was polled
	Deadline int64     // end of the lease sent with the poll, on the worker's clock, in milliseconds
}

// Missed reports that a worker was polled and no report arrived.
type Missed struct {
	Worker   string
	Deadline int64 // as in Reported: the lease may have arrived
}

// Committed reports that all batches of records up to Batch are in the log.
type Committed struct{ Batch int64 }

// Outcome is the outcome of an order.
type Outcome int

// The values of Outcome.
const (
	Obeyed   Outcome = iota // the worker carried it out
	Refused                 // the worker did nothing
	Unknown                 // it may have been carried out or may still be
	NoTicket                // refused because its ticket is not valid
	NoRoom                  // refused because the worker lacks room
	NotNewer                // refused because the worker knows this run or a later one of the task
)

// Answered reports the outcome of an order.
type Answered struct {
	Worker  string
	Kind    OrderKind
	Task    ledger.TaskID
	Run     int
	Outcome Outcome
}

// Permit is the permission, proved by a ticket, for a worker to run tasks of a step.
type Permit struct{ Worker, Ticket string }

// Advised reports the answer to an advice call, or its failure.
type Advised struct {
	Ask     int64
	Permits []Permit
	Failed  bool
	Valid   time.Duration // validity of the tickets, 0 for the queue's default
}

// CallersChanged reports all entries that can call for advice.
type CallersChanged struct{ Callers []string }

// Ticked reports that time has passed. It is applied periodically.
type Ticked struct{}

// Woken reports that the time of a Wake has passed.
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

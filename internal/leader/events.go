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

// WorkspacesChanged reports the workspaces of a version of the configuration. Versions that
// are not newer than the last one are ignored.
type WorkspacesChanged struct {
	Version    int64
	Workspaces []ledger.Workspace
}

// Listed reports a worker that the platform lists anew or with a changed listing.
type Listed struct{ Listing Listing }

// Unlisted reports a worker that the platform no longer lists.
type Unlisted struct{ ID string }

// RunStatus is an executing run in a worker's report.
type RunStatus struct {
	Task        string
	Number      int
	Checkpoint  string
	Percent     int
	Measurement int // response time in milliseconds of a task with a latency target, otherwise processor use
}

// EndKind is the way in which a run ended.
type EndKind string

// The values of EndKind.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed"
	EndGangBroken     EndKind = "broken" // stopped because another member of its gang ended
	EndGangIncomplete EndKind = "alone"  // stopped because the other members of its gang did not start
)

// RunEnd is the end of a run in a worker's report.
type RunEnd struct {
	Number     int64 // sequence number within one incarnation of the worker, from 1
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's report of executing runs and of ends that have not been
// acknowledged.
type Report struct {
	Partial     bool  // Running is left out; nothing follows from a run that is not listed
	Incarnation int64 // incarnation of the worker
	Clock       int64 // monotonic clock of the worker, in milliseconds
	Running     []RunStatus
	Ended       []RunEnd
}

// Reported reports the arrival of a report, the answer to a poll.
type Reported struct {
	Worker   string
	Report   Report
	Sent     time.Time // when the worker was polled, by the clock of OrderAnswered.At
	Deadline int64     // end of the lease sent with the poll, on the worker's clock, in milliseconds
	Silence  int64     // set while the caller renews no leases before a Renew with this number
}

// silenceBits is the width of the part of a silence's number that counts the silences of one
// caller. The part above it is the number of its watch.
const silenceBits = 24

// FirstSilence returns the number with which a caller begins. Each poll of its that gets no
// answer has the next one, so that numbers rise over all callers of a worker.
func FirstSilence(watch int64) int64 { return watch<<silenceBits | 1 }

// SilentSince reports whether a caller has had a silence after the known one. Nothing follows
// from one of an earlier caller, or from 0.
func SilentSince(known, last int64) bool {
	return known != 0 && watchOf(known) == watchOf(last) && known < last
}

// watchOf returns the number of the watch of whoever has numbered a silence.
func watchOf(silence int64) int64 { return silence >> silenceBits }

// PollFailed reports that a worker was polled and no report arrived.
type PollFailed struct {
	Worker      string
	Incarnation int64 // the incarnation that was heard last before the poll, 0 if none was
	Deadline    int64 // as in Reported, on the clock of that incarnation: the lease may have arrived
	Silence     int64 // its number
}

// PollerLost reports that nothing is known any more of the polls that were sent to a
// worker: whoever sent them may have renewed the leases there and go on for as long
// as a deposed leader.
type PollerLost struct {
	Worker string
	Watch  int64 // of whoever sent the polls
}

// RenewalsEnded reports until when leases may be in force that the last leader has renewed,
// which is known not to renew any more.
type RenewalsEnded struct{ Until time.Time }

// Committed reports that all batches of records up to Batch are in the log.
type Committed struct{ Batch int64 }

// Outcome is the outcome of an order.
type Outcome int

// The values of Outcome.
const (
	Executed             Outcome = iota // the worker carried it out
	Refused                             // the worker did nothing
	OutcomeUnknown                      // it may have been carried out or may still be
	InvalidTicket                       // refused because its ticket is not valid
	InsufficientCapacity                // refused because the worker lacks room
	StaleRun                            // refused because the worker knows this run or a later one of the task
	NotSent                             // not sent, since the sender's permission had expired
)

// OrderAnswered reports the outcome of an order.
type OrderAnswered struct {
	Worker  string
	Kind    OrderKind
	Task    ledger.TaskID
	Run     int
	Outcome Outcome
	At      time.Time // when the answer arrived; zero for the time of the event
}

// Permit is the permission, proved by a ticket, for a worker to run tasks of a step.
type Permit struct{ Worker, Ticket string }

// AdviceAnswered reports the answer to an advice call, or its failure.
type AdviceAnswered struct {
	Call    int64
	Permits []Permit
	Failed  bool
	Valid   time.Duration // validity of the tickets, 0 for the queue's default
}

// CallersChanged reports all entries that can call for advice.
type CallersChanged struct{ Callers []string }

// Ticked reports that time has passed. It is applied periodically.
type Ticked struct {
	Sent time.Time // when it was submitted, zero if that is not known
}

// Batch holds events that arrived together. They are applied in order, but what they
// change is recorded once and followed by one placement pass at most.
type Batch struct{ Events []Event }

// Woken reports that the time of a Wake has passed.
type Woken struct{}

var (
	_ Event = Accepted{}
	_ Event = CancelAccepted{}
	_ Event = WorkspacesChanged{}
	_ Event = Listed{}
	_ Event = Unlisted{}
	_ Event = Reported{}
	_ Event = PollFailed{}
	_ Event = PollerLost{}
	_ Event = RenewalsEnded{}
	_ Event = Committed{}
	_ Event = OrderAnswered{}
	_ Event = AdviceAnswered{}
	_ Event = CallersChanged{}
	_ Event = Ticked{}
	_ Event = Batch{}
	_ Event = Woken{}
)

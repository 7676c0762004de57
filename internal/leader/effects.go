package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Effect is an output of the state machine, to be carried out by the caller.
type Effect interface{ effect() }

// Record writes the progress of a job to the log. Batches are numbered in order;
// Committed reports which are in the log. A Record without a job makes an empty
// batch.
type Record struct {
	Batch    int64
	Job      ledger.ID
	Progress ledger.Progress
}

// RecordLeases writes to the log until when leases may be in force that this leader doesn't
// renew. It is part of a batch, and replaces the last one.
type RecordLeases struct {
	Batch  int64
	Leases Leases
}

// OrderKind is what an order tells a worker to do.
type OrderKind string

// The kinds of orders.
const (
	OrderStart    OrderKind = "start"
	OrderStop     OrderKind = "stop"
	OrderThrottle OrderKind = "pace"
)

// Order tells a worker to start a run, to stop it or to change its speed.
type Order struct {
	Worker       string
	Address      string
	Incarnation  int64 // the only one that the order is for, 0 if none was heard
	Silence      int64 // the last one that the leader knows of; the order is void after a later one
	Kind         OrderKind
	Task         ledger.TaskID
	Run          int
	Spec         string
	Checkpoint   string
	Ticket       string
	Valid        time.Duration // how long the ticket is valid, 0 for no limit
	SpeedPercent int
}

// Withdraw has the order to start a run given up and answered as not sent, unless it has been
// sent. An order to stop a run does so, too.
type Withdraw struct {
	Worker string
	Task   ledger.TaskID
	Run    int
}

// StartPolling starts the periodic polling of a worker, or continues it at a new address. No call
// of an earlier caller has a higher fence than Floor, and each caller has a higher Watch than
// earlier ones; the leader itself leaves both 0.
type StartPolling struct {
	Worker  string
	Address string
	Zone    string
	Floor   int64
	Watch   int64
}

// StopPolling stops the polling of a worker.
type StopPolling struct{ Worker string }

// PollNow polls a worker immediately.
type PollNow struct{ Worker string }

// Renew has the caller of a worker renew the leases there, until a poll fails. Silence is that
// of the report that the worker was heard with. It means nothing to another caller, or after
// a later silence.
type Renew struct {
	Worker  string
	Silence int64
}

// Acknowledge lets a worker forget its ends up to a number. It applies to one
// incarnation of the worker.
type Acknowledge struct {
	Worker      string
	Incarnation int64
	Number      int64
}

// RequestAdvice has an entry call for advice on which of the workers may run a step.
type RequestAdvice struct {
	Call    int64
	Caller  string
	Step    string
	Workers []string
}

// Wake requests a Woken event after a time.
type Wake struct{ After time.Duration }

// Decision writes a decision to the log of the process.
type Decision struct {
	What   string // a verb: place, stop, end, lost, fail, exclude, ...
	Job    ledger.ID
	Task   string
	Run    int
	Worker string
	Peer   string // entry that makes the advice call
	Why    string
	Batch  int64
	Stages RunStages // of a run that has ended

	Failures, Attempts int // of a task or a gang whose run has failed
}

// RunStages is how long the stages of a run have taken.
type RunStages struct {
	Known  bool
	Record time.Duration // from its placement until its start was ordered, once its record was in the log
	Order  time.Duration // until the worker's answer to the order
	Run    time.Duration // until the report of its end was handled
}

func (Record) effect()        {}
func (RecordLeases) effect()  {}
func (Order) effect()         {}
func (Withdraw) effect()      {}
func (StartPolling) effect()  {}
func (StopPolling) effect()   {}
func (PollNow) effect()       {}
func (Renew) effect()         {}
func (Acknowledge) effect()   {}
func (RequestAdvice) effect() {}
func (Wake) effect()          {}
func (Decision) effect()      {}

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

// OrderKind is what an order tells a worker to do.
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
)

// Order tells a worker to start a run, to stop it or to change its speed.
type Order struct {
	Worker  string
	Address string
	Kind    OrderKind
	Task    ledger.TaskID
	Run     int
	Spec    string
	Saved   string
	Ticket  string
	Percent int
}

// Watch starts the periodic polling of a worker, or continues it at a new address.
type Watch struct {
	Worker  string
	Address string
}

// Unwatch stops the polling of a worker.
type Unwatch struct{ Worker string }

// Look polls a worker immediately.
type Look struct{ Worker string }

// Acknowledge lets a worker forget its ends up to a number. It applies to one
// incarnation of the worker.
type Acknowledge struct {
	Worker string
	Life   int64
	Number int64
}

// Consult has an entry call for advice on which of the workers may run a step.
type Consult struct {
	Ask     int64
	Caller  string
	Step    string
	Workers []string
}

// Wake requests a Woken event after a time.
type Wake struct{ After time.Duration }

// Note writes a decision to the log of the process.
type Note struct {
	What   string // a verb: place, stop, end, lost, fail, exclude, ...
	Job    ledger.ID
	Task   string
	Run    int
	Worker string
	Peer   string // entry that makes the advice call
	Why    string
	Batch  int64
}

func (Record) effect()      {}
func (Order) effect()       {}
func (Watch) effect()       {}
func (Unwatch) effect()     {}
func (Look) effect()        {}
func (Acknowledge) effect() {}
func (Consult) effect()     {}
func (Wake) effect()        {}
func (Note) effect()        {}

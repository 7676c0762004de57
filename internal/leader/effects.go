package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Effect is something to be done.
type Effect interface{ effect() }

// Record puts the progress of a job into the log. Batches are numbered in
// order; Committed tells how far they are.
type Record struct {
	Batch    int64
	Job      ledger.ID
	Progress ledger.Progress
}

// OrderKind is what an order asks of a worker.
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
)

// Order asks something of a worker.
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

// Watch asks for reports of a worker from now on.
type Watch struct {
	Worker  string
	Address string
}

// Unwatch ends that.
type Unwatch struct{ Worker string }

// Look asks for one report of a worker at once.
type Look struct{ Worker string }

// Acknowledge lets a worker forget its ends up to a number. It holds for one
// life of the worker.
type Acknowledge struct {
	Worker string
	Life   int64
	Number int64
}

// Consult has an entry ask which workers may run a step.
type Consult struct {
	Ask     int64
	Caller  string
	Step    string
	Workers []string
}

// Wake asks for Woken after a time.
type Wake struct{ After time.Duration }

// Note is a decision for the log of the process.
type Note struct {
	What   string // a verb: place, stop, end, lost, fail, exclude, ...
	Job    ledger.ID
	Task   string
	Run    int
	Worker string
	Peer   string // entry that was asked
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

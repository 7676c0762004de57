// Package committer brings a record into the platform's log on behalf of a
// command and waits until reading the log has shown its effect. The answer to
// the append is of no account, so a lost one does no harm.
package committer

import (
	"context"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// readBackTimeout bounds the wait for a record to be read back.
const readBackTimeout = 8 * time.Second

// Ledger takes records for the log.
type Ledger interface {
	// Append queues records and does not wait for the log. An error means that
	// nothing was or will be written.
	Append(request scheduler.Append) error
}

// Controller shows the control state.
type Controller interface {
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
	// Await returns the first published state that satisfies a condition, or
	// the error of the context.
	Await(ctx context.Context, condition func(scheduler.State) bool) (scheduler.State, error)
}

// Fault is a record whose effect was not seen. Outcome says whether it may
// still take effect.
type Fault struct {
	Outcome scheduler.Outcome
	Cause   error
}

// Error describes the fault.
func (f *Fault) Error() string {
	if f.Outcome == scheduler.NotRun {
		return "record was not written: " + f.Cause.Error()
	}
	return "the log has not shown the record yet: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

var _ error = (*Fault)(nil)

// Committer commits records.
type Committer struct {
	Ledger     Ledger
	Controller Controller
}

// Commit appends a record to a stream, unless its effect is shown already, and
// returns the first state that shows it. An error is always a *Fault.
func (c Committer) Commit(ctx context.Context, stream string, record scheduler.Record, shown func(scheduler.State) bool) (scheduler.State, error) {
	s := c.Controller.Snapshot()
	if shown(s) {
		return s, nil
	}
	request := scheduler.Append{Stream: stream, Records: []scheduler.Record{record}}
	if err := c.Ledger.Append(request); err != nil {
		return s, &Fault{Outcome: scheduler.NotRun, Cause: err}
	}
	bounded, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	s, err := c.Controller.Await(bounded, shown)
	if err != nil {
		return s, &Fault{Outcome: scheduler.Unknown, Cause: err}
	}
	return s, nil
}

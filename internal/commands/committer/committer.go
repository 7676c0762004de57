// Package committer appends a record to the platform's log on behalf of a command
// and waits until the effect of the record is visible in the control state, which
// follows the log. It does not depend on the response to the append, so a lost
// response is harmless.
package committer

import (
	"context"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// readBackTimeout bounds the wait for the effect of an appended record.
const readBackTimeout = 8 * time.Second

// Ledger queues records for the log.
type Ledger interface {
	// Append queues records and does not wait for the log. After an error the
	// records are never written.
	Append(request scheduler.Append) error
}

// Controller publishes the control state.
type Controller interface {
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
	// Await returns the first published state that satisfies a condition, or
	// the error of the context.
	Await(ctx context.Context, condition func(scheduler.State) bool) (scheduler.State, error)
}

// CommitError is the error for a record without a visible effect. Outcome tells whether
// the record may still take effect.
type CommitError struct {
	Outcome scheduler.Outcome
	Cause   error
}

// Error returns the outcome and the cause.
func (f *CommitError) Error() string {
	if f.Outcome == scheduler.NotRun {
		return "record was not written: " + f.Cause.Error()
	}
	return "the log has not shown the record yet: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *CommitError) Unwrap() error { return f.Cause }

var _ error = (*CommitError)(nil)

// Committer appends records and waits for their effect.
type Committer struct {
	Ledger     Ledger
	Controller Controller
}

// Commit appends a record to a stream, unless its effect is already visible, and
// returns the first state in which it is. An error is always a *CommitError.
func (c Committer) Commit(ctx context.Context, stream string, record scheduler.Record, visible func(scheduler.State) bool) (scheduler.State, error) {
	s := c.Controller.Snapshot()
	if visible(s) {
		return s, nil
	}
	request := scheduler.Append{Stream: stream, Records: []scheduler.Record{record}}
	if err := c.Ledger.Append(request); err != nil {
		return s, &CommitError{Outcome: scheduler.NotRun, Cause: err}
	}
	bounded, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	s, err := c.Controller.Await(bounded, visible)
	if err != nil {
		return s, &CommitError{Outcome: scheduler.Unknown, Cause: err}
	}
	return s, nil
}

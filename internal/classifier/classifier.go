// Package classifier classifies the errors of calls to other systems. The kind of an
// error tells the caller whether the call may have been executed and whether a retry
// makes sense.
package classifier

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the outcome of a failed call.
type Kind int

// The kinds of failed calls. All but Unanswered mean that the call had no effect.
const (
	Unanswered       Kind = iota // the call may have been executed, or may be later
	Unsent                       // no connection could be opened
	Busy                         // the server has no capacity now
	Refused                      // the server does not accept the call as it is
	Fenced                       // a higher epoch was seen
	OutOfSequence                // the sequence number is not the next one, which is Number
	OffsetMismatch               // the log does not end at the expected offset but at Number
	Trimmed                      // the records were trimmed; the first that is left is Number
	Replaced                     // the address belongs to another instance
	NoRoom                       // the worker lacks the resources
	InvalidTicket                // the ticket is not valid
	StaleRun                     // the worker knows this run or a later one
	DeadlineExceeded             // the deadline has passed
	BeyondShare                  // the workspace has used up its share; RetryAfter says when to come again
)

func names() map[Kind]string {
	return map[Kind]string{
		Unanswered: "no answer", Unsent: "no connection", Busy: "busy", Refused: "refused", Fenced: "fenced",
		OutOfSequence: "wrong sequence number", OffsetMismatch: "log has moved on", Trimmed: "records are gone",
		Replaced: "another instance", NoRoom: "no room", InvalidTicket: "ticket does not hold", StaleRun: "run is not newer",
		DeadlineExceeded: "deadline has passed", BeyondShare: "beyond the share of the workspace",
	}
}

// String returns the text of the kind in error messages.
func (k Kind) String() string { return names()[k] }

// ErrCongested is a cause of errors: more waits for the log than it takes in time. Another
// attempt by whatever way would wait in the same queue.
var ErrCongested = errors.New("the log is congested")

// Error is a failed call.
type Error struct {
	Kind   Kind
	Call   string // what was called
	Status int    // HTTP status of the response, 0 if there was none
	Reason string // reason that the server gave
	Number int64  // meaning depends on the kind
	Cause  error  // may be nil

	RetryAfter time.Duration // when another attempt may succeed, 0 if that is not known
}

var _ error = (*Error)(nil)

// Error returns the call, the kind, the status and reason if known, and the cause.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Call, e.Kind)
	switch {
	case e.Status != 0 && e.Reason != "":
		fmt.Fprintf(&b, " (status %d, %s)", e.Status, e.Reason)
	case e.Status != 0:
		fmt.Fprintf(&b, " (status %d)", e.Status)
	case e.Reason != "":
		fmt.Fprintf(&b, " (%s)", e.Reason)
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, ": %v", e.Cause)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of an error of a call. An error that is not an Error is
// Unsent if no connection was opened, and Unanswered otherwise.
func KindOf(err error) Kind {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Kind
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return Unsent
	}
	return Unanswered
}

// Is reports whether an error is a failed call of a kind.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// NotExecuted reports whether a failed call is known to have had no effect.
func NotExecuted(err error) bool { return err != nil && KindOf(err) != Unanswered }

// RetryAfter returns after what time another attempt may succeed, or 0 if that is not known.
func RetryAfter(err error) time.Duration {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.RetryAfter
	}
	return 0
}

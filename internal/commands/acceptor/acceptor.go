// Package acceptor writes the jobs and cancellations of clients to the log. The
// leader writes for all entries, since the log takes one append at a time; an
// entry writes to the log itself only if it can't reach the leader or the log has refused
// the leader. While the leader waits for the log, so would the entry, and each append by
// itself takes a turn in which the leader writes the values of all.
package acceptor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// retryPause is the time between two attempts to write one value.
	retryPause = 100 * time.Millisecond
	// answerMargin is how long before the client's deadline attempts end, so that
	// the answer still reaches the client in time.
	answerMargin = 150 * time.Millisecond
)

// Journal adds a value to the stream of jobs.
type Journal interface {
	// Add returns when the value is in the log. The kind of the error says whether
	// the value may be there nevertheless.
	Add(ctx context.Context, v replicator.Value) error
}

// Submitter hands jobs to the leader.
type Submitter interface {
	// Submit is Journal.Add. The leader may turn the job away as a Gate does.
	Submit(ctx context.Context, v replicator.Value, c ledger.Claim) error
}

// Gate decides whether this entry takes in a job while it leads.
type Gate interface {
	// Admit returns an error if the job is turned away: of kind classifier.BeyondShare or with the cause
	// classifier.ErrCongested.
	Admit(id ledger.ID, c ledger.Claim) error
	// Withdraw takes back an admission after which nothing was written.
	Withdraw(id ledger.ID)
}

// Acceptor writes jobs and cancellations.
type Acceptor struct {
	Leader    Journal   // journal of the leader, over the link to it
	Own       Journal   // journal of this entry
	Submitter Submitter // the leader, for jobs; nil for Leader
	Gate      Gate      // nil admits all
	Logger    logrus.FieldLogger
}

// Accept writes a job and returns when it is in the log. An error of kind
// Unanswered means that it may be there nevertheless.
func (a *Acceptor) Accept(ctx context.Context, j ledger.Job) error {
	v, err := encoder.Job(j)
	if err != nil {
		return &classifier.Error{Kind: classifier.Refused, Call: "accept", Cause: err}
	}
	return a.write(ctx, v, j.ID, "accept", a.charged(j)...)
}

// charged returns the journals for a job, which counts against its workspace and the memory.
func (a *Acceptor) charged(j ledger.Job) []Journal {
	lead, own := a.Leader, a.Own
	if a.Submitter != nil {
		lead = submitted{a.Submitter, j.Claim()}
	}
	if a.Gate != nil {
		own = gated{a.Own, a.Gate, j.ID, j.Claim()}
	}
	return []Journal{lead, own}
}

// submitted is the journal of the leader for a job with a claim.
type submitted struct {
	to    Submitter
	claim ledger.Claim
}

var _ Journal = submitted{}

// Add hands the job to the leader.
func (s submitted) Add(ctx context.Context, v replicator.Value) error {
	return s.to.Submit(ctx, v, s.claim)
}

// gated is a journal that adds a job only if the gate admits it.
type gated struct {
	Journal
	gate  Gate
	id    ledger.ID
	claim ledger.Claim
}

var _ Journal = gated{}

// Add adds the job if it is admitted.
func (g gated) Add(ctx context.Context, v replicator.Value) error {
	if err := g.gate.Admit(g.id, g.claim); err != nil {
		return err
	}
	err := g.Journal.Add(ctx, v)
	if classifier.NotExecuted(err) {
		g.gate.Withdraw(g.id)
	}
	return err
}

// Cancel writes the cancellation of a job, with the errors of Accept.
func (a *Acceptor) Cancel(ctx context.Context, id ledger.ID) error {
	return a.write(ctx, encoder.Cancellation(id), id, "cancel", a.Leader, a.Own)
}

// write tries to write a value through the leader or else directly. It fails at once
// if no attempt can have reached the log. Once an attempt went unanswered, the
// value may be in the log, and write retries until a success or the deadline.
func (a *Acceptor) write(ctx context.Context, v replicator.Value, id ledger.ID, what string, journals ...Journal) error {
	if deadline, ok := ctx.Deadline(); ok {
		bounded, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
		ctx = bounded
	}
	var unanswered error
	for attempt := 1; ; attempt++ {
		var err error
		for _, journal := range journals {
			if err = journal.Add(ctx, v); err == nil {
				return nil
			}
			if !classifier.NotExecuted(err) {
				unanswered = err
			}
			if errors.Is(err, classifier.ErrCongested) || classifier.Is(err, classifier.BeyondShare) {
				break // another way in would lead around what the leader has answered
			}
		}
		if unanswered == nil {
			if !classifier.Is(err, classifier.BeyondShare) {
				a.log(id, what, attempt, err).Warn("write failed; nothing was added to the log")
			}
			return err
		}
		timer.Sleep(ctx, retryPause)
		if ctx.Err() != nil {
			a.log(id, what, attempt, unanswered).Warn("write unanswered; outcome unknown")
			return &classifier.Error{Kind: classifier.Unanswered, Call: what, Cause: unanswered}
		}
	}
}

func (a *Acceptor) log(id ledger.ID, what string, attempt int, err error) *logrus.Entry {
	return a.Logger.WithFields(logrus.Fields{"job": string(id), "what": what, "attempt": attempt}).WithError(err)
}

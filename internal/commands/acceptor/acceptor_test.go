package acceptor_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/acceptor"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

// journal returns its answers in turn and repeats the last one.
type journal struct {
	answers []error
	calls   int
}

func (j *journal) Add(context.Context, replicator.Value) error {
	answer := j.answers[min(j.calls, len(j.answers)-1)]
	j.calls++
	return answer
}

// accept has a job accepted and checks the kind of the error, or that there is none if kind is
// negative.
func accept(t *testing.T, lead, own *journal, kind classifier.Kind) {
	t.Helper()
	logger, _ := test.NewNullLogger()
	a := &acceptor.Acceptor{Leader: lead, Own: own, Logger: logger}
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	err := a.Accept(ctx, ledger.Job{ID: "j"})
	if kind < 0 {
		assert.NilError(t, err)
		return
	}
	assert.Equal(t, classifier.KindOf(err), kind)
}

// An error says that nothing was written only if no attempt can have reached the
// log.
func TestErrorSaysWhetherTheJobMayBeWritten(t *testing.T) {
	busy := &classifier.Error{Kind: classifier.Busy}
	lost := &classifier.Error{Kind: classifier.Unanswered}
	unsent := &classifier.Error{Kind: classifier.Unsent}
	for name, c := range map[string]struct {
		leader, own []error
		kind        classifier.Kind // -1: accepted
		ownCalls    int
	}{
		"the leader writes":                   {[]error{nil}, []error{nil}, -1, 0},
		"no leader, the entry writes":         {[]error{unsent}, []error{nil}, -1, 1},
		"the leader's answer is lost":         {[]error{lost}, []error{nil}, -1, 1},
		"neither can write":                   {[]error{unsent}, []error{busy}, classifier.Busy, 1},
		"lost, then busy until the deadline":  {[]error{lost, unsent}, []error{busy}, classifier.Unanswered, -1},
		"lost, then the log recovers in time": {[]error{lost, unsent}, []error{busy, nil}, -1, 2},
		"the log refuses the leader":          {[]error{busy}, []error{nil}, -1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			own := &journal{answers: c.own}
			accept(t, &journal{answers: c.leader}, own, c.kind)
			if c.ownCalls >= 0 {
				assert.Equal(t, own.calls, c.ownCalls)
			}
		})
	}
}

// Guards against congestion collapse of the log: while the leader waits for the log, entries
// that append by themselves take the turns in which it would write the values of all.
func TestNoEntryAppendsWhileTheLeaderWaitsForTheLog(t *testing.T) {
	waiting := &classifier.Error{Kind: classifier.Unanswered, Cause: classifier.ErrCongested}
	full := &classifier.Error{Kind: classifier.Busy, Cause: classifier.ErrCongested}
	for name, c := range map[string]struct {
		leader []error
		kind   classifier.Kind // -1: accepted
		calls  int             // of the leader
	}{
		"too much waits":              {[]error{full}, classifier.Busy, 1},
		"the log answers at last":     {[]error{waiting, full, nil}, -1, 3},
		"the log answers once more":   {[]error{waiting, nil}, -1, 2},
		"the log answers no one else": {[]error{waiting}, classifier.Unanswered, -1},
	} {
		t.Run(name, func(t *testing.T) {
			lead, own := &journal{answers: c.leader}, &journal{answers: []error{nil}}
			accept(t, lead, own, c.kind)
			assert.Equal(t, own.calls, 0)
			if c.calls >= 0 {
				assert.Equal(t, lead.calls, c.calls)
			}
		})
	}
}

// gate refuses what it is set to refuse.
type gate struct{ err error }

func (g gate) Admit(ledger.ID, ledger.Claim) error { return g.err }

func (gate) Withdraw(ledger.ID) {}

// submitter hands the claims of jobs to a journal.
type submitter struct {
	*journal
	claim ledger.Claim
}

func (s *submitter) Submit(ctx context.Context, v replicator.Value, c ledger.Claim) error {
	s.claim = c
	return s.Add(ctx, v)
}

// A refusal for the share is final for the request: no other way leads around it, and it says
// that nothing was written only if no earlier attempt may have been.
func TestNoWayLeadsAroundARefusal(t *testing.T) {
	beyond := &classifier.Error{Kind: classifier.BeyondShare, RetryAfter: 2 * time.Second}
	lost := &classifier.Error{Kind: classifier.Unanswered}
	unsent := &classifier.Error{Kind: classifier.Unsent}
	for name, c := range map[string]struct {
		lead     []error
		gate     error // of this entry
		kind     classifier.Kind
		ownCalls int
	}{
		"the leader refuses":       {[]error{beyond}, nil, classifier.BeyondShare, 0},
		"this entry leads":         {[]error{unsent}, beyond, classifier.BeyondShare, 0},
		"lost, then refused":       {[]error{lost, beyond}, beyond, classifier.Unanswered, 0},
		"no leader can be reached": {[]error{unsent}, nil, -1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			logger, _ := test.NewNullLogger()
			lead, own := &submitter{journal: &journal{answers: c.lead}}, &journal{answers: []error{nil}}
			a := &acceptor.Acceptor{Leader: &journal{answers: []error{nil}}, Own: own, Submitter: lead, Gate: gate{c.gate}, Logger: logger}
			ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
			defer cancel()
			job := ledger.Job{ID: "j", Workspace: "w", Queue: ledger.Queue{Objective: time.Second}, Steps: []ledger.Step{{Count: 1, Estimate: time.Second}}}
			err := a.Accept(ctx, job)
			assert.Equal(t, err == nil, c.kind < 0)
			if err != nil {
				assert.Equal(t, classifier.KindOf(err), c.kind)
			}
			assert.Equal(t, own.calls, c.ownCalls)
			assert.Equal(t, lead.claim, ledger.Claim{Workspace: "w", Chain: time.Second, Limit: 6 * time.Second, Weight: job.Weight()})
		})
	}
}

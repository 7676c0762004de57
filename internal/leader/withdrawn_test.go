package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// startSent returns the state of a leader that has ordered one start at w, and the effects
// so far.
func startSent(t *testing.T, advice *ledger.Advice) (leader.State, []leader.Effect, time.Time) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	s := leader.New(leader.Policy{Lease: testLease}, now)
	var all []leader.Effect
	var apply func(e leader.Event)
	apply = func(e leader.Event) {
		next, effects := s.Apply(e, now)
		s, all = next, append(all, effects...)
		for _, effect := range effects {
			switch f := effect.(type) {
			case leader.Record:
				apply(leader.Committed{Batch: f.Batch})
			case leader.RequestAdvice:
				apply(leader.AdviceAnswered{Call: f.Call, Permits: []leader.Permit{{Worker: "w", Ticket: "t"}}})
			}
		}
	}
	apply(leader.CallersChanged{Callers: []string{"a"}})
	apply(leader.Listed{Listing: listing(false)})
	apply(leader.Reported{Worker: "w", Report: leader.Report{Incarnation: 1, Clock: 1000}, Sent: now, Silence: leader.FirstSilence(0)})
	apply(leader.Accepted{Job: ledger.Job{ID: "j", Accepted: now, Queue: ledger.Queue{Service: "s", Advice: advice}, Steps: []ledger.Step{
		{Count: 1, Request: ledger.Resources{CPU: 100}, Estimate: time.Minute},
	}}})
	return s, all, now
}

func listing(draining bool) leader.Listing {
	return leader.Listing{ID: "w", Address: "w", Service: "s", Capacity: ledger.Resources{CPU: 8000}, Draining: draining, LeavesIn: time.Hour}
}

// Guards against starts at a worker that drains (review/14): one that waits for a slot there
// was neither withdrawn nor looked at again. The task is placed anew.
func TestStartsThatWaitForAWorkerThatLeavesAreWithdrawn(t *testing.T) {
	for name, e := range map[string]leader.Event{
		"draining": leader.Listed{Listing: listing(true)}, "unlisted": leader.Unlisted{ID: "w"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, now := startSent(t, nil)
			s, effects := s.Apply(e, now)
			var withdrawn []leader.Withdraw
			for _, effect := range effects {
				if w, ok := effect.(leader.Withdraw); ok {
					withdrawn = append(withdrawn, w)
				}
			}
			task := ledger.TaskID{Job: "j"}
			assert.DeepEqual(t, withdrawn, []leader.Withdraw{{Worker: "w", Task: task, Run: 1}})
			s, _ = s.Apply(leader.OrderAnswered{Worker: "w", Kind: leader.OrderStart, Task: task, Run: 1, Outcome: leader.NotSent}, now)
			assert.Equal(t, s.Counts(now).WaitingSteps, 1)
			assert.Equal(t, s.Counts(now).Used.CPU, int64(0))
		})
	}
}

// A start may wait longer than its ticket is valid, so the order says for how long that is.
func TestAStartSaysHowLongItsTicketIsValid(t *testing.T) {
	const valid = 2 * time.Second
	_, effects, _ := startSent(t, &ledger.Advice{TTL: valid})
	for _, effect := range effects {
		if o, ok := effect.(leader.Order); ok {
			assert.Assert(t, o.Ticket != "" && o.Valid > 0 && o.Valid <= valid, "ticket %q, valid for %v", o.Ticket, o.Valid)
			return
		}
	}
	t.Fatal("nothing was started")
}

package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Guards against a placement pass for each job of a burst: the jobs that arrive
// during the pause after a pass are placed together in the next one, in one batch.
func TestJobsOfABurstShareAPass(t *testing.T) {
	const pause = 10 * time.Millisecond
	now := time.Unix(1_700_000_000, 0)
	s := leader.New(leader.Policy{Lease: testLease, MinPassInterval: pause}, now)
	var effects []leader.Effect
	apply := func(e leader.Event) {
		var more []leader.Effect
		s, more = s.Apply(e, now)
		effects = append(effects, more...)
	}
	apply(leader.Listed{Listing: leader.Listing{ID: "w", Address: "w", Service: "s", Capacity: ledger.Resources{CPU: 64_000}}})
	apply(leader.Reported{Worker: "w", Report: leader.Report{Incarnation: 1}, Sent: now, Silence: 1})
	submit := func(i int) {
		apply(leader.Accepted{Job: ledger.Job{
			ID: ledger.ID(fmt.Sprintf("j%d", i)), Accepted: now, Queue: ledger.Queue{Service: "s"},
			Steps: []ledger.Step{{Count: 1, Request: ledger.Resources{CPU: 1000}}},
		}})
	}
	now = now.Add(time.Second)
	submit(0)
	assert.Equal(t, len(batches(effects)), 1, "the first job does not wait")

	effects = nil
	for i := range 20 {
		submit(i + 1)
	}
	assert.Equal(t, len(batches(effects)), 0, "no pass within the pause")
	assert.Equal(t, wakes(effects), 1)

	effects, now = nil, now.Add(2*pause)
	apply(leader.Woken{})
	placed := batches(effects)
	assert.Equal(t, len(placed), 1, "all are placed in one batch")
	for _, n := range placed {
		assert.Equal(t, n, 20)
	}
}

// batches counts the job records in each batch.
func batches(effects []leader.Effect) map[int64]int {
	found := map[int64]int{}
	for _, e := range effects {
		if r, ok := e.(leader.Record); ok && r.Job != "" {
			found[r.Batch]++
		}
	}
	return found
}

func wakes(effects []leader.Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(leader.Wake); ok {
			n++
		}
	}
	return n
}

// Load pattern: a small cell that is full. What becomes free goes to the few steps that
// wait at once, also if they found no room a moment ago.
func TestFewWaitingStepsAreVisitedByEachPass(t *testing.T) {
	h := newHarness(t, 1, ledger.Resources{CPU: 1000, Memory: 8000})
	step := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, Estimate: time.Second}
	h.submit("first", ledger.Queue{}, step)
	assert.Equal(t, len(h.running), 1)
	h.submit("second", ledger.Queue{}, step)
	assert.Equal(t, len(h.running), 1, "there is no room")
	h.now = h.now.Add(time.Millisecond)
	h.reportEnds("w00", leader.RunEnd{Number: 1, Task: "first.0.0.0", Run: 1, Kind: leader.EndDone})
	assert.Equal(t, len(h.running), 2)
}

// A step runs on workers of its queue's service that carry its label, and waits while
// there are none.
func TestTasksRunOnWorkersOfTheirServiceWithTheirLabel(t *testing.T) {
	h := newHarness(t, 0, ledger.Resources{})
	add := func(id, service string, labels ...string) {
		h.now = h.now.Add(time.Millisecond)
		h.apply(leader.Listed{Listing: leader.Listing{ID: id, Address: id, Service: service, Labels: labels, Capacity: ledger.Resources{CPU: 8000, Memory: 8000}}})
		h.report(id)
	}
	add("other", "another", "fast")
	add("plain", "s")
	h.submit("labelled", ledger.Queue{}, ledger.Step{Count: 2, Request: ledger.Resources{CPU: 1000}, RequiredLabel: "fast"})
	assert.Equal(t, len(h.running), 0)
	h.submit("unlabelled", ledger.Queue{}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}})
	assert.DeepEqual(t, h.running, map[string]string{"unlabelled.0.0.0": "plain"})
	add("fast", "s", "slow", "fast")
	assert.DeepEqual(t, h.running, map[string]string{"unlabelled.0.0.0": "plain", "labelled.0.0.0": "fast", "labelled.0.0.1": "fast"})
}

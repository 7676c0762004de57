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
	apply(leader.Reported{Worker: "w", Report: leader.Report{Incarnation: 1}, Sent: now})
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

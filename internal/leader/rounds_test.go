package leader_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Guards against a job that stops the cell: the progress of its occurrences, which
// overlapped, outgrew a record of the log, and the leader could write nothing more. Those
// that don't fit begin when others are done.
func TestOccurrencesWaitUntilTheProgressFitsIntoARecord(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 1_000_000, Memory: 1_000_000})
	job := ledger.Job{
		ID: "j", Accepted: h.now, Queue: ledger.Queue{Service: "s", Priority: 1}, Steps: []ledger.Step{{Count: 1000, Request: ledger.Resources{CPU: 100}}},
		Schedule: &ledger.Schedule{Times: 8, First: h.now, Interval: 10 * time.Millisecond},
	}
	assert.Equal(t, job.MaxRoundsInProgress(), 3)
	h.apply(leader.Accepted{Job: job})
	done := 0
	for _, want := range []int{3000, 3000, 2000} {
		h.advance(time.Second)
		assert.Equal(t, len(h.running), want)
		ends := map[string][]leader.RunEnd{}
		for task, at := range h.running {
			h.ended[at]++
			ends[at] = append(ends[at], leader.RunEnd{Number: h.ended[at], Task: task, Run: 1, Kind: leader.EndDone})
		}
		for at, list := range maps.Clone(ends) {
			for _, e := range list {
				delete(h.running, e.Task)
			}
			h.report(at, list...)
			done += len(list)
		}
	}
	assert.Equal(t, done, 8000)
	assert.Equal(t, h.records["j"].State, ledger.Complete)
}

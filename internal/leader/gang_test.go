package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

func gangStep(n int) ledger.Step {
	return ledger.Step{Count: n, Gang: true, Request: ledger.Resources{CPU: 1000}}
}

// Guards against the start of part of a gang, which makes no progress. The log
// delays the records of the gang, and one of its workers becomes unreachable
// meanwhile.
func TestNoMemberOfAGangStartsWithoutTheOthers(t *testing.T) {
	h := newHarness(t, 3, ledger.Resources{CPU: 1000, Memory: 8000})
	h.commitsDelayed = true
	h.submit("j", ledger.Queue{}, gangStep(3))
	h.apply(leader.PollFailed{Worker: "w02"})
	h.commitsDelayed = false
	for _, batch := range h.delayedBatches {
		h.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, h.countOrders(leader.OrderStart), 0)
	h.report("w02")
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStart), 3, "the gang starts as a whole once its worker answers")
}

// Guards against the members of a gang running on after a worker has refused the
// start of another member.
func TestAGangIsStoppedIfAMemberIsRefused(t *testing.T) {
	h := newHarness(t, 3, ledger.Resources{CPU: 1000, Memory: 8000})
	h.refusingWorker = "w01"
	h.submit("j", ledger.Queue{}, gangStep(3))
	assert.Equal(t, h.countOrders(leader.OrderStop), 2)
}

// Guards against the exclusion of the workers of a whole gang when the worker of one member is
// lost: the others make no progress without it.
func TestALostWorkerExcludesNoOthersOfItsGang(t *testing.T) {
	h := newHarness(t, 12, ledger.Resources{CPU: 1000, Memory: 8000})
	h.submit("j", ledger.Queue{}, gangStep(4))
	lost := h.running["j.0.0.0"]
	var others []string
	for _, task := range []string{"j.0.0.1", "j.0.0.2", "j.0.0.3"} {
		others = append(others, h.running[task])
		h.report(h.running[task])
	}
	h.apply(leader.PollFailed{Worker: lost})
	h.advance(3 * time.Second)
	for _, id := range others {
		h.report(id)
	}
	assert.Equal(t, h.countOrders(leader.OrderStop), 3)
	assert.Equal(t, h.countDecisions("exclude"), 0)
}

// Guards against failures that count as consecutive although a run was completed in between: a
// member of a gang whose end is reported after the one that has completed the round.
func TestEachCompletedMemberOfAGangEndsTheFailuresOfItsWorker(t *testing.T) {
	h := newHarness(t, 3, ledger.Resources{CPU: 1000, Memory: 8000})
	fail := func(task, worker string) {
		delete(h.running, task)
		h.ended[worker]++
		h.report(worker, leader.RunEnd{Number: h.ended[worker], Task: task, Run: 1, Kind: leader.EndFailed})
	}
	once := ledger.Queue{Attempts: 1}
	h.submit("a", once, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}})
	worker := h.running["a.0.0.0"]
	fail("a.0.0.0", worker)
	h.submit("gang", ledger.Queue{}, gangStep(3))
	last := ""
	for _, task := range h.runningTasks() {
		if h.running[task] == worker {
			last = task
			continue
		}
		h.completeRuns(h.running[task], task)
	}
	h.completeRuns(worker, last)
	h.submit("b", once, ledger.Step{Count: 3, Request: ledger.Resources{CPU: 1000}})
	for _, task := range h.runningTasks() {
		if h.running[task] == worker {
			fail(task, worker)
		}
	}
	assert.Equal(t, h.countDecisions("exclude"), 0)
}

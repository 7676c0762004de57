package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// capCPU brings a configuration into force that gives workspace "a" a cap of processor time.
func (h *harness) capCPU(version, most int64) {
	h.apply(leader.WorkspacesChanged{Version: version, Workspaces: []ledger.Workspace{{Name: "a", Cap: ledger.Resources{CPU: most}}}})
}

// submitIn submits a job of a workspace.
func (h *harness) submitIn(workspace string, id ledger.ID, q ledger.Queue, steps ...ledger.Step) {
	q.Service = "s"
	h.apply(leader.Accepted{Job: ledger.Job{ID: id, Workspace: workspace, Accepted: h.now, Queue: q, Steps: steps}})
}

// endAll has all runs of a job end as done, and returns how many.
func (h *harness) endAll(job ledger.ID) int {
	ended, n := map[string][]leader.RunEnd{}, 0
	for task, at := range h.running {
		if id, _ := ledger.ParseTaskID(task); id.Job == job {
			h.ended[at]++
			ended[at] = append(ended[at], leader.RunEnd{Number: h.ended[at], Task: task, Run: 1, Kind: leader.EndDone})
			n++
		}
	}
	for at, list := range ended {
		for _, e := range list {
			delete(h.running, e.Task)
		}
		h.report(at, list...)
	}
	return n
}

func plainStep(count int, cpu int64) ledger.Step {
	return ledger.Step{Count: count, Request: ledger.Resources{CPU: cpu}}
}

func TestAWideStepGoesInWaves(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(1, 5000)
	h.submitIn("a", "j", ledger.Queue{}, plainStep(12, 1000))
	for _, wave := range []int{5, 5, 2} {
		h.advance(time.Second)
		assert.Equal(t, h.endAll("j"), wave)
	}
	assert.Equal(t, h.records["j"].State, ledger.Complete)
}

func TestAGangWaitsForItsCapAsAWhole(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(1, 5000)
	h.submitIn("a", "first", ledger.Queue{}, plainStep(2, 1000))
	h.submitIn("a", "gang", ledger.Queue{}, gangStep(4))
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 2)
	h.endAll("first")
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 4)
}

// Guards against runs that are stopped, and starts that go on, when a cap is lowered below what
// is in use.
func TestALoweredCapHoldsBackStartsAndStopsNoRuns(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(1, 8000)
	h.submitIn("a", "first", ledger.Queue{}, plainStep(4, 1000))
	h.submitIn("a", "second", ledger.Queue{}, plainStep(4, 1000))
	h.capCPU(2, 5000)
	h.submitIn("a", "third", ledger.Queue{}, plainStep(4, 1000))
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 8)
	h.endAll("first")
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 5)
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
	h.capCPU(3, 0)
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 8, "without a limit all start")
}

// Guards against a start that is ordered under a cap that was lowered while its record was on
// its way into the log.
func TestARecordedStartIsWithheldUnderALowerCap(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(1, 8000)
	h.commitsDelayed = true
	h.submitIn("a", "j", ledger.Queue{}, plainStep(6, 1000))
	h.submitIn("a", "gang", ledger.Queue{}, gangStep(2))
	h.capCPU(2, 4000)
	h.commitsDelayed = false
	for _, batch := range h.delayedBatches {
		h.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, len(h.running), 4)
	h.endAll("j")
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 4)
}

// Guards against a task that waits for ever as its workspace's cap was lowered below its size.
func TestATaskLargerThanItsCapStartsBesideLittle(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(1, 4000)
	h.submitIn("a", "service", ledger.Queue{}, ledger.Step{Count: 2, LongRunning: true, Request: ledger.Resources{CPU: 1000}})
	h.submitIn("a", "large", ledger.Queue{}, plainStep(2, 5000))
	h.submitIn("a", "small", ledger.Queue{}, plainStep(2, 1000))
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 3, "one large task at a time, and nothing beside it")
	h.endAll("large")
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 3, "the other large one")
	h.endAll("large")
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 4)
}

// Guards against steps held back by their cap that use up a pass's effort, its advice calls or
// the room that preemption frees.
func TestStepsThatWaitForTheirCapHoldUpNoOthers(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 64000})
	for i := range 4 {
		h.permitted[fmt.Sprintf("w%02d", i)] = true
	}
	h.capCPU(1, 2000)
	for i := range 500 {
		h.submitIn("a", ledger.ID(fmt.Sprintf("held%03d", i)), advised("urgent", 0), plainStep(4, 1000))
	}
	asked := len(h.queried)
	h.submitIn("b", "j", ledger.Queue{Priority: 2}, plainStep(1, 1000))
	h.submitIn("", "free", advised("batch", 2), plainStep(2, 1000))
	assert.Equal(t, len(h.running), 5)
	assert.Equal(t, len(h.queried), asked+1)
	h.advance(3 * time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
	assert.Assert(t, len(h.queried) <= asked+3, "%d calls", len(h.queried)-asked)
	assert.Equal(t, h.state.Counts(h.now).WaitingSteps, 500)
}

// Guards against parked steps that nobody takes back: those released first have no room at
// the workers, and one that has is behind them.
func TestReleasedStepsWithoutRoomHoldUpNoParkedOnes(t *testing.T) {
	h := newHarness(t, 2, ledger.Resources{CPU: 8000, Memory: 64000})
	h.capCPU(1, 4000)
	h.submitIn("a", "first", ledger.Queue{}, plainStep(4, 1000))
	for i := range 400 {
		elsewhere := plainStep(1, 1000)
		elsewhere.RequiredLabel = "none"
		h.submitIn("a", ledger.ID(fmt.Sprintf("elsewhere%03d", i)), ledger.Queue{}, elsewhere)
	}
	h.submitIn("a", "last", ledger.Queue{Priority: 1}, plainStep(1, 1000))
	h.advance(time.Second)
	h.endAll("first")
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.running), 1)
}

// Guards against a new leader that starts tasks before it counts what an earlier one has
// started at workers that don't answer.
func TestANewLeaderCountsInheritedRunsAtSilentWorkers(t *testing.T) {
	h := newHarness(t, 2, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(1, 4000)
	h.submitIn("a", "old", ledger.Queue{}, plainStep(4, 1000))
	progress := h.records["old"]
	old := ledger.Job{ID: "old", Workspace: "a", Accepted: h.now, Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{plainStep(4, 1000)}}

	silent := h.running["old.0.0.0"]
	next := newHarness(t, 0, ledger.Resources{})
	next.capCPU(1, 4000)
	next.submitIn("a", "new", ledger.Queue{}, plainStep(4, 1000))
	next.apply(leader.Accepted{Job: old, Progress: &progress})
	for _, id := range []string{"w00", "w01", "w02"} {
		next.apply(leader.Listed{Listing: leader.Listing{ID: id, Address: id, Service: "s", Capacity: ledger.Resources{CPU: 8000, Memory: 8000}}})
		if id != silent {
			next.report(id)
		}
	}
	next.advance(time.Second)
	left := len(next.running)
	held := 0
	for _, at := range h.running {
		if at == silent {
			held++
		}
	}
	assert.Assert(t, held > 0)
	assert.Equal(t, left, 4-held)
}

package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// configure brings a workspace of weight 1 with a cap into force, beside one without a cap.
func (h *harness) configure(most int64) {
	h.apply(leader.WorkspacesChanged{Version: 9, Workspaces: []ledger.Workspace{
		{Name: "a", Weight: 1, Cap: ledger.Resources{CPU: most}}, {Name: "hot", Weight: 1},
	}})
}

// startedOf returns how many tasks of jobs with a prefix run.
func (h *harness) startedOf(prefix string) int {
	n := 0
	for task := range h.running {
		if len(task) > len(prefix) && task[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

// The time in which a step could not start because of its cap is no part of its wait for a
// rack: it would go elsewhere at once afterwards.
func TestTheWaitForARackPausesWhileTheCapHoldsBack(t *testing.T) {
	h := newRackHarness(t, 3, 4, 500*time.Millisecond)
	h.configure(1000)
	h.submitIn("a", "j", ledger.Queue{Priority: 1}, nearTask(5*time.Second))
	h.advance(100 * time.Millisecond)
	h.submitIn("a", "u", ledger.Queue{}, ledger.Step{Count: 1, Request: oneTask, RequiredLabel: "r1"})
	h.advance(2 * time.Second)
	assert.Assert(t, h.running["j.0.0.0"] == "" && h.running["u.0.0.0"] != "")
	h.endAll("u")
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.running["j.0.0.0"], "")
	h.end("first.0.0.0")
	h.advance(100 * time.Millisecond)
	assert.Assert(t, inFirstRack(h.running["j.0.0.0"]))
}

// Guards against room that is kept for tasks that their cap does not let start.
func TestNothingIsKeptForStepsThatTheirCapHoldsBack(t *testing.T) {
	h := newHarness(t, 1, ledger.Resources{CPU: 100})
	h.configure(10)
	h.submitIn("a", "wide", ledger.Queue{}, plainStep(50, 10))
	h.submit("full", ledger.Queue{}, plainStep(1, 90))
	h.flood("hot", 0, 30, plainStep(1, 10))
	h.advance(time.Second)
	assert.Equal(t, h.startedOf("hot"), 0)
	var ends []leader.RunEnd
	for i, task := range []string{"wide.0.0.0", "full.0.0.0"} {
		delete(h.running, task)
		ends = append(ends, leader.RunEnd{Number: int64(i + 1), Task: task, Run: 1, Kind: leader.EndDone})
	}
	h.now = h.now.Add(time.Second) // after the pauses of the steps that found no room
	h.report("w00", ends...)
	assert.Equal(t, h.startedOf("hot"), 9)
}

// Guards against a refusal while room is free: that a job waits for its rack does not show
// that there is none.
func TestAWaitForARackRefusesNothing(t *testing.T) {
	h := newRackHarness(t, 3, 4, 500*time.Millisecond)
	h.apply(leader.WorkspacesChanged{Version: 9, Workspaces: []ledger.Workspace{{Name: "hot", Weight: 0.1}}})
	h.flood("hot", 1, 4, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1}, RequiredLabel: "none"})
	near := nearTask(time.Second)
	h.flood("hot", 2, 3, near)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.startedOf("hot2"), 0)
	r, refused := h.state.Refuses(h.jobOf("j", "hot", 2, near).Claim(), h.now)
	assert.Assert(t, !refused, "%+v", r)
}

// A workspace that has used up its cap has no room, even while nothing of it ends.
func TestAJobIsRefusedThatItsCapKeepsFromBeingOfUse(t *testing.T) {
	step := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second}
	for most, want := range map[int64]bool{10: true, 1000: false} {
		h := newHarness(t, 4, ledger.Resources{CPU: 1000})
		h.configure(most)
		h.flood("a", 0, 20, step)
		h.advance(2500 * time.Millisecond)
		h.flood("a-next", 0, 1, step)
		h.flood("a", 1, 4, step) // uses up the share again
		_, refused := h.state.Refuses(h.jobOf("j", "a", 0, step).Claim(), h.now)
		assert.Equal(t, refused, want, "%d", most)
	}
}

// Steps beyond the share keep their turns while their cap holds them back.
func TestParkedStepsBeyondTheShareKeepTheirTurns(t *testing.T) {
	h := newHarness(t, 1, ledger.Resources{CPU: 1000})
	h.configure(10)
	h.flood("a", 0, 10, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second})
	for i := range 10 {
		h.advance(time.Second)
		assert.Equal(t, h.endAll(ledger.ID(fmt.Sprintf("a0-%d", i))), 1, "%d", i)
	}
}

// Parked steps that can be in time go before late ones of their priority, also while a step of
// a higher priority waits before both.
func TestLateParkedStepsOfEachPriorityGoBehind(t *testing.T) {
	h := newHarness(t, 1, ledger.Resources{CPU: 1000})
	h.capCPU(1, 20)
	h.submitIn("a", "before", ledger.Queue{}, plainStep(2, 10))
	step := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second}
	h.submitIn("a", "late", ledger.Queue{Priority: 1, Objective: 2 * time.Second}, step)
	h.submitIn("a", "intime", ledger.Queue{Priority: 1, Objective: time.Hour}, step)
	h.submitIn("a", "urgent", ledger.Queue{Objective: time.Hour}, step)
	h.advance(5 * time.Second)
	assert.Equal(t, h.endAll("before"), 2)
	h.advance(100 * time.Millisecond)
	assert.Assert(t, h.running["urgent.0.0.0"] != "" && h.running["intime.0.0.0"] != "", "%v", h.running)
}

// A step that its cap has held back waits for room like any other before it stops runs.
func TestAStepDoesNotPreemptAsSoonAsItsCapAllows(t *testing.T) {
	h := newHarness(t, 1, ledger.Resources{CPU: 100})
	h.capCPU(1, 10)
	h.submitIn("a", "first", ledger.Queue{}, plainStep(1, 10))
	h.submit("fill", ledger.Queue{Priority: 2}, ledger.Step{Count: 9, Request: ledger.Resources{CPU: 10}, Checkpoint: true})
	h.submitIn("a", "second", ledger.Queue{Objective: time.Hour}, plainStep(1, 10))
	h.report("w00")
	h.advance(2 * time.Second)
	h.submit("taker", ledger.Queue{Priority: 0, Objective: time.Second}, plainStep(1, 10))
	h.now = h.now.Add(50 * time.Millisecond)
	h.endAll("first")
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.running["second.0.0.0"], "")
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
}

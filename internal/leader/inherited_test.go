package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// inheritTasks returns a harness without workers whose leader has taken over a job of so many
// tasks, all of which an earlier leader has started at w00.
func inheritTasks(t *testing.T, tasks int) *harness {
	t.Helper()
	h := newHarness(t, 0, ledger.Resources{})
	j := ledger.Job{ID: "j", Accepted: h.now, Steps: []ledger.Step{{Count: tasks, Request: ledger.Resources{CPU: 1}, Estimate: time.Minute}}}
	p := ledger.NewProgress(j).WithRoundsBegun(j, 0).WithState(ledger.Running)
	for i := range tasks {
		p = p.WithTask(ledger.TaskID{Job: "j", Index: i}, ledger.Task{}.WithRun(2, "w00"))
	}
	h.apply(leader.Accepted{Job: j, Progress: &p})
	return h
}

// hearOf has w00 listed, and heard with a report of runs.
func (h *harness) hearOf(runs ...leader.RunStatus) {
	h.apply(leader.Listed{Listing: leader.Listing{ID: "w00", Address: "w00", Service: "s", Capacity: ledger.Resources{CPU: 8000}}})
	h.applyReport("w00", leader.Report{Incarnation: 1, Clock: h.now.UnixMilli(), Running: runs}, 0)
}

// Guards against thousands of orders for workers that nobody calls yet (review/11). Of the
// runs of a job that was cancelled, those are stopped that the worker lists; the others are
// over.
func TestARunThatWasTakenOverIsStoppedOnceItsWorkerListsIt(t *testing.T) {
	h := inheritTasks(t, ledger.MaxTasks)
	h.apply(leader.CancelAccepted{Job: "j"})
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
	h.hearOf(leader.RunStatus{Task: "j.0.0.7", Number: 2})
	assert.Equal(t, h.countOrders(leader.OrderStop), 1)
	assert.Equal(t, h.lostRuns(), ledger.MaxTasks-1)
}

// The same for a run whose task another run has completed meanwhile.
func TestARunThatWasTakenOverIsStoppedIfItsTaskIsDone(t *testing.T) {
	for _, tasks := range []int{1, 2} { // with the only one its round is done
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			h := inheritTasks(t, tasks)
			h.apply(leader.Listed{Listing: leader.Listing{ID: "w01", Address: "w01", Service: "s"}})
			done := leader.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, Kind: leader.EndDone}
			h.applyReport("w01", leader.Report{Incarnation: 1, Clock: h.now.UnixMilli(), Ended: []leader.RunEnd{done}}, 0)
			h.hearOf(leader.RunStatus{Task: "j.0.0.0", Number: 2}, leader.RunStatus{Task: "j.0.0.1", Number: 2})
			h.advance(100 * time.Millisecond)
			stops := 0
			for _, o := range h.orders {
				if o.Kind == leader.OrderStop && o.Task.Index == 0 {
					stops++
				}
			}
			assert.Equal(t, stops, 1)
		})
	}
}

// Guards against a lasting task that ends with its worker: a leader that takes over hears of a
// worker that drains before it hears the worker, and has to stop the runs there.
func TestALastingRunThatWasTakenOverIsStoppedIfItsWorkerDrains(t *testing.T) {
	h := newHarness(t, 0, ledger.Resources{})
	j := ledger.Job{ID: "j", Accepted: h.now, Steps: []ledger.Step{{Count: 1, LongRunning: true, Request: ledger.Resources{CPU: 1}}}}
	id := ledger.TaskID{Job: "j"}
	p := ledger.NewProgress(j).WithRoundsBegun(j, 0).WithState(ledger.Running).WithTask(id, ledger.Task{}.WithRun(2, "w00"))
	h.apply(leader.Accepted{Job: j, Progress: &p})
	h.apply(leader.Listed{Listing: leader.Listing{ID: "w00", Address: "w00", Service: "s", Capacity: ledger.Resources{CPU: 8000}, Draining: true, LeavesIn: time.Minute}})
	h.applyReport("w00", leader.Report{Incarnation: 1, Clock: h.now.UnixMilli(), Running: []leader.RunStatus{{Task: id.String(), Number: 2}}}, 0)
	h.advance(100 * time.Millisecond)
	assert.Assert(t, h.countOrders(leader.OrderStop) > 0)
}

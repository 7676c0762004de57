package leader_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// completeRuns has a worker report the given runs as done.
func (h *harness) completeRuns(id string, tasks ...string) {
	var ends []leader.RunEnd
	for _, task := range tasks {
		delete(h.running, task)
		h.ended[id]++
		ends = append(ends, leader.RunEnd{Number: h.ended[id], Task: task, Run: 1, Kind: leader.EndDone})
	}
	h.report(id, ends...)
}

// Guards against urgent tasks on slow workers: they go to the worker where similar
// tasks took the least time.
func TestUrgentTasksGoWhereRunsAreFast(t *testing.T) {
	h := newHarness(t, 3, ledger.Resources{CPU: 8000, Memory: 8000})
	took := map[string]time.Duration{"w00": time.Second, "w01": 800 * time.Millisecond, "w02": 1200 * time.Millisecond}
	for i := range 4 {
		h.submit(ledger.ID(fmt.Sprintf("before%d", i)), ledger.Queue{}, ledger.Step{Count: 12, Request: ledger.Resources{CPU: 2000}})
		began := h.now
		for _, id := range []string{"w01", "w00", "w02"} {
			h.now = began.Add(took[id])
			var tasks []string
			for task, at := range h.running {
				if at == id {
					tasks = append(tasks, task)
				}
			}
			h.completeRuns(id, tasks...)
		}
	}
	assert.Equal(t, len(h.running), 0)
	h.submit("urgent", ledger.Queue{}, ledger.Step{Count: 4, Request: ledger.Resources{CPU: 2000}})
	for task, at := range h.running {
		assert.Equal(t, at, "w01", "%s is not at the fastest worker", task)
	}
	assert.Equal(t, len(h.running), 4)
}

// Guards against needless preemption in a burst of urgent tasks: running tasks may
// end soon, so an urgent task preempts only after it has waited for a short time.
func TestPreemptionWaitsForTasksThatEndSoon(t *testing.T) {
	h := newHarness(t, 1, ledger.Resources{CPU: 2000, Memory: 8000})
	h.submit("batch", ledger.Queue{Priority: 2}, ledger.Step{Count: 2, Checkpoint: true, Estimate: time.Minute, Request: ledger.Resources{CPU: 1000}})
	h.advance(2 * time.Second)
	h.submit("urgent", ledger.Queue{Objective: time.Minute}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.countOrders(leader.OrderStop), 1)
}

// countOrders returns the number of orders of a kind.
func (h *harness) countOrders(kind leader.OrderKind) int {
	n := 0
	for _, o := range h.orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

// countDecisions returns the number of decisions of a kind.
func (h *harness) countDecisions(what string) int {
	n := 0
	for _, d := range h.decisions {
		if d.What == what {
			n++
		}
	}
	return n
}

// Guards against jobs that are delayed by one slow worker: a run that is far behind
// when the other tasks of its step have ended is stopped, so that it starts
// elsewhere. A run that is only a little late continues.
func TestStragglingRunsAreMoved(t *testing.T) {
	for name, c := range map[string]struct {
		percent int // progress of the last run when the others have ended
		moved   bool
	}{
		"far behind":    {20, true},
		"no progress":   {0, true},
		"a little late": {80, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, ledger.Resources{CPU: 1000, Memory: 8000})
			h.submit("j", ledger.Queue{}, ledger.Step{Count: 4, Request: ledger.Resources{CPU: 1000}, Estimate: time.Second})
			h.now = h.now.Add(time.Second)
			last := ""
			for _, task := range h.runningTasks() {
				if last == "" {
					last = task
					continue
				}
				h.completeRuns(h.running[task], task)
			}
			h.now = h.now.Add(200 * time.Millisecond)
			h.percent = c.percent
			h.report(h.running[last])
			assert.Equal(t, h.countOrders(leader.OrderStop) == 1, c.moved)
		})
	}
}

// Guards against the exclusion of a worker for a single straggling run, counted anew with each
// report that lists it: the third run of a task is not moved any more.
func TestAStragglingRunCountsOnce(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 1000, Memory: 8000})
	h.submit("j", ledger.Queue{}, ledger.Step{Count: 4, Request: ledger.Resources{CPU: 1000}, Estimate: time.Second})
	const last = "j.0.0.0"
	for run := 1; run < 3; run++ {
		worker := h.running[last]
		delete(h.running, last)
		h.ended[worker]++
		h.report(worker, leader.RunEnd{Number: h.ended[worker], Task: last, Run: run, Kind: leader.EndStopped})
	}
	h.now = h.now.Add(time.Second)
	for _, task := range []string{"j.0.0.1", "j.0.0.2", "j.0.0.3"} {
		h.completeRuns(h.running[task], task)
	}
	worker := h.running[last]
	for percent := 36; percent < 44; percent++ {
		h.now = h.now.Add(25 * time.Millisecond)
		h.applyReport(worker, leader.Report{
			Incarnation: 1, Clock: h.now.UnixMilli(), Running: []leader.RunStatus{{Task: last, Number: 3, Percent: percent}},
		}, h.now.Add(testLease).UnixMilli())
	}
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
	assert.Equal(t, h.countDecisions("exclude"), 0)
}

// runningTasks returns the running tasks in a fixed order.
func (h *harness) runningTasks() []string { return slices.Sorted(maps.Keys(h.running)) }

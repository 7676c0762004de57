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

// finish has a worker report runs as done.
func (b *bench) finish(id string, tasks ...string) {
	var ends []leader.End
	for _, task := range tasks {
		delete(b.running, task)
		b.ended[id]++
		ends = append(ends, leader.End{Number: b.ended[id], Task: task, Run: 1, How: leader.EndDone})
	}
	b.report(id, ends...)
}

// Workers of unlike speeds: what is urgent goes where like tasks took less time.
func TestUrgentTasksGoWhereRunsAreFast(t *testing.T) {
	b := newBench(t, 3, ledger.Size{CPU: 8000, Memory: 8000})
	took := map[string]time.Duration{"w00": time.Second, "w01": 800 * time.Millisecond, "w02": 1200 * time.Millisecond}
	for i := range 4 {
		b.submit(ledger.ID(fmt.Sprintf("before%d", i)), ledger.Queue{}, ledger.Step{Count: 12, Size: ledger.Size{CPU: 2000}})
		began := b.now
		for _, id := range []string{"w01", "w00", "w02"} {
			b.now = began.Add(took[id])
			var tasks []string
			for task, at := range b.running {
				if at == id {
					tasks = append(tasks, task)
				}
			}
			b.finish(id, tasks...)
		}
	}
	assert.Equal(t, len(b.running), 0)
	b.submit("urgent", ledger.Queue{}, ledger.Step{Count: 4, Size: ledger.Size{CPU: 2000}})
	for task, at := range b.running {
		assert.Equal(t, at, "w01", "%s is not at the fastest worker", task)
	}
	assert.Equal(t, len(b.running), 4)
}

// A burst of urgent tasks: those that run end soon, so nothing is preempted for
// one that has waited for a short time only, and something is after that.
func TestPreemptionWaitsForTasksThatEndSoon(t *testing.T) {
	b := newBench(t, 1, ledger.Size{CPU: 2000, Memory: 8000})
	b.submit("batch", ledger.Queue{Priority: 2}, ledger.Step{Count: 2, Checkpoint: true, Estimate: time.Minute, Size: ledger.Size{CPU: 1000}})
	b.pass(2 * time.Second)
	b.submit("urgent", ledger.Queue{Objective: time.Minute}, ledger.Step{Count: 1, Size: ledger.Size{CPU: 1000}})
	b.pass(100 * time.Millisecond)
	assert.Equal(t, b.ordered(leader.OrderStop), 0)
	b.pass(300 * time.Millisecond)
	assert.Equal(t, b.ordered(leader.OrderStop), 1)
}

// ordered counts the orders of a kind.
func (b *bench) ordered(kind leader.OrderKind) int {
	n := 0
	for _, o := range b.orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

// Slow workers: a run that is far behind when its siblings have ended is moved,
// and its worker takes no more urgent tasks once that was seen twice. A step that
// is slow everywhere is left alone.
func TestStragglingRunsAreMoved(t *testing.T) {
	for name, c := range map[string]struct {
		percent int // of the last run, when the others have ended
		moved   bool
	}{
		"far behind":    {20, true},
		"stands still":  {0, true},
		"a little late": {80, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 4, ledger.Size{CPU: 1000, Memory: 8000})
			b.submit("j", ledger.Queue{}, ledger.Step{Count: 4, Size: ledger.Size{CPU: 1000}, Estimate: time.Second})
			b.now = b.now.Add(time.Second)
			last := ""
			for _, task := range b.tasks() {
				if last == "" {
					last = task
					continue
				}
				b.finish(b.running[task], task)
			}
			b.now = b.now.Add(200 * time.Millisecond)
			b.percent = c.percent
			b.report(b.running[last])
			assert.Equal(t, b.ordered(leader.OrderStop) == 1, c.moved)
		})
	}
}

// tasks lists what runs in a fixed order.
func (b *bench) tasks() []string { return slices.Sorted(maps.Keys(b.running)) }

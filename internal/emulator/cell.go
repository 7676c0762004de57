package emulator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/timer"
)

// pollPeriod is the time between two checks of a polled worker for ended runs.
const pollPeriod = 5 * time.Millisecond

// Cell emulates the workers of a cell. It executes orders and records task
// starts that violate an invariant.
type Cell struct {
	RunTime  time.Duration    // duration of every run
	Capacity ledger.Resources // of each worker; not checked if Size is nil
	Size     func(ledger.TaskID) ledger.Resources

	mu         sync.Mutex
	workers    map[string]*workerState
	violations []string
	done       map[ledger.TaskID]bool
}

var (
	_ commander.Workers    = (*Cell)(nil)
	_ commander.Connection = connection{}
)

// workerState is the state of one worker of a cell.
type workerState struct {
	fence   int64                   // highest one seen
	lastEnd int64                   // number of the newest end
	running map[string]time.Time    // start time by run
	tasks   map[string]leader.Order // by run
	ends    []leader.RunEnd         // not yet acknowledged
	lease   int64                   // end of the leases on its clock, in milliseconds, 0 before the first
	lost    bool                    // no call reaches it
}

// worker returns the state of a worker and creates it if needed. The caller
// holds c.mu.
func (c *Cell) worker(name string) *workerState {
	if c.workers == nil {
		c.workers, c.done = map[string]*workerState{}, map[ledger.TaskID]bool{}
	}
	w, ok := c.workers[name]
	if !ok {
		w = &workerState{running: map[string]time.Time{}, tasks: map[string]leader.Order{}}
		c.workers[name] = w
	}
	return w
}

// Lose cuts a worker off, so that no call reaches it any more. What runs there goes on
// until its leases have expired.
func (c *Cell) Lose(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.worker(worker).lost = true
}

// Running returns the tasks that run at a worker.
func (c *Cell) Running(worker string) []ledger.TaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.worker(worker)
	w.expire(time.Now())
	var tasks []ledger.TaskID
	for key := range w.running {
		tasks = append(tasks, w.tasks[key].Task)
	}
	return tasks
}

// connection is a connection to one of the workers, which neither restart nor break
// connections off.
type connection struct{ *Cell }

// Connect returns a connection. Targets name the worker.
func (c *Cell) Connect(string) commander.Connection { return connection{c} }

// Close does nothing.
func (connection) Close() {}

// Order executes an order on a worker. An order of a lower fence than the
// worker has seen is refused.
func (c connection) Order(_ context.Context, to commander.Target, o leader.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, err := c.admit(to)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s#%d", o.Task, o.Run)
	switch o.Kind {
	case leader.OrderStart:
		c.checkStart(w, o)
		w.running[key], w.tasks[key] = time.Now(), o
	case leader.OrderStop:
		if _, ok := w.running[key]; ok {
			w.end(key, leader.EndStopped)
		}
	}
	return nil
}

// admit returns the worker that a call is for, with the call's fence and its leases in
// force there. The caller holds c.mu.
func (c *Cell) admit(to commander.Target) (*workerState, error) {
	w := c.worker(to.Worker)
	if w.lost {
		return nil, &classifier.Error{Kind: classifier.Unanswered}
	}
	if to.Fence < w.fence {
		return nil, &classifier.Error{Kind: classifier.Fenced}
	}
	w.expire(time.Now())
	w.fence, w.lease = to.Fence, max(w.lease, to.Values.Deadline())
	return w, nil
}

// expire ends all runs if the leases have expired.
func (w *workerState) expire(now time.Time) {
	if w.lease == 0 || now.UnixMilli() < w.lease {
		return
	}
	for key := range w.running {
		w.end(key, leader.EndLeaseExpired)
	}
}

// checkStart records the invariants that the start of a task on a worker
// violates. The caller holds c.mu.
func (c *Cell) checkStart(w *workerState, o leader.Order) {
	if c.Size != nil {
		used := c.Size(o.Task)
		for key := range w.running {
			used = used.Plus(c.Size(w.tasks[key].Task))
		}
		if !c.Capacity.CanFit(used) {
			c.violations = append(c.violations, "started beyond the capacity of "+o.Worker+": "+o.Task.String())
		}
	}
	if c.done[o.Task] {
		c.violations = append(c.violations, "started after it was done: "+o.Task.String())
	}
	for name, other := range c.workers {
		other.expire(time.Now())
		for key := range other.running {
			if other.tasks[key].Task == o.Task {
				c.violations = append(c.violations, "started twice: "+key+" at "+name)
			}
		}
	}
}

// end removes a run and adds its end to the worker's report.
func (w *workerState) end(key string, how leader.EndKind) {
	o := w.tasks[key]
	delete(w.running, key)
	w.lastEnd++
	w.ends = append(w.ends, leader.RunEnd{Number: w.lastEnd, Task: o.Task.String(), Run: o.Run, Kind: how})
}

// Poll returns a worker's report as soon as it contains an ended run, or after
// wait. Ends up to the number acked are dropped. At a lost worker, it fails
// cutCallDelay after wait.
func (c connection) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	for end := time.Now().Add(wait); ; timer.Sleep(ctx, pollPeriod) {
		report, err := c.report(to, to.Values.Acked())
		if classifier.Is(err, classifier.Unanswered) {
			timer.Sleep(ctx, time.Until(end)+cutCallDelay) // the caller waits in vain
			return report, err
		}
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return report, err
		}
	}
}

func (c *Cell) report(to commander.Target, acked int64) (leader.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, err := c.admit(to)
	if err != nil {
		return leader.Report{}, err
	}
	for key, began := range w.running {
		if time.Since(began) > c.RunTime {
			c.done[w.tasks[key].Task] = true
			w.end(key, leader.EndDone)
		}
	}
	for len(w.ends) > 0 && w.ends[0].Number <= acked {
		w.ends = w.ends[1:]
	}
	r := leader.Report{Incarnation: 1, Clock: time.Now().UnixMilli(), Ended: w.ends}
	for key := range w.running {
		o := w.tasks[key]
		r.Running = append(r.Running, leader.RunStatus{Task: o.Task.String(), Number: o.Run})
	}
	return r, nil
}

// Violations returns a description of each start that violated an invariant.
func (c *Cell) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Done returns how many tasks have run to completion.
func (c *Cell) Done() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.done)
}

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
	// Members returns the size of the gang that a task belongs to, 0 for none. No task
	// belongs to a gang if it is nil.
	Members func(ledger.TaskID) int
	// GangWait is how long a member of a gang waits for the others, without limit if it is 0.
	GangWait time.Duration
	// End decides how a run ends whose time is over, or that it goes on for now if it returns
	// "". Members of a gang that would be done end as broken once another has ended otherwise.
	// All runs are done if it is nil. It must not call the cell.
	End func(task ledger.TaskID, run int) leader.EndKind

	mu         sync.Mutex
	workers    map[string]*workerState
	gangs      map[string]*gangRun // by gangKey
	violations []string
	done       map[ledger.TaskID]bool
	starts     map[ledger.TaskID]int
	active     map[ledger.TaskID]int // runs that execute
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
		c.workers, c.gangs = map[string]*workerState{}, map[string]*gangRun{}
		c.done, c.starts, c.active = map[ledger.TaskID]bool{}, map[ledger.TaskID]int{}, map[ledger.TaskID]int{}
	}
	w, ok := c.workers[name]
	if !ok {
		w = &workerState{running: map[string]time.Time{}, tasks: map[string]leader.Order{}}
		c.workers[name] = w
	}
	return w
}

// SetRunTime changes the duration of every run.
func (c *Cell) SetRunTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.RunTime = d
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
	c.expire(w, time.Now())
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
		if _, again := w.running[key]; !again {
			c.active[o.Task]++
		}
		w.running[key], w.tasks[key] = time.Now(), o
		c.starts[o.Task]++
		if g := c.gang(o); g != nil {
			g.join(w, c.Members(o.Task))
		}
	case leader.OrderStop:
		if _, ok := w.running[key]; ok {
			c.end(w, key, leader.EndStopped)
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
	c.expire(w, time.Now())
	w.fence, w.lease = to.Fence, max(w.lease, to.Values.Deadline())
	return w, nil
}

// expire ends all runs at a worker if the leases there have expired. The caller holds c.mu.
func (c *Cell) expire(w *workerState, now time.Time) {
	if w.lease == 0 || now.UnixMilli() < w.lease {
		return
	}
	for key := range w.running {
		c.end(w, key, leader.EndLeaseExpired)
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
	for _, other := range c.workers {
		c.expire(other, time.Now())
	}
	if c.active[o.Task] > 0 {
		c.violations = append(c.violations, "started twice: "+o.Task.String()+" at "+o.Worker)
	}
}

// end removes a run and adds its end to the worker's report. The caller holds c.mu.
func (c *Cell) end(w *workerState, key string, how leader.EndKind) {
	o := w.tasks[key]
	if g := c.gang(o); g != nil {
		g.note(how)
	}
	if how == leader.EndDone {
		c.done[o.Task] = true
	}
	delete(w.running, key)
	c.active[o.Task]--
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
	c.advance(w, time.Now())
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

// advance ends the runs at a worker that are due, and again those that become due as another
// ends. The caller holds c.mu.
func (c *Cell) advance(w *workerState, now time.Time) {
	for ended := true; ended; {
		ended = false
		for key := range w.running {
			if how := c.due(w, key, now); how != "" {
				c.end(w, key, how)
				ended = true
			}
		}
	}
}

// due returns how a run ends now, or "" if it goes on. The caller holds c.mu.
func (c *Cell) due(w *workerState, key string, now time.Time) leader.EndKind {
	o := w.tasks[key]
	if g := c.gang(o); g != nil {
		return c.dueInGang(g, w, key, now)
	}
	if now.Sub(w.running[key]) <= c.RunTime {
		return ""
	}
	return c.endOf(o)
}

// endOf returns how a run ends whose time is over.
func (c *Cell) endOf(o leader.Order) leader.EndKind {
	if c.End == nil {
		return leader.EndDone
	}
	return c.End(o.Task, o.Run)
}

// Starts returns how many runs of a task have started.
func (c *Cell) Starts(task ledger.TaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task]
}

// LastEnd returns the number of the newest end at a worker, 0 before the first.
func (c *Cell) LastEnd(worker string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worker(worker).lastEnd
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

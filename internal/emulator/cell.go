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

// lookPeriod is how often a worker that was asked looks whether a run has ended.
const lookPeriod = 5 * time.Millisecond

// Cell is a stand-in of the workers of a cell. It obeys orders and notes starts
// that break a rule.
type Cell struct {
	Length time.Duration // how long a run takes
	Room   ledger.Size   // of each worker; not checked if Size is nil
	Size   func(ledger.TaskID) ledger.Size

	mu     sync.Mutex
	posts  map[string]*post
	faults []string
	done   map[ledger.TaskID]bool
}

var _ commander.Workers = (*Cell)(nil)

// post is one worker of a cell.
type post struct {
	fence   int64
	count   int64
	running map[string]time.Time
	tasks   map[string]leader.Order
	ends    []leader.End
}

// at returns a worker. The caller holds the lock.
func (c *Cell) at(worker string) *post {
	if c.posts == nil {
		c.posts, c.done = map[string]*post{}, map[ledger.TaskID]bool{}
	}
	p, ok := c.posts[worker]
	if !ok {
		p = &post{running: map[string]time.Time{}, tasks: map[string]leader.Order{}}
		c.posts[worker] = p
	}
	return p
}

// Order has a worker carry out an order.
func (c *Cell) Order(_ context.Context, to commander.Target, o leader.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.at(to.Worker)
	if to.Epoch < p.fence {
		return &classifier.Error{Kind: classifier.Fenced}
	}
	p.fence = to.Epoch
	key := fmt.Sprintf("%s#%d", o.Task, o.Run)
	switch o.Kind {
	case leader.OrderStart:
		c.check(p, o)
		p.running[key], p.tasks[key] = time.Now(), o
	case leader.OrderStop:
		if _, ok := p.running[key]; ok {
			p.end(key, leader.EndStopped)
		}
	}
	return nil
}

// check notes a start that breaks a rule.
func (c *Cell) check(at *post, o leader.Order) {
	if c.Size != nil {
		used := c.Size(o.Task)
		for key := range at.running {
			used = used.Plus(c.Size(at.tasks[key].Task))
		}
		if !c.Room.Fits(used) {
			c.faults = append(c.faults, "started beyond the room of "+o.Worker+": "+o.Task.String())
		}
	}
	if c.done[o.Task] {
		c.faults = append(c.faults, "started after it was done: "+o.Task.String())
	}
	for worker, p := range c.posts {
		for key := range p.running {
			if p.tasks[key].Task == o.Task {
				c.faults = append(c.faults, "started twice: "+key+" at "+worker)
			}
		}
	}
}

func (p *post) end(key string, how leader.How) {
	o := p.tasks[key]
	delete(p.running, key)
	p.count++
	p.ends = append(p.ends, leader.End{Number: p.count, Task: o.Task.String(), Run: o.Run, How: how})
}

// Look returns a worker's report, once a run has ended or a time has passed.
func (c *Cell) Look(ctx context.Context, to commander.Target, acked int64, wait time.Duration) (leader.Report, error) {
	for end := time.Now().Add(wait); ; timer.Sleep(ctx, lookPeriod) {
		report, err := c.report(to, acked)
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return report, err
		}
	}
}

func (c *Cell) report(to commander.Target, acked int64) (leader.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.at(to.Worker)
	if to.Epoch < p.fence {
		return leader.Report{}, &classifier.Error{Kind: classifier.Fenced}
	}
	p.fence = to.Epoch
	for key, began := range p.running {
		if time.Since(began) > c.Length {
			c.done[p.tasks[key].Task] = true
			p.end(key, leader.EndDone)
		}
	}
	for len(p.ends) > 0 && p.ends[0].Number <= acked {
		p.ends = p.ends[1:]
	}
	r := leader.Report{Life: 1, Clock: time.Now().UnixMilli(), Ended: p.ends}
	for key := range p.running {
		o := p.tasks[key]
		r.Running = append(r.Running, leader.Run{Task: o.Task.String(), Number: o.Run})
	}
	return r, nil
}

// Faults returns the starts that broke a rule.
func (c *Cell) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.faults)
}

// Done returns how many tasks have ended well.
func (c *Cell) Done() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.done)
}

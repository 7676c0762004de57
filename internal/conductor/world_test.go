package conductor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/router"
)

// log is a stand-in of the platform's log in memory.
type log struct {
	mu      sync.Mutex
	changed chan struct{}
	streams map[string][]replicator.Value
	epochs  map[string]int64
	next    map[string]int64
}

func newLog() *log {
	return &log{changed: make(chan struct{}), streams: map[string][]replicator.Value{}, epochs: map[string]int64{}, next: map[string]int64{}}
}

func (l *log) Append(_ context.Context, a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.streams[a.Stream]))
	if a.Expected != nil && *a.Expected != end {
		return replicator.Position{}, &classifier.Error{Kind: classifier.Moved, Number: end}
	}
	if a.Writer != "" {
		switch epoch := l.epochs[a.Writer]; {
		case a.Epoch < epoch:
			return replicator.Position{}, &classifier.Error{Kind: classifier.Fenced}
		case a.Epoch == epoch && a.Sequence != l.next[a.Writer]:
			return replicator.Position{}, &classifier.Error{Kind: classifier.Sequence, Number: l.next[a.Writer]}
		}
		l.epochs[a.Writer], l.next[a.Writer] = a.Epoch, a.Sequence+1
	}
	for i, v := range a.Values {
		v.Offset = end + int64(i)
		l.streams[a.Stream] = append(l.streams[a.Stream], v)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return replicator.Position{First: end, End: end + int64(len(a.Values))}, nil
}

func (l *log) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]replicator.Value, int64, error) {
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		all, changed := l.streams[stream], l.changed
		l.mu.Unlock()
		if int64(len(all)) > from || wait == 0 {
			return all[min(from, int64(len(all))):], int64(len(all)), nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, int64(len(all)), nil
		case <-changed:
		}
	}
}

func (l *log) Newest(_ context.Context, stream string) ([]replicator.Value, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]replicator.Value{}
	for _, v := range l.streams[stream] {
		newest[v.Name] = v
	}
	var values []replicator.Value
	for _, v := range newest {
		if v.Data != nil {
			values = append(values, v)
		}
	}
	return values, int64(len(l.streams[stream])), nil
}

// port is the way of one entry to the log. It can be cut.
type port struct {
	*log
	mu  sync.Mutex
	cut bool
	// behind is a stream whose waiting reads bring nothing, as over a link that
	// has much to catch up on.
	behind string
}

func (p *port) setBehind(stream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind = stream
}

func (p *port) isBehind(stream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.behind == stream
}

func (p *port) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// way waits as a silent connection does if the way is cut.
func (p *port) way(ctx context.Context) error {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if !cut {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(200 * time.Millisecond):
	}
	return &classifier.Error{Kind: classifier.Unanswered}
}

func (p *port) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	if err := p.way(ctx); err != nil {
		return replicator.Position{}, err
	}
	return p.log.Append(ctx, a)
}

func (p *port) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]replicator.Value, int64, error) {
	if err := p.way(ctx); err != nil {
		return nil, 0, err
	}
	if wait > 0 && p.isBehind(stream) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return p.log.Read(ctx, stream, from, wait)
}

func (p *port) Newest(ctx context.Context, stream string) ([]replicator.Value, int64, error) {
	if err := p.way(ctx); err != nil {
		return nil, 0, err
	}
	return p.log.Newest(ctx, stream)
}

func (p *port) Worker(id string, data []byte) (leader.Listing, error) {
	l := leader.Listing{}
	err := json.Unmarshal(data, &l)
	l.ID = id
	return l, err
}

func (p *port) Config([]byte) (router.Config, error) { return router.Config{Version: 1}, nil }
func (p *port) ConfigName() (string, string)         { return "op", "config" }
func (p *port) WorkerStream() string                 { return "workers" }

// cell is a stand-in of all workers. A run is done after a time.
type cell struct {
	mu     sync.Mutex
	length time.Duration
	posts  map[string]*post
	faults []string // rules broken
	done   map[ledger.TaskID]bool
}

type post struct {
	fence   int64
	count   int64
	running map[string]time.Time
	tasks   map[string]leader.Order
	ends    []leader.End
}

func newCell(length time.Duration) *cell {
	return &cell{length: length, posts: map[string]*post{}, done: map[ledger.TaskID]bool{}}
}

func (c *cell) at(worker string) *post {
	p, ok := c.posts[worker]
	if !ok {
		p = &post{running: map[string]time.Time{}, tasks: map[string]leader.Order{}}
		c.posts[worker] = p
	}
	return p
}

func (c *cell) Order(_ context.Context, to commander.Target, o leader.Order) error {
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
		c.check(o)
		p.running[key], p.tasks[key] = time.Now(), o
	case leader.OrderStop:
		if _, ok := p.running[key]; ok {
			p.end(key, leader.EndStopped)
		}
	}
	return nil
}

// check notes a start that breaks a rule.
func (c *cell) check(o leader.Order) {
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

func (c *cell) Look(ctx context.Context, to commander.Target, acked int64, wait time.Duration) (leader.Report, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		report, err := c.report(to, acked)
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return report, err
		}
	}
}

func (c *cell) report(to commander.Target, acked int64) (leader.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.at(to.Worker)
	if to.Epoch < p.fence {
		return leader.Report{}, &classifier.Error{Kind: classifier.Fenced}
	}
	p.fence = to.Epoch
	for key, began := range p.running {
		if time.Since(began) > c.length {
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

func (c *cell) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

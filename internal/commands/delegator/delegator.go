// Package delegator spreads a leader's calls to workers over the linked entries. A
// call over HTTP costs the leader far more than its decision; entries that call
// workers in its name, its deputies, exchange commands and events with it in batches.
//
// A Delegator is the leader's end: it assigns each worker to a deputy or to the
// leader's own commander and passes commands on in order. A Deputy is an entry's end:
// it runs a commander for the leader's epoch. Decisions, records and epochs stay with
// the leader. What a deputy may do expires unless the leader keeps confirming it.
package delegator

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// maxLocal is the number of workers up to which a leader calls all itself. If there
	// are more, it goes on to call minLocal: its processor is what bounds a large cell.
	maxLocal = 64
	minLocal = 8
	// workersPerCore is the number of workers that a deputy calls for each whole core
	// of its share of a processor. Few deputies with many workers each cost the leader
	// less than many, since a batch has more in it.
	workersPerCore = 250
	// flushInterval is the least time between two batches to or from a deputy.
	flushInterval = 8 * time.Millisecond
	// commandTimeout bounds the passing of one batch of commands. A deputy only queues
	// them; one that takes longer is paused or cut off.
	commandTimeout = time.Second
	// checkInterval is the time between two checks whether a deputy still reports.
	checkInterval = 500 * time.Millisecond
	// lostPause is how long a lost deputy that is still linked gets no workers, since
	// each loss makes the outcome of its orders unknown.
	lostPause = 5 * time.Second
	// fenceWait bounds the wait for a fence above those of earlier callers. It is twice the
	// time between two heartbeats, with each of which the fence rises.
	fenceWait = 400 * time.Millisecond
	// reportTimeout is how long a deputy may take to report before it counts as lost, and bounds
	// one batch to the leader.
	reportTimeout = 2 * time.Second
	// MaxGrant is how long a deputy goes on without a confirmation by the leader. It is half
	// of the time for which a leader renews leases without the log: the log has to confirm the
	// leader within the other half.
	MaxGrant = 1250 * time.Millisecond
)

// Entry is a linked entry that can be a deputy.
type Entry struct {
	Name     string
	Zone     string
	CPUShare float64
}

// Caller calls workers. The methods start calls and do not wait, neither for these nor for a
// Sink: they are called on the control thread.
type Caller interface {
	// Watch starts the polling of a worker, or continues it at a new address.
	Watch(e leader.StartPolling)
	// Unwatch stops the polling of a worker.
	Unwatch(e leader.StopPolling)
	// Poll polls a worker at once.
	Poll(e leader.PollNow)
	// Renew has the leases of a worker renewed with the next polls.
	Renew(e leader.Renew)
	// Acknowledge lets a worker forget ended runs with the next poll.
	Acknowledge(e leader.Acknowledge)
	// Order sends an order to a worker.
	Order(o leader.Order)
	// Withdraw has the start of a run given up, unless it has been sent.
	Withdraw(e leader.Withdraw)
}

// Link passes commands on to other entries.
type Link interface {
	// Command passes a batch on to an entry and returns once it has accepted it.
	Command(ctx context.Context, entry string, c Commands) error
}

// Sink takes events.
type Sink interface {
	// Submit takes an event for the leader of an epoch.
	Submit(epoch int64, e leader.Event)
}

// Delegator is the leader's end. Set the exported fields, call Start before any other
// method, and Wait after the context has ended.
type Delegator struct {
	Local     Caller
	Link      Link
	Sink      Sink
	Logger    logrus.FieldLogger
	Epoch     int64
	Lease     time.Duration
	MayGrant  func() bool  // whether the leader was confirmed lately enough to grant MaxGrant more
	Fence     func() int64 // returns the highest fence that calls to workers may have; nil for the epoch
	MaxLocal  int          // workers up to which the leader calls all itself; 0 for the defaults of both
	MinLocal  int          // workers that it calls itself if there are more; 0 for MaxLocal
	ctx       context.Context
	group     errgroup.Group
	mu        sync.Mutex
	deputies  map[string]*deputy
	workers   map[string]assignment
	local     int // workers that the leader calls itself
	sessions  int64
	watches   int64                // numbers that callers of workers were given
	rebalance bool                 // workers may be called by the leader for want of deputies
	lostAt    map[string]time.Time // when entries were last lost as deputies
}

// Start prepares the delegator. The context bounds all its calls.
func (d *Delegator) Start(ctx context.Context) {
	d.ctx = ctx
	d.deputies, d.workers, d.lostAt = map[string]*deputy{}, map[string]assignment{}, map[string]time.Time{}
	if d.MaxLocal == 0 {
		d.MaxLocal, d.MinLocal = maxLocal, minLocal
	}
	if d.MinLocal == 0 {
		d.MinLocal = d.MaxLocal
	}
}

// Wait returns when no batch is in flight.
func (d *Delegator) Wait() { _ = d.group.Wait() }

// SetEntries sets the entries that are linked. Workers of an entry that is no longer
// linked are called by others.
func (d *Delegator) SetEntries(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	linked := map[string]bool{}
	for _, e := range entries {
		linked[e.Name] = true
		if _, ok := d.deputies[e.Name]; !ok && time.Since(d.lostAt[e.Name]) >= lostPause {
			d.add(e)
		}
	}
	for name, p := range d.deputies {
		if !linked[name] {
			d.lose(p, "it is no longer linked")
		}
	}
	d.moveFromLeader()
}

// add adds a deputy. The caller holds the lock.
func (d *Delegator) add(e Entry) {
	d.sessions++
	ctx, cancel := context.WithCancel(d.ctx)
	p := &deputy{
		entry: e, session: d.sessions, capacity: max(1, int(workersPerCore*e.CPUShare)), wake: make(chan struct{}, 1),
		orders: map[orderKey]leader.Order{}, reported: time.Now(), cancel: cancel,
	}
	d.deputies[e.Name] = p
	d.group.Go(func() error {
		d.send(ctx, p)
		return nil
	})
}

// lose removes a deputy: its workers get other callers, and the outcome of its
// orders is unknown. The caller holds the lock.
func (d *Delegator) lose(p *deputy, why string) {
	if d.deputies[p.entry.Name] != p {
		return
	}
	delete(d.deputies, p.entry.Name)
	p.cancel()
	if p.workers == 0 {
		return
	}
	d.lostAt[p.entry.Name] = time.Now()
	d.Logger.WithFields(logrus.Fields{"peer": p.entry.Name, "epoch": d.Epoch, "workers": p.workers, "orders": len(p.orders), "why": why}).Warn("deputy lost; others call its workers")
	outcomes := p.outcomes()
	moved := map[string]assignment{}
	for id, a := range d.workers {
		if a.deputy == p {
			moved[id] = a
		}
	}
	d.group.Go(func() error {
		for id, a := range moved {
			d.Sink.Submit(d.Epoch, leader.PollerLost{Worker: id, Watch: a.watch.Watch})
		}
		for _, o := range outcomes {
			d.Sink.Submit(d.Epoch, o)
		}
		return nil
	})
	for id, a := range moved {
		d.assign(id, d.moved(a.watch))
	}
}

// localLimit returns how many workers the leader calls itself, if deputies have the
// capacity for the others. The caller holds the lock.
func (d *Delegator) localLimit() int {
	if len(d.workers) <= d.MaxLocal {
		return d.MaxLocal
	}
	return d.MinLocal
}

// moveFromLeader hands the leader's own workers beyond its limit to deputies with
// capacity left. The caller holds the lock.
func (d *Delegator) moveFromLeader() {
	if !d.rebalance || d.local <= d.localLimit() {
		return
	}
	d.rebalance = false
	for id, a := range d.workers {
		if d.local <= d.localLimit() {
			return
		}
		if a.deputy != nil {
			continue
		}
		p := d.choose(a.watch.Zone)
		if p == nil {
			d.rebalance = true
			return
		}
		d.local--
		d.Local.Unwatch(leader.StopPolling{Worker: id})
		d.group.Go(func() error {
			d.Sink.Submit(d.Epoch, leader.PollerLost{Worker: id, Watch: a.watch.Watch})
			return nil
		})
		d.assignTo(p, id, d.moved(a.watch))
	}
}

// moved returns the watch of a worker that gets another caller: calls of the earlier one
// may still be executed.
func (d *Delegator) moved(watch leader.StartPolling) leader.StartPolling {
	watch.Floor = d.fence()
	return watch
}

// numbered returns the watch with a number. The caller holds the lock.
func (d *Delegator) numbered(watch leader.StartPolling) leader.StartPolling {
	d.watches++
	watch.Watch = d.watches
	return watch
}

// assign assigns a worker to the leader or to a deputy and starts its polling. The
// caller holds the lock.
func (d *Delegator) assign(id string, watch leader.StartPolling) {
	if limit := d.localLimit(); d.local >= limit {
		d.rebalance = d.rebalance || d.local > limit
		if p := d.choose(watch.Zone); p != nil {
			d.assignTo(p, id, watch)
			return
		}
		d.rebalance = true
	}
	d.local++
	watch = d.numbered(watch)
	d.workers[id] = assignment{watch: watch}
	d.Local.Watch(watch)
}

func (d *Delegator) assignTo(p *deputy, id string, watch leader.StartPolling) {
	if p.workers == 0 {
		p.reported = time.Now() // an idle deputy has no reason to report
	}
	p.workers++
	watch = d.numbered(watch)
	d.workers[id] = assignment{watch: watch, deputy: p}
	p.put(Command{Watch: &watch})
}

// choose returns the deputy for a worker in a zone: one with capacity left, the
// strongest, then one in the same zone, then the one that has the most workers already,
// so that batches are few. It returns nil if none has capacity left.
func (d *Delegator) choose(zone string) *deputy {
	var best *deputy
	for _, p := range d.deputies {
		if p.workers >= p.capacity {
			continue
		}
		if best == nil || p.preferable(best, zone) {
			best = p
		}
	}
	return best
}

// send passes the commands of a deputy on, batch by batch, until the context ends.
func (d *Delegator) send(ctx context.Context, p *deputy) {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			d.checkReports(p)
			continue
		case <-p.wake:
		}
		d.awaitFence(ctx, p)
		d.mu.Lock()
		if d.deputies[p.entry.Name] != p {
			d.mu.Unlock()
			return
		}
		if p.began.IsZero() {
			p.began = time.Now()
		}
		batch := Commands{Epoch: d.Epoch, Session: p.session, Lease: d.Lease, Fence: d.fence(), List: p.commands}
		p.commands = nil
		d.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, commandTimeout)
		err := d.Link.Command(bounded, p.entry.Name, batch)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				d.mu.Lock()
				d.lose(p, err.Error())
				d.mu.Unlock()
			}
			return
		}
		timer.Sleep(ctx, flushInterval)
	}
}

// awaitFence waits until the fence is above those of earlier callers of the workers that a
// deputy is about to be given, as it accepts no reports of them before.
func (d *Delegator) awaitFence(ctx context.Context, p *deputy) {
	ctx, cancel := context.WithTimeout(ctx, fenceWait)
	defer cancel()
	d.mu.Lock()
	var floor int64
	for _, c := range p.commands {
		if c.Watch != nil {
			floor = max(floor, c.Watch.Floor)
		}
	}
	d.mu.Unlock()
	for floor > 0 && d.fence() <= floor && ctx.Err() == nil {
		timer.Sleep(ctx, flushInterval)
	}
}

// checkReports loses a deputy that has workers and does not report.
func (d *Delegator) checkReports(p *deputy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.workers > 0 && time.Since(p.reported) > reportTimeout {
		d.lose(p, "it does not report")
	}
}

// Watch starts the polling of a worker. If it is polled already, the same caller goes on,
// at the new address if that has changed.
func (d *Delegator) Watch(e leader.StartPolling) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, known := d.workers[e.Worker]
	if !known {
		d.assign(e.Worker, e)
		return
	}
	e.Watch = a.watch.Watch
	a.watch = e
	d.workers[e.Worker] = a
	if a.deputy != nil {
		a.deputy.put(Command{Watch: &e})
		return
	}
	d.Local.Watch(e)
}

// Unwatch stops the polling of a worker.
func (d *Delegator) Unwatch(e leader.StopPolling) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(e.Worker)
}

// release takes a worker from whoever calls it. The caller holds the lock.
func (d *Delegator) release(id string) {
	a, ok := d.workers[id]
	if !ok {
		return
	}
	delete(d.workers, id)
	if a.deputy == nil {
		d.local--
		d.Local.Unwatch(leader.StopPolling{Worker: id})
		return
	}
	a.deputy.workers--
	a.deputy.put(Command{Unwatch: id})
}

// Poll polls a worker at once.
func (d *Delegator) Poll(e leader.PollNow) {
	if p := d.lockDeputy(e.Worker); p != nil {
		defer d.mu.Unlock()
		p.put(Command{Poll: e.Worker})
		return
	}
	d.Local.Poll(e)
}

// Renew has the leases of a worker renewed with the next polls.
func (d *Delegator) Renew(e leader.Renew) {
	if p := d.lockDeputy(e.Worker); p != nil {
		defer d.mu.Unlock()
		p.put(Command{Renew: &e})
		return
	}
	d.Local.Renew(e)
}

// Acknowledge lets a worker forget ended runs with the next poll.
func (d *Delegator) Acknowledge(e leader.Acknowledge) {
	if p := d.lockDeputy(e.Worker); p != nil {
		defer d.mu.Unlock()
		p.put(Command{Ack: &e})
		return
	}
	d.Local.Acknowledge(e)
}

// Order sends an order to a worker.
func (d *Delegator) Order(o leader.Order) {
	if p := d.lockDeputy(o.Worker); p != nil {
		defer d.mu.Unlock()
		p.orders[keyOf(o)] = o
		p.put(Command{Order: &o})
		return
	}
	d.Local.Order(o)
}

// Withdraw has the start of a run given up, unless it has been sent.
func (d *Delegator) Withdraw(e leader.Withdraw) {
	if p := d.lockDeputy(e.Worker); p != nil {
		defer d.mu.Unlock()
		p.put(Command{Withdraw: &e})
		return
	}
	d.Local.Withdraw(e)
}

// lockDeputy returns the deputy that calls a worker, with the delegator locked, or
// nil and the delegator unlocked if the leader calls it.
func (d *Delegator) lockDeputy(worker string) *deputy {
	d.mu.Lock()
	if a, ok := d.workers[worker]; ok && a.deputy != nil {
		return a.deputy
	}
	d.mu.Unlock()
	return nil
}

// fence returns the highest fence that calls may have.
func (d *Delegator) fence() int64 {
	if d.Fence == nil {
		return d.Epoch
	}
	return d.Fence()
}

// Report submits the events of a deputy. The answer confirms the deputy unless the leader
// itself was not confirmed lately. An error means that the session is over.
func (d *Delegator) Report(entry string, e Events) (Confirmation, error) {
	now := time.Now()
	d.mu.Lock()
	p, ok := d.deputies[entry]
	if !ok || p.session != e.Session || e.Epoch != d.Epoch {
		d.mu.Unlock()
		return Confirmation{}, errOutdated
	}
	p.reported = now
	for _, event := range e.List {
		if a := event.Answer; a != nil {
			delete(p.orders, orderKey{a.Worker, a.Kind, a.Task, a.Run})
		}
	}
	began := p.began
	d.mu.Unlock()
	events := make([]leader.Event, 0, len(e.List))
	for _, event := range e.List {
		if known := event.since(began); known != nil {
			events = append(events, known)
		}
	}
	if len(events) > 0 {
		d.Sink.Submit(d.Epoch, leader.Batch{Events: events})
	}
	return Confirmation{Confirmed: d.MayGrant(), Fence: d.fence()}, nil
}

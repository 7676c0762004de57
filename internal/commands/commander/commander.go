// Package commander calls workers for a leader: it polls each for reports, which
// renews the leases of the runs there, and sends orders. It submits the results
// as events and makes no decisions.
//
// A worker that restarts under its id is another incarnation, which no header of a call
// tells apart: its clock and the numbers of its ends start anew. Two rules keep the values
// of one incarnation from another one:
//
//   - A call tells values, or has an order, only on a connection on which the incarnation
//     that it is for has answered. Such a connection doesn't outlive the incarnation. The
//     first call on a connection is a poll that tells nothing.
//   - A call without an answer may be executed later, whoever is there by then. A new
//     incarnation is accepted, so that work can start there, once it has answered a poll
//     with a higher fence than all calls to earlier ones, which it refuses from then on.
//
// An order may wait long after the decision behind it. It is sent only if the newest state that
// the leader has told still wants it: a stop withdraws the start of its run that waits, is
// sent before all starts, and isn't needed if the start was never sent.
//
// A worker that was silent may be the same incarnation as before, and the leader may have
// given up the runs there. Two more rules keep their starts from being executed:
//
//   - Orders that wait are withdrawn as soon as a poll gets no answer, and answered as not sent.
//   - Leases are renewed again once the worker has answered a poll with a higher fence than
//     all calls before the silence, which it refuses from then on.
package commander

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// pollWait is how long a worker waits for the end of a run before it answers
	// a poll. It is the most that the platform allows, since it charges for each
	// poll.
	pollWait = 2 * time.Second
	// pollPause is the time between an answer and the next poll, so that runs
	// that end together are reported together.
	pollPause = 25 * time.Millisecond
	// ackWait is how long the next poll waits for the ends in the last report to be
	// in the log and acknowledged. A worker with unacknowledged ends answers a poll
	// at once instead of waiting.
	ackWait = time.Second
	// pollBackoff is the pause after a poll without an answer.
	pollBackoff = 250 * time.Millisecond
	// lastRenewal is how long before the leader's confirmation runs out the leases of all
	// workers are renewed once more. It is enough for two polls of each worker of one caller.
	lastRenewal = 250 * time.Millisecond
	// maxOrdersPerWorker bounds the orders in flight to one worker.
	maxOrdersPerWorker = 2
	// fullReportInterval is the least time between two reports of a worker that list
	// its running tasks. The reports between them bring ends, which are urgent; the
	// progress of running tasks is not, and there is much more of it.
	fullReportInterval = time.Second
)

// Sink takes events.
type Sink interface {
	// Submit takes an event for the leader of an epoch.
	Submit(epoch int64, e leader.Event)
}

// Commander calls the workers of one leader. Set the exported fields, call Start
// before any other method, and Wait after the context has ended. Its methods may be called on
// the control thread: they don't wait for calls, nor for the Sink.
type Commander struct {
	Workers       Workers
	Sink          Sink
	Logger        logrus.FieldLogger
	Epoch         int64
	Lease         time.Duration    // length of the leases
	Renewal       time.Duration    // calls are permitted only this long after the leader was last confirmed
	LastConfirmed func() time.Time // returns when the leader was last confirmed
	Fence         func() int64     // returns the highest fence that calls may have; nil for the epoch
	Polls         metrics.Timer
	Orders        metrics.Timer

	ctx    context.Context
	group  errgroup.Group // without a limit, which Go would wait for: each worker has a few goroutines at most
	mu     sync.Mutex
	states map[string]*workerState
	floor  int64 // no call to a worker that is not watched any more has a higher fence
	outbox outbox
}

// Start prepares the commander. The context bounds all its calls.
func (c *Commander) Start(ctx context.Context) {
	c.ctx = ctx
	c.states = map[string]*workerState{}
	c.group.Go(func() error {
		c.renewInTime(ctx)
		return nil
	})
	c.group.Go(func() error {
		c.outbox.deliver(ctx, c.answerOrder)
		return nil
	})
}

// renewInTime renews all leases right before the leader's confirmation runs out. A poll in
// flight may have been sent up to pollWait before that, and leases would last that much less
// while the log is down.
func (c *Commander) renewInTime(ctx context.Context) {
	var last time.Time // the last confirmation that ran out
	for ctx.Err() == nil {
		confirmed := c.LastConfirmed()
		wait := c.Renewal - lastRenewal - timer.Elapsed(confirmed, time.Now())
		if wait <= 0 {
			wait = lastRenewal
			if !confirmed.Equal(last) {
				last = confirmed
				c.renewAll(ctx)
			}
		}
		timer.Sleep(ctx, wait)
	}
}

// renewAll renews the leases of all workers once. A poll on a new line tells no values, so that
// another one follows it.
func (c *Commander) renewAll(ctx context.Context) {
	c.mu.Lock()
	states := maps.Clone(c.states)
	c.mu.Unlock()
	for worker, s := range states {
		c.group.Go(func() error {
			if !s.hasLine() && c.poll(ctx, worker, s, 0) != nil {
				return nil
			}
			_ = c.poll(ctx, worker, s, 0)
			return nil
		})
	}
}

// Wait returns when no call is in flight and no connection is open.
func (c *Commander) Wait() {
	_ = c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		s.close()
	}
}

// Watch starts polling a worker, or goes on at a new address. A poll in flight is kept,
// since its lease deadline has to be reported.
func (c *Commander) Watch(e leader.StartPolling) {
	if s, ok := c.state(e.Worker); ok {
		if s.move(e.Address) {
			c.Poll(leader.PollNow{Worker: e.Worker})
		}
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	s := &workerState{address: e.Address, cancel: cancel, silence: leader.FirstSilence(e.Watch), ackChanged: make(chan struct{}, 1)}
	c.mu.Lock()
	s.fence = max(c.floor, e.Floor)
	c.states[e.Worker] = s
	c.mu.Unlock()
	c.group.Go(func() error {
		c.pollUntilDone(ctx, e.Worker, s)
		return nil
	})
}

// Unwatch stops polling a worker.
func (c *Commander) Unwatch(e leader.StopPolling) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.states[e.Worker]; ok {
		s.cancel()
		fence, withdrawn := s.close()
		c.floor = max(c.floor, fence)
		c.outbox.put(errSilent, withdrawn...)
		delete(c.states, e.Worker)
	}
}

// Acknowledge lets a worker forget ended runs with the next poll.
func (c *Commander) Acknowledge(e leader.Acknowledge) {
	s, ok := c.state(e.Worker)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != e.Incarnation {
		return
	}
	s.acked = max(s.acked, e.Number)
	s.signal()
}

// Renew has the leases of a worker renewed, unless it has been silent since.
func (c *Commander) Renew(e leader.Renew) {
	s, ok := c.state(e.Worker)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Silence == s.silence {
		s.renewedIn = e.Silence
		s.signal()
	}
}

// Waiting returns the number of orders that wait.
func (c *Commander) Waiting() int {
	c.mu.Lock()
	states := maps.Clone(c.states)
	c.mu.Unlock()
	waiting := 0
	for _, s := range states {
		waiting += s.waitingOrders()
	}
	return waiting
}

func (c *Commander) state(worker string) (*workerState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.states[worker]
	return s, ok
}

// permitted reports whether the leader was confirmed lately enough for calls in its
// name. A process that was paused finds out here, right before each call.
func (c *Commander) permitted(now time.Time) bool {
	return timer.Elapsed(c.LastConfirmed(), now) < c.Renewal
}

// fence returns the highest fence that calls may have. It rises while the log takes the
// leader's records, and stays below those of later leaders.
func (c *Commander) fence() int64 {
	if c.Fence == nil {
		return c.Epoch
	}
	return max(c.Epoch, c.Fence())
}

// pollTarget returns the target of a poll on a line that tells no values. The caller holds
// the lock of the worker's state.
func (c *Commander) pollTarget(worker string, s *workerState, l *line) Target {
	to := Target{Worker: worker, Address: l.address, Fence: s.fence}
	switch {
	case !s.heard:
		to.Fence = c.fence()
	case !s.fencedOff():
		to.Fence = max(s.fence, s.raisedTo, c.fence())
		s.raisedTo = to.Fence
	case !s.usable(l):
		to.Fence = max(s.fence, s.raisedTo)
	}
	return to
}

// renewal returns values that renew leases. Leases are renewed once the leader has heard
// the worker and the worker refuses the calls from before its last silence, as long as it
// answers and the log confirms the leader: the leases of a silent worker must be able to
// lapse, and whoever leads next may rely on what this leader knows of them. The caller holds
// the lock of the worker's state.
func (c *Commander) renewal(s *workerState, now time.Time) Values {
	v := ValuesFor(s.incarnation)
	if s.closed || s.clockReadAt.IsZero() || s.unanswered || s.renewedIn != s.silence || !s.fencedOff() || !c.permitted(now) {
		return v
	}
	s.leaseDeadline = max(s.leaseDeadline, s.clock+leader.LeastProgress(now.Sub(s.clockReadAt)).Milliseconds()+c.Lease.Milliseconds())
	return v.WithDeadline(s.leaseDeadline)
}

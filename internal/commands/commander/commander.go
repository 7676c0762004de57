// Package commander calls workers for a leader: it polls each for reports, which
// renews the leases of the runs there, and sends orders. It submits the results
// as events and makes no decisions.
package commander

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/classifier"
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
	// minRestartTime is the shortest time in which a worker crashes, starts again under its
	// id and can be called. A poll that is sent later than that after the last answer may
	// reach another incarnation.
	minRestartTime = 500 * time.Millisecond
	// pollBackoff is the pause after a poll without an answer.
	pollBackoff = 250 * time.Millisecond
	// maxOrdersPerWorker bounds the orders in flight to one worker.
	maxOrdersPerWorker = 2
	// maxCalls bounds the polls of all workers and their orders, in flight or
	// waiting, taken together.
	maxCalls = 4096
	// fullReportInterval is the least time between two reports of a worker that list
	// its running tasks. The reports between them bring ends, which are urgent; the
	// progress of running tasks is not, and there is much more of it.
	fullReportInterval = time.Second
)

// Target is the worker that a call is for, with the leader's epoch and the lease
// deadline.
type Target struct {
	Worker   string
	Address  string
	Epoch    int64 // epoch of the leader, by which the worker fences off earlier ones
	Deadline int64 // end of the leases on the worker's clock, milliseconds; 0 leaves them unchanged

	Incarnation int64 // the incarnation on whose clock the deadline is, 0 if none was heard
}

// Workers calls workers.
type Workers interface {
	// Order sends an order. The kind of the error says whether the order may have
	// been carried out.
	Order(ctx context.Context, to Target, o leader.Order) error
	// Poll polls a worker: it renews the leases there and returns a report. The
	// worker may forget ended runs up to the number acked, and waits up to the
	// given time for a run to end.
	Poll(ctx context.Context, to Target, acked int64, wait time.Duration) (leader.Report, error)
}

// Sink takes events.
type Sink interface {
	// Submit takes an event for the leader of an epoch.
	Submit(epoch int64, e leader.Event)
}

// Commander calls the workers of one leader. Set the exported fields, call Start
// before any other method, and Wait after the context has ended.
type Commander struct {
	Workers       Workers
	Sink          Sink
	Logger        logrus.FieldLogger
	Epoch         int64
	Lease         time.Duration    // length of the leases
	Renewal       time.Duration    // calls are permitted only this long after the leader was last confirmed
	LastConfirmed func() time.Time // returns when the leader was last confirmed
	Polls         metrics.Timer
	Orders        metrics.Timer

	ctx    context.Context
	group  errgroup.Group
	mu     sync.Mutex
	states map[string]*workerState
}

// workerState is what the commander knows of one worker.
type workerState struct {
	mu            sync.Mutex
	address       string
	incarnation   int64
	acked         int64         // ends up to this number are acknowledged
	lastEnd       int64         // number of the last end reported
	ackChanged    chan struct{} // signaled when acked or renewedIn changes
	clock         int64         // steady clock of the worker, milliseconds
	clockReadAt   time.Time     // when clock was received
	heardAt       time.Time     // when the last report arrived
	leaseDeadline int64         // latest lease deadline sent, on the worker's clock
	unanswered    bool          // the last poll got no answer
	silences      int64         // times that a poll got no answer, and 1
	renewedIn     int64         // silences at which the leader had the leases renewed
	fullReportAt  time.Time     // when running tasks were last reported
	cancel        context.CancelFunc
	orderSlots    chan struct{}
}

// Start prepares the commander. The context bounds all its calls.
func (c *Commander) Start(ctx context.Context) {
	c.ctx = ctx
	c.states = map[string]*workerState{}
	c.group.SetLimit(maxCalls)
}

// Wait returns when no call is in flight.
func (c *Commander) Wait() { _ = c.group.Wait() }

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
	s := &workerState{address: e.Address, cancel: cancel, silences: 1, orderSlots: make(chan struct{}, maxOrdersPerWorker), ackChanged: make(chan struct{}, 1)}
	c.mu.Lock()
	c.states[e.Worker] = s
	c.mu.Unlock()
	c.group.Go(func() error {
		c.pollUntilDone(ctx, e.Worker, s)
		return nil
	})
}

// move changes the worker's address and reports whether it was another one, where nothing
// has been heard yet.
func (s *workerState) move(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return false
	}
	s.address, s.heardAt = address, time.Time{}
	return true
}

// Unwatch stops polling a worker.
func (c *Commander) Unwatch(e leader.StopPolling) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.states[e.Worker]; ok {
		s.cancel()
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
	if e.Silences == s.silences {
		s.renewedIn = e.Silences
		s.signal()
	}
}

// signal wakes awaitLeader. The caller holds the lock.
func (s *workerState) signal() {
	select {
	case s.ackChanged <- struct{}{}:
	default:
	}
}

// awaitLeader waits until all ends that the worker has reported are acknowledged and the
// leader has its leases renewed, at most for ackWait.
func (s *workerState) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ackWait)
	defer cancel()
	for ctx.Err() == nil && !s.followed() {
		select {
		case <-ctx.Done():
		case <-s.ackChanged:
		}
	}
}

// followed reports whether the leader has followed up on all that the worker has reported.
func (s *workerState) followed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked >= s.lastEnd && s.renewedIn == s.silences
}

func (c *Commander) state(worker string) (*workerState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.states[worker]
	return s, ok
}

// Poll polls a worker once without waiting, beside the poll in flight.
func (c *Commander) Poll(e leader.PollNow) {
	s, ok := c.state(e.Worker)
	if !ok {
		return
	}
	c.group.Go(func() error {
		_ = c.poll(c.ctx, e.Worker, s, 0)
		return nil
	})
}

// pollUntilDone polls a worker until the context ends.
func (c *Commander) pollUntilDone(ctx context.Context, worker string, s *workerState) {
	wait := time.Duration(0) // the first poll is answered at once
	for ctx.Err() == nil {
		if err := c.poll(ctx, worker, s, wait); err != nil {
			wait = 0
			timer.Sleep(ctx, pollBackoff)
			continue
		}
		wait = pollWait
		timer.Sleep(ctx, pollPause)
		s.awaitLeader(ctx)
	}
}

// poll asks a worker for a report and submits the result. It does not wait for the end of
// a run before it is known which incarnation answers.
func (c *Commander) poll(ctx context.Context, worker string, s *workerState, wait time.Duration) error {
	sent := time.Now()
	to, acked, same := c.pollTarget(worker, s, sent)
	if !same {
		wait = 0
	}
	report, err := c.Workers.Poll(ctx, to, acked, wait)
	c.Polls.UpdateSince(sent)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		c.Logger.WithFields(logrus.Fields{"worker": worker, "epoch": c.Epoch}).WithError(err).Debug("worker poll failed")
		if deadline, missed := s.recordMiss(to); missed {
			c.Sink.Submit(c.Epoch, leader.PollFailed{Worker: worker, Incarnation: to.Incarnation, Deadline: deadline})
		}
		return err
	}
	full, silences := s.recordReport(report, to, sent, wait == 0)
	if !full {
		report.Running, report.Partial = nil, true
	}
	if report.Incarnation != to.Incarnation {
		to.Deadline = 0 // on the clock of another incarnation
	}
	c.Sink.Submit(c.Epoch, leader.Reported{Worker: worker, Report: report, Sent: sent, Deadline: to.Deadline, Silences: silences})
	return nil
}

// pollTarget returns the target of a poll, the number up to which it acknowledges ends, and
// whether it reaches the incarnation that was heard last. Another one counts its ends anew
// and has a clock of its own: it must not forget ends that it has not reported, nor hold
// leases up to a time on the clock of an earlier one.
func (c *Commander) pollTarget(worker string, s *workerState, now time.Time) (Target, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameIncarnation(now) {
		return c.target(worker, s), 0, false
	}
	return c.renewedTarget(worker, s, now), s.acked, true
}

// target returns the target of a call that renews no leases. The caller holds the lock of
// the worker's state.
func (c *Commander) target(worker string, s *workerState) Target {
	return Target{Worker: worker, Address: s.address, Epoch: c.Epoch, Incarnation: s.incarnation}
}

// sameIncarnation reports whether a poll reaches the incarnation that was heard last. The
// caller holds the lock.
func (s *workerState) sameIncarnation(now time.Time) bool {
	return !s.unanswered && now.Sub(s.heardAt) < minRestartTime
}

// renewedTarget returns the target of a call that renews leases. Leases are renewed once
// the leader has heard the worker, and as long as the worker answers and the log confirms
// the leader: the leases of a silent worker must be able to lapse, and whoever leads next
// may rely on what this leader knows of them. The caller holds the lock of the worker's
// state.
func (c *Commander) renewedTarget(worker string, s *workerState, now time.Time) Target {
	to := c.target(worker, s)
	if !s.clockReadAt.IsZero() && !s.unanswered && s.renewedIn == s.silences && c.permitted(now) {
		s.leaseDeadline = max(s.leaseDeadline, s.clock+now.Sub(s.clockReadAt).Milliseconds()+c.Lease.Milliseconds())
		to.Deadline = s.leaseDeadline
	}
	return to
}

// permitted reports whether the leader was confirmed lately enough for calls in its
// name. A process that was paused finds out here, right before each call.
func (c *Commander) permitted(now time.Time) bool {
	return timer.Elapsed(c.LastConfirmed(), now) < c.Renewal
}

// orderTarget returns the target of an order. Orders don't extend leases beyond
// the deadline that polls have sent, so that the leader knows when they lapse.
// Only an order that comes before the first such deadline sets one.
func (c *Commander) orderTarget(worker string, s *workerState, now time.Time) Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseDeadline == 0 {
		return c.renewedTarget(worker, s, now)
	}
	to := c.target(worker, s)
	to.Deadline = s.leaseDeadline
	return to
}

// recordMiss records a poll without an answer, unless another incarnation has been heard
// since, which it returns as false. It resets acked: what the worker reports after that is
// acknowledged anew. It returns the latest lease deadline sent, be it with a poll that is
// still in flight.
func (s *workerState) recordMiss(to Target) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.Incarnation != s.incarnation {
		return 0, false
	}
	s.acked, s.unanswered, s.fullReportAt = 0, true, time.Time{}
	s.silences++
	return s.leaseDeadline, true
}

// recordReport records a report. It reports whether its running tasks are to be passed
// on: if the last ones are old or were asked for. The number is that of the silences if the
// leader has to have the leases renewed.
func (s *workerState) recordReport(r leader.Report, from Target, sent time.Time, asked bool) (bool, int64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Incarnation < s.incarnation {
		return true, 0
	}
	full := asked || r.Incarnation != s.incarnation || sent.Sub(s.fullReportAt) >= fullReportInterval
	if full {
		s.fullReportAt = sent
	}
	s.unanswered = false
	if from.Address == s.address {
		s.heardAt = now
	}
	if r.Incarnation != s.incarnation {
		s.incarnation, s.acked, s.lastEnd, s.leaseDeadline, s.clock = r.Incarnation, 0, 0, 0, 0
	}
	for _, e := range r.Ended {
		s.lastEnd = max(s.lastEnd, e.Number)
	}
	if r.Clock >= s.clock {
		s.clock, s.clockReadAt = r.Clock, now
	}
	if s.renewedIn == s.silences {
		return full, 0
	}
	return full, s.silences
}

// Order sends an order and submits its outcome. Orders beyond
// maxOrdersPerWorker wait.
func (c *Commander) Order(o leader.Order) {
	s, ok := c.state(o.Worker)
	if !ok {
		c.Sink.Submit(c.Epoch, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: leader.Refused})
		return
	}
	c.group.Go(func() error {
		select {
		case s.orderSlots <- struct{}{}:
		case <-c.ctx.Done():
			return nil
		}
		defer func() { <-s.orderSlots }()
		c.sendOrder(s, o)
		return nil
	})
}

func (c *Commander) sendOrder(s *workerState, o leader.Order) {
	began := time.Now()
	if !c.permitted(began) {
		c.Logger.WithFields(logrus.Fields{"worker": o.Worker, "task": o.Task.String(), "run": o.Run, "order": string(o.Kind), "epoch": c.Epoch}).
			Warn("order not sent, since the leader has not been confirmed for too long")
		c.Sink.Submit(c.Epoch, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: leader.NotSent, At: began})
		return
	}
	to := c.orderTarget(o.Worker, s, began)
	err := c.Workers.Order(c.ctx, to, o)
	c.Orders.UpdateSince(began)
	if c.ctx.Err() != nil {
		return
	}
	outcome := outcomeOf(err)
	if err != nil {
		c.Logger.WithFields(logrus.Fields{
			"worker": o.Worker, "task": o.Task.String(), "run": o.Run, "order": string(o.Kind), "epoch": c.Epoch,
		}).WithError(err).Warn("order failed")
	}
	c.Sink.Submit(c.Epoch, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: outcome, At: time.Now()})
}

// outcomeOf returns the outcome of an order from its error.
func outcomeOf(err error) leader.Outcome {
	if err == nil {
		return leader.Executed
	}
	switch classifier.KindOf(err) {
	case classifier.Unanswered:
		return leader.OutcomeUnknown
	case classifier.InvalidTicket:
		return leader.InvalidTicket
	case classifier.NoRoom:
		return leader.InsufficientCapacity
	case classifier.StaleRun:
		return leader.StaleRun
	default:
		return leader.Refused
	}
}

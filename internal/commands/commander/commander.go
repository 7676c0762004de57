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
package commander

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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

// Sink takes events.
type Sink interface {
	// Submit takes an event for the leader of an epoch.
	Submit(epoch int64, e leader.Event)
}

var (
	// errNotSent marks the errors of orders that were not sent.
	errNotSent = errors.New("order was not sent")
	// errNoFence is the error of polls that another incarnation answers while the log has
	// not confirmed a fence above those of earlier calls.
	errNoFence = errors.New("no fence is confirmed above those of calls to an earlier incarnation")
)

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
	Fence         func() int64     // returns the highest fence that calls may have; nil for the epoch
	Polls         metrics.Timer
	Orders        metrics.Timer

	ctx    context.Context
	group  errgroup.Group
	mu     sync.Mutex
	states map[string]*workerState
	floor  int64 // no call to a worker that is not watched any more has a higher fence
}

// Start prepares the commander. The context bounds all its calls.
func (c *Commander) Start(ctx context.Context) {
	c.ctx = ctx
	c.states = map[string]*workerState{}
	c.group.SetLimit(maxCalls)
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
	s := &workerState{address: e.Address, cancel: cancel, silences: 1, orderSlots: make(chan struct{}, maxOrdersPerWorker), ackChanged: make(chan struct{}, 1)}
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
		c.floor = max(c.floor, s.close())
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
		if err := c.poll(c.ctx, e.Worker, s, 0); classifier.Is(err, classifier.Unanswered) && c.ctx.Err() == nil {
			_ = c.poll(c.ctx, e.Worker, s, 0) // on a new connection, as the earlier ones may be those of an earlier incarnation
		}
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

// attempt is a poll that is about to be sent.
type attempt struct {
	to    Target
	heard int64 // the incarnation that was heard last
	sent  time.Time
}

// poll asks a worker for a report and submits the result.
func (c *Commander) poll(ctx context.Context, worker string, s *workerState, wait time.Duration) error {
	for {
		l := s.take(c.Workers)
		kept := l.answered
		err := c.pollOn(ctx, worker, s, l, wait)
		if err == nil {
			s.release(l)
		}
		if !kept || !classifier.Is(err, classifier.Unsent) {
			return err
		}
	}
}

// pollOn polls a worker on a line, which it closes if that fails. It does not wait for the
// end of a run before an incarnation has answered on the line.
func (c *Commander) pollOn(ctx context.Context, worker string, s *workerState, l *line, wait time.Duration) error {
	if !l.answered {
		wait = 0
	}
	a, report, err := c.ask(ctx, worker, s, l, wait)
	if err != nil {
		l.Close()
	}
	switch {
	case ctx.Err() != nil:
		l.Close()
		return ctx.Err()
	case err != nil:
		c.handleFailure(worker, s, l, a, err)
		return err
	}
	full, silences := s.recordReport(report, l, a, wait == 0)
	if !full {
		report.Running, report.Partial = nil, true
	}
	var deadline int64
	if a.to.Values.Incarnation() == report.Incarnation {
		deadline = a.to.Values.Deadline()
	}
	c.Sink.Submit(c.Epoch, leader.Reported{Worker: worker, Report: report, Sent: a.sent, Deadline: deadline, Silences: silences})
	return nil
}

// ask polls a worker on a line. If another incarnation than the one heard last answers, it
// polls again with a higher fence.
func (c *Commander) ask(ctx context.Context, worker string, s *workerState, l *line, wait time.Duration) (attempt, leader.Report, error) {
	a := c.pollAttempt(worker, s, l, time.Now())
	report, err := l.Poll(ctx, a.to, wait)
	c.Polls.UpdateSince(a.sent)
	if err != nil || s.admits(report.Incarnation, a.to.Fence) {
		return a, report, err
	}
	a.to.Fence, a.to.Values, a.sent = c.fence(), Values{}, time.Now()
	if !s.admits(report.Incarnation, a.to.Fence) {
		return a, report, errNoFence
	}
	c.Logger.WithFields(logrus.Fields{"worker": worker, "epoch": c.Epoch, "incarnation": report.Incarnation, "fence": a.to.Fence}).
		Info("another incarnation answers; calls to earlier ones are fenced off")
	s.raise(a.to.Fence)
	report, err = l.Poll(ctx, a.to, 0)
	c.Polls.UpdateSince(a.sent)
	if err == nil && !s.admits(report.Incarnation, a.to.Fence) {
		err = errNoFence
	}
	return a, report, err
}

// handleFailure submits the failure of a poll, unless it tells nothing of the worker.
func (c *Commander) handleFailure(worker string, s *workerState, l *line, a attempt, err error) {
	c.Logger.WithFields(logrus.Fields{"worker": worker, "epoch": c.Epoch}).WithError(err).Debug("worker poll failed")
	switch {
	case errors.Is(err, errNoFence), l.answered && classifier.Is(err, classifier.Unsent):
		return
	case classifier.Is(err, classifier.Fenced) && s.raised(a.to.Fence):
		return // a call with the higher fence has overtaken the poll
	}
	if deadline, missed := s.recordMiss(a.heard); missed {
		c.Sink.Submit(c.Epoch, leader.PollFailed{Worker: worker, Incarnation: a.heard, Deadline: deadline})
	}
}

// fence returns the highest fence that calls may have. It rises while the log takes the
// leader's records, and stays below those of later leaders.
func (c *Commander) fence() int64 {
	if c.Fence == nil {
		return c.Epoch
	}
	return max(c.Epoch, c.Fence())
}

// pollAttempt returns a poll on a line. It tells the worker values only if the incarnation
// for which they are valid has answered on the line.
func (c *Commander) pollAttempt(worker string, s *workerState, l *line, now time.Time) attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := attempt{to: c.target(worker, s, l), heard: s.incarnation, sent: now}
	if s.usable(l) {
		a.to.Values = c.renewal(s, now).WithAcked(s.acked)
	}
	return a
}

// target returns the target of a call on a line that tells no values. The caller holds
// the lock of the worker's state.
func (c *Commander) target(worker string, s *workerState, l *line) Target {
	to := Target{Worker: worker, Address: l.address, Fence: s.fence}
	if !s.heard {
		to.Fence = c.fence()
	} else if !s.usable(l) {
		to.Fence = max(s.fence, s.raisedTo)
	}
	return to
}

// renewal returns values that renew leases. Leases are renewed once the leader has heard
// the worker, and as long as the worker answers and the log confirms the leader: the leases
// of a silent worker must be able to lapse, and whoever leads next may rely on what this
// leader knows of them. The caller holds the lock of the worker's state.
func (c *Commander) renewal(s *workerState, now time.Time) Values {
	v := ValuesFor(s.incarnation)
	if s.clockReadAt.IsZero() || s.unanswered || s.renewedIn != s.silences || !c.permitted(now) {
		return v
	}
	s.leaseDeadline = max(s.leaseDeadline, s.clock+now.Sub(s.clockReadAt).Milliseconds()+c.Lease.Milliseconds())
	return v.WithDeadline(s.leaseDeadline)
}

// permitted reports whether the leader was confirmed lately enough for calls in its
// name. A process that was paused finds out here, right before each call.
func (c *Commander) permitted(now time.Time) bool {
	return timer.Elapsed(c.LastConfirmed(), now) < c.Renewal
}

// orderTarget returns the target of an order on a line, or false if the incarnation that the
// order is for has not answered there, or another one has been heard since. Orders don't
// extend leases beyond the deadline that polls have sent, so that the leader knows when
// they lapse. Only an order that comes before the first such deadline sets one.
func (c *Commander) orderTarget(s *workerState, l *line, o leader.Order, now time.Time) (Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.usable(l) || o.Incarnation != 0 && o.Incarnation != s.incarnation {
		return Target{}, false
	}
	to := c.target(o.Worker, s, l)
	if s.leaseDeadline == 0 {
		to.Values = c.renewal(s, now)
	} else {
		to.Values = ValuesFor(s.incarnation).WithDeadline(s.leaseDeadline)
	}
	return to, true
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
	kept, err := c.tryOrder(s, o)
	for kept && classifier.Is(err, classifier.Unsent) {
		kept, err = c.tryOrder(s, o) // the line had broken off since its last call
	}
	c.Orders.UpdateSince(began)
	if c.ctx.Err() != nil {
		return
	}
	if err != nil {
		c.Logger.WithFields(logrus.Fields{
			"worker": o.Worker, "task": o.Task.String(), "run": o.Run, "order": string(o.Kind), "epoch": c.Epoch,
		}).WithError(err).Warn("order failed")
	}
	c.Sink.Submit(c.Epoch, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: outcomeOf(err), At: time.Now()})
}

// tryOrder sends an order on a line on which the incarnation that it is for has answered. It
// reports whether the line had been used before.
func (c *Commander) tryOrder(s *workerState, o leader.Order) (bool, error) {
	l := s.take(c.Workers)
	kept := l.answered
	if !kept {
		if err := c.pollOn(c.ctx, o.Worker, s, l, 0); err != nil {
			return false, errors.Mark(errors.Wrap(err, "poll before an order"), errNotSent)
		}
	}
	now := time.Now()
	if !c.permitted(now) {
		s.release(l)
		return kept, errors.Mark(errors.New("the leader has not been confirmed for too long"), errNotSent)
	}
	to, ok := c.orderTarget(s, l, o, now)
	if !ok {
		s.release(l)
		return kept, errors.Mark(errors.Newf("incarnation %d has not answered last", o.Incarnation), errNotSent)
	}
	err := l.Order(c.ctx, to, o)
	if err == nil || classifier.NotExecuted(err) && !classifier.Is(err, classifier.Unsent) {
		s.release(l)
	} else {
		l.Close()
	}
	return kept, err
}

// outcomeOf returns the outcome of an order from its error.
func outcomeOf(err error) leader.Outcome {
	if err == nil {
		return leader.Executed
	}
	if errors.Is(err, errNotSent) {
		return leader.NotSent
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

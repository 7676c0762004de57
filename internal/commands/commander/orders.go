package commander

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/leader"
)

// errNotSent marks the errors of orders that were not sent.
var errNotSent = errors.New("order was not sent")

var (
	// errNotCalled is the error of orders for a worker that is not called.
	errNotCalled = errors.Mark(errors.New("the worker is not called"), errNotSent)
	// errSilent is the error of orders that were given up while they waited: the leader gives
	// up the runs at a worker that stays silent, and may have done so.
	errSilent = errors.Mark(errors.New("the worker has been silent, or has another caller, since the order was given"), errNotSent)
	// errWithdrawn is the error of orders that the leader has withdrawn before they were sent.
	errWithdrawn = errors.Mark(errors.New("the leader has withdrawn the order"), errNotSent)
	// errExpired is the error of starts whose ticket ran out while they waited.
	errExpired = errors.Mark(errors.New("the ticket has run out"), errNotSent)
)

// orderTarget returns the target of an order on a line. Its error is that of an order that must
// not be sent: the worker has been silent since the order was given, the incarnation that the
// order is for has not answered on the line, or another one has been heard since, or the newest
// state of the leader no longer wants it. Orders don't extend leases beyond the deadline that
// polls have sent, so that the leader knows when they lapse. Only an order that comes before the
// first such deadline sets one.
func (c *Commander) orderTarget(s *workerState, l *line, o *queuedOrder, now time.Time) (Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || s.silence != o.silence:
		return Target{}, errSilent
	case o.withdrawn:
		return Target{}, errWithdrawn
	case !o.expires.IsZero() && !now.Before(o.expires):
		return Target{}, errExpired
	case !s.usable(l) || o.Incarnation != 0 && o.Incarnation != s.incarnation:
		return Target{}, errors.Mark(errors.Newf("incarnation %d has not answered last", o.Incarnation), errNotSent)
	}
	to := Target{Worker: o.Worker, Address: l.address, Fence: s.fence}
	if s.leaseDeadline == 0 {
		to.Values = c.renewal(s, now)
	} else {
		to.Values = ValuesFor(s.incarnation).WithDeadline(s.leaseDeadline)
	}
	return to, nil
}

// Order has an order sent and its outcome submitted. Orders beyond maxOrdersPerWorker wait, as
// long as the worker answers polls and the leader doesn't withdraw them.
func (c *Commander) Order(o leader.Order) {
	s, ok := c.state(o.Worker)
	if !ok {
		c.outbox.put(errNotCalled, o)
		return
	}
	withdrawn, err := s.enqueue(o, time.Now())
	c.outbox.put(errWithdrawn, withdrawn...)
	if err != nil {
		c.outbox.put(err, o)
		return
	}
	if s.addSender() {
		c.group.Go(func() error {
			c.sendOrders(s)
			return nil
		})
	}
}

// Withdraw has the start of a run given up, unless it has been sent.
func (c *Commander) Withdraw(e leader.Withdraw) {
	if s, ok := c.state(e.Worker); ok {
		c.outbox.put(errWithdrawn, s.withdrawStart(e)...)
	}
}

// sendOrders sends the orders to a worker that wait, one after the other, until none is left.
func (c *Commander) sendOrders(s *workerState) {
	for o := s.nextOrder(); o != nil && c.ctx.Err() == nil; o = s.nextOrder() {
		err := c.sendOrder(s, o)
		s.orderDone(o, err == nil)
		c.answerOrder(o.Order, err)
	}
}

// sendOrder sends an order and returns the error that tells its outcome.
func (c *Commander) sendOrder(s *workerState, o *queuedOrder) error {
	began := time.Now()
	kept, err := c.tryOrder(s, o)
	for kept && classifier.Is(err, classifier.Unsent) {
		kept, err = c.tryOrder(s, o) // the line had broken off since its last call
	}
	c.Orders.UpdateSince(began)
	return err
}

// answerOrder submits the outcome of an order.
func (c *Commander) answerOrder(o leader.Order, err error) {
	if c.ctx.Err() != nil {
		return
	}
	if err != nil {
		log := c.Logger.WithFields(logrus.Fields{
			"worker": o.Worker, "task": o.Task.String(), "run": o.Run, "order": string(o.Kind), "epoch": c.Epoch,
		}).WithError(err)
		if errors.Is(err, errWithdrawn) {
			log.Debug("order withdrawn") // the leader has logged why
		} else {
			log.Warn("order failed")
		}
	}
	c.Sink.Submit(c.Epoch, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: outcomeOf(err), At: time.Now()})
}

// tryOrder sends an order on a line on which the incarnation that it is for has answered. It
// reports whether the line had been used before.
func (c *Commander) tryOrder(s *workerState, o *queuedOrder) (bool, error) {
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
	to, err := c.orderTarget(s, l, o, now)
	if err != nil {
		s.release(l)
		return kept, err
	}
	err = l.Order(c.ctx, to, o.Order)
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

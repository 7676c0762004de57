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

package commander

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/timer"
)

// errNoFence is the error of polls that another incarnation answers while the log has not
// confirmed a fence above those of earlier calls.
var errNoFence = errors.New("no fence is confirmed above those of calls to an earlier incarnation")

// Poll polls a worker once without waiting, beside the poll in flight. Calls while such a poll
// is being sent lead to one more after it.
func (c *Commander) Poll(e leader.PollNow) {
	s, ok := c.state(e.Worker)
	if !ok || !s.wantPoll() {
		return
	}
	c.group.Go(func() error {
		for s.takePoll() {
			if err := c.poll(c.ctx, e.Worker, s, 0); classifier.Is(err, classifier.Unanswered) && c.ctx.Err() == nil {
				_ = c.poll(c.ctx, e.Worker, s, 0) // on a new connection, as the earlier ones may be those of an earlier incarnation
			}
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
// end of a run before an incarnation has answered on the line, or if the answer lets leases be
// renewed.
func (c *Commander) pollOn(ctx context.Context, worker string, s *workerState, l *line, wait time.Duration) error {
	if !l.answered || s.awaitsFence(c.fence) {
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
	full, silence := s.recordReport(report, l, a, wait == 0)
	if !full {
		report.Running, report.Partial = nil, true
	}
	var deadline int64
	if a.to.Values.Incarnation() == report.Incarnation {
		deadline = a.to.Values.Deadline()
	}
	c.Sink.Submit(c.Epoch, leader.Reported{Worker: worker, Report: report, Sent: a.sent, Deadline: deadline, Silence: silence})
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
	case errors.Is(err, errNoFence):
		return // the worker did answer
	case l.answered && classifier.Is(err, classifier.Unsent):
		return // the line had broken off since its last call
	case classifier.Is(err, classifier.Fenced) && s.raised(a.to.Fence):
		return // a call with the higher fence has overtaken the poll
	}
	if deadline, silence, missed := s.recordMiss(a.heard); missed {
		c.Sink.Submit(c.Epoch, leader.PollFailed{Worker: worker, Incarnation: a.heard, Deadline: deadline, Silence: silence})
		c.outbox.put(errSilent, s.endSilence()...)
	}
}

// pollAttempt returns a poll on a line. It tells the worker values only if the incarnation
// for which they are valid has answered on the line, and with no higher fence than any it has
// answered: the poll may be executed late, and a later incarnation that has answered a higher
// one refuses it then.
func (c *Commander) pollAttempt(worker string, s *workerState, l *line, now time.Time) attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := attempt{to: c.pollTarget(worker, s, l), heard: s.incarnation, sent: now}
	if s.usable(l) && a.to.Fence <= s.fence {
		a.to.Values = c.renewal(s, now).WithAcked(s.acked)
	}
	return a
}

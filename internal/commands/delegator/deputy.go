package delegator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// confirmInterval is the longest time between two batches to the leader. Each
	// answer confirms the deputy; a quarter of MaxGrant leaves room for retries.
	confirmInterval = MaxGrant / 4
)

// errOutdated is the error of commands of an earlier leader or session.
var errOutdated = errors.New("commands are of an earlier leader or session")

// Leader takes the events of deputies.
type Leader interface {
	// ReportEvents passes a batch on to the leader and returns its answer.
	ReportEvents(ctx context.Context, e Events) (Confirmation, error)
}

// Deputy is an entry's end: it calls workers for the leader. Set the exported fields
// before use.
type Deputy struct {
	Workers commander.Workers
	Leader  Leader
	Logger  logrus.FieldLogger
	Polls   metrics.Timer
	Orders  metrics.Timer

	mu      sync.Mutex
	current *session
}

// session is the work of a deputy for one leader, from its first command until the
// link is lost or another session begins.
type session struct {
	deputy    *Deputy
	epoch     int64
	number    int64
	began     time.Time
	commander *commander.Commander
	group     errgroup.Group
	cancel    context.CancelFunc
	ended     bool                      // by the lock of the deputy
	confirmed atomic.Pointer[time.Time] // when the batch was sent that the leader last confirmed
	fence     atomic.Int64              // highest fence that calls may have, as the leader has last said

	mu     sync.Mutex
	events []Event
	wake   chan struct{}
}

// Do accepts a batch of commands of the leader. A later epoch or session ends the
// previous one. The context bounds the session, not the call.
func (d *Deputy) Do(ctx context.Context, c Commands) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.current
	switch {
	case s == nil || c.Epoch > s.epoch || c.Epoch == s.epoch && c.Session > s.number:
		if s != nil {
			s.cancel()
		}
		s = d.begin(ctx, c)
	case c.Epoch != s.epoch || c.Session != s.number || s.ended:
		return errOutdated
	}
	s.raiseFence(c.Fence)
	for _, command := range c.List {
		s.do(command)
	}
	return nil
}

// begin begins a session. The caller holds the lock.
func (d *Deputy) begin(ctx context.Context, c Commands) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{deputy: d, epoch: c.Epoch, number: c.Session, began: time.Now(), cancel: cancel, wake: make(chan struct{}, 1)}
	now := time.Now()
	s.confirmed.Store(&now)
	logger := d.Logger.WithFields(logrus.Fields{"epoch": c.Epoch, "session": c.Session})
	s.commander = &commander.Commander{
		Workers: d.Workers, Sink: s, Logger: logger, Epoch: c.Epoch, Lease: c.Lease, Renewal: MaxGrant,
		LastConfirmed: func() time.Time { return *s.confirmed.Load() }, Fence: s.fence.Load, Polls: d.Polls, Orders: d.Orders,
	}
	s.commander.Start(ctx)
	d.current = s
	logger.Info("calling workers for the leader")
	s.group.Go(func() error {
		s.report(ctx)
		d.end(s)
		logger.Info("no longer calling workers for the leader")
		cancel()
		s.commander.Wait()
		return nil
	})
	return s
}

// end refuses further commands of a session. Once it returns, the session's commander gets
// none any more and can be waited for.
func (d *Deputy) end(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.ended = true
}

// Wait returns when no session is in progress. Call it after the context of the last
// session has ended.
func (d *Deputy) Wait() {
	d.mu.Lock()
	s := d.current
	d.mu.Unlock()
	if s != nil {
		_ = s.group.Wait()
	}
}

// Waiting returns the number of orders of the leader that wait.
func (d *Deputy) Waiting() int {
	d.mu.Lock()
	s := d.current
	d.mu.Unlock()
	if s == nil {
		return 0
	}
	return s.commander.Waiting()
}

// raiseFence raises the fence that calls may have. The answers of the leader and its
// commands may overtake each other.
func (s *session) raiseFence(fence int64) {
	for {
		known := s.fence.Load()
		if fence <= known || s.fence.CompareAndSwap(known, fence) {
			return
		}
	}
}

func (s *session) do(c Command) {
	switch {
	case c.Watch != nil:
		s.commander.Watch(*c.Watch)
	case c.Unwatch != "":
		s.commander.Unwatch(leader.StopPolling{Worker: c.Unwatch})
	case c.Poll != "":
		s.commander.Poll(leader.PollNow{Worker: c.Poll})
	case c.Renew != nil:
		s.commander.Renew(*c.Renew)
	case c.Ack != nil:
		s.commander.Acknowledge(*c.Ack)
	case c.Order != nil:
		s.commander.Order(*c.Order)
	case c.Withdraw != nil:
		s.commander.Withdraw(*c.Withdraw)
	}
}

// Submit queues an event of the commander for the leader.
func (s *session) Submit(_ int64, event leader.Event) {
	var e Event
	switch f := event.(type) {
	case leader.Reported:
		e.Sent = f.Sent.Sub(s.began)
		e.Report = &Report{Worker: f.Worker, Report: f.Report, Deadline: f.Deadline, Silence: f.Silence}
	case leader.PollFailed:
		e.Failed = &f
	case leader.OrderAnswered:
		e.Answer = &f
	}
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// report passes the events on to the leader in batches, until the context ends or the
// leader does not take them. An empty batch asks for a confirmation.
func (s *session) report(ctx context.Context) {
	for ctx.Err() == nil {
		s.awaitEvents(ctx)
		s.mu.Lock()
		batch := Events{Epoch: s.epoch, Session: s.number, List: s.events}
		s.events = nil
		s.mu.Unlock()
		sent := time.Now()
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		answer, err := s.deputy.Leader.ReportEvents(bounded, batch)
		cancel()
		if err != nil {
			s.deputy.Logger.WithField("epoch", s.epoch).WithError(err).Info("the leader takes no events")
			return // it counts the deputy as lost, too
		}
		s.raiseFence(answer.Fence)
		if answer.Confirmed {
			s.confirmed.Store(&sent)
		}
		timer.Sleep(ctx, flushInterval)
	}
}

// awaitEvents waits for an event, at most for confirmInterval.
func (s *session) awaitEvents(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, confirmInterval)
	defer cancel()
	select {
	case <-bounded.Done():
	case <-s.wake:
	}
}

package commander

import (
	"context"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// workerState is what the commander knows of one worker.
type workerState struct {
	mu           sync.Mutex
	address      string
	life                       // valid if heard
	heard        bool          // a report has been accepted
	fence        int64         // of the calls that tell values; no earlier one had a higher one
	raisedTo     int64         // highest fence with which another incarnation was polled; it may have seen it
	idle         []*line       // lines on which the incarnation has answered, the last used last
	closed       bool          // the worker is not watched any more
	ackChanged   chan struct{} // signaled when acked or renewedIn changes
	unanswered   bool          // the last poll got no answer
	fencedIn     int64         // the silence after which the worker was shown a fence above those of all calls before
	silence      int64         // number of the last silence, one more each time that a poll gets no answer
	renewedIn    int64         // the silence after which the leader had the leases renewed
	fullReportAt time.Time     // when running tasks were last reported
	cancel       context.CancelFunc
	orders       orderQueue
	senders      int  // goroutines that send orders
	pollWanted   bool // an extra poll is to be sent
	polling      bool // a goroutine sends extra polls
}

// life is what is known of one incarnation and means nothing to another one.
type life struct {
	incarnation   int64
	acked         int64     // ends up to this number are acknowledged
	lastEnd       int64     // number of the last end reported
	clock         int64     // steady clock of the worker, milliseconds
	clockReadAt   time.Time // when clock was received
	leaseDeadline int64     // latest lease deadline sent, on the worker's clock
}

// move changes the worker's address and reports whether it was another one.
func (s *workerState) move(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return false
	}
	s.address = address
	s.closeIdle()
	return true
}

// close closes the idle lines, and those that are released later. It returns the highest
// fence that a call to the worker may have, and the orders that wait, which it gives up.
func (s *workerState) close() (int64, []leader.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeIdle()
	return s.fence, s.orders.withdrawAll()
}

// endSilence gives up the orders that have waited since before a silence, once the leader was
// told of it, and returns them.
func (s *workerState) endSilence() []leader.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.withdrawAll()
}

// enqueue has an order wait and returns the orders that it withdraws. The error is that of an
// order that the leader gave before it knew of the last silence.
func (s *workerState) enqueue(o leader.Order, now time.Time) ([]leader.Order, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || leader.SilentSince(o.Silence, s.silence) {
		return nil, errSilent
	}
	queued := queuedOrder{Order: o, silence: s.silence}
	if o.Valid > 0 {
		queued.expires = now.Add(o.Valid)
	}
	return s.orders.add(queued), nil
}

// withdrawStart withdraws the start of a run and returns it if it waited.
func (s *workerState) withdrawStart(e leader.Withdraw) []leader.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.withdraw(leader.OrderStart, e.Task, e.Run)
}

// addSender reports whether another goroutine is to send the orders that wait.
func (s *workerState) addSender() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.senders >= maxOrdersPerWorker || len(s.orders.waiting) == 0 {
		return false
	}
	s.senders++
	return true
}

// nextOrder returns the order to be sent next, or nil if none waits: the caller then sends no
// more orders.
func (s *workerState) nextOrder() *queuedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orders.next()
	if o == nil {
		s.senders--
	}
	return o
}

// waitingOrders returns the number of orders that wait.
func (s *workerState) waitingOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orders.waiting)
}

// wantPoll has an extra poll sent from now on. It reports whether the caller has to start the
// goroutine that does so.
func (s *workerState) wantPoll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := !s.polling
	s.pollWanted, s.polling = true, true
	return start
}

// takePoll reports whether an extra poll is to be sent now. If not, the goroutine ends.
func (s *workerState) takePoll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polling = s.pollWanted
	s.pollWanted = false
	return s.polling
}

// orderDone takes note that an order was sent, and whether the worker has carried it out.
func (s *workerState) orderDone(o *queuedOrder, executed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders.done(o, executed)
}

// fencedOff reports whether the worker refuses all calls from before its last silence. The
// caller holds the lock.
func (s *workerState) fencedOff() bool { return s.fencedIn == s.silence }

// awaitsFence reports whether leases are renewed as soon as the worker answers a poll that has
// it refuse the calls from before its last silence.
func (s *workerState) awaitsFence(fence func() int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.fencedOff() && s.renewedIn == s.silence && fence() > s.fence
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
	return s.acked >= s.lastEnd && s.renewedIn == s.silence
}

// admits reports whether a report that was asked for with a fence may be accepted. A new
// incarnation has to have seen a higher fence than the calls to earlier ones: one of those
// that got no answer may still be on its way, and is refused from then on.
func (s *workerState) admits(incarnation, fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard && incarnation <= s.incarnation || fence > s.fence
}

// raise has later polls of other incarnations sent with a fence.
func (s *workerState) raise(fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raisedTo = max(s.raisedTo, fence)
}

// raised reports whether the worker may have seen a higher fence by now.
func (s *workerState) raised(fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fence < max(s.fence, s.raisedTo)
}

// recordMiss records a poll without an answer that was sent after an incarnation had been
// heard, unless another one has been heard since, which it returns as false. It resets
// acked: what the worker reports after that is acknowledged anew. It returns the latest
// lease deadline sent, be it with a poll that is still in flight, and the number of the
// silence. Polls of a worker that is no longer watched are not recorded.
func (s *workerState) recordMiss(incarnation int64) (deadline, silence int64, missed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation || s.closed {
		return 0, 0, false
	}
	s.acked, s.unanswered, s.fullReportAt = 0, true, time.Time{}
	s.silence++
	s.closeIdle()
	return s.leaseDeadline, s.silence, true
}

// recordReport records a report that came on a line. It reports whether its running tasks
// are to be passed on: if the last ones are old or were asked for. The number is that of
// the last silence if the leader has to have the leases renewed.
func (s *workerState) recordReport(r leader.Report, l *line, a attempt, asked bool) (bool, int64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.answered, l.incarnation = true, r.Incarnation
	if s.heard && r.Incarnation < s.incarnation {
		return true, 0
	}
	changed := !s.heard || r.Incarnation != s.incarnation
	full := asked || changed || a.sent.Sub(s.fullReportAt) >= fullReportInterval
	if full {
		s.fullReportAt = a.sent
	}
	s.unanswered = false
	if changed {
		s.heard, s.life = true, life{incarnation: r.Incarnation}
		s.closeIdle()
	}
	if a.to.Fence > s.fence {
		s.fence, s.fencedIn = a.to.Fence, s.silence
	}
	for _, e := range r.Ended {
		s.lastEnd = max(s.lastEnd, e.Number)
	}
	if r.Clock >= s.clock {
		s.clock, s.clockReadAt = r.Clock, now
	}
	if s.renewedIn == s.silence {
		return full, 0
	}
	return full, s.silence
}

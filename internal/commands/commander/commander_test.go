package commander_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// workers is a fake worker whose answers a test sets.
type workers struct {
	mu     sync.Mutex
	report leader.Report
	fail   error // result of polls
	refuse error // result of orders
	polls  []commander.Target
	acked  []int64
	fence  atomic.Int64  // rises with each look at it, as with the records of a leader
	still  atomic.Bool   // the fence doesn't rise, as while the log takes no records
	hold   time.Duration // how long a poll waits that may wait, 0 for a short while
}

func (w *workers) Connect(string) commander.Connection { return w }

func (w *workers) Close() {}

func (w *workers) Order(context.Context, commander.Target, leader.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refuse
}

func (w *workers) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	w.mu.Lock()
	w.polls = append(w.polls, to)
	w.acked = append(w.acked, to.Values.Acked())
	report, fail, hold := w.report, w.fail, max(w.hold, 20*time.Millisecond)
	w.mu.Unlock()
	if wait > 0 && fail == nil && len(report.Ended) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(hold):
		}
	}
	return report, fail
}

func (w *workers) set(r leader.Report, fail error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report, w.fail, w.polls, w.acked = r, fail, nil, nil
}

func (w *workers) refuseOrders(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse = err
}

func (w *workers) seen() ([]commander.Target, []int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polls, w.acked
}

// events records the events of the commander.
type events struct {
	mu    sync.Mutex
	all   []leader.Event
	renew func(leader.Renew) // answers reports, as a leader does; nil for one that does not follow up
}

func (e *events) Submit(_ int64, event leader.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := event.(leader.Reported); ok && r.Silence != 0 && e.renew != nil {
		e.renew(leader.Renew{Worker: r.Worker, Silence: r.Silence})
	}
	e.all = append(e.all, event)
}

func (e *events) answers() []leader.OrderAnswered {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []leader.OrderAnswered
	for _, event := range e.all {
		if a, ok := event.(leader.OrderAnswered); ok {
			all = append(all, a)
		}
	}
	return all
}

// reports returns the reports of an incarnation.
func (e *events) reports(incarnation int64) []leader.Reported {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []leader.Reported
	for _, event := range e.all {
		if r, ok := event.(leader.Reported); ok && r.Report.Incarnation == incarnation {
			all = append(all, r)
		}
	}
	return all
}

// failures returns the polls that have failed.
func (e *events) failures() []leader.PollFailed {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []leader.PollFailed
	for _, event := range e.all {
		if f, ok := event.(leader.PollFailed); ok {
			all = append(all, f)
		}
	}
	return all
}

func start(t *testing.T, w *workers, confirmed func() time.Time) (*commander.Commander, *events) {
	t.Helper()
	logger, _ := test.NewNullLogger()
	sink := &events{}
	c := &commander.Commander{
		Workers: w, Sink: sink, Logger: logger, Epoch: 7, Lease: 6 * time.Second, Renewal: time.Second, LastConfirmed: confirmed,
		Fence: func() int64 {
			if w.still.Load() {
				return 7 + w.fence.Load()
			}
			return 7 + w.fence.Add(1)
		},
		Polls: metrics.NewTimer(), Orders: metrics.NewTimer(),
	}
	sink.renew = c.Renew
	ctx, cancel := context.WithCancel(context.Background())
	c.Start(ctx)
	t.Cleanup(func() {
		cancel()
		c.Wait()
	})
	c.Watch(leader.StartPolling{Worker: "w", Address: "a"})
	return c, sink
}

// awaitPolls waits until n polls were made since the last set.
func awaitPolls(t *testing.T, w *workers, n int) ([]commander.Target, []int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if polls, _ := w.seen(); len(polls) >= n {
			return poll.Success()
		}
		return poll.Continue("polls are missing")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	return w.seen()
}

// A poll without an answer may still have been carried out. If each poll of a
// silent worker renewed its leases, the leader could never know that they have
// lapsed.
func TestLeasesOfASilentWorkerAreNotRenewed(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
	start(t, w, time.Now)
	polls, _ := awaitPolls(t, w, 3)
	assert.Equal(t, polls[0].Values.Deadline(), int64(0), "the clock is not known yet")
	assert.Assert(t, polls[2].Values.Deadline() >= 7000)
	w.set(leader.Report{}, &classifier.Error{Kind: classifier.Unanswered})
	polls, _ = awaitPolls(t, w, 3)
	for _, to := range polls[1:] {
		assert.Equal(t, to.Values.Deadline(), int64(0))
	}
}

// After a poll without an answer, the worker may be another incarnation, which
// must not forget ends that it has not reported.
func TestNothingIsAcknowledgedAfterAnUnansweredPoll(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
	c, _ := start(t, w, time.Now)
	awaitPolls(t, w, 2)
	c.Acknowledge(leader.Acknowledge{Worker: "w", Incarnation: 1, Number: 57})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, acked := w.seen(); acked[len(acked)-1] == 57 {
			return poll.Success()
		}
		return poll.Continue("not acknowledged yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	w.set(leader.Report{}, &classifier.Error{Kind: classifier.Unanswered})
	_, acked := awaitPolls(t, w, 3)
	assert.Equal(t, acked[2], int64(0))
}

// Guards against done tasks that run again: a worker that had restarted under its id forgot
// ends of its new incarnation, since a poll beside the one in flight acknowledged them by
// the numbers of the earlier one.
func TestNothingIsAcknowledgedToAWorkerThatMayHaveRestarted(t *testing.T) {
	w, c, _ := startPolled(t)
	c.Acknowledge(leader.Acknowledge{Worker: "w", Incarnation: 1, Number: 57})
	time.Sleep(restartTime)
	c.Poll(leader.PollNow{Worker: "w"})
	_, acked := awaitPolls(t, w, 3)
	assert.Equal(t, acked[2], int64(0))
}

// restartTime is long enough for a worker to have restarted.
const restartTime = 700 * time.Millisecond

// startPolled returns a commander with a poll in flight, to a worker that has been up for
// an hour.
func startPolled(t *testing.T) (*workers, *commander.Commander, *events) {
	t.Helper()
	w := &workers{report: leader.Report{Incarnation: 1, Clock: time.Hour.Milliseconds()}, hold: 2 * time.Second}
	c, sink := start(t, w, time.Now)
	awaitPolls(t, w, 2)
	return w, c, sink
}

// Guards against leases that end an hour late: the same poll carried a deadline on the
// clock of the earlier incarnation.
func TestNoDeadlineIsSentToAWorkerThatMayHaveRestarted(t *testing.T) {
	w, c, sink := startPolled(t)
	time.Sleep(restartTime)
	w.set(leader.Report{Incarnation: 2, Clock: 100}, nil)
	c.Poll(leader.PollNow{Worker: "w"})
	polls, _ := awaitPolls(t, w, 1)
	assert.Equal(t, polls[0].Values.Deadline(), int64(0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(sink.reports(2)) > 0 {
			return poll.Success()
		}
		return poll.Continue("no report of the later incarnation yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, sink.reports(2)[0].Deadline, int64(0))
}

// Guards against a task that runs in two places: a worker that was listed again forgot the
// deadline of the poll in flight, and its runs were given up before their leases ended.
func TestAWorkerThatIsWatchedAgainKeepsThePollInFlight(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}, hold: 700 * time.Millisecond}
	c, sink := start(t, w, time.Now)
	awaitPolls(t, w, 2) // the second waits
	c.Watch(leader.StartPolling{Worker: "w", Address: "a"})
	time.Sleep(time.Second)
	polls, _ := w.seen()
	assert.Assert(t, polls[1].Values.Deadline() > 0)
	assert.Equal(t, sink.reports(1)[1].Deadline, polls[1].Values.Deadline())
}

// Guards against runs that are given up before their leases end: a poll that failed beside
// the one in flight said nothing of the deadline that this one had carried.
func TestAFailedPollTellsTheLatestDeadline(t *testing.T) {
	w, c, sink := startPolled(t)
	polls, _ := w.seen()
	time.Sleep(restartTime)
	w.set(leader.Report{}, &classifier.Error{Kind: classifier.Unanswered})
	c.Poll(leader.PollNow{Worker: "w"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(sink.failures()) > 0 {
			return poll.Success()
		}
		return poll.Continue("no poll has failed yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, sink.failures()[0], leader.PollFailed{Worker: "w", Incarnation: 1, Deadline: polls[1].Values.Deadline(), Silence: leader.FirstSilence(0) + 1})
}

// Guards against a worker at a new address that is taken for the one at the old address:
// it must not forget ends that it has not reported.
func TestNothingIsAcknowledgedAtANewAddressBeforeItIsHeard(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}, hold: 300 * time.Millisecond}
	c, _ := start(t, w, time.Now)
	awaitPolls(t, w, 2) // the second waits
	c.Acknowledge(leader.Acknowledge{Worker: "w", Incarnation: 1, Number: 57})
	c.Watch(leader.StartPolling{Worker: "w", Address: "b"})
	polls, acked := awaitPolls(t, w, 3)
	assert.Equal(t, polls[2].Address, "b")
	assert.Equal(t, polls[2].Values.Deadline(), int64(0))
	assert.Equal(t, acked[2], int64(0))
}

// A leader that has not heard a worker tells the next one how long its leases may last, so
// they must not be renewed before the leader has had them renewed, nor after a silence that
// it has not heard of yet.
func TestLeasesAreRenewedOnceTheLeaderHasHeardTheWorker(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
	c, sink := start(t, w, time.Now)
	awaitPolls(t, w, 3)
	sink.mu.Lock()
	sink.renew = nil
	sink.mu.Unlock()
	w.set(leader.Report{}, &classifier.Error{Kind: classifier.Unanswered})
	awaitPolls(t, w, 2)
	w.set(leader.Report{Incarnation: 1, Clock: 2000}, nil)
	polls, _ := awaitPolls(t, w, 3)
	for _, to := range polls {
		assert.Equal(t, to.Values.Deadline(), int64(0))
	}
	c.Renew(leader.Renew{Worker: "w", Silence: 1})
	w.set(leader.Report{Incarnation: 1, Clock: 3000}, nil)
	polls, _ = awaitPolls(t, w, 2)
	assert.Equal(t, polls[1].Values.Deadline(), int64(0), "there was a silence since")
	reports := sink.reports(1)
	c.Renew(leader.Renew{Worker: "w", Silence: reports[len(reports)-1].Silence})
	w.set(leader.Report{Incarnation: 1, Clock: 4000}, nil)
	polls, _ = awaitPolls(t, w, 2)
	assert.Assert(t, polls[1].Values.Deadline() > 4000)
}

// A leader that the log does not confirm lets leases lapse: a new leader may
// wait for that.
func TestUnconfirmedLeaderRenewsNothing(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
	long := time.Now().Add(-time.Hour)
	start(t, w, func() time.Time { return long })
	polls, _ := awaitPolls(t, w, 4)
	for _, to := range polls {
		assert.Equal(t, to.Values.Deadline(), int64(0))
	}
}

// A worker with unacknowledged ends answers a poll at once. The next poll waits
// until the ends are in the log.
func TestPollsWaitForEndsToBeAcknowledged(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000, Ended: []leader.RunEnd{{Number: 3}}}}
	c, _ := start(t, w, time.Now)
	awaitPolls(t, w, 1)
	time.Sleep(300 * time.Millisecond)
	polls, _ := w.seen()
	assert.Equal(t, len(polls), 1)
	c.Acknowledge(leader.Acknowledge{Worker: "w", Incarnation: 1, Number: 3})
	_, acked := awaitPolls(t, w, 2)
	assert.Equal(t, acked[1], int64(3))
}

// The outcome of an order depends on whether it may have been carried out.
func TestOutcomesOfOrders(t *testing.T) {
	for _, c := range []struct {
		fail error
		want leader.Outcome
	}{
		{nil, leader.Executed},
		{&classifier.Error{Kind: classifier.Unanswered}, leader.OutcomeUnknown},
		{&classifier.Error{Kind: classifier.Unsent}, leader.Refused},
		{&classifier.Error{Kind: classifier.Busy}, leader.Refused},
		{&classifier.Error{Kind: classifier.Fenced}, leader.Refused},
		{&classifier.Error{Kind: classifier.Replaced}, leader.Refused},
		{&classifier.Error{Kind: classifier.DeadlineExceeded}, leader.Refused},
		{&classifier.Error{Kind: classifier.NoRoom}, leader.InsufficientCapacity},
		{&classifier.Error{Kind: classifier.InvalidTicket}, leader.InvalidTicket},
		{&classifier.Error{Kind: classifier.StaleRun}, leader.StaleRun},
	} {
		w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
		sender, sink := start(t, w, time.Now)
		awaitPolls(t, w, 1)
		w.refuseOrders(c.fail)
		sender.Order(leader.Order{Worker: "w", Kind: leader.OrderStart, Task: ledger.TaskID{Job: "j"}, Run: 1})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(sink.answers()) > 0 {
				return poll.Success()
			}
			return poll.Continue("no answer yet")
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
		assert.Equal(t, sink.answers()[0].Outcome, c.want, "%v", c.fail)
	}
}

// A leader that was paused may have been replaced meanwhile. It sends no order before
// the log has confirmed it again, and says that the order was not sent.
func TestOrdersNeedALeaderThatWasConfirmedLately(t *testing.T) {
	w := &workers{}
	var confirmed atomic.Pointer[time.Time]
	set := func(at time.Time) { confirmed.Store(&at) }
	set(time.Now().Add(-time.Minute))
	c, sink := start(t, w, func() time.Time { return *confirmed.Load() })
	order := leader.Order{Worker: "w", Address: "a", Kind: leader.OrderStart, Task: ledger.TaskID{Job: "j"}, Run: 1}
	for _, want := range []leader.Outcome{leader.NotSent, leader.Executed} {
		before := len(sink.answers())
		c.Order(order)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if answers := sink.answers(); len(answers) > before {
				assert.Equal(t, answers[before].Outcome, want)
				return poll.Success()
			}
			return poll.Continue("no answer yet")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
		set(time.Now())
	}
}

// Guards against calls that a worker executes late, when it is watched anew: it has to have
// seen a higher fence than theirs first.
func TestAWorkerThatIsWatchedAnewFencesOffEarlierCalls(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
	c, sink := start(t, w, time.Now)
	awaitPolls(t, w, 2)
	w.still.Store(true)
	earlier, _ := w.seen()
	c.Unwatch(leader.StopPolling{Worker: "w"})
	w.set(leader.Report{Incarnation: 2, Clock: 10}, nil)
	c.Watch(leader.StartPolling{Worker: "w", Address: "a"})
	awaitPolls(t, w, 1)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(sink.reports(2)), 0)
	w.still.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(sink.reports(2)) > 0 {
			return poll.Success()
		}
		return poll.Continue("no report yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	polls, _ := w.seen()
	assert.Assert(t, polls[len(polls)-1].Fence > earlier[len(earlier)-1].Fence)
}

// hangingWorkers answer polls that don't wait only after a while, and then in vain.
type hangingWorkers struct {
	*workers
	hang atomic.Bool
}

func (h *hangingWorkers) Connect(string) commander.Connection { return h }

func (h *hangingWorkers) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	if wait == 0 && h.hang.Load() {
		time.Sleep(300 * time.Millisecond)
		return leader.Report{}, &classifier.Error{Kind: classifier.Unanswered}
	}
	return h.workers.Poll(ctx, to, wait)
}

// Guards against leases that are said not to be renewed although the next caller renews them:
// a poll of a worker that was given to another caller failed.
func TestAPollOfAWorkerThatIsNoLongerWatchedSaysNothing(t *testing.T) {
	w := &hangingWorkers{workers: &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}}
	logger, _ := test.NewNullLogger()
	sink := &events{}
	c := &commander.Commander{
		Workers: w, Sink: sink, Logger: logger, Epoch: 7, Lease: 6 * time.Second, Renewal: time.Second,
		LastConfirmed: time.Now, Fence: func() int64 { return 9 }, Polls: metrics.NewTimer(), Orders: metrics.NewTimer(),
	}
	sink.renew = c.Renew
	ctx, cancel := context.WithCancel(context.Background())
	c.Start(ctx)
	defer c.Wait()
	defer cancel()
	c.Watch(leader.StartPolling{Worker: "w", Address: "a"})
	awaitPolls(t, w.workers, 3)
	w.hang.Store(true)
	c.Poll(leader.PollNow{Worker: "w"})
	time.Sleep(50 * time.Millisecond)
	c.Unwatch(leader.StopPolling{Worker: "w"})
	before := len(sink.failures())
	time.Sleep(time.Second)
	assert.Equal(t, len(sink.failures()), before, "%+v", sink.failures())
}

package commander_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
)

// stopRetry is the pause after which a leader gives a stop again that was not carried out.
const stopRetry = 500 * time.Millisecond

// changeScript is a leader that no longer wants some runs whose starts it has ordered.
type changeScript struct {
	fates  []fate
	starts int
	valid  time.Duration // of the tickets, 0 for no limit
	share  int           // one run in so many is no longer wanted
	after  time.Duration // from the starts
	drains bool          // the starts are withdrawn, where otherwise the runs are stopped
}

func drawChange(t *rapid.T) changeScript {
	return changeScript{
		fates:  rapid.SliceOfN(rapid.Custom(drawFate), 0, 100).Draw(t, "fates"),
		starts: rapid.SampledFrom([]int{1, 40, 437}).Draw(t, "starts"),
		valid:  rapid.SampledFrom([]time.Duration{0, 0, 500 * time.Millisecond, 2500 * time.Millisecond}).Draw(t, "valid"),
		share:  rapid.IntRange(1, 3).Draw(t, "share"),
		after:  duration(t, "after", 0, 2*time.Second),
		drains: rapid.Bool().Draw(t, "drains"),
	}
}

// Guards against starts of a job that was cancelled long before (review/14): they waited
// for one of two slots of their worker, behind orders that got no answer, and nobody looked
// at them again before they were sent. The same holds for a worker that drains and for a
// ticket that has run out.
func TestNoStartIsSentThatTheLeaderNoLongerWants(t *testing.T) {
	checkPlays(t, drawChange, playChange)
}

// playChange plays a script, and then a calm time after which the runs that were not stopped
// must be the ones that go on.
func playChange(s changeScript) *model {
	ctx, cancel := context.WithCancel(context.Background())
	m, f := newModel(ctx)
	defer f.commander.Wait()
	defer cancel()
	m.mu.Lock()
	m.refused, m.expires = map[int]time.Time{}, map[int]time.Time{}
	m.mu.Unlock()
	time.Sleep(time.Second)
	m.setFates(s.fates)
	for range s.starts {
		f.orderValid(s.valid)
	}
	time.Sleep(s.after)
	for run := s.share; run <= s.starts; run += s.share {
		f.refuse(run, s.drains)
	}
	for end := time.Now().Add(calm); time.Now().Before(end); time.Sleep(stopRetry) {
		f.repeatStops()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for run := range m.current.running {
		if _, unwanted := m.refused[run]; unwanted && !s.drains {
			m.violate("run %d goes on", run)
		}
	}
	if len(f.stopping) > 0 {
		m.violate("%d stops are not carried out", len(f.stopping))
	}
	return m
}

// orderValid orders a start whose ticket is valid for a time.
func (f *follower) orderValid(valid time.Duration) {
	f.mu.Lock()
	f.ordered++
	run, known, silence := f.ordered, f.known, f.silence
	f.mu.Unlock()
	if valid > 0 {
		f.model.mu.Lock()
		f.model.expires[run] = time.Now().Add(valid)
		f.model.mu.Unlock()
	}
	f.commander.Order(leader.Order{Worker: "w", Incarnation: known, Silence: silence, Kind: leader.OrderStart, Run: run, Valid: valid})
}

// refuse has a run stopped, or its start withdrawn.
func (f *follower) refuse(run int, withdraw bool) {
	if withdraw {
		f.commander.Withdraw(leader.Withdraw{Worker: "w", Run: run})
	} else {
		f.mu.Lock()
		if f.stopping == nil {
			f.stopping = map[int]bool{}
		}
		f.stopping[run] = true
		f.mu.Unlock()
		f.stop(run)
	}
	f.model.mu.Lock()
	f.model.refused[run] = time.Now()
	f.model.mu.Unlock()
}

func (f *follower) stop(run int) {
	f.mu.Lock()
	known, silence := f.known, f.silence
	f.mu.Unlock()
	f.commander.Order(leader.Order{Worker: "w", Incarnation: known, Silence: silence, Kind: leader.OrderStop, Run: run})
}

// repeatStops stops the runs again whose stop was not carried out.
func (f *follower) repeatStops() {
	f.mu.Lock()
	var runs []int
	for run := range f.stopping {
		runs = append(runs, run)
	}
	f.mu.Unlock()
	for _, run := range runs {
		f.stop(run)
	}
}

// A start that was never sent is answered at once, and so is its stop: neither waits for a
// worker that leaves orders unanswered.
func TestAStopOfARunThatWasNotSentNeedsNoCall(t *testing.T) {
	playRuns(t, func(t *testing.T, m *model, f *follower) {
		m.setFates([]fate{{}, {}, {}, {}}) // what is sent next gets no answer
		const starts = 400
		for range starts {
			f.orderValid(0)
		}
		time.Sleep(time.Millisecond)
		for run := range starts {
			f.refuse(run+1, false)
		}
		time.Sleep(time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, f.notSent >= starts-slots, "%d of %d starts are answered as not sent", f.notSent, starts)
		assert.Assert(t, len(f.stopping) <= slots && f.commander.Waiting() <= slots, "%d stops are not carried out, %d orders wait", len(f.stopping), f.commander.Waiting())
	})
}

// playRuns plays with a model worker whose runs go on until they are stopped.
func playRuns(t *testing.T, play func(t *testing.T, m *model, f *follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, f := newModel(ctx)
		defer f.commander.Wait()
		defer cancel()
		m.mu.Lock()
		m.refused = map[int]time.Time{}
		m.mu.Unlock()
		time.Sleep(time.Second)
		play(t, m, f)
	})
}

// Guards against tasks that run on long after their job was cancelled: the stop of one that
// runs waited behind the starts of all others.
func TestStopsGoBeforeStarts(t *testing.T) {
	playRuns(t, func(t *testing.T, m *model, f *follower) {
		f.orderValid(0)
		time.Sleep(time.Millisecond)
		m.loseStarts()
		for range 40 {
			f.orderValid(0)
		}
		time.Sleep(time.Millisecond)
		f.refuse(1, false)
		time.Sleep(callTimeout)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, !f.stopping[1], "the run was not stopped")
	})
}

// A stop that is given again while it is being sent is sent again at once if it gets no answer.
func TestAStopThatIsGivenAgainFollowsTheOneWithoutAnAnswer(t *testing.T) {
	playRuns(t, func(t *testing.T, m *model, f *follower) {
		f.orderValid(0)
		time.Sleep(time.Millisecond)
		m.setFates([]fate{{}})
		f.refuse(1, false)
		time.Sleep(stopRetry)
		f.repeatStops()
		time.Sleep(callTimeout - stopRetry + time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, !f.stopping[1], "the run was not stopped")
	})
}

// gate is a worker whose polls that don't wait are held up.
type gate struct {
	workers
	held    atomic.Bool
	opened  chan struct{}
	ordered atomic.Int64
}

func (g *gate) Connect(string) commander.Connection { return g }

func (g *gate) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	if wait == 0 && g.held.Load() {
		<-g.opened
	}
	return g.workers.Poll(ctx, to, wait)
}

func (g *gate) Order(context.Context, commander.Target, leader.Order) error {
	g.ordered.Add(1)
	return nil
}

// The order of a start may be on its way for a while before the call: a new connection is
// polled first. What is withdrawn meanwhile is not sent.
func TestAStartIsLookedAtRightBeforeItIsSent(t *testing.T) {
	logger, _ := test.NewNullLogger()
	g := &gate{workers: workers{report: leader.Report{Incarnation: 1, Clock: 1000}, hold: time.Second}, opened: make(chan struct{})}
	sink := &events{}
	c := &commander.Commander{
		Workers: g, Sink: sink, Logger: logger, Epoch: 7, Lease: lease, Renewal: time.Second, LastConfirmed: time.Now,
		Polls: metrics.NilTimer{}, Orders: metrics.NilTimer{},
	}
	sink.renew = c.Renew
	ctx, cancel := context.WithCancel(context.Background())
	c.Start(ctx)
	defer c.Wait()
	defer cancel()
	c.Watch(leader.StartPolling{Worker: "w", Address: "a"})
	awaitPolls(t, &g.workers, 2) // the second waits
	g.held.Store(true)
	c.Order(leader.Order{Worker: "w", Kind: leader.OrderStart, Run: 1})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Waiting() == 0 {
			return poll.Success()
		}
		return poll.Continue("the order waits")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	c.Withdraw(leader.Withdraw{Worker: "w", Run: 1})
	close(g.opened)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(sink.answers()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the order is not answered")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, sink.answers()[0].Outcome, leader.NotSent)
	assert.Equal(t, g.ordered.Load(), int64(0))
}

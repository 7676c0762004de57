package conductor_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// leadTime is the time between the ends of two leaders: enough for a takeover, and less
	// than the leases at a worker last.
	leadTime = 4200 * time.Millisecond
	// seriesTime is how long leaders end one after the other.
	seriesTime = 22 * time.Second
	// renewalTime is how long a leader may renew leases after its last record.
	renewalTime = 2500 * time.Millisecond
	// leaseTime is the longest real time that a lease lasts: 6 s on the slowest clock.
	leaseTime = 6 * time.Second * 100 / 98
	// placingTime is the longest permitted time to start a run elsewhere once it is given up.
	placingTime = time.Second
	// settleTime is the time from the start of the lasting tasks to the first end of a leader.
	settleTime = 2 * time.Second
	// checkPeriod is the time between two checks of a series.
	checkPeriod = 10 * time.Millisecond
)

// lines are one entry's connections to the workers. They can be cut.
type lines struct {
	commander.Workers
	cut atomic.Bool
}

// Connect returns a connection that is cut with the others.
func (l *lines) Connect(address string) commander.Connection {
	return line{l.Workers.Connect(address), l}
}

// line is one of an entry's connections.
type line struct {
	commander.Connection
	all *lines
}

// result replaces the result of a call while the connections are cut.
func (l line) result(err error) error {
	if l.all.cut.Load() {
		return &classifier.Error{Kind: classifier.Unanswered}
	}
	return err
}

// Order sends an order, unless the connection is cut.
func (l line) Order(ctx context.Context, to commander.Target, o leader.Order) error {
	if err := l.result(nil); err != nil {
		return err
	}
	return l.result(l.Connection.Order(ctx, to, o))
}

// Poll polls a worker, unless the connection is cut.
func (l line) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	if err := l.result(nil); err != nil {
		return leader.Report{}, err
	}
	report, err := l.Connection.Poll(ctx, to, wait)
	return report, l.result(err)
}

// series is a cell whose leaders end one after the other.
type series struct {
	t       *testing.T
	log     *emulator.Log
	cell    *emulator.Cell
	members []*member // those that have not ended
	lines   map[*member]*lines
	started int
	ended   *member // the last leader, until another entry leads
}

func newSeries(t *testing.T, entries int) *series {
	t.Helper()
	s := &series{t: t, log: &emulator.Log{}, cell: &emulator.Cell{RunTime: time.Hour}, lines: map[*member]*lines{}}
	listWorkers(t, s.log)
	for range entries {
		s.add()
	}
	return s
}

// add starts another entry.
func (s *series) add() {
	s.t.Helper()
	l := &lines{Workers: s.cell}
	m := start(s.t, fmt.Sprintf("e%d", s.started), s.log, l)
	s.lines[m] = l
	s.members = append(s.members, m)
	s.started++
}

// leader returns the entry that leads, or nil.
func (s *series) leader() *member {
	if i := slices.IndexFunc(s.members, func(m *member) bool { return m.Leading() }); i >= 0 {
		return s.members[i]
	}
	return nil
}

// ending is a way in which a leader ends.
type ending func(s *series, m *member)

// cutOff ends a leader as a kill does: nothing that it sends arrives from now on.
func cutOff(s *series, m *member) {
	s.lines[m].cut.Store(true)
	m.port.SetCut(true)
	s.log.DropAppends(m.epoch(s.t))
}

// stopped asks a leader to stop.
func stopped(_ *series, m *member) { m.stop() }

// end ends the leader. Another entry replaces it at once.
func (s *series) end(how ending, m *member) {
	s.t.Helper()
	how(s, m)
	s.members, s.ended = without(s.members, m), m
	s.add()
}

// bury stops a leader that was cut off, once another one has fenced it off. It may call
// workers again, since as an entry without a role it would call them for the new leader.
func (s *series) bury() {
	if s.ended != nil && s.leader() != nil {
		s.lines[s.ended].cut.Store(false)
		s.ended.stop()
		s.ended = nil
	}
}

// runLasting starts a job with lasting tasks, fewer than there are workers.
func (s *series) runLasting() {
	s.t.Helper()
	leads(s.t, s.members, 5*time.Second)
	tasks := len(workerNames) - 1
	accept(s.t, s.members[0], ledger.Job{ID: "lasting", Accepted: time.Now(), Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{
		{Count: tasks, MaxPerWorker: 1, LongRunning: true, Request: ledger.Resources{CPU: 1000}},
	}})
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		n := 0
		for _, name := range workerNames {
			n += len(s.cell.Running(name))
		}
		if n == tasks {
			return poll.Success()
		}
		return poll.Continue("%d tasks run", n)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// busyWorker returns a worker that runs a task, and the task.
func (s *series) busyWorker() (string, ledger.TaskID) {
	for _, name := range workerNames {
		if tasks := s.cell.Running(name); len(tasks) > 0 {
			return name, tasks[0]
		}
	}
	s.t.Fatal("no worker runs a task")
	return "", ledger.TaskID{}
}

// runsBeside reports whether a task runs at another worker than the given one.
func (s *series) runsBeside(worker string, task ledger.TaskID) bool {
	return slices.ContainsFunc(workerNames, func(name string) bool {
		return name != worker && slices.Contains(s.cell.Running(name), task)
	})
}

// plan is how leaders end and when a worker is lost.
type plan struct {
	endings []ending      // in turn
	ends    int           // leaders that end at most, 0 for any number
	loss    time.Duration // from the first end of a leader, negative if the worker is lost before it
}

// outcome is when the run at the lost worker was replaced.
type outcome struct {
	loss       time.Time
	lastRecord time.Time // latest possible last record of the leader at the time of the loss
	replaced   time.Time // zero if it was not
	ends       int       // leaders that ended before that
}

// play ends leaders until the run at the lost worker is replaced, at most for seriesTime.
func (s *series) play(p plan) outcome {
	s.t.Helper()
	worker, task := s.busyWorker()
	first := time.Now().Add(settleTime)
	next, until := first, first.Add(seriesTime)
	var o outcome
	for now := time.Now(); now.Before(until); now = time.Now() {
		if o.loss.IsZero() && !now.Before(first.Add(p.loss)) {
			o.loss = now
			if s.ended != nil {
				o.lastRecord = now
			}
			s.cell.Lose(worker)
		}
		s.bury()
		if m := s.leader(); m != nil && !now.Before(next) && (p.ends == 0 || o.ends < p.ends) {
			s.end(p.endings[o.ends%len(p.endings)], m)
			next = now.Add(leadTime)
			if o.ends++; o.lastRecord.IsZero() && !o.loss.IsZero() {
				o.lastRecord = now
			}
		}
		if !o.loss.IsZero() && s.runsBeside(worker, task) {
			o.replaced = now
			break
		}
		timer.Sleep(s.t.Context(), checkPeriod)
	}
	return o
}

// Guards against runs at a lost worker that are never given up while leaders follow each
// other: each new one waited anew for leases that nobody had renewed since the loss.
func TestRunsAtALostWorkerAreGivenUpWhileLeadersChange(t *testing.T) {
	const before, between, leaderless = -500 * time.Millisecond, leadTime * 3 / 4, 300 * time.Millisecond
	for name, p := range map[string]plan{
		"one cut off, lost before":             {endings: []ending{cutOff}, ends: 1, loss: before},
		"one stopped, lost before":             {endings: []ending{stopped}, ends: 1, loss: before},
		"cut off, lost before":                 {endings: []ending{cutOff}, loss: before},
		"cut off, lost between":                {endings: []ending{cutOff}, loss: between},
		"cut off, lost without a leader":       {endings: []ending{cutOff}, loss: leaderless},
		"stopped, lost before":                 {endings: []ending{stopped}, loss: before},
		"stopped, lost between":                {endings: []ending{stopped}, loss: between},
		"stopped and cut off in turn, between": {endings: []ending{stopped, cutOff}, loss: between},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSeries(t, 4)
			s.runLasting()
			o := s.play(p)
			bound := o.lastRecord.Sub(o.loss) + renewalTime + leaseTime + takeoverTime + placingTime
			t.Logf("%d leaders ended; the last record of that at the loss came at most %v later; bound %v", o.ends, o.lastRecord.Sub(o.loss), bound)
			assert.Equal(t, len(s.cell.Violations()), 0, "%v", s.cell.Violations())
			assert.Assert(t, !o.replaced.IsZero(), "the run is not replaced after %v", time.Since(o.loss))
			took := o.replaced.Sub(o.loss)
			t.Logf("replaced after %v", took)
			assert.Assert(t, took <= bound, "the run is replaced after %v, later than %v", took, bound)
		})
	}
}

// A task that lasts may have nothing running for 3 s, from 4 s after the last disruption and
// the time that this counts as near, 3 s, on. It waited for 11 s if the leader was lost right
// after its worker (review/10), as the next leader counted with renewals that nobody had sent.
func TestTasksOfALostWorkerRunAgainInTimeAfterTheLossOfItsLeader(t *testing.T) {
	const allowed = 10 * time.Second
	for _, loss := range []time.Duration{-2500 * time.Millisecond, -1200 * time.Millisecond, -500 * time.Millisecond, -20 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(loss.String(), func(t *testing.T) {
			t.Parallel()
			s := newSeries(t, 3)
			s.runLasting()
			o := s.play(plan{endings: []ending{cutOff}, ends: 1, loss: loss})
			assert.Equal(t, len(s.cell.Violations()), 0, "%v", s.cell.Violations())
			assert.Assert(t, !o.replaced.IsZero(), "the run is not replaced after %v", time.Since(o.loss))
			took := o.replaced.Sub(o.loss) + min(loss, 0) // from the last disruption on
			assert.Assert(t, took <= allowed, "the run is replaced %v after the last disruption", took)
			t.Logf("replaced %v after the last disruption", took)
		})
	}
}

package conductor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// A job that ended while its stream took no drops must not run again after a restart long
// after its end (review/8): its end stays in the log until the job is dropped.
func TestAJobThatEndedWhileItsStreamWasDownDoesNotRunAgain(t *testing.T) {
	const keep = 500 * time.Millisecond
	l, c := &emulator.Log{}, &emulator.Cell{RunTime: 200 * time.Millisecond}
	listWorkers(t, l)
	members := []*member{startKeeping(t, "e0", l, c, keep), startKeeping(t, "e1", l, c, keep)}
	first := leads(t, members, 5*time.Second)
	accept(t, members[0], job("ended"))
	l.SetDown(keeper.Jobs, true)
	first.completes(t, "ended", 5*time.Second)
	time.Sleep(4 * keep) // twice the time after which the state of an ended job is deleted
	l.SetDown(keeper.Jobs, false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		values, _, err := l.Newest(context.Background(), keeper.Jobs)
		if err == nil && len(values) == 0 {
			return poll.Success()
		}
		return poll.Continue("the stream has %d jobs: %v", len(values), err)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(50*time.Millisecond))
	for _, m := range members {
		m.stop()
		assert.NilError(t, <-m.done)
	}
	again := startKeeping(t, "new", l, c, keep)
	leads(t, []*member{again}, 10*time.Second)
	accept(t, again, job("later"))
	again.completes(t, "later", 5*time.Second)
	assert.Equal(t, len(c.Violations()), 0, "%v", c.Violations())
}

// Guards against a second run of a task that is done: a leader that has not read the task's job
// would let the worker forget the end. An entry that lags behind in the stream of jobs reads it
// to its end before it leads.
func TestALeaderKnowsAllJobsThatHaveBegun(t *testing.T) {
	var over atomic.Bool
	l, c := &emulator.Log{}, &emulator.Cell{RunTime: 10 * time.Millisecond, End: func(ledger.TaskID, int) leader.EndKind {
		if over.Load() {
			return leader.EndDone
		}
		return ""
	}}
	listWorkers(t, l)
	members := []*member{start(t, "e0", l, c), start(t, "e1", l, c)}
	first := leads(t, members, patience)
	other := without(members, first)[0]
	other.port.SetLagging(keeper.Jobs)
	accept(t, first, job("across"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		running := 0
		for _, name := range workerNames {
			running += len(c.Running(name))
		}
		if running == 6 {
			return poll.Success()
		}
		return poll.Continue("%d tasks run", running)
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
	first.port.SetCut(true)
	l.DropAppends(first.epoch(t))
	leads(t, []*member{other}, patience)
	over.Store(true)
	other.completes(t, "across", patience)
	for i := range 6 {
		assert.Equal(t, c.Starts(ledger.TaskID{Job: "across", Index: i}), 1)
	}
	assert.Equal(t, len(c.Violations()), 0, "%v", c.Violations())
}

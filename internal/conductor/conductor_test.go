package conductor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/conductor"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/replicator"
)

// takeoverTime is the longest permitted time from the loss of a leader to the next
// start of a task.
const takeoverTime = 2 * time.Second

// member is one entry of a cell under test.
type member struct {
	*conductor.Entry
	port *emulator.LogClient
	stop context.CancelFunc
	done chan error
}

// start runs an entry on the loopback interface.
func start(t *testing.T, name string, l *emulator.Log, w commander.Workers) *member {
	t.Helper()
	return startKeeping(t, name, l, w, time.Minute)
}

// startKeeping is like start, for an entry that keeps the states of ended jobs for a time.
func startKeeping(t *testing.T, name string, l *emulator.Log, w commander.Workers, keep time.Duration) *member {
	t.Helper()
	port := &emulator.LogClient{Log: l}
	s := loader.Cell{Name: name, Zone: "z", Lease: 6 * time.Second, Grace: 2 * time.Second, Keep: keep, Share: 1, Memory: 100}
	return startCell(t, s, port, conductor.Ports{Platform: port, Workers: w}, func(*conductor.Entry) {})
}

// startCell runs an entry with settings to which it adds addresses. It calls prepare before
// that.
func startCell(t *testing.T, s loader.Cell, port *emulator.LogClient, p conductor.Ports, prepare func(e *conductor.Entry)) *member {
	t.Helper()
	ports := &emulator.Ports{}
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Ready, &s.Listen.Peers, &s.Listen.Metrics} {
		free, err := ports.Address()
		assert.NilError(t, err)
		*address = free
	}
	logger, _ := test.NewNullLogger()
	e := conductor.New(s, p, logger)
	prepare(e)
	e.Callers, e.Ready = http.NotFoundHandler(), http.NotFoundHandler()
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Entry: e, port: port, stop: cancel, done: make(chan error, 1)}
	var group errgroup.Group
	group.Go(func() error {
		m.done <- e.Run(ctx)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		assert.NilError(t, ports.Release())
	})
	return m
}

func newCell(t *testing.T, entries int) (*emulator.Log, *emulator.Cell, []*member) {
	t.Helper()
	l, c := &emulator.Log{}, &emulator.Cell{RunTime: 200 * time.Millisecond}
	listWorkers(t, l)
	var members []*member
	for i := range entries {
		members = append(members, start(t, fmt.Sprintf("e%d", i), l, c))
	}
	return l, c, members
}

// workerNames are the workers of a cell under test.
var workerNames = []string{"w0", "w1", "w2", "w3"}

func listWorkers(t *testing.T, l *emulator.Log) {
	t.Helper()
	for _, name := range workerNames {
		listWorker(t, l, name)
	}
}

func listWorker(t *testing.T, l *emulator.Log, name string, labels ...string) {
	t.Helper()
	data, err := json.Marshal(leader.Listing{Address: "w", Service: "s", Capacity: ledger.Resources{CPU: 8000, Memory: 8000}, Incarnation: 1, Labels: labels})
	assert.NilError(t, err)
	_, err = l.Append(context.Background(), replicator.Append{Stream: emulator.WorkersStream, Values: []replicator.Value{{Name: name, Data: data}}})
	assert.NilError(t, err)
}

func job(id ledger.ID) ledger.Job {
	return ledger.Job{ID: id, Accepted: time.Now(), Queue: ledger.Queue{Service: "s", Attempts: 2}, Steps: []ledger.Step{
		{Count: 6, Request: ledger.Resources{CPU: 1000}, Estimate: 200 * time.Millisecond},
		{Count: 2, Request: ledger.Resources{CPU: 1000}, Estimate: 200 * time.Millisecond, After: []int{0}},
	}}
}

// completes waits until an entry reports a job as complete.
func (m *member) completes(t *testing.T, id ledger.ID, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		state, _, err := m.Inspector.JobState(context.Background(), id)
		if err == nil && state == ledger.Complete {
			return poll.Success()
		}
		return poll.Continue("job %s is %q", id, state)
	}, poll.WithTimeout(within), poll.WithDelay(20*time.Millisecond))
}

func accept(t *testing.T, m *member, j ledger.Job) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, m.Acceptor.Accept(ctx, j))
}

// leads returns the entry that leads.
func leads(t *testing.T, members []*member, within time.Duration) *member {
	t.Helper()
	var found *member
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, m := range members {
			if m.Leading() {
				found = m
				return poll.Success()
			}
		}
		return poll.Continue("no entry leads")
	}, poll.WithTimeout(within), poll.WithDelay(10*time.Millisecond))
	return found
}

// without returns all entries except one.
func without(members []*member, one *member) []*member {
	return slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return m == one })
}

// epoch returns the epoch that an entry knows of.
func (m *member) epoch(t *testing.T) int64 {
	t.Helper()
	gauge, ok := m.Registry.Get("lead.epoch").(metrics.Gauge)
	assert.Assert(t, ok, "entry has no gauge of its epoch")
	return gauge.Value()
}

// A leader that cannot reach the log must keep leading by writing through the
// entries that are linked to it, so that none of its jobs waits for a takeover.
func TestPartitionedLeaderWritesThroughPeers(t *testing.T) {
	_, c, members := newCell(t, 3)
	first := leads(t, members, 5*time.Second)
	accept(t, members[0], job("before"))
	members[1].completes(t, "before", 5*time.Second)
	accept(t, members[1], job("across"))
	first.port.SetCut(true)
	accept(t, members[2], job("after"))
	for _, id := range []ledger.ID{"across", "after"} {
		members[0].completes(t, id, takeoverTime)
		members[1].completes(t, id, takeoverTime)
	}
	assert.Assert(t, first.Leading())
	assert.Equal(t, len(c.Violations()), 0, "%v", c.Violations())
}

// A leader that can write neither to the log nor through another entry must be
// replaced. Its jobs continue where they were, nothing starts twice, and it learns
// of its successor and follows it.
func TestTakeoverOfAPartitionedLeader(t *testing.T) {
	l, c, members := newCell(t, 3)
	first := leads(t, members, 5*time.Second)
	accept(t, members[0], job("before"))
	members[1].completes(t, "before", 5*time.Second)
	accept(t, members[1], job("across"))
	first.port.SetCut(true)
	l.DropAppends(first.epoch(t))
	others := without(members, first)
	leads(t, others, takeoverTime)
	accept(t, others[0], job("after"))
	others[1].completes(t, "after", takeoverTime+2*time.Second)
	others[1].completes(t, "across", takeoverTime+2*time.Second)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !first.Leading() {
			return poll.Success()
		}
		return poll.Continue("the first leader does not know that it was replaced")
	}, poll.WithTimeout(10*time.Second))
	first.port.SetCut(false)
	first.completes(t, "after", 5*time.Second)
	assert.Equal(t, len(c.Violations()), 0, "%v", c.Violations())
}

// A leader that is asked to stop must resign, so that another entry takes over
// without waiting for the leader timeout.
func TestHandoverOfAStoppingLeader(t *testing.T) {
	_, c, members := newCell(t, 2)
	first := leads(t, members, 5*time.Second)
	other := without(members, first)[0]
	accept(t, other, job("across"))
	first.stop()
	leads(t, []*member{other}, time.Second)
	other.completes(t, "across", 5*time.Second)
	assert.NilError(t, <-first.done)
	assert.Equal(t, len(c.Violations()), 0, "%v", c.Violations())
}

// After all entries have stopped, a new one must continue the jobs from the log.
func TestRestartOfAllEntries(t *testing.T) {
	l, c, members := newCell(t, 2)
	leads(t, members, 5*time.Second)
	accept(t, members[0], job("across"))
	for _, m := range members {
		m.stop()
		assert.NilError(t, <-m.done)
	}
	again := start(t, "new", l, c)
	again.completes(t, "across", 10*time.Second)
	assert.Equal(t, len(c.Violations()), 0, "%v", c.Violations())
}

// noLeader is a leader that cannot be reached.
type noLeader struct{}

func (noLeader) JobState(context.Context, ledger.ID) (ledger.State, error) {
	return "", &classifier.Error{Kind: classifier.Unsent}
}

func (noLeader) Counts(context.Context) (map[string]int, error) {
	return nil, &classifier.Error{Kind: classifier.Unsent}
}

// An ended job must not become unknown at an entry that lags behind in the stream
// of runs but not in that of jobs: such an entry reads that the job was dropped
// before it reads that the job ended.
func TestLaggingReplicaKnowsEndedJobs(t *testing.T) {
	_, _, members := newCell(t, 2)
	first := leads(t, members, 5*time.Second)
	other := without(members, first)[0]
	accept(t, first, job("before"))
	other.completes(t, "before", 5*time.Second)
	other.port.SetLagging("runs")
	other.Inspector.Leader = noLeader{}
	accept(t, first, job("ended"))
	first.completes(t, "ended", 5*time.Second)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		state, known, err := other.Inspector.JobState(context.Background(), "ended")
		switch {
		case err != nil || !known:
			return poll.Error(errors.Newf("job is not known: %v", err))
		case state == ledger.Complete:
			return poll.Success()
		}
		return poll.Continue("job is %q", state)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

package linker_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/linker"
	"github.com/endivelock/endivelock/internal/replicator"
)

// entry is one side of a link: a linker on a state that the test drives. It
// records the events and values that it receives.
type entry struct {
	mu     sync.Mutex
	state  keeper.State
	events []keeper.Event
	values []replicator.Value
	fail   error
	link   *linker.Linker
	stop   context.CancelFunc
}

func (e *entry) Snapshot() keeper.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *entry) Submit(event keeper.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, _ = e.state.Apply(event, time.Now())
	e.events = append(e.events, event)
}

func (e *entry) Add(_ context.Context, v replicator.Value) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.values = append(e.values, v)
	return e.fail
}

func (e *entry) Advise(_ context.Context, _ string, workers []string) ([]leader.Permit, time.Duration, error) {
	return []leader.Permit{{Worker: workers[0], Ticket: "t"}}, time.Second, nil
}

// await waits until the entry has received an event that satisfies a condition.
func (e *entry) await(t *testing.T, what string, is func(keeper.Event) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, event := range e.events {
			if is(event) {
				return poll.Success()
			}
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func start(t *testing.T, name string) *entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	logger, _ := test.NewNullLogger()
	e := &entry{state: keeper.New(keeper.Identity{Name: name, Address: l.Addr().String()}, keeper.Policy{})}
	e.link = &linker.Linker{Viewer: e, Sink: e, Journal: e, Adviser: e, Logger: logger, Memory: 512 << 10}
	e.link.Inspector = states{e}
	e.Submit(keeper.Ticked{})
	e.Submit(keeper.JobsRead{Snapshot: true})
	e.Submit(keeper.RunsRead{Snapshot: true})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.link.Listen(ctx, l) })
	group.Go(func() error { return e.link.Serve(ctx) })
	e.stop = cancel
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return e
}

// states answers queries about jobs from the state of an entry.
type states struct{ entry *entry }

func (s states) JobState(_ context.Context, id ledger.ID) (ledger.State, bool, error) {
	state, known := s.entry.Snapshot().JobState(id)
	return state, known, nil
}

func (s states) Counts(context.Context) (map[string]int, error) {
	return s.entry.Snapshot().Waiting(), nil
}

// becomeLeader makes an entry the leader of an epoch.
func (e *entry) becomeLeader(epoch int64) {
	e.Submit(keeper.Ticked{Jitter: time.Nanosecond})
	time.Sleep(time.Millisecond)
	e.Submit(keeper.Ticked{Jitter: time.Nanosecond})
	e.Submit(keeper.Claimed{Epoch: epoch})
}

func TestCallsBetweenEntryAndLeader(t *testing.T) {
	lead, other := start(t, "lead"), start(t, "other")
	lead.becomeLeader(9)
	assert.Equal(t, lead.Snapshot().Role(), keeper.Leading)
	ctx := context.Background()
	_, err := other.link.JobState(ctx, "j")
	assert.Assert(t, classifier.Is(err, classifier.Unsent))
	other.Submit(keeper.LeaderLearned{Lead: lead.Snapshot().Lead(), From: "test"})
	other.await(t, "the link is made", func(e keeper.Event) bool { m, ok := e.(keeper.LinkEstablished); return ok && m.Epoch == 9 })
	assert.DeepEqual(t, lead.link.Callers(), []string{"lead", "other"})

	lead.Submit(keeper.JobsRead{Changes: []keeper.JobChange{{ID: "j", Job: &ledger.Job{ID: "j", Steps: []ledger.Step{{Count: 1}}}}}, Next: 1})
	state, err := other.link.JobState(ctx, "j")
	assert.NilError(t, err)
	assert.Equal(t, state, ledger.Queued)
	assert.NilError(t, other.link.Add(ctx, replicator.Value{Name: "k", Data: []byte("v")}))
	assert.DeepEqual(t, lead.values, []replicator.Value{{Name: "k", Data: []byte("v")}})
	permits, valid, err := lead.link.Consult(ctx, leader.RequestAdvice{Caller: "other", Step: "j.0.0", Workers: []string{"w"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, permits, []leader.Permit{{Worker: "w", Ticket: "t"}})
	assert.Equal(t, valid, time.Second)

	lead.link.Resign(ctx, 9)
	other.await(t, "the leader has resigned", func(e keeper.Event) bool { l, ok := e.(keeper.LinkLost); return ok && l.SteppedDown })
}

// A write through the leader preserves whether the leader's append may have been
// carried out.
func TestWritesThroughTheLeaderPreserveTheErrorKind(t *testing.T) {
	lead, other := start(t, "lead"), start(t, "other")
	lead.becomeLeader(9)
	other.Submit(keeper.LeaderLearned{Lead: lead.Snapshot().Lead(), From: "test"})
	other.await(t, "the link is made", func(e keeper.Event) bool { _, ok := e.(keeper.LinkEstablished); return ok })
	for kind, undone := range map[classifier.Kind]bool{classifier.Busy: true, classifier.Unanswered: false} {
		lead.mu.Lock()
		lead.fail = &classifier.Error{Kind: kind}
		lead.mu.Unlock()
		err := other.link.Add(context.Background(), replicator.Value{Name: "k"})
		assert.Assert(t, err != nil)
		assert.Equal(t, classifier.NotExecuted(err), undone, "%v", err)
	}
	late, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, classifier.NotExecuted(other.link.Add(late, replicator.Value{Name: "k"})), "a call past its deadline is not sent")
}

// A link that fails because the entry does not lead is told apart from one that
// fails because no process listens: both shorten the wait for a new leader, but
// by different amounts.
func TestLostLinkReportsItsCause(t *testing.T) {
	idle, other := start(t, "idle"), start(t, "other")
	address := idle.Snapshot().Self.Address
	other.Submit(keeper.LeaderLearned{Lead: keeper.LeaderRecord{Epoch: 5, Name: "idle", Address: address}, From: "test"})
	other.await(t, "the entry says that it does not lead", func(e keeper.Event) bool { l, ok := e.(keeper.LinkLost); return ok && l.SteppedDown && !l.Unreachable })
	ports := &emulator.Ports{}
	free, err := ports.Address()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, ports.Release()) })
	other.Submit(keeper.LeaderLearned{Lead: keeper.LeaderRecord{Epoch: 6, Name: "gone", Address: free}, From: "test"})
	other.await(t, "nothing listens", func(e keeper.Event) bool { l, ok := e.(keeper.LinkLost); return ok && l.Unreachable && !l.SteppedDown })
}

// An entry that cannot read the log stays linked to a leader that was replaced
// while both could not reach the log. The former leader tells it who leads now.
func TestAFormerLeaderReportsWhoLeads(t *testing.T) {
	for name, resigns := range map[string]bool{"as it resigns": true, "as it is pinged": false} {
		t.Run(name, func(t *testing.T) {
			former, next, other := start(t, "former"), start(t, "next"), start(t, "other")
			former.becomeLeader(9)
			other.Submit(keeper.LeaderLearned{Lead: former.Snapshot().Lead(), From: "test"})
			other.await(t, "the link is made", func(e keeper.Event) bool { m, ok := e.(keeper.LinkEstablished); return ok && m.Epoch == 9 })
			next.becomeLeader(12)
			former.Submit(keeper.LeaderLearned{Lead: next.Snapshot().Lead(), From: "test"})
			if resigns {
				former.link.Resign(context.Background(), 9)
			}
			other.await(t, "the link to the next leader is made", func(e keeper.Event) bool { m, ok := e.(keeper.LinkEstablished); return ok && m.Epoch == 12 })
		})
	}
}

// waitingJournal is a journal whose values are taken and never answered.
type waitingJournal struct{}

func (waitingJournal) Add(ctx context.Context, _ replicator.Value) error {
	<-ctx.Done()
	return &classifier.Error{Kind: classifier.Unanswered, Cause: ctx.Err()}
}

// Guards against entries that take a leader that waits for the log for one that can't be
// reached, and append by themselves.
func TestALeaderThatWaitsForTheLogSaysSo(t *testing.T) {
	lead, follower := start(t, "lead"), start(t, "follower")
	lead.becomeLeader(9)
	follower.Submit(keeper.LeaderLearned{Lead: lead.Snapshot().Lead()})
	follower.await(t, "the entry is linked", func(e keeper.Event) bool {
		_, ok := e.(keeper.LinkEstablished)
		return ok
	})
	add := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return follower.link.Add(ctx, replicator.Value{Name: "v"})
	}
	for name, c := range map[string]struct {
		journal   linker.Journal
		kind      classifier.Kind
		congested bool
	}{
		"too much waits":       {&entry{fail: &classifier.Error{Kind: classifier.Busy, Cause: classifier.ErrCongested}}, classifier.Busy, true},
		"not answered in time": {waitingJournal{}, classifier.Unanswered, true},
		"refused by the log":   {&entry{fail: &classifier.Error{Kind: classifier.Busy}}, classifier.Refused, false},
	} {
		t.Run(name, func(t *testing.T) {
			lead.link.Journal = c.journal
			err := add()
			assert.Equal(t, classifier.KindOf(err), c.kind)
			assert.Equal(t, errors.Is(err, classifier.ErrCongested), c.congested)
		})
	}
	lead.stop()
	assert.Assert(t, !errors.Is(add(), classifier.ErrCongested), "a leader that is gone counts as one that waits for the log")
}

package recorder_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/recorder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

// firstOffset is the offset before that of the first append.
const firstOffset = 100

// log records appends and fails those that a test chooses.
type log struct {
	mu      sync.Mutex
	appends []replicator.Append
	fail    func(n int) error // result of the nth append, counted from 1
	gate    chan struct{}     // if set, appends block until it is closed
}

func (l *log) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	l.appends = append(l.appends, a)
	n, fail, gate := len(l.appends), l.fail, l.gate
	l.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
		}
	}
	if fail != nil {
		return replicator.Position{}, fail(n)
	}
	return replicator.Position{First: firstOffset + int64(n)}, nil
}

func (l *log) all() []replicator.Append {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

type sink struct {
	mu  sync.Mutex
	all []keeper.Event
}

func (s *sink) Submit(e keeper.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, e)
}

func (s *sink) batches() (last int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if w, ok := e.(keeper.Written); ok {
			last = max(last, w.Batch)
		}
	}
	return last
}

func (s *sink) deposed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if _, ok := e.(keeper.Deposed); ok {
			return true
		}
	}
	return false
}

func serve(t *testing.T, l *log) (*recorder.Recorder, *sink) {
	logger, _ := test.NewNullLogger()
	s := &sink{}
	r := &recorder.Recorder{Log: l, Sink: s, Logger: logger, Lead: keeper.LeaderRecord{Epoch: 9, Name: "me"}, Appends: metrics.NewTimer()}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return r.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return r, s
}

// Guards against a start whose record is not in the log: a batch counted as written when
// only the records of it were written that the recorder had been given so far.
func TestABatchCountsAsWrittenWithAllItsRecords(t *testing.T) {
	const batches = 2000
	l := &log{}
	r, s := serve(t, l)
	written := func() int {
		names := map[string]bool{}
		for _, a := range l.all() {
			for _, v := range a.Values {
				names[v.Name] = true
			}
		}
		n := 0
		for names[fmt.Sprint("a", n+1)] && names[fmt.Sprint("b", n+1)] {
			n++
		}
		return n
	}
	for n := int64(1); n <= batches; n++ {
		r.Put(record(n, ledger.ID(fmt.Sprint("a", n))), record(n, ledger.ID(fmt.Sprint("b", n))))
		if n%50 == 0 {
			told := int(s.batches())
			assert.Assert(t, told <= written(), "batch %d counts as written", told)
		}
	}
	wait(t, "all batches", func() bool { return s.batches() == batches })
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
}

func record(batch int64, id ledger.ID) leader.Record {
	return leader.Record{Batch: batch, Job: id, Progress: ledger.Progress{State: ledger.Running}}
}

// Records that arrive during one append go into the next, one per job, and a
// batch counts as written only when all its records are.
func TestRecordsAreBatchedInOrder(t *testing.T) {
	l := &log{gate: make(chan struct{})}
	r, s := serve(t, l)
	wait(t, "the first heartbeat is sent", func() bool { return len(l.all()) == 1 })
	r.Put(record(1, "a"))
	r.Put(record(2, "b"))
	r.Put(record(3, "a"))
	assert.Equal(t, s.batches(), int64(0))
	close(l.gate)
	wait(t, "the batches are written", func() bool { return s.batches() == 3 })
	second := l.all()[1]
	assert.Equal(t, len(second.Values), 2)
	assert.Equal(t, second.Epoch, int64(9))
	assert.Equal(t, second.Sequence, l.all()[0].Sequence+1)
}

// An append without an answer may be in the log. It is retried unchanged, and
// later records wait for it.
func TestUnansweredAppendsAreRetriedUnchanged(t *testing.T) {
	l := &log{fail: func(n int) error {
		if n < 4 {
			return &classifier.Error{Kind: classifier.Unanswered}
		}
		return nil
	}}
	r, s := serve(t, l)
	r.Put(record(1, "a"))
	wait(t, "the batch is written", func() bool { return s.batches() == 1 })
	all := l.all()
	for i := 1; i < 4; i++ {
		assert.Equal(t, all[i].Sequence, all[0].Sequence)
		assert.DeepEqual(t, all[i].Values, all[0].Values)
	}
}

func TestFencedLeaderStops(t *testing.T) {
	l := &log{fail: func(int) error { return &classifier.Error{Kind: classifier.Fenced} }}
	r, s := serve(t, l)
	r.Put(record(1, "a"))
	wait(t, "the leader is deposed", s.deposed)
	assert.Equal(t, s.batches(), int64(0))
	assert.Equal(t, len(l.all()), 1)
}

// A refused append is retried; a log that has lost appends deposes the leader.
func TestRefusalsAndLostAppends(t *testing.T) {
	l := &log{fail: func(n int) error {
		switch n {
		case 1:
			return &classifier.Error{Kind: classifier.Busy}
		case 2:
			return &classifier.Error{Kind: classifier.OutOfSequence, Number: 4}
		case 4:
			return &classifier.Error{Kind: classifier.OutOfSequence, Number: 2}
		}
		return nil
	}}
	r, s := serve(t, l)
	r.Put(record(1, "a"))
	wait(t, "the batch is written", func() bool { return s.batches() == 1 })
	assert.Equal(t, l.all()[2].Sequence, int64(4))
	r.Put(record(2, "a"))
	wait(t, "the leader is deposed", s.deposed)
}

func serveJournal(t *testing.T, l *log) *recorder.Journal {
	j := recorder.NewJournal(l, "jobs")
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return j.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return j
}

// During an outage of the log, new values are refused before they are sent, so
// that a client is told "not run" only if that is true. A successful read ends
// the outage, and so does a probe, which puts no client's value at risk.
func TestJournalRefusesDuringAnOutage(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, j *recorder.Journal){
		"read": func(_ *testing.T, j *recorder.Journal) { j.MarkAvailable() },
		"probe": func(t *testing.T, j *recorder.Journal) {
			wait(t, "a probe ends the outage", func() bool { return j.Outage() == 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			var down atomic.Bool
			down.Store(true)
			l := &log{fail: func(int) error {
				if down.Load() {
					return &classifier.Error{Kind: classifier.Unanswered}
				}
				return nil
			}}
			j := serveJournal(t, l)
			value := replicator.Value{Name: "a"}
			ctx := context.Background()
			assert.Assert(t, classifier.Is(j.Add(ctx, value), classifier.Unanswered))
			assert.Assert(t, j.Outage() > 0)
			wait(t, "the log is probed", func() bool {
				assert.Assert(t, classifier.Is(j.Add(ctx, value), classifier.Busy))
				return len(l.all()) >= 3
			})
			for _, a := range l.all()[1:] {
				assert.Equal(t, len(a.Values), 0, "a value was sent during the outage")
			}
			down.Store(false)
			end(t, j)
			assert.NilError(t, j.Add(ctx, value))
			assert.Equal(t, j.Outage(), time.Duration(0))
		})
	}
}

// A value that is still queued at its caller's deadline is not sent any more, and the
// caller is told so: it may say "not run", and its client may try again.
func TestValuesPastTheirDeadlineAreNotSent(t *testing.T) {
	l := &log{gate: make(chan struct{})}
	j := serveJournal(t, l)
	var group errgroup.Group
	group.Go(func() error { return j.Add(context.Background(), replicator.Value{Name: "sent"}) })
	wait(t, "the first append is sent", func() bool { return len(l.all()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Assert(t, classifier.NotExecuted(j.Add(ctx, replicator.Value{Name: "late"})))
	close(l.gate)
	assert.NilError(t, group.Wait())
	assert.NilError(t, j.Add(context.Background(), replicator.Value{Name: "next"}))
	for _, a := range l.all() {
		for _, v := range a.Values {
			assert.Assert(t, v.Name != "late", "a value was sent after its caller was told that it was not")
		}
	}
}

// Load pattern: the link to the leader is lost, or the leader says that the log is busy,
// and every entry appends for itself. Appends and probes keep their spacing, and the
// values that come meanwhile share an append.
func TestJournalsSpaceTheirAppends(t *testing.T) {
	const spacing = 100 * time.Millisecond
	l := &log{}
	j := recorder.NewJournal(l, "jobs")
	j.Spacing = func(time.Duration) time.Duration { return spacing }
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return j.Serve(ctx) })
	began := time.Now()
	var values errgroup.Group
	for range 30 {
		values.Go(func() error { return j.Add(ctx, replicator.Value{Name: "v"}) })
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, values.Wait())
	most := 1 + int(time.Since(began)/spacing)
	cancel()
	_ = group.Wait()
	sent := 0
	for _, a := range l.all() {
		sent += len(a.Values)
	}
	assert.Equal(t, sent, 30)
	assert.Assert(t, len(l.all()) <= most, "%d appends, at most %d", len(l.all()), most)
}

// Load pattern: the link to the leader is lost while the log is slow, and every entry appends
// for itself. Spacing follows what an append takes, and a value whose turn comes too late is
// refused at once.
func TestValuesWhoseTurnComesTooLateAreRefusedAtOnce(t *testing.T) {
	const entries, takes = 100, 30 * time.Millisecond
	l := &log{}
	l.fail = func(int) error {
		time.Sleep(takes)
		return nil
	}
	j := recorder.NewJournal(l, "jobs")
	j.Spacing = func(took time.Duration) time.Duration { return entries * took }
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return j.Serve(ctx) })
	add := func() error {
		bounded, done := context.WithTimeout(ctx, 2*time.Second)
		defer done()
		return j.Add(bounded, replicator.Value{Name: "v"})
	}
	assert.NilError(t, add())
	began := time.Now()
	err := add()
	assert.Equal(t, classifier.KindOf(err), classifier.Busy)
	assert.Assert(t, errors.Is(err, classifier.ErrCongested))
	assert.Assert(t, time.Since(began) < time.Second, "refused after %s", time.Since(began))
	assert.Equal(t, len(l.all()), 1)
	cancel()
	_ = group.Wait()
}

func TestJournalBatchesQueuedValues(t *testing.T) {
	l := &log{gate: make(chan struct{})}
	j := serveJournal(t, l)
	var group errgroup.Group
	for range 5 {
		group.Go(func() error { return j.Add(context.Background(), replicator.Value{Name: "a"}) })
	}
	wait(t, "the first append is sent", func() bool { return len(l.all()) == 1 })
	time.Sleep(50 * time.Millisecond) // the others queue
	close(l.gate)
	assert.NilError(t, group.Wait())
	assert.Assert(t, len(l.all()) <= 3)
}

// Values that the stream of jobs refuses are still accepted: the leader writes
// them to the fallback stream under its epoch, each call with a new sequence
// number.
// slowLog answers an append long after it has taken it.
type slowLog struct{ delay time.Duration }

func (l slowLog) Append(context.Context, replicator.Append) (replicator.Position, error) {
	time.Sleep(l.delay)
	return replicator.Position{}, nil
}

// The answer to an append may arrive when another entry leads already. It confirms the
// leader only as of the time when the append was sent.
func TestAnAppendConfirmsTheLeaderAsOfWhenItWasSent(t *testing.T) {
	const delay = 300 * time.Millisecond
	logger, _ := test.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	s := &countingSink{written: make(chan struct{}, 16)}
	r := &recorder.Recorder{Log: slowLog{delay}, Sink: s, Logger: logger, Lead: keeper.LeaderRecord{Epoch: 7, Name: "me"}, Appends: metrics.NewTimer()}
	var group errgroup.Group
	group.Go(func() error { return r.Serve(ctx) })
	<-s.written
	assert.Assert(t, time.Since(r.LastConfirmed()) >= delay)
	cancel()
	_ = group.Wait()
}

// countingSink signals each event.
type countingSink struct{ written chan struct{} }

func (s *countingSink) Submit(keeper.Event) {
	select {
	case s.written <- struct{}{}:
	default:
	}
}

// Guards against calls of an earlier leader, or to an earlier incarnation, that a worker
// executes late: it refuses them only if fences rise, from one leader to the next and with
// the records of each.
func TestFencesRiseWithTheRecordsOfALeader(t *testing.T) {
	logger, _ := test.NewNullLogger()
	first := &recorder.Recorder{Logger: logger, Lead: keeper.LeaderRecord{Epoch: 9}, End: firstOffset}
	assert.Equal(t, first.Fence(), int64(firstOffset+1), "the stream ends after records of earlier leaders that are past the claim")
	l := &log{}
	r, s := serve(t, l)
	wait(t, "the first heartbeat is written", func() bool { return r.Fence() == firstOffset+2 })
	r.Put(record(1, "a"))
	wait(t, "the record is written", func() bool { return s.batches() == 1 })
	last := r.Fence()
	assert.Assert(t, last > firstOffset+2)
	next := &recorder.Recorder{Logger: logger, Lead: keeper.LeaderRecord{Epoch: 10}, End: firstOffset + int64(len(l.all())) + 1}
	assert.Assert(t, next.Fence() > last, "the stream ends past all records")
}

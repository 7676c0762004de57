package announcer_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/announcer"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/replicator"
)

// log is a log that answers with the errors it is given, then takes everything.
type log struct {
	mu        sync.Mutex
	errors    []error
	sequences []int64 // of all calls
	taken     []keeper.LeaderRecord
}

func (l *log) Append(_ context.Context, a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequences = append(l.sequences, a.Sequence)
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return replicator.Position{}, err
	}
	c, err := encoder.RunChange(a.Values[0])
	if err != nil {
		return replicator.Position{}, err
	}
	l.taken = append(l.taken, *c.Lead)
	return replicator.Position{}, nil
}

func (l *log) records() []keeper.LeaderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.taken)
}

// standbys are the standbys that the announcer sees.
type standbys struct {
	mu    sync.Mutex
	names []string
}

func (s *standbys) get() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names
}

func (s *standbys) set(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = names
}

func newAnnouncer(l *log, s *standbys) *announcer.Announcer {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &announcer.Announcer{Log: l, Logger: logger, Lead: keeper.LeaderRecord{Epoch: 7, Name: "me", Address: "me:1"}, Standbys: s.get}
}

// After all processes were killed, only the log can tell which entries are to take
// over, so each change of the standbys is published, also with a resignation.
func TestChangesOfStandbysArePublished(t *testing.T) {
	l, s := &log{}, &standbys{}
	a := newAnnouncer(l, s)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return a.Serve(ctx) })
	count := func(n int) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(l.records()) == n {
				return poll.Success()
			}
			return poll.Continue("%d records, want %d", len(l.records()), n)
		}, poll.WithTimeout(5*time.Second))
	}
	count(1)
	s.set("b", "c")
	count(2)
	cancel()
	_ = group.Wait()
	a.Resign(context.Background())
	assert.DeepEqual(t, l.records(), []keeper.LeaderRecord{
		{Epoch: 7, Name: "me", Address: "me:1"},
		{Epoch: 7, Name: "me", Address: "me:1", Standbys: []string{"b", "c"}},
		{Epoch: 7, Standbys: []string{"b", "c"}},
	})
	assert.DeepEqual(t, l.sequences, []int64{1, 2, 3})
}

// An append without an answer may have been carried out: the repeat must have its
// sequence number, by which the log recognizes it.
func TestUnansweredAppendIsRepeatedWithItsNumber(t *testing.T) {
	l := &log{errors: []error{&classifier.Error{Kind: classifier.Unanswered}}}
	a := newAnnouncer(l, &standbys{})
	a.Resign(context.Background())
	assert.DeepEqual(t, l.sequences, []int64{1, 1})
}

// A deposed leader that was paused publishes nothing more.
func TestFencedLeaderStopsPublishing(t *testing.T) {
	l := &log{errors: []error{&classifier.Error{Kind: classifier.Fenced}}}
	a := newAnnouncer(l, &standbys{})
	assert.NilError(t, a.Serve(context.Background()))
	assert.Equal(t, len(l.records()), 0)
}

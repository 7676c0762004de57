package replicator_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/replicator"
)

// scripted answers reads in turn: the newest values, a part of the changes, the rest, none,
// nothing at all, none. Each read takes a second of its clock.
type scripted struct {
	reads int
	now   time.Duration
}

func (s *scripted) clock() time.Duration { return s.now }

func (s *scripted) Newest(context.Context, string) ([]replicator.Value, int64, error) {
	s.reads++
	s.now += time.Second
	return []replicator.Value{{Offset: 4, Name: "a"}}, 5, nil
}

func (s *scripted) Read(_ context.Context, _ string, from int64, _ time.Duration) ([]replicator.Value, int64, error) {
	s.reads++
	s.now += time.Second
	switch s.reads {
	case 2, 3:
		return []replicator.Value{{Offset: from, Name: "a"}}, 7, nil
	case 5:
		return nil, 0, &classifier.Error{Kind: classifier.Unanswered}
	}
	return nil, 7, nil
}

// A batch tells when its read was sent, not when the answer came, and whether the read showed
// everything: who judges by the age of the stream relies on both. Failed reads bring no batch.
func TestBatchesTellWhenTheirReadWasSent(t *testing.T) {
	type seen struct {
		sent     time.Duration
		complete bool
	}
	var got []seen
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &scripted{}
	logger, _ := test.NewNullLogger()
	f := &replicator.Follower{Stream: "s", Reader: s, Logger: logger, From: -1, Clock: s.clock, Handle: func(b replicator.Batch) {
		got = append(got, seen{b.Sent, b.Complete})
		if len(got) == 5 {
			cancel()
		}
	}}
	assert.ErrorIs(t, f.Serve(ctx), context.Canceled)
	for i, want := range []seen{{0, true}, {1 * time.Second, false}, {2 * time.Second, true}, {3 * time.Second, true}, {5 * time.Second, true}} {
		assert.Equal(t, got[i], want, "batch %d", i)
	}
}

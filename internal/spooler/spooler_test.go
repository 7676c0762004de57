package spooler_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/formatter"
	"github.com/endivelock/endivelock/internal/spooler"
)

// output blocks writes until its gate is closed.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	<-o.gate
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Writers do not block while the output does; lines beyond the queue are counted
// as dropped.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	o := &output{gate: make(chan struct{})}
	s := spooler.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx) })
	began := time.Now()
	for range 10_000 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Assert(t, s.Dropped() >= 10_000-4096-1, "%d", s.Dropped())
	close(o.gate)
	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
	written := int64(bytes.Count(o.text.Bytes(), []byte("line\n")))
	assert.Equal(t, written+s.Dropped(), int64(10_000))
}

// Guards against a queue of long lines that takes up the memory: clients choose the paths that are logged.
func TestLongLinesTakeUpABoundedQueue(t *testing.T) {
	const lines, size = 4000, 16 << 10
	o := &output{gate: make(chan struct{})}
	s := spooler.New(o)
	line := append(bytes.Repeat([]byte("x"), size-1), '\n')
	for range 2 {
		before := s.Dropped()
		for range lines {
			_, err := s.Write(line)
			assert.NilError(t, err)
		}
		held := (lines - s.Dropped() + before) * size
		assert.Assert(t, 0 < held && held <= 4<<20, "%d bytes are queued", held)
		if before == 0 {
			close(o.gate)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			assert.ErrorIs(t, s.Serve(ctx), context.Canceled) // what was written makes room
		}
	}
}

func BenchmarkWrite(b *testing.B) {
	o := &output{gate: make(chan struct{})}
	close(o.gate)
	s := spooler.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx) })
	line := bytes.Repeat([]byte("x"), 300)
	for b.Loop() {
		if _, err := s.Write(line); err != nil {
			b.Fatal(err)
		}
	}
	cancel()
	_ = group.Wait()
}

// BenchmarkDecision measures the cost of formatting and queueing one log line
// about a decision, with the fields that an entry writes.
func BenchmarkDecision(b *testing.B) {
	o := &output{gate: make(chan struct{})}
	close(o.gate)
	s := spooler.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx) })
	logger := logrus.New()
	logger.SetOutput(s)
	logger.SetFormatter(formatter.JSON{})
	entry := logger.WithField("entry", "front-muc-nord-1")
	for b.Loop() {
		entry.WithFields(logrus.Fields{
			"what": "place", "epoch": 436, "job": "425396a17fead327", "task": "425396a17fead327.0.1.0", "run": 2, "worker": "i-e2cf714413", "batch": 881,
		}).Info("decision")
	}
	cancel()
	_ = group.Wait()
}

// failing is an output that takes lines only once it has been mended.
type failing struct {
	mu     sync.Mutex
	text   strings.Builder
	mended bool
}

func (o *failing) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mended {
		return 0, io.ErrShortWrite
	}
	return o.text.Write(p)
}

func (o *failing) mend() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mended = true
}

func (o *failing) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// The line about dropped lines was itself counted as dropped, and what it said was lost.
func TestLinesThatFailAreReportedOnceTheOutputTakesLines(t *testing.T) {
	o := &failing{}
	s := spooler.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx) })
	write := func(taken func() bool) {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if taken() {
				return poll.Success()
			}
			return poll.Continue("%d lines dropped, written %q", s.Dropped(), o)
		})
	}
	write(func() bool { return s.Dropped() >= 1 })
	write(func() bool { return s.Dropped() >= 2 })
	o.mend()
	write(func() bool { return strings.Contains(o.String(), "line\n") })
	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
	assert.Equal(t, s.Dropped(), int64(2))
	assert.Assert(t, strings.Contains(o.String(), `"lines":2`), o.String())
}

// Package follower reads one stream of the platform's log, starting at the next
// offset that the control state needs, and submits its batches as events.
// Unreadable batches and records are counted, logged and skipped, which gives the
// same result at every entry.
package follower

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// pollWait is how long the platform holds a read open for new batches.
	pollWait = 5 * time.Second
	// readTimeout bounds one read, in addition to pollWait.
	readTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Reader reads batches of a stream.
type Reader interface {
	// Read returns batches, starting at offset from, in order and without a gap
	// after First. If there are none yet, it waits for up to wait.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (connector.Page, error)
}

// Sink accepts events.
type Sink interface {
	// Submit queues an event; it may block briefly.
	Submit(e scheduler.Event)
}

// Follower follows one stream.
type Follower struct {
	Stream  string
	Reader  Reader
	Sink    Sink
	Log     logrus.FieldLogger
	Skipped metrics.Counter // batches and records that were unreadable
	Failed  metrics.Counter // reads that failed
	Next    int64           // offset of the next read

	caughtUp bool // has reached the end of the stream once
}

// Serve follows the stream until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.read(ctx) {
			backoff = minBackoff
			continue
		}
		f.Failed.Inc(1)
		timer.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// read reads one page and submits it. It reports whether the read succeeded.
func (f *Follower) read(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, pollWait+readTimeout)
	defer cancel()
	wait := time.Duration(0)
	if f.caughtUp {
		wait = pollWait
	}
	page, err := f.Reader.Read(bounded, f.Stream, f.Next, wait)
	if err != nil {
		return false
	}
	f.caughtUp = f.caughtUp || page.Tail
	f.Next = max(f.Next, page.Next)
	f.Sink.Submit(f.event(page))
	return true
}

func (f *Follower) event(page connector.Page) scheduler.RecordsRead {
	e := scheduler.RecordsRead{Stream: f.Stream, First: page.First, Next: page.Next, Tail: page.Tail}
	for _, batch := range page.Batches {
		records, errs := encoder.Decode(batch.Data)
		for _, r := range records {
			e.Records = append(e.Records, scheduler.ReadRecord{Offset: batch.Offset, At: batch.Time, Record: r})
		}
		for _, err := range errs {
			f.Skipped.Inc(1)
			f.Log.WithFields(logrus.Fields{"stream": f.Stream, "offset": batch.Offset}).WithError(err).Warn("log record skipped")
		}
	}
	return e
}

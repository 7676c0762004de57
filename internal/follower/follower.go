// Package follower reads one stream of the platform's log from where the
// control state has got to and turns its batches into events. What it cannot
// read it counts, logs and skips, the same way at every entry.
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
	// pollWait is how long a read waits at the platform for something new.
	pollWait = 5 * time.Second
	// readTimeout bounds one read, beyond its wait.
	readTimeout = 5 * time.Second
	// minRetry and maxRetry bound the pause after a failed read.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
)

// Reader reads batches of a stream from an offset on, waiting for new ones.
type Reader interface {
	// Read returns batches from an offset on, in order and without a gap after
	// First, and waits up to wait for one to be there.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (connector.Page, error)
}

// Sink takes events.
type Sink interface {
	// Submit takes an event; it may block for a short while.
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
	Next    int64           // where to begin

	caught bool // the end of the stream was reached once
}

// Serve follows the stream until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	pause := minRetry
	for ctx.Err() == nil {
		if f.read(ctx) {
			pause = minRetry
			continue
		}
		f.Failed.Inc(1)
		timer.Sleep(ctx, pause)
		pause = min(2*pause, maxRetry)
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, pollWait+readTimeout)
	defer cancel()
	wait := time.Duration(0)
	if f.caught {
		wait = pollWait
	}
	page, err := f.Reader.Read(bounded, f.Stream, f.Next, wait)
	if err != nil {
		return false
	}
	f.caught = f.caught || page.Tail
	f.Next = max(f.Next, page.Next)
	f.Sink.Submit(f.event(page))
	return true
}

func (f *Follower) event(page connector.Page) scheduler.RecordsRead {
	e := scheduler.RecordsRead{Stream: f.Stream, First: page.First, Next: page.Next, Tail: page.Tail}
	for _, batch := range page.Entries {
		records, faults := encoder.Decode(batch.Data)
		for _, r := range records {
			e.Records = append(e.Records, scheduler.ReadRecord{Offset: batch.Offset, At: batch.Time, Record: r})
		}
		for _, fault := range faults {
			f.Skipped.Inc(1)
			f.Log.WithFields(logrus.Fields{"stream": f.Stream, "offset": batch.Offset}).WithError(fault).Warn("log record skipped")
		}
	}
	return e
}

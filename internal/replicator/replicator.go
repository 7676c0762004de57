// Package replicator follows the streams of the log. A stream is a sequence of
// named values: it keeps the newest value of each name indefinitely and all changes
// for a limited time. A Follower reads the newest values once and the changes from
// then on. If changes were trimmed before they were read, it starts over.
package replicator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/timer"
)

// Value is a record of a stream. Nil data means that the name was dropped.
type Value struct {
	Offset int64
	Name   string
	Data   []byte
}

// Append is a request that appends values to a stream, all or none.
type Append struct {
	Stream   string
	Values   []Value
	Expected *int64 // offset at which the stream must end; nil: any
	// Writer, if not empty, makes the log refuse appends of a lower epoch and
	// recognize duplicates by their sequence number. An append without values sets
	// the epoch.
	Writer   string
	Epoch    int64
	Sequence int64
	Timeout  time.Duration // 0 for the default
}

// Position is the range of offsets at which values were appended.
type Position struct {
	First int64 // offset of the first value
	End   int64 // offset after the last value
}

// Reader reads streams.
type Reader interface {
	// Read returns the values from an offset on and the end of the stream. If
	// there are none, it waits for one, at most for the given time.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]Value, int64, error)
	// Newest returns the newest value of each name and the offset from which Read
	// returns all later changes.
	Newest(ctx context.Context, stream string) ([]Value, int64, error)
}

// Log reads and writes streams.
type Log interface {
	Reader
	// Append appends values and returns their position.
	Append(ctx context.Context, a Append) (Position, error)
}

const (
	// minBackoff and maxBackoff bound the delay after a failed read, which doubles
	// with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Batch is the result of one read.
type Batch struct {
	Stream   string
	Values   []Value
	Next     int64 // offset of the next read
	Snapshot bool  // the newest values of all names instead of changes

	Sent     time.Duration // reading of the follower's clock before the read was sent
	Complete bool          // nothing else was in the stream when the read was sent
}

// Follower follows one stream. Fill in the fields, then call Serve.
type Follower struct {
	Stream      string
	Reader      Reader
	Logger      logrus.FieldLogger
	PollTimeout time.Duration        // how long a read waits for a change
	Pause       func() time.Duration // between two reads; may be nil
	From        int64                // offset to start at; negative: read the newest values first
	Handle      func(Batch)          // called with each batch, in order
	OnError     func(error)          // called with the error of each failed read; may be nil
	Clock       func() time.Duration // tells when reads are sent; may be nil

	backoff time.Duration
}

// Serve follows the stream until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	next := f.From
	for ctx.Err() == nil {
		b, err := f.read(ctx, next)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			next = f.handleError(ctx, err, next)
			continue
		}
		if f.backoff > 0 {
			f.Logger.WithFields(logrus.Fields{"stream": f.Stream, "offset": b.Next}).Info("reading the stream succeeded again")
			f.backoff = 0
		}
		next = b.Next
		f.Handle(b)
		if f.Pause != nil {
			timer.Sleep(ctx, f.Pause())
		}
	}
	return ctx.Err()
}

// String names the follower for the supervisor.
func (f *Follower) String() string { return "follower of " + f.Stream }

func (f *Follower) read(ctx context.Context, next int64) (Batch, error) {
	var sent time.Duration
	if f.Clock != nil {
		sent = f.Clock()
	}
	if next < 0 {
		values, end, err := f.Reader.Newest(ctx, f.Stream)
		return Batch{Stream: f.Stream, Values: values, Next: end, Snapshot: true, Sent: sent, Complete: true}, err
	}
	values, end, err := f.Reader.Read(ctx, f.Stream, next, f.PollTimeout)
	next += int64(len(values))
	return Batch{Stream: f.Stream, Values: values, Next: next, Sent: sent, Complete: next == end}, err
}

// handleError reports a failed read, waits for the backoff and returns the offset
// of the next read.
func (f *Follower) handleError(ctx context.Context, err error, next int64) int64 {
	if classifier.Is(err, classifier.Trimmed) {
		f.Logger.WithFields(logrus.Fields{"stream": f.Stream, "offset": next}).Info("changes were trimmed; reading the newest values again")
		return -1
	}
	if f.OnError != nil {
		f.OnError(err)
	}
	if f.backoff == 0 {
		f.Logger.WithFields(logrus.Fields{"stream": f.Stream, "offset": next}).WithError(err).Warn("reading the stream failed; retrying with backoff")
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	timer.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(f.backoff)))
	return next
}

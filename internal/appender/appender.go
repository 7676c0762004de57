// Package appender writes records to the platform's log. Records that arrive
// within a pause share one append. The pause is a few milliseconds and grows
// when the log refuses appends because there are too many, so that all writers
// together stay within what the log takes. Only a refused append, which had no
// effect, is repeated: whoever wants a record in the log learns by reading
// whether it is there, and asks again.
package appender

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// minPause and maxPause bound how long the first record of a batch waits
	// for others.
	minPause = 4 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// refusedGrowth and acceptedShare change the pause after an append was
	// refused and after one was not.
	refusedGrowth = 2
	acceptedShare = 0.95
	// maxRefusals bounds how often one batch is repeated.
	maxRefusals = 20
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// queueLength is how many requests wait before new ones are dropped.
	queueLength = 4096
	// maxGathered bounds the requests of one batch.
	maxGathered = 1024
)

// ErrBusy tells that the queue of appends is full.
var ErrBusy = errors.New("queue of appends is full")

// Log adds a batch to a stream.
type Log interface {
	// Append adds a batch and returns its offset. An error leaves open whether
	// the batch is in the log.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// unsentError is an error that may tell that the operation had no effect.
type unsentError interface {
	error
	// Unsent reports whether the operation is known to have had no effect.
	Unsent() bool
}

// Appender writes to the log. Create it with New.
type Appender struct {
	log     Log
	logger  logrus.FieldLogger
	Batches metrics.Counter // appends sent
	Records metrics.Counter // records sent
	Failed  metrics.Counter // appends without an answer that says they were done
	Delay   metrics.Timer
	Refused metrics.Counter // appends that the log refused and that were repeated
	queue   chan scheduler.Append
	pause   time.Duration
}

// New returns an appender for a log.
func New(log Log, logger logrus.FieldLogger) *Appender {
	return &Appender{
		log:     log,
		logger:  logger,
		Batches: metrics.NewCounter(),
		Records: metrics.NewCounter(),
		Failed:  metrics.NewCounter(),
		Delay:   metrics.NewTimer(),
		Refused: metrics.NewCounter(),
		queue:   make(chan scheduler.Append, queueLength),
		pause:   minPause,
	}
}

// Append queues records. It does not wait for the log.
func (a *Appender) Append(request scheduler.Append) error {
	select {
	case a.queue <- request:
		return nil
	default:
		return ErrBusy
	}
}

// Serve sends batches until the context ends.
func (a *Appender) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-a.queue:
			a.send(ctx, a.gather(ctx, first))
		}
	}
}

// gather collects the requests that arrive within the pause, by stream.
func (a *Appender) gather(ctx context.Context, first scheduler.Append) []scheduler.Append {
	batches := []scheduler.Append{first}
	alarm := time.NewTimer(a.pause)
	defer alarm.Stop()
	for range maxGathered {
		select {
		case <-ctx.Done():
			return batches
		case <-alarm.C:
			return batches
		case next := <-a.queue:
			batches = merge(batches, next)
		}
	}
	return batches
}

func merge(batches []scheduler.Append, next scheduler.Append) []scheduler.Append {
	for i, b := range batches {
		if b.Stream == next.Stream {
			batches[i].Records = append(b.Records[:len(b.Records):len(b.Records)], next.Records...)
			return batches
		}
	}
	return append(batches, next)
}

func (a *Appender) send(ctx context.Context, batches []scheduler.Append) {
	for _, b := range batches {
		a.sendOne(ctx, b)
	}
}

func (a *Appender) sendOne(ctx context.Context, b scheduler.Append) {
	data, err := encoder.Encode(b.Records)
	if err != nil {
		a.logger.WithError(err).Error("records not encoded")
		return
	}
	for range maxRefusals {
		err = a.try(ctx, b.Stream, data)
		var refusal unsentError
		if !errors.As(err, &refusal) || !refusal.Unsent() {
			break
		}
		a.Refused.Inc(1)
		a.pause = min(refusedGrowth*a.pause, maxPause)
		timer.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(a.pause)))
	}
	a.Batches.Inc(1)
	a.Records.Inc(int64(len(b.Records)))
	if err != nil {
		a.Failed.Inc(1)
		a.logger.WithField("stream", b.Stream).WithError(err).Warn("append not confirmed")
		return
	}
	a.pause = max(minPause, time.Duration(acceptedShare*float64(a.pause)))
}

func (a *Appender) try(ctx context.Context, stream string, data []byte) error {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	begin := time.Now()
	_, err := a.log.Append(bounded, stream, data)
	a.Delay.UpdateSince(begin)
	return err
}

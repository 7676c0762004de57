// Package appender writes records to the platform's log. Records that arrive
// within a batching window share one append. The window is a few milliseconds
// long and grows when the log refuses appends because there are too many, so
// that all writers together stay within the capacity of the log. Only a refused
// append is retried, since it had no effect. After any other error the batch may
// be in the log: the source of a record finds out by reading the log and appends
// it again if needed.
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
	// minWindow and maxWindow bound the batching window: how long the first
	// record of a batch waits for others.
	minWindow = 4 * time.Millisecond
	maxWindow = 500 * time.Millisecond
	// windowGrowth and windowDecay are the factors of the window after a refused
	// and after a successful append.
	windowGrowth = 2
	windowDecay  = 0.95
	// maxAttempts bounds the attempts to append one batch.
	maxAttempts = 20
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// queueLength bounds the queued requests; further ones get ErrQueueFull.
	queueLength = 4096
	// maxBatchRequests bounds the requests that are collected in one window.
	maxBatchRequests = 1024
)

// ErrQueueFull is returned by Append while the queue is full.
var ErrQueueFull = errors.New("queue of appends is full")

// Log adds a batch to a stream.
type Log interface {
	// Append appends a batch and returns its offset. After an error the batch
	// may or may not be in the log.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// unsentError is an error that knows whether the operation had no effect.
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
	Failed  metrics.Counter // appends that were not confirmed
	Delay   metrics.Timer   // latency of one append
	Refused metrics.Counter // attempts that the log refused
	queue   chan scheduler.Append
	window  time.Duration
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
		window:  minWindow,
	}
}

// Append queues records and does not wait for the log.
func (a *Appender) Append(request scheduler.Append) error {
	select {
	case a.queue <- request:
		return nil
	default:
		return ErrQueueFull
	}
}

// Serve appends batches until the context ends.
func (a *Appender) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-a.queue:
			a.send(ctx, a.collect(ctx, first))
		}
	}
}

// collect merges the requests that arrive within the window into one batch for
// each stream.
func (a *Appender) collect(ctx context.Context, first scheduler.Append) []scheduler.Append {
	batches := []scheduler.Append{first}
	window := time.NewTimer(a.window)
	defer window.Stop()
	for range maxBatchRequests {
		select {
		case <-ctx.Done():
			return batches
		case <-window.C:
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
		a.sendBatch(ctx, b)
	}
}

func (a *Appender) sendBatch(ctx context.Context, b scheduler.Append) {
	data, err := encoder.Encode(b.Records)
	if err != nil {
		a.logger.WithError(err).Error("failed to encode records")
		return
	}
	for range maxAttempts {
		err = a.attempt(ctx, b.Stream, data)
		var unsent unsentError
		if !errors.As(err, &unsent) || !unsent.Unsent() {
			break
		}
		a.Refused.Inc(1)
		a.window = min(windowGrowth*a.window, maxWindow)
		timer.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(a.window)))
	}
	a.Batches.Inc(1)
	a.Records.Inc(int64(len(b.Records)))
	if err != nil {
		a.Failed.Inc(1)
		a.logger.WithField("stream", b.Stream).WithError(err).Warn("append not confirmed")
		return
	}
	a.window = max(minWindow, time.Duration(windowDecay*float64(a.window)))
}

func (a *Appender) attempt(ctx context.Context, stream string, data []byte) error {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	begin := time.Now()
	_, err := a.log.Append(bounded, stream, data)
	a.Delay.UpdateSince(begin)
	return err
}

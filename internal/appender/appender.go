// Package appender writes records to the platform's log. Records that arrive
// within a few milliseconds share one append. It never retries: whoever wants
// a record in the log learns by reading whether it is there, and asks again.
package appender

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/scheduler"
)

const (
	// gatherTime is how long the first record of a batch waits for others.
	gatherTime = 4 * time.Millisecond
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

// Appender writes to the log. Create it with New.
type Appender struct {
	log     Log
	logger  logrus.FieldLogger
	Batches metrics.Counter // appends sent
	Records metrics.Counter // records sent
	Failed  metrics.Counter // appends without an answer that says they were done
	Delay   metrics.Timer
	queue   chan scheduler.Append
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
		queue:   make(chan scheduler.Append, queueLength),
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

// gather collects the requests that arrive within gatherTime, by stream.
func (a *Appender) gather(ctx context.Context, first scheduler.Append) []scheduler.Append {
	batches := []scheduler.Append{first}
	alarm := time.NewTimer(gatherTime)
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
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	begin := time.Now()
	_, err = a.log.Append(bounded, b.Stream, data)
	a.Delay.UpdateSince(begin)
	a.Batches.Inc(1)
	a.Records.Inc(int64(len(b.Records)))
	if err != nil {
		a.Failed.Inc(1)
		a.logger.WithField("stream", b.Stream).WithError(err).Warn("append not confirmed")
	}
}

// Package recorder writes to the log. A Journal adds values of any entry and
// reports the result to each caller; a Recorder writes the decisions of the
// leader, in order and fenced by its epoch. Both batch the values that arrive
// during one append into the next.
package recorder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// maxQueued is how many values a journal queues before it refuses new ones.
	maxQueued = 1024
	// maxBatchBytes is the size of an append from which no more values are added.
	// It is half of what the platform accepts in one call.
	maxBatchBytes = 1 << 20
	// appendTimeout bounds one append of a journal. Callers retry it until their
	// deadline.
	appendTimeout = 900 * time.Millisecond
	// stalledAfter is how long an append may go without an answer before new
	// values are refused. The platform guarantees that even a slow log answers
	// sooner.
	stalledAfter = 600 * time.Millisecond
	// probeInterval is the time between two probes of a log that does not answer, and
	// probeTimeout bounds one. A probe appends nothing, so that no client's value is
	// put at risk to find out whether the log answers again.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = stalledAfter
	// probeWriter and probeEpoch are the writer and the epoch of a probe.
	probeWriter = "probe"
	probeEpoch  = 1
)

// slowAppend is the duration from which on an append is logged.
const slowAppend = 100 * time.Millisecond

// logSlowAppend logs an append that began at a time if it took long.
func logSlowAppend(logger logrus.FieldLogger, stream string, values int, began time.Time, err error) {
	took := time.Since(began)
	if logger == nil || took < slowAppend {
		return
	}
	fields := logrus.Fields{"stream": stream, "values": values, "tookms": took.Milliseconds()}
	if err != nil {
		fields[logrus.ErrorKey] = err
	}
	logger.WithFields(fields).Info("slow append")
}

// Log adds values to streams.
type Log interface {
	// Append adds values and returns their position in the stream.
	Append(ctx context.Context, a replicator.Append) (replicator.Position, error)
}

// request is a queued value and the channel on which its caller waits for the
// result. It is taken either by the append that sends it or by its caller, who then
// knows that it is not sent.
type request struct {
	value replicator.Value
	drop  bool // of use only in the journal's own stream
	done  chan error
	taken *atomic.Bool
}

// take reports whether the request was not taken before.
func (r request) take() bool { return r.taken.CompareAndSwap(false, true) }

// Journal adds values to one stream. Create it with NewJournal.
type Journal struct {
	log    Log
	stream string
	queue  chan request
	Delay  metrics.Timer // duration of one append
	// Added is called with the values that were added, with their offsets in the stream
	// that has taken them. It may be nil.
	Added func(values []replicator.Value, diverted bool)
	// Fallback returns the fallback stream, which accepts values while the journal's
	// own stream refuses them, and whether there is one. It may be nil.
	Fallback func() (Fallback, bool)
	// Spacing returns the least time between two appends, probes included, after one that
	// took a time. The log takes the appends to a stream one at a time: entries that each
	// append for themselves would keep a slow log from recovering. It may be nil, for no
	// spacing.
	Spacing func(took time.Duration) time.Duration
	// Logger may be nil.
	Logger logrus.FieldLogger

	mu           sync.Mutex
	sentAt       time.Time // when the append in flight was sent, or zero
	failingSince time.Time // when appends began to fail, or zero
	silent       bool      // the last append or probe of the journal's own stream went unanswered
	lastAt       time.Time // when the last append was sent, or zero
	lastTook     time.Duration

	epoch    int64 // of the last append to the fallback stream
	sequence int64 // of the last append to the fallback stream
}

// Fallback is a fallback stream, which accepts the values of another one.
type Fallback struct {
	Stream string
	Epoch  int64                    // of the leader; a later epoch fences the writer off
	Name   func(name string) string // maps the name of a value to its name in the stream
}

// FallbackWriter is the writer name of a leader in a fallback stream.
const FallbackWriter = "spare"

// Outage returns how long appends have failed, or 0 if they succeed. An append
// in flight counts once it is stalled.
func (j *Journal) Outage() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	since := j.failingSince
	if since.IsZero() && !j.sentAt.IsZero() && time.Since(j.sentAt) > stalledAfter {
		since = j.sentAt
	}
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}

// MarkAvailable ends an outage. Call it when the log was read, which shows that it
// answers again.
func (j *Journal) MarkAvailable() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failingSince = time.Time{}
}

// NewJournal returns a journal that adds values to a stream.
func NewJournal(log Log, stream string) *Journal {
	return &Journal{log: log, stream: stream, queue: make(chan request, maxQueued), Delay: metrics.NewTimer()}
}

// Add adds a value and returns when it is in the log. An error of kind Unanswered
// means that the value may be there nevertheless.
func (j *Journal) Add(ctx context.Context, v replicator.Value) error {
	return j.put(ctx, request{value: v, done: make(chan error, 1), taken: new(atomic.Bool)})
}

// Drop drops a name from the stream and returns when that is in the log. It fails if the
// stream refuses it: the fallback stream would not drop the value that is in this one.
func (j *Journal) Drop(ctx context.Context, name string) error {
	return j.put(ctx, request{value: replicator.Value{Name: name}, drop: true, done: make(chan error, 1), taken: new(atomic.Bool)})
}

// put queues a request and waits for its result.
func (j *Journal) put(ctx context.Context, r request) error {
	if j.Outage() > 0 {
		return congested("the log does not answer")
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < j.spacingLeft() {
		return congested("this entry appends again only after the deadline")
	}
	select {
	case j.queue <- r:
	default:
		return congested("too many values wait")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
	}
	if r.take() {
		return congested("the value was not sent in time")
	}
	return &classifier.Error{Kind: classifier.Unanswered, Call: "append", Cause: ctx.Err()}
}

// congested returns the error of a value that is not sent.
func congested(why string) error {
	return &classifier.Error{Kind: classifier.Busy, Call: "append", Reason: why, Cause: classifier.ErrCongested}
}

// Serve appends until the context ends.
func (j *Journal) Serve(ctx context.Context) error {
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	var probes errgroup.Group
	probes.SetLimit(1)
	for {
		select {
		case <-ctx.Done():
			_ = probes.Wait()
			return ctx.Err()
		case first := <-j.queue:
			timer.Sleep(ctx, j.spacingLeft())
			if batch := j.collect(first); len(batch) > 0 {
				j.append(ctx, batch)
			}
		case <-probe.C:
			if j.needsProbe() && j.spacingLeft() <= 0 {
				probes.TryGo(func() error {
					j.probe(ctx)
					return nil
				})
			}
		}
	}
}

// needsProbe reports whether a stream has failed and no value is sent to find out whether it
// answers again.
func (j *Journal) needsProbe() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.silent || !j.failingSince.IsZero()
}

// spacingLeft returns how long the next append has to wait after the last one.
func (j *Journal) spacingLeft() time.Duration {
	if j.Spacing == nil {
		return 0
	}
	j.mu.Lock()
	last, took := j.lastAt, j.lastTook
	j.mu.Unlock()
	if last.IsZero() {
		return 0
	}
	return time.Until(last.Add(j.Spacing(took)))
}

// probe finds out whether the log takes values again, in the journal's stream or in the
// fallback stream. Values that go to the fallback stream don't wait for it.
func (j *Journal) probe(ctx context.Context) {
	began := time.Now()
	err := j.probeStream(ctx, j.stream)
	j.setSilent(err)
	if s, ok := j.fallback(); ok && err != nil {
		err = j.probeStream(ctx, s.Stream)
	}
	j.pace(began, err)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed(err)
}

func (j *Journal) probeStream(ctx context.Context, stream string) error {
	_, err := j.log.Append(ctx, replicator.Append{Stream: stream, Writer: probeWriter, Epoch: probeEpoch, Timeout: probeTimeout})
	return err
}

// fallback returns the fallback stream, if there is one.
func (j *Journal) fallback() (Fallback, bool) {
	if j.Fallback == nil {
		return Fallback{}, false
	}
	return j.Fallback()
}

// isSilent reports whether the journal's own stream doesn't answer.
func (j *Journal) isSilent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.silent
}

// setSilent records the result of a call to the journal's own stream.
func (j *Journal) setSilent(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.silent = classifier.Is(err, classifier.Unanswered)
}

// pace keeps when an append was sent and how long the stream is taken up by one: as long as
// it took or, after a refusal, twice as long as known so far.
func (j *Journal) pace(began time.Time, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	took := time.Since(began)
	if classifier.NotExecuted(err) {
		took = min(2*max(j.lastTook, took), appendTimeout)
	}
	j.lastAt, j.lastTook = began, took
}

// String names the journal for the supervisor.
func (j *Journal) String() string { return "journal of " + j.stream }

// collect returns a batch of a first request and those queued after it, up to the
// size of one append, without those that their callers have given up.
func (j *Journal) collect(first request) []request {
	var batch []request
	size := 0
	for r := first; ; {
		if r.take() {
			batch = append(batch, r)
			size += len(r.value.Data)
		}
		if size >= maxBatchBytes {
			return batch
		}
		select {
		case r = <-j.queue:
		default:
			return batch
		}
	}
}

// append adds the values of a batch to the journal's stream. If that refuses them, or hasn't
// answered the last call, they go to the fallback stream, except for drops. A value whose append
// went unanswered is not added again, since it may be in the stream.
func (j *Journal) append(ctx context.Context, batch []request) {
	began := time.Now()
	j.track(began, nil)
	s, divertible := j.fallback()
	values := valuesOf(batch)
	position, err := j.appendOwn(ctx, values, divertible)
	dropErr, diverted := err, divertible && classifier.NotExecuted(err)
	if diverted {
		values = valuesOf(slices.DeleteFunc(slices.Clone(batch), func(r request) bool { return r.drop }))
		if len(values) > 0 {
			position, err = j.appendToFallback(ctx, s, values)
		}
	}
	j.Delay.UpdateSince(began)
	j.pace(began, err)
	logSlowAppend(j.Logger, j.stream, len(batch), began, err)
	if divertible && err != nil && (!diverted || len(values) == 0) {
		j.trackOwn() // says nothing of the fallback stream, which takes the values that follow
	} else {
		j.track(time.Time{}, err)
	}
	if err == nil && j.Added != nil {
		for i := range values {
			values[i].Offset = position.First + int64(i)
		}
		j.Added(values, diverted)
	}
	for _, r := range batch {
		if r.drop {
			r.done <- dropErr
		} else {
			r.done <- err
		}
	}
}

// appendOwn adds values to the journal's own stream. If they can go to another one, it refuses
// them while that stream doesn't answer.
func (j *Journal) appendOwn(ctx context.Context, values []replicator.Value, divertible bool) (replicator.Position, error) {
	if divertible && j.isSilent() {
		return replicator.Position{}, congested("its stream does not answer")
	}
	position, err := j.log.Append(ctx, replicator.Append{Stream: j.stream, Values: values, Timeout: appendTimeout})
	j.setSilent(err)
	return position, err
}

// valuesOf returns the values of requests.
func valuesOf(batch []request) []replicator.Value {
	values := make([]replicator.Value, len(batch))
	for i, r := range batch {
		values[i] = r.value
	}
	return values
}

// appendToFallback adds values to the fallback stream after the journal's own has
// refused them, and returns their position there. Each call uses a new sequence number,
// so that the log does not mistake it for a repeat of an earlier one that went unanswered.
func (j *Journal) appendToFallback(ctx context.Context, s Fallback, values []replicator.Value) (replicator.Position, error) {
	renamed := make([]replicator.Value, len(values))
	for i, v := range values {
		renamed[i] = replicator.Value{Name: s.Name(v.Name), Data: v.Data}
	}
	if j.epoch != s.Epoch {
		j.epoch, j.sequence = s.Epoch, 0
	}
	j.sequence++
	position, err := j.tryFallback(ctx, s, renamed)
	var failed *classifier.Error
	if errors.As(err, &failed) && failed.Kind == classifier.OutOfSequence {
		j.sequence = failed.Number
		position, err = j.tryFallback(ctx, s, renamed)
	}
	if classifier.Is(err, classifier.Fenced) || classifier.Is(err, classifier.OutOfSequence) {
		// Another attempt of the same append may have succeeded before.
		return position, &classifier.Error{Kind: classifier.Unanswered, Call: "append", Cause: err}
	}
	return position, err
}

func (j *Journal) tryFallback(ctx context.Context, s Fallback, values []replicator.Value) (replicator.Position, error) {
	return j.log.Append(ctx, replicator.Append{
		Stream: s.Stream, Values: values, Writer: FallbackWriter, Epoch: s.Epoch, Sequence: j.sequence, Timeout: appendTimeout,
	})
}

// track records when an append was sent, or, with a zero time, that it ended with
// an error or none. A refusal counts as a failure too: nothing was added.
func (j *Journal) track(sentAt time.Time, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sentAt = sentAt
	if sentAt.IsZero() {
		j.failed(err)
	}
}

// failed records the result of a call, nil if it succeeded. The caller holds the lock.
func (j *Journal) failed(err error) {
	switch {
	case err == nil:
		j.failingSince = time.Time{}
	case j.failingSince.IsZero():
		j.failingSince = time.Now()
	}
}

// trackOwn records the end of an append that only the journal's own stream has failed.
func (j *Journal) trackOwn() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sentAt = time.Time{}
}

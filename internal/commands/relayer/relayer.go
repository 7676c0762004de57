// Package relayer appends to the log through other entries while the log does not
// answer this one. A leader whose calls the log refuses or leaves unanswered thus
// stays the leader as long as one of its peers reaches the log. A log that is as slow
// for its peers is written directly: a relayed append would wait in the same queue.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/replicator"
)

// relayPeriod is how long appends go through other entries before the log is
// tried directly again. A direct attempt that gets no answer costs its timeout.
const relayPeriod = time.Second

// promptAnswer is the time within which a log that isn't slow answers.
const promptAnswer = 50 * time.Millisecond

// Appender adds values to streams.
type Appender interface {
	// Append adds values and returns their position in the stream.
	Append(ctx context.Context, a replicator.Append) (replicator.Position, error)
}

// Relayer appends directly, or through other entries. Set the exported fields
// before use.
type Relayer struct {
	Direct Appender // appends directly
	Relay  Appender // appends through other entries; fails at once if there are none
	Logger logrus.FieldLogger

	mu         sync.Mutex
	relayUntil time.Time // appends go through other entries until then
}

// Append adds values and returns their position in the stream. An append without an
// answer is repeated only if its sequence number lets the log recognize a repeat. If any
// attempt went unanswered, so did the append: the values may be in the log.
func (r *Relayer) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	var unanswered error
	if r.relaying(time.Now()) {
		position, err := r.Relay.Append(ctx, a)
		if err == nil || final(err) || unrepeatable(a, err) {
			return position, err
		}
		r.stopRelaying(err)
		if !classifier.NotExecuted(err) {
			unanswered = err
		}
	}
	began := time.Now()
	position, err := r.Direct.Append(ctx, a)
	if err == nil || final(err) || unrepeatable(a, err) {
		return position, err
	}
	if !classifier.NotExecuted(err) {
		unanswered = err
	}
	waited := time.Since(began)
	relayed, relayErr := r.Relay.Append(ctx, a)
	switch {
	case relayErr == nil:
		if took := time.Since(began) - waited; classifier.NotExecuted(err) || took < max(waited/2, promptAnswer) {
			r.startRelaying(err)
		} else {
			r.Logger.WithError(err).WithField("tookms", took.Milliseconds()).Info("direct append unanswered; the log is as slow for other entries")
		}
		return relayed, nil
	case final(relayErr) || !classifier.NotExecuted(relayErr):
		return relayed, relayErr
	case unanswered != nil:
		return position, unanswered
	}
	return position, err
}

// unrepeatable reports whether an append that failed may be in the log, and a repeat
// would add its values again.
func unrepeatable(a replicator.Append, err error) bool {
	return a.Writer == "" && !classifier.NotExecuted(err)
}

// final reports whether an error is a decision of the log on the append, which
// another attempt can't change.
func final(err error) bool {
	switch classifier.KindOf(err) {
	case classifier.Fenced, classifier.OutOfSequence, classifier.OffsetMismatch, classifier.Refused:
		return true
	}
	return false
}

func (r *Relayer) relaying(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.relayUntil)
}

func (r *Relayer) startRelaying(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayUntil = time.Now().Add(relayPeriod)
	r.Logger.WithError(cause).Warn("direct append failed; relaying through other entries")
}

func (r *Relayer) stopRelaying(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayUntil = time.Time{}
	r.Logger.WithError(cause).Warn("relayed append failed; appending directly again")
}

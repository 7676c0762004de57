// Package relayer appends to the log by way of other entries while the log does
// not answer this one. A leader that the log turns away stays the leader that
// way, as long as one of its peers reaches the log.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/replicator"
)

// detour is how long appends go by way of others before the own way is tried
// again. An own try on a silent way costs its timeout.
const detour = time.Second

// Appender adds values to streams.
type Appender interface {
	// Append adds values and returns where.
	Append(ctx context.Context, a replicator.Append) (replicator.Position, error)
}

// Relayer appends directly, or by way of others. Fill in the fields.
type Relayer struct {
	Own    Appender // the way of this entry
	Others Appender // other entries; fails at once if there are none
	Logger logrus.FieldLogger

	mu    sync.Mutex
	until time.Time // end of the detour
}

// Append adds values and returns where. An append that the own way left without
// an answer goes to others only if its sequence number tells a repeat.
func (r *Relayer) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	if r.detours(time.Now()) {
		position, err := r.Others.Append(ctx, a)
		if err == nil || answered(err) {
			return position, err
		}
		r.end(err)
	}
	position, err := r.Own.Append(ctx, a)
	if err == nil || answered(err) || a.Writer == "" && !classifier.Undone(err) {
		return position, err
	}
	relayed, other := r.Others.Append(ctx, a)
	switch {
	case other == nil:
		r.begin(err)
		return relayed, nil
	case answered(other):
		return relayed, other
	}
	return position, err
}

// answered reports whether the log has decided on an append: another way to it
// changes nothing.
func answered(err error) bool {
	switch classifier.KindOf(err) {
	case classifier.Fenced, classifier.Sequence, classifier.Moved, classifier.Refused:
		return true
	}
	return false
}

func (r *Relayer) detours(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until)
}

func (r *Relayer) begin(why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now().Add(detour)
	r.Logger.WithError(why).Warn("records go to the log by way of other entries")
}

func (r *Relayer) end(why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Time{}
	r.Logger.WithError(why).Warn("other entries do not reach the log either")
}

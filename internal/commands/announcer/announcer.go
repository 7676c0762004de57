// Package announcer publishes who leads, and which entries are to be able to take
// over, in the stream of leaders. All entries follow that stream, whereas only the
// standbys follow the jobs and runs. It does not decide who leads.
package announcer

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// writer is the name under which the log fences off earlier leaders.
	writer = "leader"
	// appendTimeout bounds one append.
	appendTimeout = 700 * time.Millisecond
	// retryPause is the time between two attempts to publish.
	retryPause = 200 * time.Millisecond
	// checkInterval is the time between two checks whether the standbys have changed.
	checkInterval = time.Second
)

// Log adds values to streams.
type Log interface {
	// Append adds values and returns their position in the stream.
	Append(ctx context.Context, a replicator.Append) (replicator.Position, error)
}

// Announcer publishes for one leader. Set the exported fields, call Serve, and Resign
// after Serve has returned.
type Announcer struct {
	Log      Log
	Logger   logrus.FieldLogger
	Lead     keeper.LeaderRecord
	Standbys func() []string // returns the sorted names of the current standbys
	sequence int64
}

// Serve publishes the leader, and again whenever its standbys have changed, until the
// context ends or a later leader has published.
func (a *Announcer) Serve(ctx context.Context) error {
	if !a.publish(ctx) {
		return nil
	}
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-check.C:
		}
		now := a.Standbys()
		if slices.Equal(now, a.Lead.Standbys) {
			continue
		}
		a.Lead.Standbys = now
		if !a.publish(ctx) {
			return nil
		}
	}
}

// Resign publishes that the leader has stopped.
func (a *Announcer) Resign(ctx context.Context) {
	a.Lead.Name, a.Lead.Address = "", ""
	a.publish(ctx)
}

// publish retries until the log takes the record. It returns false if the context has
// ended or a later leader has published.
func (a *Announcer) publish(ctx context.Context) bool {
	logger := a.Logger.WithField("epoch", a.Lead.Epoch)
	v, err := encoder.Leader(a.Lead)
	if err != nil {
		logger.WithError(err).Error("leader not published, since encoding it failed")
		return false
	}
	a.sequence++
	for ctx.Err() == nil {
		_, err := a.Log.Append(ctx, replicator.Append{
			Stream: keeper.Leads, Values: []replicator.Value{v}, Writer: writer, Epoch: a.Lead.Epoch, Sequence: a.sequence, Timeout: appendTimeout,
		})
		if err == nil {
			return true
		}
		logger.WithError(err).Warn("leader not published")
		if classifier.Is(err, classifier.Fenced) || classifier.Is(err, classifier.OutOfSequence) {
			return false
		}
		timer.Sleep(ctx, retryPause)
	}
	return false
}

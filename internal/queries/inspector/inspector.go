// Package inspector answers queries about jobs: the state of a job and the number
// of waiting ones. The leader has the newest state. If it does not answer, the
// replica of this entry does, if it has one, after it has caught up with the log.
package inspector

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// leaderTimeout bounds a query to the leader.
	leaderTimeout = 250 * time.Millisecond
	// catchUpTimeout bounds the reading of the log up to its end.
	catchUpTimeout = 1200 * time.Millisecond
	// freshCounts is how long counts of waiting jobs are served without a new query.
	freshCounts = 500 * time.Millisecond
	// maxCountsAge is the age up to which counts are served while no newer ones can
	// be had. The platform allows counts that are two seconds old.
	maxCountsAge = 2 * time.Second
)

// ErrUnavailable is the error of a query that neither the leader nor a replica of
// this entry can answer at present.
var ErrUnavailable = errors.New("neither the leader nor the log can be asked at present")

// Viewer returns the published state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() keeper.State
}

// Leader queries the leader.
type Leader interface {
	// JobState returns the state of a job in the log, or "" if there is none.
	JobState(ctx context.Context, id ledger.ID) (ledger.State, error)
	// Counts returns how many jobs of each queue have not begun.
	Counts(ctx context.Context) (map[string]int, error)
}

// Replica is this entry's replica of the log.
type Replica interface {
	// CatchUp returns when the replica has applied all records that were in the
	// log at the time of the call.
	CatchUp(ctx context.Context) error
}

// Inspector answers queries about jobs. All exported fields are required.
type Inspector struct {
	Viewer  Viewer
	Leader  Leader
	Replica Replica

	mu     sync.Mutex
	counts map[string]int // jobs that have not begun, by queue
	asOf   time.Time      // all jobs accepted up to then are counted
}

// JobState returns the state of a job, and whether the job exists. An error means
// that neither can be determined now.
func (i *Inspector) JobState(ctx context.Context, id ledger.ID) (ledger.State, bool, error) {
	s := i.Viewer.Snapshot()
	state, known := s.JobState(id)
	if known && state.Final() || s.Role() == keeper.Leading && known {
		return state, true, nil
	}
	if s.Role() != keeper.Leading {
		leaderCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
		leaderState, err := i.Leader.JobState(leaderCtx, id)
		cancel()
		switch {
		case err == nil && leaderState != "":
			return leaderState, true, nil
		case err == nil && !s.Replicating():
			return "", false, nil
		}
	}
	if known {
		return state, true, nil
	}
	catchUpCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := i.Replica.CatchUp(catchUpCtx); err != nil {
		return "", false, err
	}
	state, known = i.Viewer.Snapshot().JobState(id)
	return state, known, nil
}

// Waiting returns the number of accepted jobs of a queue that have not begun. An
// error means that no count is available that is recent enough.
func (i *Inspector) Waiting(ctx context.Context, queue string) (int, error) {
	counts, err := i.Counts(ctx)
	return counts[queue], err
}

// Counts returns how many jobs of each queue have not begun, with the error of
// Waiting. The caller must not change it.
func (i *Inspector) Counts(ctx context.Context) (map[string]int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if now.Sub(i.asOf) <= freshCounts {
		return i.counts, nil
	}
	counts, err := i.count(ctx, now)
	switch {
	case err == nil:
		i.counts, i.asOf = counts, now
	case now.Sub(i.asOf) > maxCountsAge:
		return nil, err
	}
	return i.counts, nil
}

// count counts the jobs that have not begun, in the state of this entry if it is
// complete, and at the leader otherwise.
func (i *Inspector) count(ctx context.Context, now time.Time) (map[string]int, error) {
	s := i.Viewer.Snapshot()
	if s.Complete(now.Add(-maxCountsAge)) {
		return s.Waiting(), nil
	}
	if s.Role() == keeper.Leading {
		return nil, ErrUnavailable
	}
	bounded, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	counts, err := i.Leader.Counts(bounded)
	return counts, errors.Mark(err, ErrUnavailable)
}

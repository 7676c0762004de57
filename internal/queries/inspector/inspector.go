// Package inspector answers queries about jobs: the state of a job and the number
// of waiting ones. The leader has the newest state. If it does not answer, the
// replica of this entry does, after it has caught up with the log if it does not
// know the job.
package inspector

import (
	"context"
	"time"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// leaderTimeout bounds a query to the leader.
	leaderTimeout = 250 * time.Millisecond
	// catchUpTimeout bounds the reading of the log up to its end.
	catchUpTimeout = 1200 * time.Millisecond
)

// Viewer returns the published state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() keeper.State
}

// Leader queries the leader.
type Leader interface {
	// JobState returns the state of a job in the log, or "" if there is none.
	JobState(ctx context.Context, id ledger.ID) (ledger.State, error)
}

// Replica is this entry's replica of the log.
type Replica interface {
	// CatchUp returns when the replica has applied all records that were in the
	// log at the time of the call.
	CatchUp(ctx context.Context) error
}

// Inspector answers queries about jobs. All fields are required.
type Inspector struct {
	Viewer  Viewer
	Leader  Leader
	Replica Replica
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
		if err == nil && leaderState != "" {
			return leaderState, true, nil
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

// Waiting returns the number of accepted jobs of a queue that have not started.
func (i *Inspector) Waiting(queue string) int { return i.Viewer.Snapshot().Waiting(queue) }

package sharer

import (
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Fair is start-time fair queueing of the jobs that are served in one order: a clock that
// goes on as jobs begin, and the time that each workspace has used up on it. A workspace that
// gets less than its part when all is full is never ahead of the clock. The zero value is
// that of idle workspaces. It is immutable.
type Fair struct {
	clock int64             // start tag of the last job that has begun
	used  container.Ranking // until when the workspaces ahead of the clock have used up theirs
}

// Tag is the place of a job in the order of its workspace's jobs.
type Tag struct {
	Start int64         // on the clock, in microseconds
	Lead  time.Duration // how far that was ahead of the clock
}

// With returns the queue with a job of a workspace, and the job's tag.
func (f Fair) With(w ledger.Workspace) (Fair, Tag) {
	f.used = without(f.used, f.clock)
	tag := Tag{Start: f.clock}
	if until, ahead := f.used.Score(w.Name); ahead {
		tag = Tag{Start: until, Lead: time.Duration(until-f.clock) * time.Microsecond}
	}
	f.used = f.used.With(w.Name, tag.Start+cost(w))
	return f, tag
}

// WithBegun returns the queue after the job with a tag has begun.
func (f Fair) WithBegun(t Tag) Fair {
	f.clock = max(f.clock, t.Start)
	return f
}

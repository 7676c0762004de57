// Package sharer tells which jobs of a workspace are covered by its share, and in which
// order those go that are not. It is a policer by virtual time: each job that is covered
// uses up a part of its workspace's time, one by the weight, and a job that would use up
// more than is left is beyond the share and uses up nothing. What a workspace sends too
// much thus never takes from what it is due later. The jobs beyond have a virtual time of
// their own, start-time fair queueing by weight.
package sharer

import (
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// Burst is how much of its time a workspace may use up ahead: callers do not send evenly,
	// and the clocks of entries differ.
	Burst = 2 * time.Second
	// BurstJobs is how many jobs it may send at once in any case: with a small weight, a few
	// that come together at random take longer than Burst.
	BurstJobs = 4
)

// Shares is the virtual time of all workspaces that are ahead of the real one. The others
// have none, and cost nothing. The zero value is that of idle workspaces. It is immutable.
type Shares struct {
	newest int64             // latest time of a job so far
	used   container.Ranking // until when the share of a workspace is used up
	turns  container.Ranking // the next turn of a workspace among the jobs beyond
}

// Standing says whether a job is covered by the share of its workspace.
type Standing struct {
	Beyond bool
	Turn   int64 // of a job beyond, in Unix microseconds: those with the earliest go first
	Tag    Tag   // of a job within
}

// Standing returns the standing of a further job of a workspace that arrives at a time.
func (s Shares) Standing(w ledger.Workspace, at time.Time) Standing {
	_, standing := s.With(w, at)
	return standing
}

// With returns the shares with a job of a workspace, and the job's standing. Times are by
// the clocks of different entries: one before the newest counts as the newest.
func (s Shares) With(w ledger.Workspace, at time.Time) (Shares, Standing) {
	s = s.withTime(at.UnixMicro())
	cost := cost(w)
	from := s.newest
	if until, ahead := s.used.Score(w.Name); ahead {
		from = until
	}
	if from == s.newest || from+cost-s.newest <= max(Burst.Microseconds(), BurstJobs*cost) {
		s.used = s.used.With(w.Name, from+cost)
		return s, Standing{}
	}
	turn := s.newest
	if next, ahead := s.turns.Score(w.Name); ahead {
		turn = next
	}
	s.turns = s.turns.With(w.Name, turn+cost)
	return s, Standing{Beyond: true, Turn: turn}
}

// Ahead returns how many workspaces have used up time that is still to come.
func (s Shares) Ahead() int { return s.used.Len() }

// withTime returns the shares at a time, without the workspaces that are no longer ahead.
func (s Shares) withTime(at int64) Shares {
	s.newest = max(s.newest, at)
	s.used, s.turns = without(s.used, s.newest), without(s.turns, s.newest)
	return s
}

// without returns a ranking without the names whose scores are not above a bound.
func without(r container.Ranking, bound int64) container.Ranking {
	for name, score := range r.From(-1 << 63) {
		if score > bound {
			break
		}
		r = r.Without(name)
	}
	return r
}

// cost returns the time in microseconds that a job of a workspace uses up.
func cost(w ledger.Workspace) int64 {
	return max(1, int64(float64(time.Second.Microseconds())/Rate(w)))
}

// Rate returns the jobs a second that the share of a workspace covers.
func Rate(w ledger.Workspace) float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

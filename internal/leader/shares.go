package leader

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/estimator"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/sharer"
)

// Settled reports a job that has ended before this leader took over. It counts against the
// share of its workspace as when it was accepted.
type Settled struct{ Job ledger.Job }

var _ Event = Settled{}

func (e Settled) apply(t *transition) { t.noteBegun(e.Job, t.charge(e.Job)) }

// charge counts a job against the share of its workspace. A job whose workspace is not known
// is within any share. The entries' clocks may be ahead of this one's, but no job has been
// accepted in the future.
func (t *transition) charge(j ledger.Job) sharer.Standing {
	if j.Workspace == "" {
		return sharer.Standing{}
	}
	w, known := t.workspaces.known.Get(j.Workspace)
	if !known {
		return sharer.Standing{}
	}
	at := j.Accepted
	if at.After(t.now) {
		at = t.now
	}
	var standing sharer.Standing
	t.shares, standing = t.shares.With(w, at)
	if !standing.Beyond {
		queue := strconv.Itoa(j.Queue.Priority)
		fair, _ := t.fair.Get(queue)
		fair, standing.Tag = fair.With(w)
		t.fair = t.fair.With(queue, fair)
	}
	return standing
}

// noteBegun has the clock go on by which the jobs of workspaces are served.
func (t *transition) noteBegun(j ledger.Job, s sharer.Standing) {
	if j.Workspace == "" || s.Beyond {
		return
	}
	queue := strconv.Itoa(j.Queue.Priority)
	if fair, ok := t.fair.Get(queue); ok {
		t.fair = t.fair.With(queue, fair.WithBegun(s.Tag))
	}
}

// shared reports whether workspaces share the cell.
func (t *transition) shared() bool { return t.workspaces.known.Len() > 0 }

const (
	// rateWindow is the time over which the rate is measured at which jobs begin. The first
	// one covers the time of an advice call.
	rateWindow = 2 * time.Second
	// fullTime is how long a step that found no room shows that there is none: the time
	// within which each waiting step is visited again in a backlog of thousands.
	fullTime = time.Second
	// fullPrecision is the least time between two notes that there is no room.
	fullPrecision = 100 * time.Millisecond
)

// backlog is the jobs of a workspace and a priority that are beyond the share and have not
// begun. There is none while none waits.
type backlog struct {
	jobs     int
	fullAt   time.Time // when one of them last found no room
	since    time.Time // start of the window in which begun counts
	begun    int
	lastRate float64 // of the window before
	measured bool    // there was one
}

// withJobs returns the backlog with n jobs more at a time.
func (b backlog) withJobs(n int, now time.Time) backlog {
	if b.jobs == 0 {
		b = backlog{since: now}
	}
	b.jobs += n
	return b
}

// withBegun returns the backlog after one of its jobs has begun.
func (b backlog) withBegun(now time.Time) backlog {
	if past := now.Sub(b.since); past >= rateWindow {
		b.lastRate, b.measured, b.since, b.begun = float64(b.begun)/past.Seconds(), true, now, 0
	}
	b.begun++
	return b.withJobs(-1, now)
}

// rate returns the jobs a second that begin, or a negative number if that is not known yet.
func (b backlog) rate(now time.Time) float64 {
	switch past := now.Sub(b.since); {
	case past >= rateWindow:
		return float64(b.begun) / past.Seconds()
	case b.measured:
		return b.lastRate
	}
	return -1
}

func backlogKey(workspace string, priority int) string {
	return strconv.Itoa(priority) + "/" + workspace
}

// countWaiting keeps the backlogs up to date as a job changes.
func (t *transition) countWaiting(old, job ActiveJob) {
	if lived, lives := old.livesBeyond(), job.livesBeyond(); lives != lived {
		if lives {
			t.beyond++
		} else {
			t.beyond--
		}
	}
	was, is := old.waitsBeyond(), job.waitsBeyond()
	if was == is {
		return
	}
	key := backlogKey(job.Job.Workspace, job.Job.Queue.Priority)
	b, _ := t.backlogs.Get(key)
	switch {
	case is:
		b = b.withJobs(1, t.now)
	case job.Progress.State.Final():
		b = b.withJobs(-1, t.now)
	default:
		b = b.withBegun(t.now)
	}
	if b.jobs == 0 {
		t.backlogs = t.backlogs.Without(key)
		return
	}
	t.backlogs = t.backlogs.With(key, b)
}

// waitsBeyond reports whether the job is beyond the share of its workspace and has not begun.
func (j ActiveJob) waitsBeyond() bool {
	return j.Standing.Beyond && j.Progress.State == ledger.Queued
}

// livesBeyond reports whether the job is beyond the share of its workspace and has not ended.
func (j ActiveJob) livesBeyond() bool {
	return j.Standing.Beyond && !j.Progress.State.Final()
}

// noteFull notes that a step of a job found no room.
func (t *transition) noteFull(job ActiveJob) {
	if !job.Standing.Beyond {
		return
	}
	key := backlogKey(job.Job.Workspace, job.Job.Queue.Priority)
	if b, ok := t.backlogs.Get(key); ok && t.now.Sub(b.fullAt) >= fullPrecision {
		b.fullAt = t.now
		t.backlogs = t.backlogs.With(key, b)
	}
}

// Refusal is why a job is not taken in now.
type Refusal struct {
	Workspace  string
	Backlog    int           // jobs of the workspace beyond its share that wait
	Rate       float64       // of these, that begin in a second; negative if that is not known yet
	Weight     float64       // jobs a second that its share covers
	Done       time.Duration // until the job would be done
	RetryAfter time.Duration
	Version    int64 // of the configuration
}

// Refuses reports whether a job is to be turned away, since it is beyond the share of its
// workspace and could not be done in a time that is of use. It is a query: any thread may
// ask a published state.
func (s State) Refuses(c ledger.Claim, now time.Time) (Refusal, bool) {
	w, known := s.workspaces.known.Get(c.Workspace)
	if !known {
		return Refusal{}, false
	}
	b, waits := s.backlogs.Get(backlogKey(c.Workspace, c.Priority))
	if !waits || !s.shares.Standing(w, now).Beyond {
		return Refusal{}, false
	}
	rate, full := b.rate(now), now.Sub(b.fullAt) < fullTime || now.Sub(s.shortAt) < fullTime || s.capFull(c.Workspace, c.Priority)
	v := estimator.Judge(estimator.Backlog{Jobs: b.jobs, Rate: rate, Covered: sharer.Rate(w), Full: full}, estimator.Job{Chain: c.Chain, Limit: c.Limit})
	return Refusal{
		Workspace: c.Workspace, Backlog: b.jobs, Rate: rate, Weight: sharer.Rate(w), Done: v.Done, RetryAfter: v.RetryAfter, Version: s.workspaces.version,
	}, v.Refused
}

// unsaved returns the work of a run since its last checkpoint, in thousandths of a
// core-nanosecond.
func (p Placement) unsaved(now time.Time) float64 {
	from := p.StartedAt
	if p.SavedAt.After(from) {
		from = p.SavedAt
	}
	return float64(p.Size.CPU) * float64(now.Sub(from))
}

// byLoss orders the runs that may be stopped: those beyond the share of their workspace
// first, then those that lose least unsaved work.
func byLoss(runs []Placement, now time.Time) {
	slices.SortStableFunc(runs, func(a, b Placement) int {
		if a.Beyond != b.Beyond {
			if a.Beyond {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.unsaved(now), b.unsaved(now))
	})
}

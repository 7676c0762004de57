package leader

import (
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Listing is what a worker tells the platform about itself.
type Listing struct {
	ID       string
	Address  string
	Zone     string
	Service  string
	Life     int64 // when this life of the worker began, milliseconds
	Room     ledger.Size
	Labels   []string // its kind and its rack
	Rack     string
	Draining bool
	Leaving  time.Duration // least time that is left while it drains
}

// Reachability is what is known of the way to a worker.
type Reachability int

// The kinds of contact.
const (
	Unpolled    Reachability = iota // no report under this leader yet
	Reachable                       // the last look was answered
	Unreachable                     // the last look was not
)

// Worker is a worker of the cell as the leader sees it.
type Worker struct {
	Listing
	Listed              bool
	LeavesAt            time.Time // when a draining worker may be gone
	Reachability        Reachability
	ReportedIncarnation int64     // of the last report
	ReportedAt          time.Time // when the last report arrived
	ReportedClock       int64     // steady clock of the worker in that report, milliseconds
	LeaseDeadline       int64     // latest end of a lease sent to it, on its clock
	Placements          container.Table[Placement]
	Used                ledger.Size
	UsedByStopping      ledger.Size  // part of Used that stops under way will free
	UsedByPreemptible   ledger.Size  // part of Used that tasks of the highest priority may claim
	ServingRuns         int          // runs with a response target
	BestEffortRuns      int          // filling runs
	LastEnd             int64        // number of the last end taken up
	AckedEnd            int64        // number of the last end that the log has
	UnackedEnds         []unackedEnd // ends whose records are on the way
	ConsecutiveFailures int          // failed runs since the last one that was done
	LastFailedJob       ledger.ID    // job of the last failed run
	Slowness            float64      // how many times as long as usual runs take, 0 if not known
	ExcludedUntil       time.Time
	ExclusionTime       time.Duration
}

// unackedEnd is an end whose record is in a batch.
type unackedEnd struct {
	number int64
	batch  int64
}

// Free returns the room that is left.
func (w Worker) Free() ledger.Size { return w.Room.Minus(w.Used) }

// WithListing returns the worker with what the platform lists of it.
func (w Worker) WithListing(l Listing, now time.Time) Worker {
	if l.Draining && !w.Draining {
		w.LeavesAt = now.Add(l.Leaving)
	}
	w.Listing, w.Listed = l, true
	return w
}

// WithReachability returns the worker with another contact.
func (w Worker) WithReachability(c Reachability) Worker {
	w.Reachability = c
	return w
}

// WithPlacement returns the worker with a placement added or replaced.
func (w Worker) WithPlacement(p Placement) Worker {
	key := p.key()
	if old, ok := w.Placements.Get(key); ok {
		w = w.withTotals(old, -1)
	}
	w = w.withTotals(p, 1)
	w.Placements = w.Placements.With(key, p)
	return w
}

// WithoutPlacement returns the worker without a placement.
func (w Worker) WithoutPlacement(key string) Worker {
	old, ok := w.Placements.Get(key)
	if !ok {
		return w
	}
	w = w.withTotals(old, -1)
	w.Placements = w.Placements.Without(key)
	return w
}

// withTotals returns the worker with a placement counted n times in its sums.
func (w Worker) withTotals(p Placement, n int) Worker {
	w.Used = w.Used.Plus(p.Size.Times(n))
	switch {
	case p.Stage == Stopping || p.Stage == Withdrawn:
		w.UsedByStopping = w.UsedByStopping.Plus(p.Size.Times(n))
	case p.Preemptible:
		w.UsedByPreemptible = w.UsedByPreemptible.Plus(p.Size.Times(n))
	}
	if p.LatencyTarget > 0 {
		w.ServingRuns += n
	}
	if p.BestEffort {
		w.BestEffortRuns += n
	}
	return w
}

// WithReport returns the worker with a report that arrived at a time. An
// earlier leader may have sent leases up to the longest length.
func (w Worker) WithReport(r Report, deadline int64, longest time.Duration, now time.Time) Worker {
	if w.ReportedIncarnation != r.Life {
		w.ReportedIncarnation, w.LastEnd, w.AckedEnd, w.UnackedEnds, w.ReportedClock, w.Slowness = r.Life, 0, 0, nil, 0, 0
		w.LeaseDeadline = r.Clock + longest.Milliseconds()
	}
	w.Reachability = Reachable
	if r.Clock >= w.ReportedClock {
		w.ReportedAt, w.ReportedClock = now, r.Clock
	}
	w.LeaseDeadline = max(w.LeaseDeadline, deadline)
	return w
}

// WithEnd returns the worker with an end whose record is in a batch.
func (w Worker) WithEnd(number, batch int64) Worker {
	w.LastEnd = max(w.LastEnd, number)
	w.UnackedEnds = append(w.UnackedEnds[:len(w.UnackedEnds):len(w.UnackedEnds)], unackedEnd{number, batch})
	return w
}

// WithAcked returns the worker with the ends up to a batch in the log.
func (w Worker) WithAcked(batch int64) Worker {
	n := 0
	for n < len(w.UnackedEnds) && w.UnackedEnds[n].batch <= batch {
		w.AckedEnd = max(w.AckedEnd, w.UnackedEnds[n].number)
		n++
	}
	w.UnackedEnds = w.UnackedEnds[n:]
	return w
}

// WithExclusion returns the worker excluded from new tasks until a time.
func (w Worker) WithExclusion(until time.Time, length time.Duration) Worker {
	w.ExcludedUntil, w.ExclusionTime, w.ConsecutiveFailures = until, length, 0
	return w
}

// Schedulable reports whether the worker may be given new tasks.
func (w Worker) Schedulable(now time.Time) bool {
	return w.Listed && !w.Draining && w.Reachability == Reachable && !now.Before(w.ExcludedUntil)
}

// leaseExpiry returns the time by which everything at a silent worker has ended,
// since its leases have.
func (w Worker) leaseExpiry(s State) time.Time {
	if w.ReportedAt.IsZero() {
		return s.leadingSince.Add(s.policy.Inherited + onSlowestClock(s.policy.Lease))
	}
	left := time.Duration(w.LeaseDeadline-w.ReportedClock) * time.Millisecond
	return w.ReportedAt.Add(onSlowestClock(max(left, 0)))
}

// onSlowestClock returns how long a time may last on the slowest steady clock.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// runKey names a run of a task.
func runKey(task string, run int) string { return task + "#" + strconv.Itoa(run) }

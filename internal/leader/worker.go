package leader

import (
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Listing isCurrent a worker as the platform lists it. It is stored as JSON under
// the names in the tags.
type Listing struct {
	ID          string           `json:"ID"`
	Address     string           `json:"Address"`
	Zone        string           `json:"Zone"`
	Service     string           `json:"Service"`
	Incarnation int64            `json:"Life"` // incarnation: when the worker started, in milliseconds
	Capacity    ledger.Resources `json:"Room"`
	Labels      []string         `json:"Labels"` // its kind and its rack
	Rack        string           `json:"Rack"`
	Draining    bool             `json:"Draining"`
	LeavesIn    time.Duration    `json:"Leaving"` // least time until it leaves, if Draining
}

// Reachability is what is known about whether a worker answers.
type Reachability int

// The values of Reachability.
const (
	Unpolled    Reachability = iota // no poll answered or failed under this leader yet
	Reachable                       // the last poll was answered
	Unreachable                     // the last poll failed
)

// Worker is a worker of the cell from the leader's point of view.
type Worker struct {
	Listing
	Listed              bool
	LeavesAt            time.Time // earliest time at which a draining worker leaves
	Reachability        Reachability
	ReportedIncarnation int64     // incarnation in the last report, 0 before the first
	ReportedAt          time.Time // when the last report arrived
	ReportedClock       int64     // monotonic clock of the worker in that report, in milliseconds
	LeaseDeadline       int64     // latest end of a lease sent to it, on its clock, in milliseconds
	Renewed             bool      // the leader's record of leases says that those here are renewed
	RenewedIn           int64     // batch of that record
	Silence             int64     // number of the last silence that its caller has reported
	Granted             bool      // a Renew with that number was sent
	ExpiredIn           int64     // batch of the records of the runs that were given up when its leases had expired
	LeasesUntil         time.Time // leases of which no deadline is known may be in force until then
	Placements          container.Table[Placement]
	Used                ledger.Resources
	UsedByStopping      ledger.Resources // part of Used that pending stops will free
	UsedByPreemptible   ledger.Resources // part of Used that preemption can free
	UsedByBeyond        ledger.Resources // part of UsedByPreemptible that is beyond the share of its workspace
	UsedByUrgent        ledger.Resources // part of Used that short urgent tasks use
	UrgentRuns          int              // short urgent tasks
	ServingRuns         int              // runs with a latency target
	StoppingRuns        int
	StartingRuns        int // placed by this leader, and their starts not answered
	BestEffortRuns      int
	LastEnd             int64        // number of the last end processed
	AckedEnd            int64        // number of the last end whose record is in the log
	UnackedEnds         []unackedEnd // processed ends whose records are not yet in the log
	ConsecutiveFailures int          // since the last completed run
	LastFailedJob       ledger.ID    // job of the last failed run counted
	Slowness            float64      // run time relative to the average, 0 if not known
	ExcludedUntil       time.Time
	ExclusionTime       time.Duration
}

// unackedEnd is a processed end and the batch of its record.
type unackedEnd struct {
	number int64
	batch  int64
}

// open reports whether the worker may be given tasks: it is listed, answers, has its leases
// renewed and does not drain, and the listing is not of an earlier incarnation, which may be
// of another kind.
func (w Worker) open() bool {
	listed := w.Incarnation == 0 || w.ReportedIncarnation <= w.Incarnation
	return w.Listed && listed && !w.Draining && w.Reachability == Reachable && w.Renewed
}

// Free returns the capacity that is left.
func (w Worker) Free() ledger.Resources { return w.Capacity.Minus(w.Used) }

// order returns an order about a run for the incarnation that was reported last.
func (w Worker) order(kind OrderKind, p Placement) Order {
	return Order{Worker: w.ID, Address: w.Address, Incarnation: w.ReportedIncarnation, Silence: w.Silence, Kind: kind, Task: p.Task, Run: p.Run}
}

// WithListing returns the worker with listing l, seen at time now.
func (w Worker) WithListing(l Listing, now time.Time) Worker {
	if l.Draining && !w.Draining {
		w.LeavesAt = now.Add(l.LeavesIn)
	}
	w.Listing, w.Listed = l, true
	return w
}

// WithReachability returns the worker with reachability c.
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

// WithoutPlacement returns the worker without the placement of the given key.
func (w Worker) WithoutPlacement(key string) Worker {
	old, ok := w.Placements.Get(key)
	if !ok {
		return w
	}
	w = w.withTotals(old, -1)
	w.Placements = w.Placements.Without(key)
	return w
}

// stopping reports whether a stop was sent for the run of the given key.
func (w Worker) stopping(key string) bool {
	p, ok := w.Placements.Get(key)
	return ok && p.Stage == Stopping
}

// withTotals returns the worker with n times a placement added to its totals.
func (w Worker) withTotals(p Placement, n int) Worker {
	w.Used = w.Used.Plus(p.Size.Times(n))
	switch {
	case p.Stage == Stopping || p.Stage == Withdrawn:
		w.UsedByStopping = w.UsedByStopping.Plus(p.Size.Times(n))
	case p.Preemptible:
		w.UsedByPreemptible = w.UsedByPreemptible.Plus(p.Size.Times(n))
		if p.Beyond {
			w.UsedByBeyond = w.UsedByBeyond.Plus(p.Size.Times(n))
		}
	}
	switch p.Stage {
	case Stopping:
		w.StoppingRuns += n
	case Recording, Withdrawn, StartSent:
		w.StartingRuns += n
	}
	if p.LatencyTarget > 0 {
		w.ServingRuns += n
	}
	if p.BestEffort {
		w.BestEffortRuns += n
	}
	if p.Urgent {
		w.UrgentRuns += n
		w.UsedByUrgent = w.UsedByUrgent.Plus(p.Size.Times(n))
	}
	return w
}

// WithReport returns the worker with a report that arrived at time now. On the
// first report and after a change of incarnation, leases of up to the longest
// duration may be in force that an earlier leader has sent.
func (w Worker) WithReport(r Report, deadline int64, longest time.Duration, now time.Time) Worker {
	if w.ReportedIncarnation != r.Incarnation {
		w.ReportedIncarnation, w.LastEnd, w.AckedEnd, w.UnackedEnds, w.ReportedClock, w.Slowness = r.Incarnation, 0, 0, nil, 0, 0
		w.LeaseDeadline = r.Clock + longest.Milliseconds()
	}
	w.Reachability = Reachable
	if r.Clock >= w.ReportedClock {
		w.ReportedAt, w.ReportedClock = now, r.Clock
	}
	w.LeaseDeadline = max(w.LeaseDeadline, deadline)
	return w
}

// WithEnd returns the worker with an end processed whose record is in a batch.
func (w Worker) WithEnd(number, batch int64) Worker {
	w.LastEnd = max(w.LastEnd, number)
	w.UnackedEnds = append(w.UnackedEnds[:len(w.UnackedEnds):len(w.UnackedEnds)], unackedEnd{number, batch})
	return w
}

// WithAcked returns the worker with the ends up to a batch marked as recorded in
// the log.
func (w Worker) WithAcked(batch int64) Worker {
	n := 0
	for n < len(w.UnackedEnds) && w.UnackedEnds[n].batch <= batch {
		w.AckedEnd = max(w.AckedEnd, w.UnackedEnds[n].number)
		n++
	}
	w.UnackedEnds = w.UnackedEnds[n:]
	return w
}

// WithExclusion returns the worker excluded from new tasks until a time and its
// failures reset.
func (w Worker) WithExclusion(until time.Time, duration time.Duration) Worker {
	w.ExcludedUntil, w.ExclusionTime, w.ConsecutiveFailures = until, duration, 0
	return w
}

// runKey returns the key of a run of a task.
func runKey(task string, run int) string { return task + "#" + strconv.Itoa(run) }

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

// Contact is what is known of the way to a worker.
type Contact int

// The kinds of contact.
const (
	Unheard Contact = iota // no report under this leader yet
	Heard                  // the last look was answered
	Silent                 // the last look was not
)

// Worker is a worker of the cell as the leader sees it.
type Worker struct {
	Listing
	Listed    bool
	Leaves    time.Time // when a draining worker may be gone
	Contact   Contact
	Life      int64     // of the last report
	Heard     time.Time // when the last report arrived
	Clock     int64     // steady clock of the worker in that report, milliseconds
	Deadline  int64     // latest end of a lease sent to it, on its clock
	Placed    container.Table[Placement]
	Used      ledger.Size
	Ending    ledger.Size // part of Used that stops under way will free
	Yielding  ledger.Size // part of Used that tasks of the highest priority may claim
	Serving   int         // runs with a response target
	Filling   int         // filling runs
	Ends      int64       // number of the last end taken up
	Acked     int64       // number of the last end that the log has
	Unacked   []ended     // ends whose records are on the way
	Fails     int         // failed runs since the last one that was done
	Blamed    ledger.ID   // job of the last failed run
	Slowness  float64     // how many times as long as usual runs take, 0 if not known
	Excluded  time.Time
	Exclusion time.Duration
}

// ended is an end whose record is in a batch.
type ended struct {
	number int64
	batch  int64
}

// Free returns the room that is left.
func (w Worker) Free() ledger.Size { return w.Room.Minus(w.Used) }

// WithListing returns the worker with what the platform lists of it.
func (w Worker) WithListing(l Listing, now time.Time) Worker {
	if l.Draining && !w.Draining {
		w.Leaves = now.Add(l.Leaving)
	}
	w.Listing, w.Listed = l, true
	return w
}

// WithContact returns the worker with another contact.
func (w Worker) WithContact(c Contact) Worker {
	w.Contact = c
	return w
}

// WithPlacement returns the worker with a placement added or replaced.
func (w Worker) WithPlacement(p Placement) Worker {
	key := p.key()
	if old, ok := w.Placed.Get(key); ok {
		w = w.withSums(old, -1)
	}
	w = w.withSums(p, 1)
	w.Placed = w.Placed.With(key, p)
	return w
}

// WithoutPlacement returns the worker without a placement.
func (w Worker) WithoutPlacement(key string) Worker {
	old, ok := w.Placed.Get(key)
	if !ok {
		return w
	}
	w = w.withSums(old, -1)
	w.Placed = w.Placed.Without(key)
	return w
}

// withSums returns the worker with a placement counted n times in its sums.
func (w Worker) withSums(p Placement, n int) Worker {
	w.Used = w.Used.Plus(p.Size.Times(n))
	switch {
	case p.Stage == Stopping || p.Stage == Dropped:
		w.Ending = w.Ending.Plus(p.Size.Times(n))
	case p.Yields:
		w.Yielding = w.Yielding.Plus(p.Size.Times(n))
	}
	if p.Target > 0 {
		w.Serving += n
	}
	if p.Fills {
		w.Filling += n
	}
	return w
}

// WithReport returns the worker with a report that arrived at a time. An
// earlier leader may have sent leases up to the longest length.
func (w Worker) WithReport(r Report, deadline int64, longest time.Duration, now time.Time) Worker {
	if w.Life != r.Life {
		w.Life, w.Ends, w.Acked, w.Unacked, w.Clock, w.Slowness = r.Life, 0, 0, nil, 0, 0
		w.Deadline = r.Clock + longest.Milliseconds()
	}
	w.Contact = Heard
	if r.Clock >= w.Clock {
		w.Heard, w.Clock = now, r.Clock
	}
	w.Deadline = max(w.Deadline, deadline)
	return w
}

// WithEnd returns the worker with an end whose record is in a batch.
func (w Worker) WithEnd(number, batch int64) Worker {
	w.Ends = max(w.Ends, number)
	w.Unacked = append(w.Unacked[:len(w.Unacked):len(w.Unacked)], ended{number, batch})
	return w
}

// WithAcked returns the worker with the ends up to a batch in the log.
func (w Worker) WithAcked(batch int64) Worker {
	n := 0
	for n < len(w.Unacked) && w.Unacked[n].batch <= batch {
		w.Acked = max(w.Acked, w.Unacked[n].number)
		n++
	}
	w.Unacked = w.Unacked[n:]
	return w
}

// WithExclusion returns the worker excluded from new tasks until a time.
func (w Worker) WithExclusion(until time.Time, length time.Duration) Worker {
	w.Excluded, w.Exclusion, w.Fails = until, length, 0
	return w
}

// Usable reports whether the worker may be given new tasks.
func (w Worker) Usable(now time.Time) bool {
	return w.Listed && !w.Draining && w.Contact == Heard && !now.Before(w.Excluded)
}

// lapse returns the time by which everything at a silent worker has ended,
// since its leases have.
func (w Worker) lapse(s State) time.Time {
	if w.Heard.IsZero() {
		return s.since.Add(s.policy.Inherited + slow(s.policy.Lease))
	}
	left := time.Duration(w.Deadline-w.Clock) * time.Millisecond
	return w.Heard.Add(slow(max(left, 0)))
}

// slow returns how long a time may last on the slowest steady clock.
func slow(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDrift))
}

// runKey names a run of a task.
func runKey(task string, run int) string { return task + "#" + strconv.Itoa(run) }

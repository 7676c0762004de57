package leader

import (
	"fmt"
	"time"
)

// maxClockDrift is the fraction by which a worker's monotonic clock may run
// slower than ours, a bound that the platform guarantees.
const maxClockDrift = 0.02

// pausePerWorker is multiplied by the number of workers beyond fewWorkers for the time
// between two records of leases. A record may name all workers; the pause bounds the work
// while many fall silent or are heard one after the other.
const (
	pausePerWorker = 100 * time.Microsecond
	fewWorkers     = 64
)

// A record of leases names workers up to maxNamedBytes, with nameBytes for each beside its
// name: the platform's limit on a record is twice that.
const (
	maxNamedBytes = 128 << 10
	nameBytes     = 24
)

// Leases says until when leases may be in force that no leader renews any more. A leader
// renews no lease before its record of them is in the log, and none of a worker that the
// record names before a later one is in the log that doesn't. So whoever leads next knows
// which leases were not renewed since, in whatever way this leader ends.
type Leases struct {
	Others  time.Time            // at workers that Until does not name; zero if the leader renews these
	Until   map[string]time.Time // at the workers that it names; must not be changed
	Partial bool                 // there are others that the leader doesn't renew, which don't fit into a record
}

// LeaseEnd returns the time by which a lease has expired that was renewed at a time,
// allowing for clock drift.
func (p Policy) LeaseEnd(renewed time.Time) time.Time { return renewed.Add(onSlowestClock(p.Lease)) }

// onSlowestClock returns the longest real time in which d passes on a worker's
// monotonic clock.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// LeastProgress returns the least time that passes on a worker's monotonic clock within d.
func LeastProgress(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// WithInheritedLeases returns the state of a leader that takes over with what earlier ones
// have recorded. Nothing is known of them without it.
func (s State) WithInheritedLeases(l Leases) State {
	s.inherited = l
	return s
}

// Leases returns what holds for whoever leads next, unless this leader goes on: the leases
// at workers that it doesn't renew, and those that it has inherited until it renews any.
// Workers without runs are named, too, as the log may still show runs that were given up.
// If there are too many to name, the next leader takes the leases at the others for renewed
// and waits longer.
func (s State) Leases() Leases {
	if !s.renews {
		return s.inherited
	}
	l, size := Leases{Until: map[string]time.Time{}}, 0
	for id, w := range s.workers.All() {
		if w.Renewed {
			continue
		}
		if size += len(id) + nameBytes; size > maxNamedBytes {
			l.Partial = true
			break
		}
		l.Until[id] = w.leaseBound(s).until
	}
	return l
}

// leaseBound is the time by which all leases at a worker have expired, and what bounds it.
type leaseBound struct {
	until time.Time
	by    string
}

// leaseBound returns the time by which all runs at an unreachable worker have ended
// because its leases have expired, allowing for clock drift.
func (w Worker) leaseBound(s State) leaseBound {
	bound := leaseBound{s.inherited.Others, "the last record of an earlier leader"}
	if until, named := s.inherited.Until[w.ID]; named {
		bound = leaseBound{until, "what an earlier leader recorded"}
	}
	if !w.ReportedAt.IsZero() {
		left := time.Duration(w.LeaseDeadline-w.ReportedClock) * time.Millisecond
		bound = leaseBound{w.ReportedAt.Add(onSlowestClock(max(left, 0))), "its last report"}
	}
	if w.LeasesUntil.After(bound.until) {
		return leaseBound{w.LeasesUntil, "the loss of its caller"}
	}
	return bound
}

// WithLostCaller returns the worker without whoever polled it. If that one was told to renew
// leases, these are in force until a time.
func (w Worker) WithLostCaller(until time.Time) Worker {
	if w.Granted && until.After(w.LeasesUntil) {
		w.LeasesUntil = until
	}
	w.Granted = false
	return w
}

// lostCaller returns the worker without whoever polled it up to now.
func (t *transition) lostCaller(w Worker) Worker {
	return w.WithLostCaller(t.policy.LeaseEnd(t.now.Add(t.policy.MaxStaleRenewal)))
}

// WithRenewal returns the worker with its leases renewed according to the record of leases
// in a batch.
func (w Worker) WithRenewal(batch int64) Worker {
	w.Renewed, w.RenewedIn = true, batch
	return w
}

// awaitsRenewal reports whether the worker answers and its leases are not renewed.
func (w Worker) awaitsRenewal() bool {
	return !w.Renewed && w.Reachability == Reachable && w.Silence != 0
}

// withSilence returns the worker after its caller has reported a silence that is not older
// than the last one.
func (t *transition) withSilence(w Worker, number int64) Worker {
	if watchOf(w.Silence) != watchOf(number) {
		w = t.lostCaller(w) // its PollerLost may come later
	}
	w.Silence, w.Granted = number, false
	return w
}

// hear has the leases of a worker renewed whose caller renews none before a Renew. A report
// that an earlier caller sent, or that came before a silence, has no effect on them.
func (t *transition) hear(w Worker, silence int64) {
	if silence < w.Silence {
		return
	}
	w = t.withSilence(w, silence)
	t.setWorker(w)
	switch {
	case !w.Renewed:
		t.leasesDue = true
	case w.RenewedIn <= t.committed:
		t.renew(w)
	default:
		t.awaitRenewal(w)
	}
}

func (e RenewalsEnded) apply(t *transition) {
	if e.Until.Before(t.inherited.Others) {
		t.inherited.Others = e.Until
		t.leasesDue = t.leasesDue || t.renews
	}
}

// renew has whoever polls a worker renew its leases.
func (t *transition) renew(w Worker) {
	w.Granted = true
	t.setWorker(w)
	t.emit(Renew{Worker: w.ID, Silence: w.Silence})
}

// withhold records that the leases of a silent worker with runs are no longer renewed.
func (t *transition) withhold(w Worker, silence int64) Worker {
	w = t.withSilence(w, silence)
	if w.Placements.Len() > 0 {
		t.leasesDue = t.leasesDue || w.Renewed
		w.Renewed = false
	}
	t.setWorker(w)
	return w
}

// recordLeases writes a record of leases if it is due. Those of workers that answer are
// renewed once it is in the log.
func (t *transition) recordLeases() {
	if !t.leasesDue || t.now.Before(t.nextLeases) {
		return
	}
	for _, w := range t.fleet.all() {
		if w.awaitsRenewal() {
			t.setWorker(w.WithRenewal(t.nextBatch()))
			t.awaitRenewal(w)
			t.placementDue = true
		}
	}
	t.fleet.save()
	t.leasesDue, t.leasesChanged, t.renews = false, true, true
	t.nextLeases = t.now.Add(time.Duration(max(0, t.workers.Len()-fewWorkers)) * pausePerWorker)
	t.emit(RecordLeases{Batch: t.nextBatch(), Leases: t.Leases()})
}

// awaitRenewal has the leases of a worker renewed once the current batch is in the log.
func (t *transition) awaitRenewal(w Worker) {
	t.commitWaiters = t.commitWaiters.With(commitWaiter{batch: t.nextBatch(), worker: w.ID, renew: true})
}

// logSilence logs that a worker doesn't answer, and for how long its leases may be in
// force, unless it did not answer before.
func (t *transition) logSilence(w Worker, before Reachability) {
	why := "no report"
	switch {
	case before == Unreachable:
		return
	case before == Unpolled:
		why = "not heard by this leader"
	}
	if n := w.Placements.Len(); n > 0 {
		b := w.leaseBound(t.State)
		why += fmt.Sprintf("; leases of %d runs may last %v more, bounded by %s", n, b.until.Sub(t.now).Round(time.Millisecond), b.by)
	}
	t.emit(Decision{What: "silent", Worker: w.ID, Why: why})
}

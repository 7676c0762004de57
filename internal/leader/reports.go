package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// maxReportedEnds is the platform's limit on the ends listed in one report. A
	// longer list is split, so an end missing from one report may be in the next.
	maxReportedEnds = 500
	// stopRetryInterval is how long a stop may remain unanswered before it is resent.
	stopRetryInterval = 500 * time.Millisecond
)

func (e Listed) apply(t *transition) {
	w, known := t.fleet.get(e.Listing.ID)
	watched := known && w.Listed
	moved := watched && w.Address != e.Listing.Address
	startsDraining := e.Listing.Draining && !w.Draining
	if known && w.ReportedIncarnation != 0 && e.Listing.Incarnation > w.ReportedIncarnation && w.Reachability == Reachable {
		// The worker has restarted: nothing starts there before it reports.
		w = w.WithReachability(Unreachable)
		t.emit(PollNow{Worker: w.ID})
	}
	w = w.WithListing(e.Listing, t.now)
	t.setWorker(w)
	if !watched || moved {
		t.emit(StartPolling{Worker: w.ID, Address: w.Address, Zone: w.Zone})
		t.emit(Decision{What: "list", Worker: w.ID, Why: w.Service + " at " + w.Address})
	}
	if startsDraining {
		t.emit(Decision{What: "drain", Worker: w.ID, Why: "listed as draining for " + e.Listing.LeavesIn.String()})
		t.drain(w)
	}
}

func (e Unlisted) apply(t *transition) {
	w, ok := t.fleet.get(e.ID)
	if !ok || !w.Listed {
		return
	}
	w.Listed = false
	t.setWorker(w)
	t.emit(Decision{What: "unlist", Worker: w.ID})
	t.withdrawStarts(w)
	t.removeIfUnused(w)
}

// removeIfUnused removes a worker that is no longer listed, once it has no
// placements and no unacknowledged ends, and the log has none either.
func (t *transition) removeIfUnused(w Worker) {
	if w.Listed || w.Placements.Len() > 0 || len(w.UnackedEnds) > 0 || w.ExpiredIn > t.committed {
		return
	}
	t.fleet.remove(w.ID)
	t.markStale(w.ID)
	t.emit(StopPolling{Worker: w.ID})
}

func (e PollFailed) apply(t *transition) {
	w, ok := t.fleet.get(e.Worker)
	if !ok || e.Incarnation != 0 && e.Incarnation < w.ReportedIncarnation {
		return // a later incarnation has been heard since
	}
	w.LeaseDeadline = max(w.LeaseDeadline, e.Deadline)
	if e.Silence <= w.Silence {
		t.setWorker(w)
		return // the worker has been heard since, or has another caller
	}
	before := w.Reachability
	w = t.withhold(w.WithReachability(Unreachable), e.Silence)
	t.logSilence(w, before)
	t.expireLeases(w)
}

func (e PollerLost) apply(t *transition) {
	if w, ok := t.fleet.get(e.Worker); ok && watchOf(w.Silence) == e.Watch {
		t.setWorker(t.lostCaller(w))
	}
}

// expireLeases gives up the runs at an unreachable worker once its leases have
// expired.
func (t *transition) expireLeases(w Worker) {
	bound := w.leaseBound(t.State)
	if w.Reachability == Reachable || t.now.Before(bound.until) {
		return
	}
	for _, p := range w.Placements.All() {
		if p.Stage == Recording || p.Stage == Withdrawn {
			continue
		}
		w = t.loseRun(w, p, "leases of an unreachable worker have expired, bounded by "+bound.by)
		w.ExpiredIn = t.nextBatch()
	}
	if w.ExpiredIn == t.nextBatch() {
		t.setWorker(w)
		t.awaitCommit(w.ExpiredIn, w.ID, "")
	}
	t.removeIfUnused(w)
}

// loseRun gives up a run that is over although the worker has reported no end, and
// returns the worker.
func (t *transition) loseRun(w Worker, p Placement, why string) Worker {
	t.emit(Decision{What: "lost", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
	w = t.removePlacement(w, p)
	t.requeue(p, "")
	return w
}

func (e Reported) apply(t *transition) {
	w, ok := t.fleet.get(e.Worker)
	if !ok {
		return
	}
	if e.Report.Incarnation < w.ReportedIncarnation {
		return // arrived after a report of a later incarnation
	}
	restarted := w.ReportedIncarnation != 0 && w.ReportedIncarnation != e.Report.Incarnation
	outdated := !restarted && e.Report.Clock < w.ReportedClock
	if w.Reachability != Reachable || restarted {
		t.emit(Decision{What: "heard", Worker: w.ID, Why: "report of incarnation " + time.UnixMilli(e.Report.Incarnation).UTC().Format(time.RFC3339)})
		t.placementDue = true
	}
	longest := t.policy.Lease
	if restarted {
		// A call to an earlier incarnation may have been executed late, with a deadline on
		// a clock that was far ahead.
		longest = max(longest, t.policy.LongestLease)
	}
	w = w.WithReport(e.Report, e.Deadline, longest, t.now)
	t.setWorker(w)
	if e.Silence != 0 {
		t.hear(w, e.Silence)
		w, _ = t.fleet.get(w.ID)
	}
	t.handleEnds(w, e.Report)
	if !outdated && !e.Report.Partial {
		t.loseAbsent(w.ID, e, t.handleRunning(w.ID, e), restarted)
	}
	w, _ = t.fleet.get(w.ID)
	if !e.Report.Partial {
		t.throttle(w)
	}
	t.removeIfUnused(w)
}

// handleEnds processes the reported ends that were not processed before. The
// worker may forget them once the records of this transition are in the log. An
// end that changes no job waits for the same batch, so that ends are acknowledged
// in order.
func (t *transition) handleEnds(w Worker, r Report) {
	last := w.LastEnd
	if n := len(r.Ended); n > 0 && r.Ended[n-1].Number <= w.AckedEnd {
		// Whoever was to pass on the acknowledgement was lost.
		t.emit(Acknowledge{Worker: w.ID, Incarnation: w.ReportedIncarnation, Number: w.AckedEnd})
	}
	for _, end := range r.Ended {
		if end.Number <= last {
			continue
		}
		t.handleEnd(w, end)
		w, _ = t.fleet.get(w.ID)
		w = w.WithEnd(end.Number, t.nextBatch())
		t.setWorker(w)
	}
	if w.LastEnd > last {
		t.awaitCommit(t.nextBatch(), w.ID, "")
	}
}

// acknowledge lets a worker forget the ends whose records are in the log, up to a
// batch.
func (t *transition) acknowledge(w Worker, batch int64) {
	w = w.WithAcked(batch)
	t.setWorker(w)
	t.emit(Acknowledge{Worker: w.ID, Incarnation: w.ReportedIncarnation, Number: w.AckedEnd})
}

// handleRunning processes the runs that a report lists as running and returns
// their keys.
func (t *transition) handleRunning(id string, e Reported) map[string]bool {
	listed := make(map[string]bool, len(e.Report.Running))
	w, _ := t.fleet.get(id)
	for _, r := range e.Report.Running {
		key := runKey(r.Task, r.Number)
		listed[key] = true
		p, ok := w.Placements.Get(key)
		if !ok {
			t.setWorker(w)
			w = t.stopUnexpected(w, r)
			continue
		}
		p = p.WithReport(r, t.now)
		switch p.Stage {
		case Inherited:
			p = t.adopt(w, p)
		case StartSent:
			p = p.WithStage(Running).WithAnswer(t.now)
			p.StartedAt = t.now
		}
		w = w.WithPlacement(p)
		if p.Stage == Running {
			w = t.superviseRun(w, p)
		}
	}
	t.setWorker(w)
	return listed
}

// superviseRun stops a reported run that should not go on, and returns the worker.
func (t *transition) superviseRun(w Worker, p Placement) Worker {
	job, known := t.active.get(string(p.Task.Job))
	if !known || job.Progress.State.Final() {
		return t.stopRun(w, p, "its job has ended")
	}
	step := job.Job.Steps[p.Task.Step]
	if !step.Gang && !unfinished(job.Progress, p.Task) { // the members of a gang end together
		return t.stopRun(w, p, "another run of the task is done")
	}
	if w = t.moveStraggler(w, p, step); w.stopping(p.key()) {
		return w
	}
	return t.stopIfHung(w, p, job)
}

// unfinished reports whether a task is part of a round in progress and not done.
func unfinished(p ledger.Progress, id ledger.TaskID) bool {
	return p.HasTask(id) && p.Task(id.Round, id.Step, id.Index).Phase != ledger.Done
}

// adopt returns the placement of a run that an earlier leader started and that the
// worker reports as running.
func (t *transition) adopt(w Worker, p Placement) Placement {
	p = p.WithStage(Running).WithAnswer(t.now)
	p.StartedAt = t.now
	if p.BestEffort && w.ServingRuns > 0 {
		p = p.WithThrottle(p.Throttle.WithSpeedPercent(takeoverSpeed))
	}
	return p
}

// stopUnexpected stops a run that has no placement. The run gets one, so that it
// occupies capacity until it has ended. It returns the worker.
func (t *transition) stopUnexpected(w Worker, r RunStatus) Worker {
	id, err := ledger.ParseTaskID(r.Task)
	if err != nil {
		t.emit(Decision{What: "ignore", Task: r.Task, Worker: w.ID, Why: err.Error()})
		return w
	}
	p := Placement{Task: id, Run: r.Number, Stage: Running, AnsweredAt: t.now, StartedAt: t.now, Checkpoint: r.Checkpoint}
	job, ok := t.active.get(string(id.Job))
	if p.Orphan = !ok; ok && id.Step < len(job.Job.Steps) {
		p.Size, p.Workspace = job.Job.Steps[id.Step].Reservation(), job.Job.Workspace
	}
	w = t.putPlacement(w, p)
	return t.stopRun(w, p, "the run has no placement")
}

// loseAbsent gives up the runs that a report does not list although it would if
// they were still running.
func (t *transition) loseAbsent(id string, e Reported, listed map[string]bool, restarted bool) {
	if len(e.Report.Ended) >= maxReportedEnds {
		return
	}
	w, _ := t.fleet.get(id)
	for key, p := range w.Placements.All() {
		if listed[key] {
			continue
		}
		var over bool
		switch p.Stage {
		case Inherited:
			over = true // a start sent by an earlier leader can no longer arrive
		case Running, Stopping:
			over = restarted || !p.AnsweredAt.IsZero() && e.Sent.After(p.AnsweredAt)
		}
		if over {
			w = t.loseRun(w, p, "not in the worker's report")
		}
	}
}

func (e OrderAnswered) apply(t *transition) {
	w, ok := t.fleet.get(e.Worker)
	if !ok {
		return
	}
	p, ok := w.Placements.Get(runKey(e.Task.String(), e.Run))
	if !ok {
		return
	}
	at := e.At
	if at.IsZero() {
		at = t.now
	}
	switch e.Kind {
	case OrderStart:
		t.handleStartOutcome(w, p, e.Outcome, at)
	case OrderStop:
		if e.Outcome == Executed && p.Stage == Stopping {
			t.putPlacement(w, p.WithAnswer(at))
			t.emit(PollNow{Worker: w.ID})
		}
	case OrderThrottle:
		t.handleSpeedOutcome(w, p, e.Outcome)
	}
}

// handleStartOutcome processes the outcome of a start order.
func (t *transition) handleStartOutcome(w Worker, p Placement, o Outcome, at time.Time) {
	if p.Stage == Stopping && (o == Refused || o == InvalidTicket || o == InsufficientCapacity || o == NotSent) {
		t.loseRun(w, p, startFailure(o))
		return
	}
	if p.Stage != StartSent {
		return
	}
	switch o {
	case Executed:
		t.noteStart(p)
		p = p.WithStage(Running).WithAnswer(at)
		p.StartedAt = t.now
		t.putPlacement(w, p)
	case OutcomeUnknown:
		t.stopRun(w, p, "start was not answered")
		t.stopGang(p)
	default:
		t.handleRefusal(w, p, o)
	}
}

// handleRefusal processes a start that the worker did not carry out.
func (t *transition) handleRefusal(w Worker, p Placement, o Outcome) {
	switch o {
	case InvalidTicket:
		key := stepKey(p.Task.Job, p.Task.Round, p.Task.Step)
		if have, ok := t.permits.Get(key); ok {
			t.permits = t.permits.With(key, have.without(w.ID))
		}
	case StaleRun, InsufficientCapacity:
		t.emit(PollNow{Worker: w.ID})
	case Refused:
		t.exclude(w, "refused a start")
	}
	t.stopGang(p)
	w, _ = t.fleet.get(w.ID) // stopGang may have changed it
	t.loseRun(w, p, startFailure(o))
}

// startFailure returns why a run is over whose start had an outcome.
func startFailure(o Outcome) string {
	if o == NotSent {
		return "the start was not sent"
	}
	return "worker refused the start"
}

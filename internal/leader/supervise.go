package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// hangTimeout is how long a run may make no progress before it counts as hung.
	// Reports arrive at least every two seconds.
	hangTimeout = 2500 * time.Millisecond
	// excludeAfterFailures is how many consecutive failed runs of different jobs
	// exclude a worker. One may be the fault of a job that fails everywhere.
	excludeAfterFailures = 2
	// minExclusion and maxExclusion bound how long an excluded worker gets no new
	// tasks. Each exclusion is twice as long as the last; the first is long enough
	// for its next runs to have shown what is wrong.
	minExclusion = 3 * time.Second
	maxExclusion = 24 * time.Second
	// maxExcludedShare bounds the fraction of workers excluded at a time, so that
	// jobs that fail everywhere cannot exclude the whole cell.
	maxExcludedShare = 0.34
	// maxPriority is the largest priority number, hence the lowest priority, whose
	// late steps are demoted. The platform's queues use three priorities.
	maxPriority = 16
)

func (e Ticked) apply(t *transition) {
	t.placementDue = true
	if !e.Sent.IsZero() {
		t.adjustPace(e.Sent)
	}
	for id, at := range t.dueRounds.From(minScore) {
		if at > t.now.UnixMilli() {
			break
		}
		t.beginDueRounds(ledger.ID(id))
		t.rankSteps(ledger.ID(id))
	}
	t.demoteLate()
	t.failCalls(func(a adviceCall) bool { return t.now.Sub(a.sent) > a.estimate+callTimeoutSlack })
	for _, w := range t.fleet.all() {
		t.checkWorker(w)
	}
}

// demoteLate ranks waiting steps that can no longer meet their objective behind
// those of the same priority that can.
func (t *transition) demoteLate() {
	var late []ledger.ID
	seen := map[ledger.ID]bool{}
	for priority := range int64(maxPriority + 1) {
		for key, score := range t.waiting.From(priority * priorityWeight) {
			if score >= priority*priorityWeight+min(t.now.Add(t.lateMargin()).UnixMilli(), latePenalty) {
				break
			}
			if id, err := ledger.ParseTaskID(key + ".0"); err == nil && !seen[id.Job] {
				seen[id.Job] = true
				late = append(late, id.Job)
			}
		}
	}
	for _, id := range late {
		t.rankSteps(id)
	}
}

// checkWorker expires the leases of an unreachable worker and resends unanswered stops
// and unconfirmed speeds to a reachable one.
func (t *transition) checkWorker(w Worker) {
	if w.Reachability != Reachable {
		t.expireLeases(w)
		return
	}
	t.sendSpeeds(w)
	w, _ = t.fleet.get(w.ID)
	if w.StoppingRuns == 0 {
		return
	}
	for _, p := range w.Placements.All() {
		if p.Stage == Stopping && p.AnsweredAt.IsZero() && t.now.Sub(p.SentAt) > stopRetryInterval {
			w = t.putPlacement(w, p.WithSent(t.now))
			t.emit(w.order(OrderStop, p))
		}
	}
}

// stopIfHung stops a run that makes no progress, according to a report that lists it,
// and returns the worker. The worker is excluded, unless the run is that of a gang's member
// which waits for another one.
func (t *transition) stopIfHung(w Worker, p Placement, job ActiveJob) Worker {
	step := job.Job.Steps[p.Task.Step]
	if !t.hung(p, step) {
		return w
	}
	w = t.stopRun(w, p, "makes no progress")
	if step.Gang && t.lacksMember(job, p) {
		return w
	}
	return t.exclude(w, "a task makes no progress")
}

// hung reports whether a run that is expected to progress steadily makes no
// progress. Long-running and best-effort tasks are not.
func (t *transition) hung(p Placement, step ledger.Step) bool {
	if step.LongRunning || step.BestEffort || p.ProgressedAt.IsZero() || p.Percent >= fullPercent {
		return false
	}
	return t.now.Sub(p.ProgressedAt) > hangTimeout
}

// trackFailures counts the consecutive failed runs of a worker and excludes it
// temporarily if runs of several jobs fail there.
func (t *transition) trackFailures(id string, job ActiveJob, task ledger.TaskID, e RunEnd) {
	w, ok := t.fleet.get(id)
	if !ok {
		return
	}
	switch e.Kind {
	case EndDone:
		t.endFailures(id)
	case EndFailed:
		if job.Job.Steps[task.Step].LongRunning || w.LastFailedJob == job.Job.ID {
			return
		}
		w.ConsecutiveFailures, w.LastFailedJob = w.ConsecutiveFailures+1, job.Job.ID
		t.setWorker(w)
		if w.ConsecutiveFailures >= excludeAfterFailures {
			t.exclude(w, "runs of several jobs failed")
		}
	}
}

// endFailures starts the count of a worker's consecutive failures anew after a completed run.
func (t *transition) endFailures(id string) {
	if w, ok := t.fleet.get(id); ok {
		w.ConsecutiveFailures, w.ExclusionTime, w.LastFailedJob = 0, 0, ""
		t.setWorker(w)
	}
}

// exclude bars a worker from new tasks temporarily, unless it is excluded already
// or too many others are, and returns the worker.
func (t *transition) exclude(w Worker, why string) Worker {
	listed, excluded := 0, 0
	for _, other := range t.fleet.all() {
		if other.Listed {
			listed++
			if t.now.Before(other.ExcludedUntil) {
				excluded++
			}
		}
	}
	if t.now.Before(w.ExcludedUntil) || float64(excluded+1) > maxExcludedShare*float64(listed) {
		return w
	}
	duration := min(max(2*w.ExclusionTime, minExclusion), maxExclusion)
	w = w.WithExclusion(t.now.Add(duration), duration)
	t.setWorker(w)
	t.emit(Decision{What: "exclude", Worker: w.ID, Why: why + ", for " + duration.String()})
	return w
}

// withdrawStarts has those starts at a worker given up that have not been sent.
func (t *transition) withdrawStarts(w Worker) {
	if w.StartingRuns == 0 {
		return
	}
	for _, p := range w.Placements.All() {
		if p.Stage == StartSent {
			t.emit(Withdraw{Worker: w.ID, Task: p.Task, Run: p.Run})
		}
	}
}

// drain stops the runs that would be lost when a draining worker leaves. Runs
// estimated to end before that continue. Starts that have not been sent are given up.
func (t *transition) drain(w Worker) {
	t.withdrawStarts(w)
	for _, p := range w.Placements.All() {
		job, ok := t.active.get(string(p.Task.Job))
		if !ok || p.Stage != Running && p.Stage != Inherited {
			continue
		}
		spec := job.Job.Steps[p.Task.Step]
		task := job.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index)
		left := w.LeavesAt.Sub(t.now)
		if spec.LongRunning || t.remainingTime(p.Task, task, spec.Estimate) > left {
			w = t.stopRun(w, p, "its worker leaves")
		}
	}
}

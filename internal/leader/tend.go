package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// hangTimeout is how long a run may make no progress before it counts as
	// hanging. A report comes at least every two seconds.
	hangTimeout = 2500 * time.Millisecond
	// excludeAfterFailures is how many failed runs of different jobs in a row exclude a
	// worker: one may be the fault of a job that fails everywhere.
	excludeAfterFailures = 2
	// minExclusion and longestExclusion bound how long a worker that fails
	// what it starts takes no new tasks. Each exclusion doubles the last; the
	// first is long enough for its next runs to have shown what is wrong.
	minExclusion = 3 * time.Second
	maxExclusion = 24 * time.Second
	// maxExcludedShare bounds the share of the workers that are excluded, so that
	// jobs which fail everywhere do not empty the cell.
	maxExcludedShare = 0.34
	// maxPriority is the lowest priority whose late steps are put behind the
	// others; the platform's queues use three.
	maxPriority = 16
	// fullSpeed is the pace of an unhindered task, in percent.
	fullSpeed = 100
	// speedStep is by how many percent a paced task speeds up at a report: it is
	// slowed down by half, and speeds up in about seven.
	speedStep = 15
	// throttleAbove and lowShare of a response target slow filling tasks down and
	// speed them up. A report may be two seconds old, half of the time that a
	// target may be missed.
	throttleAbove = 0.8
	restoreBelow  = 0.5
)

func (Ticked) apply(t *transition) {
	t.placementDue = true
	for id, at := range t.dueRounds.From(minScore) {
		if at > t.now.UnixMilli() {
			break
		}
		t.beginDueRounds(ledger.ID(id))
		t.rankSteps(ledger.ID(id))
	}
	t.demoteLate()
	t.failCalls(func(a adviceCall) bool { return t.now.Sub(a.sent) > a.estimate+callTimeoutSlack })
	for _, w := range t.workers.All() {
		t.checkWorker(w)
	}
}

// demoteLate puts waiting steps that can't make their objective any more behind
// those of their priority that can.
func (t *transition) demoteLate() {
	var late []ledger.ID
	for priority := range int64(maxPriority + 1) {
		for key, score := range t.waiting.From(priority * priorityWeight) {
			if score >= priority*priorityWeight+min(t.now.UnixMilli(), latePenalty) {
				break
			}
			if id, err := ledger.ParseTask(key + ".0"); err == nil {
				late = append(late, id.Job)
			}
		}
	}
	for _, id := range late {
		t.rankSteps(id)
	}
}

// checkWorker looks after one worker as time passes.
func (t *transition) checkWorker(w Worker) {
	if w.Reachability != Reachable {
		t.expireLeases(w)
		return
	}
	for _, p := range w.Placements.All() {
		switch {
		case p.Stage == Stopping && p.AnsweredAt.IsZero() && t.now.Sub(p.SentAt) > stopRetryInterval:
			w = t.putPlacement(w, p.WithSent(t.now))
			t.emit(Order{Worker: w.ID, Address: w.Address, Kind: OrderStop, Task: p.Task, Run: p.Run})
		case p.Stage == Running && t.hung(p):
			w = t.stopRun(w, p, "makes no progress")
			w = t.exclude(w, "a task makes no progress")
		}
	}
}

// hung reports whether a run stands still although nothing slows it down.
func (t *transition) hung(p Placement) bool {
	work, ok := t.jobs.Get(string(p.Task.Job))
	if !ok {
		return false
	}
	spec := work.Job.Steps[p.Task.Step]
	if spec.Lasting || spec.Fills || p.ProgressedAt.IsZero() || p.Percent >= 100 {
		return false
	}
	w, _ := t.workers.Get(work.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index).Worker)
	return w.ReportedAt.Sub(p.ProgressedAt) > hangTimeout
}

// trackFailures counts the failed runs of a worker and excludes it for a time if it
// seems to fail everything.
func (t *transition) trackFailures(id string, work ActiveJob, task ledger.TaskID, e End) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	switch e.How {
	case EndDone:
		w.ConsecutiveFailures, w.ExclusionTime, w.LastFailedJob = 0, 0, ""
		t.setWorker(w)
	case EndFailed:
		if work.Job.Steps[task.Step].Lasting || w.LastFailedJob == work.Job.ID {
			return
		}
		w.ConsecutiveFailures, w.LastFailedJob = w.ConsecutiveFailures+1, work.Job.ID
		t.setWorker(w)
		if w.ConsecutiveFailures >= excludeAfterFailures {
			t.exclude(w, "runs of several jobs failed")
		}
	}
}

// exclude keeps new tasks from a worker for a time, unless too many are
// excluded already.
func (t *transition) exclude(w Worker, why string) Worker {
	listed, excluded := 0, 0
	for _, other := range t.workers.All() {
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
	length := min(max(2*w.ExclusionTime, minExclusion), maxExclusion)
	w = w.WithExclusion(t.now.Add(length), length)
	t.setWorker(w)
	t.emit(Note{What: "exclude", Worker: w.ID, Why: why + ", for " + length.String()})
	return w
}

// drain stops what would be lost when a draining worker leaves. Runs that
// end before that go on.
func (t *transition) drain(w Worker) {
	for _, p := range w.Placements.All() {
		work, ok := t.jobs.Get(string(p.Task.Job))
		if !ok || p.Stage != Running && p.Stage != Inherited {
			continue
		}
		spec := work.Job.Steps[p.Task.Step]
		task := work.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index)
		left := w.LeavesAt.Sub(t.now)
		if spec.Lasting || t.remainingTime(p.Task, task, spec.Estimate) > left {
			w = t.stopRun(w, p, "its worker leaves")
		}
	}
}

// throttle slows filling tasks down beside tasks whose response times come near
// their target, and speeds them up again when these are well below.
func (t *transition) throttle(w Worker) {
	load := 0.0
	filling := false
	for _, p := range w.Placements.All() {
		if p.Stage != Running {
			continue
		}
		filling = filling || p.BestEffort
		if p.LatencyTarget > 0 {
			load = max(load, float64(p.Measurement)/float64(p.LatencyTarget.Milliseconds()))
		}
	}
	if !filling {
		return
	}
	for _, p := range w.Placements.All() {
		if !p.BestEffort || p.Stage != Running {
			continue
		}
		percent := p.SpeedPercent
		switch {
		case load >= 1:
			percent = 0
		case load >= throttleAbove:
			percent /= 2
		case load < restoreBelow:
			percent = min(percent+speedStep, fullSpeed)
		}
		if percent == p.SpeedPercent {
			continue
		}
		w = t.putPlacement(w, p.WithSpeed(percent))
		t.emit(Order{Worker: w.ID, Address: w.Address, Kind: OrderPace, Task: p.Task, Run: p.Run, Percent: percent})
	}
}

package leader

import (
	"fmt"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// slownessWeight is the weight of one run in what is known of a worker's
	// speed: about seven runs make up most of it.
	slownessWeight = 0.15
	// stragglerWeight is the same for a run that is seen to straggle: two such
	// runs exclude a worker.
	stragglerWeight = 0.4
	// meanRatioWeight is the weight of one run in what is known of all workers.
	meanRatioWeight = 0.02
	// minSampleRuns is how many runs of a step have to have ended before another one
	// is compared to them.
	minSampleRuns = 2
	// maxSlowness is how many times as long as elsewhere runs at a worker may take
	// before it takes no new tasks for a time. Sound workers differ by less.
	maxSlowness = 2.5
	// maxRatio bounds what one run tells: its siblings may have been short.
	maxRatio = 6
	// restartTime is what stopping a run and starting it elsewhere takes beside its
	// work: a stop may take 0.9 s, most take less.
	restartTime = 600 * time.Millisecond
	// maxMovedRun bounds how often a task is moved because it straggles.
	maxMovedRun = 3
)

// runTimeSum sums up how long the runs of a step took that ended well, as they would
// have on a worker of usual speed.
type runTimeSum struct {
	runs int
	sum  time.Duration
}

// mean returns how long a run takes on a worker of mean speed, or 0 if too
// few have ended.
func (m runTimeSum) mean() time.Duration {
	if m.runs < minSampleRuns {
		return 0
	}
	return m.sum / time.Duration(m.runs)
}

// with returns the meter with one more run at a worker.
func (m runTimeSum) with(took time.Duration, slowness float64) runTimeSum {
	m.runs++
	m.sum += time.Duration(float64(took) / slowness)
	return m
}

// slowness returns how many times as long as usual runs at the worker take.
func (w Worker) slowness() float64 {
	if w.Slowness == 0 {
		return 1
	}
	return w.Slowness
}

// WithRunRatio returns the worker with a run that took a number of times as long
// as its siblings elsewhere.
func (w Worker) WithRunRatio(ratio, weight float64) Worker {
	w.Slowness = w.slowness() + weight*(min(ratio, maxRatio)-w.slowness())
	return w
}

// recordRunTime compares a run that ended well with its siblings. The tasks of a step
// are alike, so one that took longer tells of a slow worker.
func (t *transition) recordRunTime(id string, p Placement, step ledger.Step) {
	w, ok := t.workers.Get(id)
	if !ok || !p.FromStart || p.StartedAt.IsZero() || step.Lasting || step.Gang || step.Fills {
		return
	}
	key := stepKey(p.Task.Job, p.Task.Round, p.Task.Step)
	m, _ := t.runTimes.Get(key)
	took := t.now.Sub(p.StartedAt)
	if usual := m.mean(); usual > 0 {
		ratio := float64(took) / float64(usual)
		t.meanRatio += meanRatioWeight * (min(ratio, maxRatio) - t.meanRatio)
		w = w.WithRunRatio(ratio, slownessWeight)
		t.setWorker(w)
		w = t.excludeIfSlow(w)
	}
	t.runTimes = t.runTimes.With(key, m.with(took, w.slowness()))
}

// stragglerRatio reports whether a run is far behind its siblings, half of which
// have ended, and by how much. Its worker tells how much of it is done.
func (t *transition) stragglerRatio(p Placement, step ledger.Step) (float64, bool) {
	if !p.FromStart || p.StartedAt.IsZero() || step.Lasting || step.Gang || step.Fills {
		return 0, false
	}
	m, _ := t.runTimes.Get(stepKey(p.Task.Job, p.Task.Round, p.Task.Step))
	usual := m.mean()
	if usual == 0 || 2*m.runs < step.Count {
		return 0, false
	}
	elapsed := t.now.Sub(p.StartedAt)
	if elapsed < usual {
		return 0, false
	}
	whole := maxRatio * usual
	if p.Percent > 0 {
		whole = min(whole, elapsed*fullPercent/time.Duration(p.Percent))
	}
	ratio := float64(whole) / float64(usual)
	return ratio, ratio > maxSlowness*t.baselineRatio() && whole-elapsed > usual+restartTime
}

// fullPercent is what a worker tells of a run whose work is done.
const fullPercent = 100

// baselineRatio returns how runs compare to their siblings in general. A log or
// a leader that is slow makes all of them look slow.
func (t *transition) baselineRatio() float64 { return max(t.meanRatio, 1) }

// moveStraggler stops a run that straggles, so that it starts elsewhere.
func (t *transition) moveStraggler(w Worker, p Placement, step ledger.Step) Worker {
	ratio, far := t.stragglerRatio(p, step)
	if !far {
		return w
	}
	w = w.WithRunRatio(ratio, stragglerWeight)
	t.setWorker(w)
	if p.Run < maxMovedRun {
		w = t.stopRun(w, p, "it straggles behind the other tasks of its step")
	}
	return t.excludeIfSlow(w)
}

// excludeIfSlow keeps new tasks from a worker that is far slower than the others.
func (t *transition) excludeIfSlow(w Worker) Worker {
	if w.slowness() < maxSlowness*t.baselineRatio() {
		return w
	}
	return t.exclude(w, fmt.Sprintf("runs take %.1f times as long as elsewhere", w.slowness()))
}

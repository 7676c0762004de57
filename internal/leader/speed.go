package leader

import (
	"fmt"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// slownessWeight is the weight of one run in the moving average of a worker's
	// slowness: about seven runs make up most of it.
	slownessWeight = 0.15
	// stragglerWeight is the same weight for a straggling run: two such runs exclude
	// a worker.
	stragglerWeight = 0.4
	// meanRatioWeight is the weight of one run in the moving average over all
	// workers.
	meanRatioWeight = 0.02
	// minSampleRuns is how many runs of a step must have ended before others are
	// compared to them.
	minSampleRuns = 2
	// maxSlowness is the slowness, relative to all workers, from which a worker is
	// excluded temporarily. Healthy workers differ by less.
	maxSlowness = 2.5
	// maxRatio bounds the ratio taken from one run, as the mean of its step may be
	// unusually short.
	maxRatio = 6
	// restartTime is the overhead of stopping a run and starting it elsewhere. A stop
	// may take 0.9 s; most take less.
	restartTime = 600 * time.Millisecond
	// maxMovedRun bounds how often a straggling task is moved: the run with this
	// number and later ones stay.
	maxMovedRun = 3
)

// runTimeSum accumulates the run times of the completed runs of a step, each
// normalized to a worker of average speed.
type runTimeSum struct {
	runs int
	sum  time.Duration
}

// mean returns the mean run time on a worker of average speed, or 0 if too few runs
// have completed.
func (m runTimeSum) mean() time.Duration {
	if m.runs < minSampleRuns {
		return 0
	}
	return m.sum / time.Duration(m.runs)
}

// with returns the sum with a run added that took the given time on a worker of the
// given slowness.
func (m runTimeSum) with(took time.Duration, slowness float64) runTimeSum {
	m.runs++
	m.sum += time.Duration(float64(took) / slowness)
	return m
}

// slowness returns the run time on the worker relative to the average, 1 if not
// known.
func (w Worker) slowness() float64 {
	if w.Slowness == 0 {
		return 1
	}
	return w.Slowness
}

// WithRunRatio returns the worker with a run added to its slowness. Ratio is the
// run's time relative to the mean of its step.
func (w Worker) WithRunRatio(ratio, weight float64) Worker {
	w.Slowness = w.slowness() + weight*(min(ratio, maxRatio)-w.slowness())
	return w
}

// recordRunTime compares the time of a completed run with the mean of its step. The
// tasks of a step are alike, so a longer run indicates a slow worker.
func (t *transition) recordRunTime(id string, p Placement, step ledger.Step, queue string) {
	w, ok := t.fleet.get(id)
	if !ok || !p.FromStart || p.StartedAt.IsZero() || step.LongRunning || step.Gang || step.BestEffort {
		return
	}
	key := stepKey(p.Task.Job, p.Task.Round, p.Task.Step)
	m, _ := t.runTimes.Get(key)
	took := time.Duration(float64(t.now.Sub(p.StartedAt)) / t.far(step, w.Rack))
	if mean := m.mean(); mean > 0 {
		ratio := float64(took) / float64(mean)
		t.meanRatio += meanRatioWeight * (min(ratio, maxRatio) - t.meanRatio)
		w = w.WithRunRatio(ratio, slownessWeight)
		t.setWorker(w)
		w = t.excludeIfSlow(w)
	}
	t.runTimes = t.runTimes.With(key, m.with(took, w.slowness()))
	t.learnKind(step, queue, time.Duration(float64(took)/t.relativeSlowness(w)))
}

// stragglerRatio estimates the time of a run relative to the mean of its step, from
// the progress that its worker reports, and reports whether the run straggles. A
// run is judged only after at least half of the tasks of its step have completed.
func (t *transition) stragglerRatio(w Worker, p Placement, step ledger.Step) (float64, bool) {
	if !p.FromStart || p.StartedAt.IsZero() || step.LongRunning || step.Gang || step.BestEffort {
		return 0, false
	}
	m, _ := t.runTimes.Get(stepKey(p.Task.Job, p.Task.Round, p.Task.Step))
	mean := time.Duration(float64(m.mean()) * t.far(step, w.Rack))
	if mean == 0 || 2*m.runs < step.Count {
		return 0, false
	}
	elapsed := t.now.Sub(p.StartedAt)
	if elapsed < mean {
		return 0, false
	}
	total := maxRatio * mean
	if p.Percent > 0 {
		total = min(total, elapsed*fullPercent/time.Duration(p.Percent))
	}
	ratio := float64(total) / float64(mean)
	return ratio, ratio > maxSlowness*t.baselineRatio() && total-elapsed > mean+restartTime
}

// fullPercent is the progress of a run whose work is done.
const fullPercent = 100

// baselineRatio returns the average ratio of all runs, at least 1. A slow log or
// leader delays all runs, which then must not count as straggling.
func (t *transition) baselineRatio() float64 { return max(t.meanRatio, 1) }

// moveStraggler stops a straggling run, so that its task starts elsewhere, and
// returns the worker. A run that is not stopped counts once, however often it is reported.
func (t *transition) moveStraggler(w Worker, p Placement, step ledger.Step) Worker {
	ratio, straggling := t.stragglerRatio(w, p, step)
	if !straggling || p.Straggles {
		return w
	}
	p.Straggles = true
	w = w.WithPlacement(p).WithRunRatio(ratio, stragglerWeight)
	t.setWorker(w)
	if p.Run < maxMovedRun {
		w = t.stopRun(w, p, "straggles behind the other tasks of its step")
	}
	return t.excludeIfSlow(w)
}

// excludeIfSlow excludes a worker that is far slower than the others and returns
// the worker.
func (t *transition) excludeIfSlow(w Worker) Worker {
	if w.slowness() < maxSlowness*t.baselineRatio() {
		return w
	}
	return t.exclude(w, fmt.Sprintf("runs take %.1f times as long as elsewhere", w.slowness()))
}

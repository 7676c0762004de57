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
	// straggleWeight is the same for a run that is seen to straggle: two such
	// runs exclude a worker.
	straggleWeight = 0.4
	// typicalWeight is the weight of one run in what is known of all workers.
	typicalWeight = 0.02
	// meterRuns is how many runs of a step have to have ended before another one
	// is compared to them.
	meterRuns = 2
	// slowest is how many times as long as elsewhere runs at a worker may take
	// before it takes no new tasks for a time. Sound workers differ by less.
	slowest = 2.5
	// longestRatio bounds what one run tells: its siblings may have been short.
	longestRatio = 6
	// moveTime is what stopping a run and starting it elsewhere takes beside its
	// work: a stop may take 0.9 s, most take less.
	moveTime = 600 * time.Millisecond
	// moveRuns bounds how often a task is moved because it straggles.
	moveRuns = 3
)

// meter sums up how long the runs of a step took that ended well, as they would
// have on a worker of usual speed.
type meter struct {
	runs int
	sum  time.Duration
}

// usual returns how long a run takes on a worker of usual speed, or 0 if too
// few have ended.
func (m meter) usual() time.Duration {
	if m.runs < meterRuns {
		return 0
	}
	return m.sum / time.Duration(m.runs)
}

// with returns the meter with one more run at a worker.
func (m meter) with(took time.Duration, slowness float64) meter {
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

// WithRatio returns the worker with a run that took a number of times as long
// as its siblings elsewhere.
func (w Worker) WithRatio(ratio, weight float64) Worker {
	w.Slowness = w.slowness() + weight*(min(ratio, longestRatio)-w.slowness())
	return w
}

// timed compares a run that ended well with its siblings. The tasks of a step
// are alike, so one that took longer tells of a slow worker.
func (t *turn) timed(id string, p Placement, step ledger.Step) {
	w, ok := t.workers.Get(id)
	if !ok || !p.Whole || p.Began.IsZero() || step.Lasting || step.Gang || step.Fills {
		return
	}
	key := stepKey(p.Task.Job, p.Task.Round, p.Task.Step)
	m, _ := t.meters.Get(key)
	took := t.now.Sub(p.Began)
	if usual := m.usual(); usual > 0 {
		ratio := float64(took) / float64(usual)
		t.typical += typicalWeight * (min(ratio, longestRatio) - t.typical)
		w = w.WithRatio(ratio, slownessWeight)
		t.setWorker(w)
		w = t.judgeSpeed(w)
	}
	t.meters = t.meters.With(key, m.with(took, w.slowness()))
}

// straggles reports whether a run is far behind its siblings, half of which
// have ended, and by how much. Its worker tells how much of it is done.
func (t *turn) straggles(p Placement, step ledger.Step) (float64, bool) {
	if !p.Whole || p.Began.IsZero() || step.Lasting || step.Gang || step.Fills {
		return 0, false
	}
	m, _ := t.meters.Get(stepKey(p.Task.Job, p.Task.Round, p.Task.Step))
	usual := m.usual()
	if usual == 0 || 2*m.runs < step.Count {
		return 0, false
	}
	elapsed := t.now.Sub(p.Began)
	if elapsed < usual {
		return 0, false
	}
	whole := longestRatio * usual
	if p.Percent > 0 {
		whole = min(whole, elapsed*fullPercent/time.Duration(p.Percent))
	}
	ratio := float64(whole) / float64(usual)
	return ratio, ratio > slowest*t.typicalRatio() && whole-elapsed > usual+moveTime
}

// fullPercent is what a worker tells of a run whose work is done.
const fullPercent = 100

// typicalRatio returns how runs compare to their siblings in general. A log or
// a leader that is slow makes all of them look slow.
func (t *turn) typicalRatio() float64 { return max(t.typical, 1) }

// overtake stops a run that straggles, so that it starts elsewhere.
func (t *turn) overtake(w Worker, p Placement, step ledger.Step) Worker {
	ratio, far := t.straggles(p, step)
	if !far {
		return w
	}
	w = w.WithRatio(ratio, straggleWeight)
	t.setWorker(w)
	if p.Run < moveRuns {
		w = t.stop(w, p, "it straggles behind the other tasks of its step")
	}
	return t.judgeSpeed(w)
}

// judgeSpeed keeps new tasks from a worker that is far slower than the others.
func (t *turn) judgeSpeed(w Worker) Worker {
	if w.slowness() < slowest*t.typicalRatio() {
		return w
	}
	return t.exclude(w, fmt.Sprintf("runs take %.1f times as long as elsewhere", w.slowness()))
}

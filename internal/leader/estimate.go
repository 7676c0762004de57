package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// kindWeight is the weight of one run in what is learnt of the runs of its kind.
	kindWeight = 0.05
	// maxKinds bounds the images and queues of which it is kept.
	maxKinds = 1024
)

// kindTimes is what is learnt from the runs of an image or a queue, each normalized to a
// worker of average speed near the data: their mean, and how far runs are from the mean and
// from their estimates, as mean squares in seconds.
type kindTimes struct {
	runs          float64
	mean          float64
	meanError     float64
	estimateError float64
}

// WithRun returns what is known after a run.
func (k kindTimes) WithRun(took, estimate time.Duration) kindTimes {
	run := took.Seconds()
	square := func(x float64) float64 { return x * x }
	k.runs++
	weight := max(kindWeight, 1/k.runs)
	if k.runs > 1 {
		k.meanError += weight * (square(run-k.mean) - k.meanError)
		k.estimateError += weight * (square(run-estimate.Seconds()) - k.estimateError)
	}
	k.mean += weight * (run - k.mean)
	return k
}

// expect returns the expected time of a run: between its estimate and the mean of its kind,
// nearer to what has been off by less.
func (k kindTimes) expect(estimate time.Duration) time.Duration {
	all := k.meanError + k.estimateError
	if all == 0 {
		return estimate
	}
	seconds := (estimate.Seconds()*k.meanError + k.mean*k.estimateError) / all
	return time.Duration(seconds * float64(time.Second))
}

// relativeSlowness returns the run time on a worker relative to the average of all. The tasks
// of a step that end first are short, so that what follows is slower than they suggest, and
// the slowness of all workers rises; only its ratio to their average tells them apart.
func (t *transition) relativeSlowness(w Worker) float64 { return w.slowness() / t.baselineRatio() }

// kindKey returns under which name the run times of a step are learnt: tasks of an image
// behave alike.
func kindKey(s *ledger.Step, queue string) string {
	if s.Image != "" {
		return "image " + s.Image
	}
	return "queue " + queue
}

// learnKind learns from a run, whose time is that on an average worker near the data.
func (t *transition) learnKind(s ledger.Step, queue string, took time.Duration) {
	if s.Estimate <= 0 || t.policy.Far <= 1 {
		return
	}
	key := kindKey(&s, queue)
	kind, known := t.kinds.Get(key)
	if known || t.kinds.Len() < maxKinds {
		t.kinds = t.kinds.With(key, kind.WithRun(took, s.Estimate))
	}
}

// runTime returns the expected time of a step's tasks on an average worker near the data: the
// mean of those that have completed, or the estimate corrected by others of its kind.
func (t *transition) runTime(key string, s *ledger.Step, queue string) time.Duration {
	if m, ok := t.runTimes.Get(key); ok && m.mean() > 0 {
		return time.Duration(float64(m.mean()) * t.baselineRatio())
	}
	kind, _ := t.kinds.Get(kindKey(s, queue))
	return kind.expect(s.Estimate)
}

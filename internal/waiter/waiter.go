// Package waiter decides whether a task that could start at once waits for a place where it
// runs faster: near its data, or beside the rest of its gang. It knows neither jobs nor
// workers; package leader passes in what is known of both.
//
// Choice is the decision, Openings the estimate of when places become free.
package waiter

import "time"

const (
	// MaxIdleWait bounds the waits of a step while nothing of its job runs. Such a job counts
	// as lost after 3 s in which there is capacity for it; advice before the wait, and a
	// leader that takes over in it and begins anew, must fit into that time too.
	MaxIdleWait = time.Second
	// MaxWait bounds the waits of a step while other tasks of its job run. What is known of a
	// rack says little about a time further ahead.
	MaxWait = 5 * time.Second
)

// Choice is what is known when a task could start, but only where it takes longer.
type Choice struct {
	Near   time.Duration // estimated run time at the wanted place
	Far    float64       // how many times as long it takes elsewhere; 1 or less means that places do not matter
	Waited time.Duration // time waited so far although the task could have started
	Slack  time.Duration // time after which a run at the wanted place misses the objective
	Idle   bool          // nothing of the job runs
}

// Gain returns how much shorter the run is at the wanted place.
func (c Choice) Gain() time.Duration {
	if c.Far <= 1 || c.Near <= 0 {
		return 0
	}
	return time.Duration((c.Far - 1) * float64(c.Near))
}

// Budget returns how much longer the task may wait at most. All waits together take no longer
// than the gain, so that one in vain costs no more than the run elsewhere. While a run
// elsewhere would still meet the objective, the wait leaves it the time for that; once it
// would not, the sum alone counts.
func (c Choice) Budget() time.Duration {
	gain, bound := c.Gain(), MaxWait
	if c.Idle {
		bound = MaxIdleWait
	}
	left := min(gain, bound) - c.Waited
	if spare := c.Slack - gain; spare >= 0 {
		left = min(left, spare)
	}
	return max(left, 0)
}

// Pays reports whether the task waits for a place that is expected to be free after a time.
func (c Choice) Pays(expected time.Duration) bool { return expected < c.Budget() }

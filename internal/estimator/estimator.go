// Package estimator estimates when a job that joins a backlog would be done, and decides
// by it whether the job is taken in, taken in behind, or turned away until the backlog is
// shorter. It knows neither workspaces nor queues.
package estimator

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time after which a job that is turned away
	// should come again. Clients wait at most as long as their deadline allows.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Backlog is what waits before a job.
type Backlog struct {
	Jobs    int
	Rate    float64 // jobs a second that begin; negative if that is not known yet
	Covered float64 // jobs a second that may be expected if it is not known
	Full    bool    // there was no room for one of them a moment ago
}

// Job is the job that asks.
type Job struct {
	Chain time.Duration // the shortest time that it takes
	Limit time.Duration // the time after which it is of no use, 0 for never
}

// Verdict is what becomes of the job.
type Verdict struct {
	Refused    bool
	Behind     bool          // it has to wait for the backlog
	Done       time.Duration // until it would be done, at most horizon
	RetryAfter time.Duration // of a refusal: until it could be taken in
}

// horizon is the longest time that is estimated.
const horizon = time.Hour

// Judge decides about a job behind a backlog. It refuses nothing while there is room, and
// nothing that can be done within its limit.
func Judge(b Backlog, j Job) Verdict {
	rate := b.Rate
	if rate < 0 {
		rate = b.Covered
	}
	v := Verdict{Behind: b.Jobs > 0, Done: min(horizon, wait(b.Jobs, rate)+j.Chain)}
	v.Refused = b.Full && b.Jobs > 0 && j.Limit > 0 && v.Done > j.Limit
	if v.Refused {
		v.RetryAfter = min(max(wait(b.Jobs, b.Covered), minRetryAfter), maxRetryAfter)
	}
	return v
}

// wait returns how long a number of jobs takes to begin at a rate.
func wait(jobs int, rate float64) time.Duration {
	if jobs == 0 {
		return 0
	}
	if rate <= 0 || float64(jobs)/rate > horizon.Seconds() {
		return horizon
	}
	return time.Duration(float64(jobs) / rate * float64(time.Second))
}

package leader

import "time"

const (
	// fullSpeed is the speed of a task that is not throttled, in percent.
	fullSpeed = 100
	// takeoverSpeed is the speed from which a new leader goes on with a task beside others with
	// latency targets, as it doesn't know the one that its predecessor had it slowed down to.
	takeoverSpeed = 50
	// speedStep is by how many percentage points a throttled task speeds up at each
	// report. Throttling halves the speed; full recovery takes about seven reports.
	speedStep = 15
	// throttleAbove and restoreBelow are fractions of a response time target: above
	// the first, best-effort tasks beside the task are throttled; below the second,
	// they speed up again. The margin covers the age of a report, up to two seconds,
	// which is half of the time that a target may be missed.
	throttleAbove = 0.8
	restoreBelow  = 0.5
	// speedRetryInterval is the pause before an order on the speed is repeated that was not
	// carried out.
	speedRetryInterval = 500 * time.Millisecond
	// lateOrderTime is how long an order without an answer may still be carried out, after
	// later ones. Meanwhile the last one is repeated every speedRepeatInterval.
	lateOrderTime       = 10 * time.Second
	speedRepeatInterval = time.Second
)

// Throttle is by how much a best-effort run is slowed down, in percentage points: as wanted,
// and as far as the worker has confirmed it. Orders are sent while the two differ, one at a
// time. The zero value is that of a run at full speed.
type Throttle struct {
	Wanted        int
	Confirmed     int
	Unknown       bool      // the worker may work at any speed; Confirmed means nothing
	Sent          int       // in the order in progress
	InProgress    bool      // an order has not been answered
	Failed        bool      // the last order was not carried out
	SentAt        time.Time // when the last order was sent
	DoubtfulUntil time.Time // until then an earlier order may be carried out late
}

// SpeedPercent returns the wanted speed.
func (h Throttle) SpeedPercent() int { return fullSpeed - h.Wanted }

// WithSpeedPercent returns the throttle with a wanted speed.
func (h Throttle) WithSpeedPercent(percent int) Throttle {
	h.Wanted = fullSpeed - percent
	return h
}

// WithOrder returns the throttle with an order for the wanted speed sent at a time.
func (h Throttle) WithOrder(now time.Time) Throttle {
	h.Sent, h.InProgress, h.SentAt = h.Wanted, true, now
	return h
}

// WithOutcome returns the throttle with the outcome of the order in progress. Without an
// answer it may be carried out until lateOrderTime after it was sent.
func (h Throttle) WithOutcome(o Outcome) Throttle {
	h.InProgress, h.Failed = false, o != Executed
	switch o {
	case Executed:
		h.Confirmed, h.Unknown = h.Sent, false
	case OutcomeUnknown:
		h.Unknown, h.DoubtfulUntil = true, h.SentAt.Add(lateOrderTime)
	default:
		// An earlier order may have been carried out since the last confirmation.
		h.Unknown = h.Unknown || h.SentAt.Before(h.DoubtfulUntil)
	}
	return h
}

// due reports whether an order is to be sent.
func (h Throttle) due(now time.Time) bool {
	pause := now.Sub(h.SentAt)
	switch {
	case h.InProgress:
		return false
	case h.Unknown || h.Wanted != h.Confirmed:
		return !h.Failed || pause >= speedRetryInterval
	}
	return now.Before(h.DoubtfulUntil) && pause >= speedRepeatInterval
}

// throttle slows down the best-effort tasks of a worker while the response times
// of other tasks there are close to their targets, and speeds them up again once
// all are well below.
func (t *transition) throttle(w Worker) {
	if w.BestEffortRuns == 0 {
		return
	}
	load := 0.0
	for _, p := range w.Placements.All() {
		if p.Stage == Running && p.LatencyTarget > 0 {
			load = max(load, float64(p.Measurement)/float64(p.LatencyTarget.Milliseconds()))
		}
	}
	for _, p := range w.Placements.All() {
		if !p.BestEffort || p.Stage != Running {
			continue
		}
		percent := p.Throttle.SpeedPercent()
		switch {
		case load >= 1:
			percent = 0
		case load >= throttleAbove:
			percent /= 2
		case load < restoreBelow:
			percent = min(percent+speedStep, fullSpeed)
		}
		if percent != p.Throttle.SpeedPercent() {
			w = t.putPlacement(w, p.WithThrottle(p.Throttle.WithSpeedPercent(percent)))
		}
	}
	t.sendSpeeds(w)
}

// sendSpeeds orders the wanted speeds of the best-effort runs of a worker that it has not
// confirmed.
func (t *transition) sendSpeeds(w Worker) {
	if w.BestEffortRuns == 0 {
		return
	}
	for _, p := range w.Placements.All() {
		if !p.BestEffort || p.Stage != Running || !p.Throttle.due(t.now) {
			continue
		}
		w = t.putPlacement(w, p.WithThrottle(p.Throttle.WithOrder(t.now)))
		o := w.order(OrderThrottle, p)
		o.SpeedPercent = p.Throttle.SpeedPercent()
		t.emit(o)
	}
}

// handleSpeedOutcome processes the outcome of an order on the speed of a run.
func (t *transition) handleSpeedOutcome(w Worker, p Placement, o Outcome) {
	p = p.WithThrottle(p.Throttle.WithOutcome(o))
	w = t.putPlacement(w, p)
	if o != Executed {
		t.emit(Decision{What: "repeat", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: "an order on its speed was not confirmed"})
	}
	if w.Reachability == Reachable {
		t.sendSpeeds(w)
	}
}

package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// maxDelay is how long an event may wait for the control thread before the leader
	// counts as behind. Each stage of a task waits as long, so that the objectives of
	// urgent queues, some 250 ms beyond the run time, allow little more.
	maxDelay = 50 * time.Millisecond
	// maxOrderTime is how long an order may take on average, from the control thread to the
	// worker and back, before the leader counts as behind: its process may be short of
	// processor time although the control thread itself is not.
	maxOrderTime = 200 * time.Millisecond
	// minPace is the least number of starts in progress that a leader allows.
	minPace = 32
	// paceGrowth and paceStep raise the pace of a leader that is no longer behind, by a
	// fraction and by a number.
	paceGrowth = 8
	paceStep   = 2
	// deferrableShare is the fraction of the pace that starts that can wait may use, so that
	// urgent ones need not wait until others have been answered.
	deferrableShare = 0.75
	// startTimeWeight is the weight of a new sample in the moving average of the time that a
	// start takes.
	startTimeWeight = 0.02
	// startsPerJob is the time that a job of a few steps spends on its way through the leader,
	// in multiples of the time of a start: that of each step and of its end.
	startsPerJob = 4
	// slowStart is the time of a slow start in multiples of the average.
	slowStart = 2
)

// pace bounds the starts in progress, from their placement to the worker's answer, while the
// leader is behind with its events. Without it, a leader takes on more than it can follow
// up, each stage of each task waits for all others, and then all work is late. A bound on
// starts in progress, unlike one on their rate, follows at once what the leader carries. The
// zero value bounds nothing.
type pace struct {
	limit     int       // starts in progress, 0 for no limit
	most      int       // most starts in progress since the last tick
	last      int       // the same before that tick
	binding   bool      // a start was held back since the last tick
	reducedAt time.Time // when the limit was last reduced
}

// adjusted returns the pace after a tick at a time: half if an event or an order has waited for
// too long, a little more than before if not and starts were held back, and no limit if far
// fewer starts are in progress.
func (p pace) adjusted(now time.Time, event, order time.Duration) pace {
	next := pace{limit: p.limit, last: p.most, reducedAt: p.reducedAt}
	behind := event > maxDelay || order > maxOrderTime
	switch {
	case behind && now.Add(-max(event, order)).Before(p.reducedAt):
		// What has waited was started before the last reduction.
	case behind:
		next.reducedAt = now
		if next.limit = p.most / 2; p.limit > 0 {
			next.limit = min(p.limit, p.most) / 2
		}
		next.limit = max(minPace, next.limit)
	case p.binding:
		next.limit = p.limit + p.limit/paceGrowth + paceStep
	case p.most < p.limit/2:
		next.limit = 0
	}
	return next
}

// room reports whether another start may be in progress beside a number of them.
func (p pace) room(starting int, deferrable bool) bool {
	limit := p.limit
	if deferrable {
		limit = int(deferrableShare * float64(limit))
	}
	return p.limit == 0 || starting < limit
}

// withStarts returns the pace after so many starts were in progress.
func (p pace) withStarts(starting int) pace {
	p.most = max(p.most, starting)
	return p
}

// deferrable reports whether a step with a score can wait while the leader is behind:
// all but those of the highest priority that can still meet their objective.
func deferrable(score int64) bool { return score >= latePenalty }

// adjustPace adjusts the pace to how long a tick, sent at a time, has waited for the control
// thread.
func (t *transition) adjustPace(sent time.Time) {
	before := t.pace.limit
	event := t.now.Sub(sent)
	t.pace = t.pace.adjusted(t.now, event, t.orderTime).withStarts(t.starting)
	switch {
	case before == 0 && t.pace.limit > 0:
		t.emit(Decision{What: "pace", Why: "events wait for " + event.String() + " and orders take " + t.orderTime.String() + "; starts are held back, less urgent ones first"})
	case before > 0 && t.pace.limit == 0:
		t.emit(Decision{What: "pace", Why: "events are handled in time; no start is held back"})
	}
}

// mayStart reports whether the pass may place another start.
func (p *placementPass) mayStart() bool {
	if p.pace.room(p.starting, p.deferrable) {
		return true
	}
	p.pace.binding = true
	return false
}

// noteStart takes the time from a placement until the worker's answer into account.
func (t *transition) noteStart(p Placement) {
	if !p.PlacedAt.IsZero() {
		t.startTime += time.Duration(startTimeWeight * float64(t.now.Sub(p.PlacedAt)-t.startTime))
		t.orderTime += time.Duration(startTimeWeight * float64(t.now.Sub(p.SentAt)-t.orderTime))
	}
}

// lateMargin returns how long before its latest start a step counts as late. A job that the
// leader's own delays make late would use up starts that others need to be in time.
func (t *transition) lateMargin() time.Duration { return startsPerJob * t.startTime }

// ticketsUsableAt returns the time at which a ticket of a queue must be valid for a start that
// is placed now. It is within the first half of a new ticket's validity, so that however slow
// starts have become, some are tried and show when that changes.
func (t *transition) ticketsUsableAt(q ledger.Queue) time.Time {
	return t.now.Add(min(max(0, slowStart*t.startTime-ticketMargin), q.Advice.TTL/2))
}

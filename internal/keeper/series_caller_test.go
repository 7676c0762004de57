package keeper_test

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

const (
	pollWait    = 2 * time.Second
	pollPause   = 25 * time.Millisecond
	pollBackoff = 250 * time.Millisecond
	awaitPeriod = 20 * time.Millisecond
	ackWait     = time.Second
	minCall     = time.Millisecond // on the way to a worker or back
	maxCall     = 40 * time.Millisecond
	maxFailure  = 2 * time.Second // until a call to a lost worker has failed
	maxLateness = 3 * time.Second // until a call without an answer is executed
	lateCalls   = 4               // one in so many of these is executed late
	lostAnswers = 40              // one in so many orders is executed and not answered
)

// caller polls a worker for a leader and sends orders, as package commander does. After the
// leader has ended it stands for its deputies.
type caller struct {
	*desk
	w           *machine
	watched     bool
	heard       bool
	incarnation int64
	acked       int64
	lastEnd     int64
	read        int64 // clock of the worker
	readAt      time.Time
	deadline    int64 // latest sent
	line        bool  // the incarnation has answered on the open connection
	unanswered  bool
	silences    int64
	renewedIn   int64
	fence       int64
	raised      int64
}

// caller returns that of a worker.
func (d *desk) caller(id string) *caller {
	p, ok := d.callers[id]
	if !ok {
		p = &caller{desk: d, w: d.machines[id], silences: leader.FirstSilence(0)}
		d.callers[id] = p
	}
	return p
}

// over reports whether nobody calls any more.
func (p *caller) over() bool { return p.closed && !p.now.Before(p.stopped) }

// permitted reports whether the log has confirmed the leader lately enough.
func (p *caller) permitted() bool { return p.now.Sub(p.sent) < seriesRenewal }

func (p *caller) watch() {
	if !p.watched {
		p.watched = true
		p.poll(0, true)
	}
}

func (p *caller) renew(silences int64) {
	if silences == p.silences {
		p.renewedIn = silences
	}
}

func (p *caller) acknowledge(a leader.Acknowledge) {
	if a.Incarnation == p.incarnation {
		p.acked = max(p.acked, a.Number)
	}
}

// renewal returns the deadline that a poll tells, 0 for none.
func (p *caller) renewal() int64 {
	if p.readAt.IsZero() || p.unanswered || p.renewedIn != p.silences || !p.permitted() {
		return 0
	}
	p.deadline = max(p.deadline, p.read+p.now.Sub(p.readAt).Milliseconds()+seriesLease.Milliseconds())
	return p.deadline
}

// asked is a poll.
type asked struct {
	heard, fence, deadline, acked int64
	sent                          time.Time
	wait                          time.Duration
	kept                          bool // on a connection on which the incarnation has answered
	again                         bool // go on with the next one
}

// poll sends a poll.
func (p *caller) poll(wait time.Duration, again bool) {
	if p.over() {
		return
	}
	a := asked{heard: p.incarnation, sent: p.now, again: again}
	switch {
	case !p.heard:
		a.fence = max(p.epoch, p.desk.fence)
	case !p.line:
		a.fence = max(p.fence, p.raised)
	default:
		a.fence, a.deadline, a.acked, a.wait, a.kept = p.fence, p.renewal(), p.acked, wait, true
	}
	p.after(p.between(minCall, maxCall), func() { p.arrive(a) })
}

// arrive executes a poll at the worker. A call that is executed late tells an incarnation
// nothing that began after it was sent, which package commander sees to.
func (p *caller) arrive(a asked) {
	w, incarnation := p.w, p.w.incarnation
	if w.hidden(p.member) || a.kept && a.heard != incarnation {
		if a.heard == incarnation && p.chance(lateCalls) {
			p.after(p.between(0, maxLateness), func() {
				if w.incarnation == incarnation {
					w.hear(a.fence, a.deadline, a.acked)
				}
			})
		}
		p.fail(a, maxFailure)
		return
	}
	if !w.hear(a.fence, a.deadline, a.acked) {
		p.after(p.between(minCall, maxCall), func() { p.miss(a, true) })
		return
	}
	hold := a.wait
	if len(w.ends) > 0 {
		hold = 0
	}
	p.after(hold, func() {
		if w.hidden(p.member) || w.incarnation != incarnation {
			p.fail(a, maxFailure-hold)
			return
		}
		r := w.report()
		p.after(p.between(minCall, maxCall), func() { p.answer(a, r) })
	})
}

// fail has a poll fail some time later.
func (p *caller) fail(a asked, longest time.Duration) {
	p.after(p.between(0, max(longest, 0)), func() { p.miss(a, false) })
}

// miss takes note of a poll that has failed.
func (p *caller) miss(a asked, fenced bool) {
	if p.over() {
		return
	}
	if a.again {
		p.after(pollBackoff, func() { p.poll(0, true) })
	}
	if a.heard != p.incarnation || fenced && a.fence < max(p.fence, p.raised) {
		return
	}
	p.acked, p.unanswered, p.line = 0, true, false
	p.silences++
	p.submit(leader.PollFailed{Worker: p.w.id, Incarnation: a.heard, Deadline: p.deadline, Silence: p.silences})
}

// answer takes note of a report.
func (p *caller) answer(a asked, r leader.Report) {
	if p.over() {
		return
	}
	if !(p.heard && r.Incarnation <= p.incarnation || a.fence > p.fence) {
		if fence := max(p.epoch, p.desk.fence); fence > p.fence {
			p.raised, p.line = max(p.raised, fence), false
			p.poll(0, a.again)
		} else if a.again {
			p.after(pollBackoff, func() { p.poll(0, true) })
		}
		return
	}
	if p.heard && r.Incarnation < p.incarnation {
		return
	}
	if !p.heard || r.Incarnation != p.incarnation {
		p.heard, p.incarnation, p.acked, p.lastEnd, p.read, p.deadline = true, r.Incarnation, 0, 0, 0, 0
	}
	p.line, p.unanswered, p.fence = true, false, max(p.fence, a.fence)
	for _, e := range r.Ended {
		p.lastEnd = max(p.lastEnd, e.Number)
	}
	if r.Clock >= p.read {
		p.read, p.readAt = r.Clock, p.now
	}
	e := leader.Reported{Worker: p.w.id, Report: r, Sent: a.sent, Deadline: a.deadline}
	if p.renewedIn != p.silences {
		e.Silence = p.silences
	}
	if !p.closed {
		p.noteHeard(p.w, p.epoch, p.reaches())
	}
	p.submit(e)
	if a.again {
		until := p.now.Add(ackWait)
		p.after(pollPause, func() { p.await(until) })
	}
}

// await polls again once the leader has followed up on the last report, or at a time.
func (p *caller) await(until time.Time) {
	if p.acked >= p.lastEnd && p.renewedIn == p.silences || !p.now.Before(until) {
		p.poll(pollWait, true)
		return
	}
	p.after(awaitPeriod, func() { p.await(until) })
}

// order sends an order on the open connection. It is not sent without one.
func (p *caller) order(o leader.Order) {
	answer := func(after time.Duration, outcome leader.Outcome) {
		p.after(after, func() {
			p.submit(leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: outcome, At: p.now})
		})
	}
	if !p.line || !p.permitted() || o.Incarnation != 0 && o.Incarnation != p.incarnation {
		answer(minCall, leader.NotSent)
		return
	}
	deadline := p.deadline
	if deadline == 0 {
		deadline = p.renewal()
	}
	w, fence, incarnation := p.w, p.fence, p.incarnation
	execute := func() leader.Outcome {
		if w.incarnation != incarnation {
			return leader.OutcomeUnknown
		}
		return w.execute(o, fence, deadline, p.checkStart)
	}
	p.after(p.between(minCall, maxCall), func() {
		if w.hidden(p.member) || w.incarnation != incarnation || p.faults && p.chance(lostAnswers) {
			if p.chance(2) {
				p.after(p.between(0, maxLateness), func() { execute() })
			}
			answer(p.between(0, maxFailure), leader.OutcomeUnknown)
			return
		}
		answer(p.between(minCall, maxCall), execute())
	})
}

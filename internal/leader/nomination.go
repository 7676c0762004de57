package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// nominee is a worker that a call may name.
type nominee struct {
	id             string
	permitted      bool // to be permitted
	fits           int  // tasks of the step that fit
	free           int64
	slownessTenths int // tenths of slowness, counted for urgent steps only
	calls          int // under way that name it
}

// callsNaming returns how many callsNaming under way name a worker. What they count on may
// be taken when another call is answered.
func (p *placementPass) callsNaming(worker string) int {
	if p.callCounts == nil {
		p.callCounts = map[string]int{}
		for _, a := range p.adviceCalls.All() {
			for _, id := range a.workers {
				p.callCounts[id]++
			}
		}
	}
	return p.callCounts[worker]
}

// countIdle returns how many tasks of a step wait.
func (p *placementPass) countIdle(r stepRef) int {
	idle := 0
	for _, task := range r.job.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			idle++
		}
	}
	return idle
}

// chooseNominees chooses the workers that a call names among those with room: those
// known to be permitted, then those that fewer calls under way name, then those
// with most room, until there is room enough for the step, given the share that
// advice lets pass. Without any room no call helps.
func (p *placementPass) chooseNominees(r stepRef, have permits) []nominee {
	ratio, ok := p.permitRatios.Get(r.job.Job.Queue.Name)
	if !ok {
		ratio = initialPermitRatio
	}
	idle := p.countIdle(r)
	options := p.nominees(r, have, idle)
	named, found, unknown := 0, p.ticketedCapacity(r, have, idle), 0
	for _, o := range options {
		enough := found >= capacityMargin*float64(idle) && (unknown == 0 || unknown >= minNamed)
		if enough || named >= maxNamed {
			break
		}
		named++
		if o.permitted {
			found += capacityMargin * float64(o.fits)
			continue
		}
		unknown++
		found += ratio * float64(o.fits)
	}
	return options[:named]
}

// freshTicketShare is the share of its time that a ticket still has to hold for its
// worker not to be named again.
const freshTicketShare = 0.5

// hasFreshTicket reports whether a worker has a ticket that holds for some time yet.
func (p *placementPass) hasFreshTicket(r stepRef, have permits, id string) bool {
	t, ok := have.tickets[id]
	left := time.Duration(freshTicketShare * float64(r.job.Job.Queue.Advice.Valid))
	return ok && t.expiry.Sub(p.now) > left
}

// ticketedCapacity returns how much of the room that a call looks for is at workers
// with fresh tickets.
func (p *placementPass) ticketedCapacity(r stepRef, have permits, idle int) float64 {
	seats := 0
	here := p.runsByWorker(r)
	for id := range have.tickets {
		if i, ok := p.indexByID[id]; ok && p.hasFreshTicket(r, have, id) {
			seats += p.fitsAt(r, p.candidates[i].Free, r.spec().Room(), here[id], idle)
		}
	}
	return capacityMargin * float64(seats)
}

// nominees lists the workers with room that a call may name, the best first.
func (p *placementPass) nominees(r stepRef, have permits, idle int) []nominee {
	size := r.spec().Room()
	var options []nominee
	here := p.runsByWorker(r)
	for i, c := range p.candidates {
		if !p.matches(r, i) || slices.Contains(have.denied, c.ID) || p.hasFreshTicket(r, have, c.ID) {
			continue
		}
		seats := p.fitsAt(r, c.Free, size, here[c.ID], idle)
		if seats == 0 {
			continue
		}
		o := nominee{id: c.ID, permitted: slices.Contains(have.permitted, c.ID), fits: seats, free: c.Free.CPU, calls: p.callsNaming(c.ID)}
		if r.job.Job.Queue.Priority == 0 {
			o.slownessTenths = placer.SlownessTenths(c.Slowness)
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b nominee) int {
		if a.permitted != b.permitted {
			return prefer(a.permitted)
		}
		return cmp.Or(cmp.Compare(a.calls, b.calls), cmp.Compare(a.slownessTenths, b.slownessTenths), cmp.Compare(b.fits, a.fits), cmp.Compare(b.free, a.free))
	})
	return options
}

// prefer returns the order of two options of which one is better.
func prefer(first bool) int {
	if first {
		return -1
	}
	return 1
}

// countFits returns how many tasks of a size fit, at most a limit.
func countFits(free, size ledger.Size, limit int) int {
	n := 0
	for n < limit && free.Fits(size.Times(n+1)) {
		n++
	}
	return n
}

package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// option is a worker that a call may name.
type option struct {
	id    string
	known bool // to be permitted
	seats int  // tasks of the step that fit
	free  int64
	speed int // tenths of slowness, counted for urgent steps only
	calls int // under way that name it
}

// calls returns how many calls under way name a worker. What they count on may
// be taken when another call is answered.
func (p *pass) calls(worker string) int {
	if p.naming == nil {
		p.naming = map[string]int{}
		for _, a := range p.asks.All() {
			for _, id := range a.named {
				p.naming[id]++
			}
		}
	}
	return p.naming[worker]
}

// idleTasks returns how many tasks of a step wait.
func (p *pass) idleTasks(r stepRef) int {
	idle := 0
	for _, task := range r.work.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			idle++
		}
	}
	return idle
}

// nominate chooses the workers that a call names among those with room: those
// known to be permitted, then those that fewer calls under way name, then those
// with most room, until there is room enough for the step, given the share that
// advice lets pass. Without any room no call helps.
func (p *pass) nominate(r stepRef, have permits) []option {
	ratio, ok := p.ratios.Get(r.work.Job.Queue.Name)
	if !ok {
		ratio = firstRatio
	}
	idle := p.idleTasks(r)
	options := p.options(r, have, idle)
	named, found, unknown := 0, p.seatsHeld(r, have, idle), 0
	for _, o := range options {
		enough := found >= seatMargin*float64(idle) && (unknown == 0 || unknown >= minNamed)
		if enough || named >= maxNamed {
			break
		}
		named++
		if o.known {
			found += seatMargin * float64(o.seats)
			continue
		}
		unknown++
		found += ratio * float64(o.seats)
	}
	return options[:named]
}

// freshTicket is the share of its time that a ticket still has to hold for its
// worker not to be named again.
const freshTicket = 0.5

// fresh reports whether a worker has a ticket that holds for some time yet.
func (p *pass) fresh(r stepRef, have permits, id string) bool {
	t, ok := have.tickets[id]
	left := time.Duration(freshTicket * float64(r.work.Job.Queue.Advice.Valid))
	return ok && t.until.Sub(p.now) > left
}

// seatsHeld returns how much of the room that a call looks for is at workers
// with fresh tickets.
func (p *pass) seatsHeld(r stepRef, have permits, idle int) float64 {
	seats := 0
	here := p.perWorker(r)
	for id := range have.tickets {
		if i, ok := p.index[id]; ok && p.fresh(r, have, id) {
			seats += p.seatsAt(r, p.candidates[i].Free, r.spec().Room(), here[id], idle)
		}
	}
	return seatMargin * float64(seats)
}

// options lists the workers with room that a call may name, the best first.
func (p *pass) options(r stepRef, have permits, idle int) []option {
	size := r.spec().Room()
	var options []option
	here := p.perWorker(r)
	for i, c := range p.candidates {
		if !p.suits(r, i) || slices.Contains(have.bad, c.ID) || p.fresh(r, have, c.ID) {
			continue
		}
		seats := p.seatsAt(r, c.Free, size, here[c.ID], idle)
		if seats == 0 {
			continue
		}
		o := option{id: c.ID, known: slices.Contains(have.good, c.ID), seats: seats, free: c.Free.CPU, calls: p.calls(c.ID)}
		if r.work.Job.Queue.Priority == 0 {
			o.speed = placer.Tenths(c.Slowness)
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if a.known != b.known {
			return prefer(a.known)
		}
		return cmp.Or(cmp.Compare(a.calls, b.calls), cmp.Compare(a.speed, b.speed), cmp.Compare(b.seats, a.seats), cmp.Compare(b.free, a.free))
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

// seatsIn returns how many tasks of a size fit, at most a limit.
func seatsIn(free, size ledger.Size, limit int) int {
	n := 0
	for n < limit && free.Fits(size.Times(n+1)) {
		n++
	}
	return n
}

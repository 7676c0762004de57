package leader

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

// nominee is a worker that an advice call may query.
type nominee struct {
	slot           int32 // index among the slots; breaks ties
	calls          int32 // advice calls in progress that query it
	fits           int32 // tasks of the step that fit into free capacity
	slownessTenths int32 // 0 unless the step is urgent
	free           int64
	permitted      bool // by an earlier answer
	near           bool // in the rack that the step wants
}

// countCalls returns, by slot, how many advice calls in progress query a worker. Steps
// that wait for them may claim its free capacity first.
func (p *placementPass) countCalls() []int32 {
	if p.callCounts != nil {
		return p.callCounts
	}
	p.callCounts = make([]int32, len(p.slots))
	for _, a := range p.adviceCalls.All() {
		for _, id := range a.workers {
			if i, ok := p.indexByID[id]; ok {
				p.callCounts[i]++
			}
		}
	}
	return p.callCounts
}

// countIdle returns the number of idle tasks of a step.
func (t *transition) countIdle(r stepRef) int {
	idle := 0
	for _, task := range r.job.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			idle++
		}
	}
	return idle
}

// chooseNominees returns the slots of the workers that an advice call queries, in the order of
// nominees, until they have enough capacity for the step at the expected fraction
// of permitted workers. It returns none if no worker has room, or a gang would not fit
// even into empty workers, as a call would be useless.
func (p *placementPass) chooseNominees(r stepRef, have permits) []int32 {
	ratio, ok := p.permitRatios.Get(r.job.Job.Queue.Name)
	if !ok {
		ratio = initialPermitRatio
	}
	idle := p.countIdle(r)
	if r.spec().Gang && !p.fitsEmpty(r, have, idle) {
		return nil
	}
	if !r.spec().Gang {
		idle = p.worthAsking(r, idle)
	}
	candidates := p.nominees(r, have, idle)
	heap.Init(&candidates)
	var chosen []int32
	found, unknown := p.ticketedCapacity(r, have, idle), 0
	for len(candidates) > 0 && len(chosen) < maxQueried {
		if found >= capacityMargin*float64(idle) && (unknown == 0 || unknown >= minQueried) {
			break
		}
		o := heap.Pop(&candidates).(nominee)
		chosen = append(chosen, o.slot)
		if o.permitted {
			found += capacityMargin * float64(o.fits)
			continue
		}
		unknown++
		fits := float64(o.fits)
		if o.near {
			fits /= float64(1 + o.calls) // all steps that want the rack ask for its workers
		}
		found += ratio * fits
	}
	return chosen
}

// fitsEmpty reports whether tasks of a step fit at the workers that are not known to be
// denied, if these are empty.
func (p *placementPass) fitsEmpty(r stepRef, have permits, tasks int) bool {
	size := r.spec().Reservation()
	for _, i := range p.matching(r) {
		c := &p.slots[i]
		if permitted, known := have.known[c.ID]; known && !permitted {
			continue
		}
		if tasks -= p.fitsAt(r, c.Capacity, size, 0, tasks); tasks <= 0 {
			return true
		}
	}
	return false
}

// freshTicketShare is the fraction of a ticket's validity that must remain for its
// worker not to be queried again.
const freshTicketShare = 0.5

// hasFreshTicket reports whether a worker has a ticket that need not be renewed.
func (p *placementPass) hasFreshTicket(r stepRef, have permits, id string) bool {
	t, ok := have.tickets[id]
	left := time.Duration(freshTicketShare * float64(r.job.Job.Queue.Advice.TTL))
	return ok && t.expiry.Sub(p.now) > left
}

// ticketedCapacity returns how many tasks fit at workers with fresh tickets, times
// capacityMargin.
func (p *placementPass) ticketedCapacity(r stepRef, have permits, idle int) float64 {
	fits := 0
	counts := p.runsByWorker(r)
	for id := range have.tickets {
		if i, ok := p.indexByID[id]; ok && p.slots[i].usable(p.now) && p.hasFreshTicket(r, have, id) {
			fits += p.fitsAt(r, p.slots[i].Free, r.spec().Reservation(), counts[id], idle)
		}
	}
	return capacityMargin * float64(fits)
}

// nominees returns the workers with room that an advice call may query: first those
// known to be permitted, then those in the rack that the step wants, then those queried
// by fewer calls in progress, then for
// urgent steps the faster ones, then those with more room.
func (p *placementPass) nominees(r stepRef, have permits, idle int) nomineeQueue {
	size := r.spec().Reservation()
	nominees := p.nomineeSpace[:0]
	counts, calls := p.runsByWorker(r), p.countCalls()
	rack := p.rackToAsk(r, have, counts)
	for _, i := range p.matching(r) {
		c := &p.slots[i]
		if !c.Free.CanFit(size) {
			continue
		}
		permitted, known := have.known[c.ID]
		if known && !permitted || p.hasFreshTicket(r, have, c.ID) {
			continue
		}
		fits := p.fitsAt(r, c.Free, size, counts[c.ID], idle)
		if fits == 0 {
			continue
		}
		o := nominee{slot: int32(i), permitted: permitted, fits: int32(fits), free: c.Free.CPU, calls: calls[i], near: rack != "" && c.Rack == rack}
		if r.job.Job.Queue.Priority == 0 {
			o.slownessTenths = int32(placer.SlownessTenths(c.Slowness))
		}
		nominees = append(nominees, o)
	}
	p.nomineeSpace = nominees
	return nominees
}

// nomineeQueue is a heap of nominees, the one to query first on top. A call queries
// few of many, so that they need not be sorted.
type nomineeQueue []nominee

var _ heap.Interface = (*nomineeQueue)(nil)

// Len returns the number of nominees.
func (q nomineeQueue) Len() int { return len(q) }

// Less reports whether one nominee is to be queried before another.
func (q nomineeQueue) Less(i, j int) bool { return compareNominees(&q[i], &q[j]) < 0 }

// Swap swaps two nominees.
func (q nomineeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a nominee.
func (q *nomineeQueue) Push(x any) { *q = append(*q, x.(nominee)) }

// Pop removes the last nominee of the heap.
func (q *nomineeQueue) Pop() any {
	last := len(*q) - 1
	o := (*q)[last]
	*q = (*q)[:last]
	return o
}

// compareNominees returns a negative number if a is to be queried before b.
func compareNominees(a, b *nominee) int {
	switch {
	case a.permitted != b.permitted:
		return prefer(a.permitted)
	case a.near != b.near:
		return prefer(a.near)
	case a.calls != b.calls:
		return cmp.Compare(a.calls, b.calls)
	case a.slownessTenths != b.slownessTenths:
		return cmp.Compare(a.slownessTenths, b.slownessTenths)
	case a.fits != b.fits:
		return cmp.Compare(b.fits, a.fits)
	case a.free != b.free:
		return cmp.Compare(b.free, a.free)
	}
	return cmp.Compare(a.slot, b.slot)
}

// prefer returns the order of two nominees, given whether the first is better.
func prefer(first bool) int {
	if first {
		return -1
	}
	return 1
}

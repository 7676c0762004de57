package leader

import (
	"github.com/endivelock/endivelock/internal/ledger"
)

// maxReserveShare bounds what a reserve keeps as a fraction of a service's capacity: steps
// that wait for a kind of worker must not leave others idle. A cell of which half is in use
// places all that fits.
const maxReserveShare = 0.4

// reserve is the room at a service's workers that jobs beyond the share of their workspace
// leave to steps within that wait. Order alone doesn't do it: these ask for advice on workers
// with room, and whoever waits for more jobs to end holds tickets for more workers.
type reserve struct {
	wanted   ledger.Resources // by the steps within that wait
	free     ledger.Resources
	capacity ledger.Resources
}

// reserveFor keeps room for the idle tasks of a step within the share of its workspace, as far
// as its cap lets them start. Those that wait for a rack count: they may go elsewhere yet.
func (p *placementPass) reserveFor(key string) {
	if p.beyond == 0 {
		return
	}
	r, ok := p.resolveStep(key)
	if !ok || r.job.Standing.Beyond || r.spec().LongRunning || p.isParked(key) {
		return
	}
	s := p.reserveOf(r)
	if full := s.bound(); !full.CanFit(s.wanted) {
		return // nothing more can be kept
	}
	s.wanted = s.wanted.Plus(r.spec().Reservation().Times(p.underCap(r, p.countIdle(r))))
}

// reserveOf returns the reserve at the service of a step.
func (p *placementPass) reserveOf(r stepRef) *reserve {
	service := r.job.Job.Queue.Service
	s := p.reserves[service]
	if s != nil {
		return s
	}
	s = &reserve{}
	for i := range p.slots {
		if c := &p.slots[i]; c.service == service && c.usable(p.now) {
			s.free, s.capacity = s.free.Plus(c.Free), s.capacity.Plus(c.Capacity)
		}
	}
	if p.reserves == nil {
		p.reserves = map[string]*reserve{}
	}
	p.reserves[service] = s
	return s
}

// bound returns the most that is kept.
func (s *reserve) bound() ledger.Resources {
	part := func(n int64) int64 { return int64(maxReserveShare * float64(n)) }
	return ledger.Resources{CPU: part(s.capacity.CPU), Memory: part(s.capacity.Memory), GPU: part(s.capacity.GPU)}
}

// keeps reports whether a task of a size beyond the share of its workspace would take room
// that is kept for others.
func (s *reserve) keeps(size ledger.Resources) bool {
	if s == nil || s.wanted == (ledger.Resources{}) {
		return false
	}
	most, left := s.bound(), s.free.Minus(size)
	return left.CPU < min(s.wanted.CPU, most.CPU) || left.Memory < min(s.wanted.Memory, most.Memory)
}

// take accounts for a task that is placed.
func (s *reserve) take(size ledger.Resources) {
	if s != nil {
		s.free = s.free.Minus(size)
	}
}

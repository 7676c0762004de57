package scheduler

import "time"

// deliverySettleTime is the age at which a lost request is known either to have
// reached its server or never to reach it.
const deliverySettleTime = 500 * time.Millisecond

// carriedTimeoutFactor is how many times the longest run time a carried request is
// left to the entry that has its exchange.
const carriedTimeoutFactor = 2

// CarriedEnded tells that a request in progress on a server that changed hands
// has ended at its earlier owner.
type CarriedEnded struct {
	Server  string
	Request string
}

func (e CarriedEnded) apply(t *step) {
	r, ok := t.s.Requests.Get(carriedPrefix + e.Request)
	if ok && r.Phase == PhaseCarried && r.Server == e.Server {
		t.freeSlot(r)
		t.dispatchQueue()
	}
}

// ServerPolled tells how many slots a server says are busy. Lost repeats the
// requests named in the Poll, those that lapse first in front: of these at most
// Busy can still be running. Which ones is not known, so the ones that lapse
// last are kept.
type ServerPolled struct {
	Server string
	Busy   int
	Lost   []string
}

func (e ServerPolled) apply(t *step) {
	for _, id := range e.Lost[:max(0, len(e.Lost)-e.Busy)] {
		r, ok := t.s.Requests.Get(id)
		if ok && r.Phase == PhaseLost && r.Server == e.Server {
			t.freeSlot(r)
		}
	}
	t.dispatchQueue()
}

// releaseAllowance returns what the request used of its plan's allowance.
func (t *step) releaseAllowance(r Request) {
	used, _ := t.s.SlotsUsed.Get(r.Plan)
	if used <= 1 {
		t.s.SlotsUsed = t.s.SlotsUsed.Without(r.Plan)
		return
	}
	t.s.SlotsUsed = t.s.SlotsUsed.With(r.Plan, used-1)
}

// finishRequest ends a running request whose slot is free again.
func (t *step) finishRequest(r Request) {
	t.releaseAllowance(r)
	t.s.Requests = t.s.Requests.Without(r.ID)
	if t.s.HoldsServer(r.Server) {
		t.changeServer(r.Server, func(v Server) Server { return v.WithBusy(-1) })
		return
	}
	t.notifyOwner(r)
}

// notifyOwner tells the entry that now owns the server that a carried slot is
// free. While the handover is not confirmed, that has to wait: the message must
// not arrive first.
func (t *step) notifyOwner(r Request) {
	resource := ServerResource(r.Server)
	if g, ok := t.s.Handovers.Get(resource); ok {
		t.s.Handovers = t.s.Handovers.With(resource, g.WithEnded(r.ID))
		return
	}
	if c, ok := t.s.Claim(resource); ok {
		t.emitFree(c.Owner, r.Server, r.ID)
	}
}

func (t *step) emitFree(owner EntryID, server, request string) {
	if m, ok := t.s.Members.Get(owner.String()); ok && !m.Dead {
		t.emit(Free{To: m.Digest.Entry, Server: server, Request: request})
	}
}

// loseSlot keeps the slot of a broken exchange in use: the server may still
// work on the request until its time is over.
func (t *step) loseSlot(r Request) {
	r.Until = t.now.Add(t.s.Policy.RequestLimit)
	if !t.s.HoldsServer(r.Server) {
		t.holdSlot(r.WithPhase(PhaseCharged))
		return
	}
	t.holdSlot(r.WithLost(t.now))
	t.changeServer(r.Server, func(v Server) Server { return v.WithLost(1) })
}

// holdSlot books a slot that is in use without an exchange of this entry.
func (t *step) holdSlot(r Request) {
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.SlotExpiries = t.s.SlotExpiries.With(r.Until, r.ID)
}

// freeSlot ends a carried, lost or owed request.
func (t *step) freeSlot(r Request) {
	t.s.Requests = t.s.Requests.Without(r.ID)
	t.s.SlotExpiries = t.s.SlotExpiries.Without(r.ID)
	if r.Plan != "" {
		t.releaseAllowance(r)
	}
	if r.Phase == PhaseCharged {
		return
	}
	t.changeServer(r.Server, func(v Server) Server {
		if r.Phase == PhaseLost {
			v = v.WithLost(-1)
		}
		return v.WithBusy(-1)
	})
}

// expireSlots frees slots whose time is over.
func (t *step) expireSlots() {
	for _, id := range t.s.SlotExpiries.Due(t.now) {
		r, _ := t.s.Requests.Get(id)
		t.freeSlot(r)
	}
}

// overdue reports whether the end of a carried request may never be told: its
// entry is dead, or the message may have been lost. The server knows then.
func (t *step) overdue(r Request) bool {
	return t.s.dead(r.Origin) || t.now.Sub(r.Arrived) > carriedTimeoutFactor*t.s.Policy.RequestLimit
}

// markLost turns a carried request into a lost one: nobody will tell its end.
func (t *step) markLost(r Request) {
	t.s.Requests = t.s.Requests.With(r.ID, r.WithLost(t.now))
	t.changeServer(r.Server, func(v Server) Server { return v.WithLost(1) })
}

// pollLost asks servers with lost slots how much is really in use. A loss is
// asked about only after a while, so that bytes on their way have arrived.
func (t *step) pollLost() {
	lost := map[string][]string{}
	for _, id := range t.s.SlotExpiries.All() {
		r, _ := t.s.Requests.Get(id)
		if r.Phase == PhaseCarried && t.overdue(r) {
			t.markLost(r)
		}
		if r.Phase == PhaseLost && t.now.Sub(r.LostAt) >= deliverySettleTime {
			lost[r.Server] = append(lost[r.Server], id)
		}
	}
	for _, name := range sortedKeys(lost) {
		v, ok := t.s.Servers.Get(name)
		if ok && t.s.HoldsServer(name) {
			t.emit(Poll{Server: name, Address: v.Instance.Address, Lost: lost[name]})
		}
	}
}

func (t *step) noteUnreachable(name string) {
	t.changeServer(name, func(v Server) Server { return v.WithFailures(v.Failures + 1) })
}

func (t *step) noteReachable(name string) {
	v, ok := t.s.Servers.Get(name)
	if ok && v.Failures > 0 {
		t.putServer(name, v.WithFailures(0))
	}
}

var (
	_ Event = CarriedEnded{}
	_ Event = ServerPolled{}
)

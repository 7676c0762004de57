package scheduler

import "time"

// deliverySettleTime is the age at which a lost request is known either to have
// reached its server or never to reach it.
const deliverySettleTime = 500 * time.Millisecond

// carriedTimeoutFactor times the request limit is how long a carried request is
// left to the entry that has its exchange before the server is polled.
const carriedTimeoutFactor = 2

// CarriedEnded reports that the exchange of a carried request has ended at the
// server's earlier owner.
type CarriedEnded struct {
	Server  string
	Request string
}

func (e CarriedEnded) apply(t *step) {
	r, ok := t.s.Requests.Get(carriedPrefix + e.Request)
	if ok && r.Phase == PhaseCarried && r.Server == e.Server {
		t.freeSlot(r)
		t.dispatchQueue()
		return
	}
	resource := ServerResource(e.Server)
	if h, ok := t.s.Handovers.Get(resource); ok && h.carries(e.Request) {
		t.s.Handovers = t.s.Handovers.With(resource, h.WithEnded(e.Request))
	}
}

// ServerPolled reports how many slots a server says are busy. Lost repeats the
// requests named in the PollServer effect, ordered by expiry: at most Busy of them can still
// be running. Which ones is not known, so those that expire last are kept.
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

// releaseAllowance returns the slot of a request to its plan's allowance.
func (t *step) releaseAllowance(r Request) {
	used, _ := t.s.SlotsUsed.Get(r.Plan)
	if used <= 1 {
		t.s.SlotsUsed = t.s.SlotsUsed.Without(r.Plan)
		return
	}
	t.s.SlotsUsed = t.s.SlotsUsed.With(r.Plan, used-1)
}

// finishRequest removes a running request whose slot is free again.
func (t *step) finishRequest(r Request) {
	t.releaseAllowance(r)
	t.s.Requests = t.s.Requests.Without(r.ID)
	if t.s.HoldsServer(r.Server) {
		t.changeServer(r.Server, func(v Server) Server { return v.WithBusy(-1) })
		return
	}
	t.notifyOwner(r)
}

// notifyOwner tells the entry that now owns the server that a carried request
// ended. While the handover is not confirmed the message is held back: it must
// not arrive before the handover.
func (t *step) notifyOwner(r Request) {
	resource := ServerResource(r.Server)
	if h, ok := t.s.Handovers.Get(resource); ok {
		t.s.Handovers = t.s.Handovers.With(resource, h.WithEnded(r.ID))
		return
	}
	if c, ok := t.s.Claim(resource); ok {
		t.emitFree(c.Owner, r.Server, r.ID)
	}
}

func (t *step) emitFree(owner EntryID, server, request string) {
	if m, ok := t.s.Members.Get(owner.String()); ok && !m.Dead {
		t.emit(ReleaseSlot{To: m.Digest.Entry, Server: server, Request: request})
	}
}

// loseSlot keeps the slot of a broken exchange in use: the server may still
// work on the request until the request limit has passed.
func (t *step) loseSlot(r Request) {
	r.Until = t.now.Add(t.s.Policy.RequestLimit)
	if !t.s.HoldsServer(r.Server) {
		t.holdSlot(r.WithPhase(PhaseCharged))
		return
	}
	t.holdSlot(r.WithLost(t.now))
	t.changeServer(r.Server, func(v Server) Server { return v.WithLost(1) })
}

// holdSlot stores a request that keeps its slot until r.Until without an
// exchange of this entry.
func (t *step) holdSlot(r Request) {
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.SlotExpiries = t.s.SlotExpiries.With(r.Until, r.ID)
}

// freeSlot removes a carried, lost or charged request and frees what it uses.
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

// expireSlots frees slots whose time has expired.
func (t *step) expireSlots() {
	for _, id := range t.s.SlotExpiries.Due(t.now) {
		r, _ := t.s.Requests.Get(id)
		t.freeSlot(r)
	}
}

// overdue reports whether the end of a carried request may never be reported:
// its entry is dead, or the message may have been lost. The server has to be
// polled then.
func (t *step) overdue(r Request) bool {
	return t.s.dead(r.Origin) || t.now.Sub(r.Arrived) > carriedTimeoutFactor*t.s.Policy.RequestLimit
}

// markLost turns a carried request into a lost one, as no entry will report its
// end.
func (t *step) markLost(r Request) {
	t.s.Requests = t.s.Requests.With(r.ID, r.WithLost(t.now))
	t.changeServer(r.Server, func(v Server) Server { return v.WithLost(1) })
}

// pollLost polls servers with lost requests for the number of busy slots. A
// request is included only deliverySettleTime after its loss, so that bytes in
// transit have arrived.
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
			t.emit(PollServer{Server: name, Address: v.Instance.Address, Lost: lost[name]})
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

package scheduler

import (
	"slices"
	"time"
)

// maxPumped bounds how many queued requests one event looks at.
const maxPumped = 64

// standingLimit bounds the exchange of a standing request.
const standingLimit = 365 * 24 * time.Hour

// carriedPatience is how many times the longest run time a carried request is
// left to the entry that has its exchange.
const carriedPatience = 2

// lossSettle is the age at which a lost request is known either to have
// reached its server or never to reach it.
const lossSettle = 500 * time.Millisecond

// carriedPrefix keeps a carried request apart from this entry's own record of
// the same request, which it may have forwarded.
const carriedPrefix = "carried/"

// RequestArrived tells that a request waits for a decision.
type RequestArrived struct {
	Request Request
}

func (e RequestArrived) apply(t *step) {
	r := e.Request
	r.Arrived = t.now
	if t.s.Requests.Has(r.ID) {
		t.refuse(r, ReasonNotReady, 0)
		return
	}
	t.decide(r)
}

// EndKind says how an exchange with a server ended.
type EndKind int

// Ends of an exchange.
const (
	ExchangeBroken EndKind = iota // bytes left, no whole answer: the server may still work on it
	ExchangeWhole                 // the whole answer came, the slot is free
	ExchangeUnsent                // no byte reached the server
	ExchangeUnused                // as ExchangeUnsent, and nobody waits any more
)

// RequestEnded tells that the exchange of a placed request ended.
type RequestEnded struct {
	Request string
	End     EndKind
}

func (e RequestEnded) apply(t *step) {
	r, ok := t.s.Requests.Get(e.Request)
	if !ok || r.Phase != PhaseRunning {
		return
	}
	switch e.End {
	case ExchangeWhole:
		t.noteReachable(r.Server)
		t.endSlot(r)
	case ExchangeUnused:
		t.endSlot(r)
	case ExchangeUnsent:
		t.noteUnreachable(r.Server)
		t.endSlot(r)
		t.decide(r.WithServer("", time.Time{}))
	default:
		t.loseSlot(r)
	}
	t.pump()
}

// ForwardEnded tells what became of a forwarded request. Refused means that
// the other entry proved that it did not run it.
type ForwardEnded struct {
	Request string
	Refused bool
	Entry   EntryID
}

func (e ForwardEnded) apply(t *step) {
	r, ok := t.s.Requests.Get(e.Request)
	if !ok || r.Phase != PhaseForwarded {
		return
	}
	t.s.Requests = t.s.Requests.Without(r.ID)
	key := e.Entry.String()
	m, known := t.s.Members.Get(key)
	switch {
	case e.Refused:
		t.s.Members = t.s.Members.With(key, m.WithFree(0))
		t.decide(r.WithTried(key))
	case known:
		t.s.Members = t.s.Members.With(key, m.WithFree(m.Digest.Free+1))
	}
}

// RequestLeft tells that the caller of a waiting request has gone.
type RequestLeft struct {
	Request string
}

func (e RequestLeft) apply(t *step) {
	r, ok := t.s.Requests.Get(e.Request)
	if ok && r.Phase == PhaseQueued {
		t.unqueue(r)
		t.refuse(r, ReasonGone, 0)
	}
}

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
		t.pump()
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
	t.pump()
}

// decide places a request, forwards it, queues it or refuses it.
func (t *step) decide(r Request) {
	switch {
	case !t.s.Configured():
		t.refuse(r, ReasonNotReady, time.Second)
		return
	case !r.Deadline.After(t.now):
		t.refuse(r, ReasonDeadline, 0)
		return
	}
	if _, ok := t.s.Config.Plan(r.Plan); !ok {
		t.refuse(r, ReasonNoPlan, 0)
		return
	}
	if t.tryPlace(r) || t.tryForward(r) {
		return
	}
	t.enqueue(r)
}

// tryPlace gives the request a slot of this entry if its plan may use one.
func (t *step) tryPlace(r Request) bool {
	used, _ := t.s.Used.Get(r.Plan)
	if used >= t.s.SlotLimit(r.Plan, t.now) {
		return false
	}
	name, ok := t.s.Open.First()
	if !ok {
		return false
	}
	v, _ := t.s.Servers.Get(name)
	until := t.now.Add(t.s.Policy.RequestLimit)
	if r.Standing {
		until = t.now.Add(standingLimit)
	}
	r = r.WithServer(v.Instance.Name, until).WithPhase(PhaseRunning)
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.Used = t.s.Used.With(r.Plan, used+1)
	t.putServer(name, v.WithBusy(1))
	t.emit(Place{Request: r.ID, Server: v.Instance.Name, Address: v.Instance.Address, Until: until})
	return true
}

// tryForward sends the request to another entry with free capacity, chosen as
// the freer of two drawn by the request's identifier. What another entry has
// free is taken to be what it last told, less what was forwarded since and has
// not ended, so that nobody sends more than was offered.
func (t *step) tryForward(r Request) bool {
	if r.Hops >= t.s.Policy.Hops {
		return false
	}
	near, far := t.forwardTargets(r)
	targets := near
	if len(targets) == 0 {
		targets = far
	}
	if len(targets) == 0 {
		return false
	}
	a := targets[hash(r.ID, "a")%uint64(len(targets))]
	b := targets[hash(r.ID, "b")%uint64(len(targets))]
	if b.Digest.Free > a.Digest.Free {
		a = b
	}
	t.s.Requests = t.s.Requests.With(r.ID, r.WithPhase(PhaseForwarded))
	t.s.Members = t.s.Members.With(a.Digest.Entry.ID.String(), a.WithFree(a.Digest.Free-1))
	t.emit(Forward{Request: r.ID, Entry: a.Digest.Entry})
	return true
}

func (t *step) forwardTargets(r Request) (near, far []Member) {
	for key, m := range t.s.Members.All() {
		if !m.Usable(t.now, t.s.Policy.Silence) || slices.Contains(r.Tried, key) {
			continue
		}
		if m.Digest.Free <= 0 && !t.s.Draining {
			continue
		}
		if m.Digest.Entry.Zone == t.s.Self.Zone {
			near = append(near, m)
		} else if m.Digest.Free > 0 {
			far = append(far, m)
		}
	}
	return near, far
}

// enqueue lets the request wait, within the bounds on length and time. One that
// came from another entry waits there, where it can still go elsewhere.
func (t *step) enqueue(r Request) {
	if t.s.Draining {
		t.refuse(r, ReasonDraining, time.Second)
		return
	}
	if r.Hops > 0 {
		t.refuse(r, ReasonBusy, 0)
		return
	}
	r.Tried = nil
	if _, ok := t.s.Config.Allowance(r.Plan); !ok {
		t.refuse(r, ReasonAllowance, 0)
		return
	}
	if t.s.Queue.Len() >= t.s.Policy.QueueLength {
		t.refuse(r, ReasonQueueFull, t.s.Policy.QueueWait)
		return
	}
	wait := r.Arrived.Add(t.s.Policy.QueueWait)
	if r.Deadline.Before(wait) {
		wait = r.Deadline
	}
	r = r.WithPhase(PhaseQueued).WithWait(wait)
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.Queue = t.s.Queue.With(r.Arrived, r.ID)
	t.s.Waits = t.s.Waits.With(wait, r.ID)
}

func (t *step) unqueue(r Request) {
	t.s.Requests = t.s.Requests.Without(r.ID)
	t.s.Queue = t.s.Queue.Without(r.ID)
	t.s.Waits = t.s.Waits.Without(r.ID)
}

// pump gives free capacity to queued requests in order of arrival. A plan that
// has used its allowance does not hold up the others.
func (t *step) pump() {
	looked := 0
	for _, id := range t.s.Queue.All() {
		if looked == maxPumped {
			return
		}
		looked++
		r, _ := t.s.Requests.Get(id)
		t.unqueue(r)
		if t.tryPlace(r) || t.tryForward(r) {
			continue
		}
		t.requeue(r)
	}
}

func (t *step) requeue(r Request) {
	if t.s.Draining {
		t.refuse(r, ReasonDraining, time.Second)
		return
	}
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.Queue = t.s.Queue.With(r.Arrived, r.ID)
	t.s.Waits = t.s.Waits.With(r.Wait, r.ID)
}

// expireWaits refuses requests that have waited as long as they may.
func (t *step) expireWaits() {
	for _, id := range t.s.Waits.Due(t.now) {
		r, _ := t.s.Requests.Get(id)
		t.unqueue(r)
		reason := ReasonWaited
		if !r.Deadline.After(t.now) {
			reason = ReasonDeadline
		}
		if used, _ := t.s.Used.Get(r.Plan); used >= t.s.SlotLimit(r.Plan, t.now) {
			reason = ReasonAllowance
		}
		t.refuse(r, reason, time.Second)
	}
}

func (t *step) refuse(r Request, reason Reason, after time.Duration) {
	t.emit(Refuse{Request: r.ID, Reason: reason, After: after})
}

// dropUse returns what the request used of its plan's allowance.
func (t *step) dropUse(r Request) {
	used, _ := t.s.Used.Get(r.Plan)
	if used <= 1 {
		t.s.Used = t.s.Used.Without(r.Plan)
		return
	}
	t.s.Used = t.s.Used.With(r.Plan, used-1)
}

// endSlot ends a running request whose slot is free again.
func (t *step) endSlot(r Request) {
	t.dropUse(r)
	t.s.Requests = t.s.Requests.Without(r.ID)
	if t.s.HoldsServer(r.Server) {
		t.changeServer(r.Server, func(v Server) Server { return v.WithBusy(-1) })
		return
	}
	t.tellOwner(r)
}

// tellOwner tells the entry that now owns the server that a carried slot is
// free. While the handover is not confirmed, that has to wait: the message must
// not arrive first.
func (t *step) tellOwner(r Request) {
	resource := ServerResource(r.Server)
	if g, ok := t.s.Gifts.Get(resource); ok {
		t.s.Gifts = t.s.Gifts.With(resource, g.WithOver(r.ID))
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
		t.hold(r.WithPhase(PhaseOwed))
		return
	}
	t.hold(r.WithLost(t.now))
	t.changeServer(r.Server, func(v Server) Server { return v.WithLost(1) })
}

// hold books a slot that is in use without an exchange of this entry.
func (t *step) hold(r Request) {
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.Lapses = t.s.Lapses.With(r.Until, r.ID)
}

// freeSlot ends a carried, lost or owed request.
func (t *step) freeSlot(r Request) {
	t.s.Requests = t.s.Requests.Without(r.ID)
	t.s.Lapses = t.s.Lapses.Without(r.ID)
	if r.Plan != "" {
		t.dropUse(r)
	}
	if r.Phase == PhaseOwed {
		return
	}
	t.changeServer(r.Server, func(v Server) Server {
		if r.Phase == PhaseLost {
			v = v.WithLost(-1)
		}
		return v.WithBusy(-1)
	})
}

// lapseSlots frees slots whose time is over.
func (t *step) lapseSlots() {
	for _, id := range t.s.Lapses.Due(t.now) {
		r, _ := t.s.Requests.Get(id)
		t.freeSlot(r)
	}
}

// overdue reports whether the end of a carried request may never be told: its
// entry is dead, or the message may have been lost. The server knows then.
func (t *step) overdue(r Request) bool {
	return t.s.dead(r.Origin) || t.now.Sub(r.Arrived) > carriedPatience*t.s.Policy.RequestLimit
}

// giveUp turns a carried request into a lost one: nobody will tell its end.
func (t *step) giveUp(r Request) {
	t.s.Requests = t.s.Requests.With(r.ID, r.WithLost(t.now))
	t.changeServer(r.Server, func(v Server) Server { return v.WithLost(1) })
}

// pollLost asks servers with lost slots how much is really in use. A loss is
// asked about only after a while, so that bytes on their way have arrived.
func (t *step) pollLost() {
	lost := map[string][]string{}
	for _, id := range t.s.Lapses.All() {
		r, _ := t.s.Requests.Get(id)
		if r.Phase == PhaseCarried && t.overdue(r) {
			t.giveUp(r)
		}
		if r.Phase == PhaseLost && t.now.Sub(r.LostAt) >= lossSettle {
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
	_ Event = RequestArrived{}
	_ Event = RequestEnded{}
	_ Event = ForwardEnded{}
	_ Event = RequestLeft{}
	_ Event = CarriedEnded{}
	_ Event = ServerPolled{}
)

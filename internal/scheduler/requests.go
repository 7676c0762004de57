package scheduler

import (
	"slices"
	"time"
)

// maxQueueScan bounds how many queued requests one event looks at.
const maxQueueScan = 64

// standingLimit bounds the exchange of a standing request.
const standingLimit = 365 * 24 * time.Hour

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
		t.finishRequest(r)
	case ExchangeUnused:
		t.finishRequest(r)
	case ExchangeUnsent:
		t.noteUnreachable(r.Server)
		t.finishRequest(r)
		t.decide(r.WithServer("", time.Time{}))
	default:
		t.loseSlot(r)
	}
	t.dispatchQueue()
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
		t.dequeue(r)
		t.refuse(r, ReasonCallerGone, 0)
	}
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
	used, _ := t.s.SlotsUsed.Get(r.Plan)
	if used >= t.s.SlotLimit(r.Plan, t.now) {
		return false
	}
	name, ok := t.s.FreeServers.First()
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
	t.s.SlotsUsed = t.s.SlotsUsed.With(r.Plan, used+1)
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
		t.refuse(r, ReasonNoFreeSlot, 0)
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
	t.s.QueueTimeouts = t.s.QueueTimeouts.With(wait, r.ID)
}

func (t *step) dequeue(r Request) {
	t.s.Requests = t.s.Requests.Without(r.ID)
	t.s.Queue = t.s.Queue.Without(r.ID)
	t.s.QueueTimeouts = t.s.QueueTimeouts.Without(r.ID)
}

// dispatchQueue gives free capacity to queued requests in order of arrival. A plan that
// has used its allowance does not hold up the others.
func (t *step) dispatchQueue() {
	looked := 0
	for _, id := range t.s.Queue.All() {
		if looked == maxQueueScan {
			return
		}
		looked++
		r, _ := t.s.Requests.Get(id)
		t.dequeue(r)
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
	t.s.QueueTimeouts = t.s.QueueTimeouts.With(r.WaitUntil, r.ID)
}

// expireQueued refuses requests that have waited as long as they may.
func (t *step) expireQueued() {
	for _, id := range t.s.QueueTimeouts.Due(t.now) {
		r, _ := t.s.Requests.Get(id)
		t.dequeue(r)
		reason := ReasonWaited
		if !r.Deadline.After(t.now) {
			reason = ReasonDeadline
		}
		if used, _ := t.s.SlotsUsed.Get(r.Plan); used >= t.s.SlotLimit(r.Plan, t.now) {
			reason = ReasonAllowance
		}
		t.refuse(r, reason, time.Second)
	}
}

func (t *step) refuse(r Request, reason Reason, after time.Duration) {
	t.emit(Refuse{Request: r.ID, Reason: reason, After: after})
}

var (
	_ Event = RequestArrived{}
	_ Event = RequestEnded{}
	_ Event = ForwardEnded{}
	_ Event = RequestLeft{}
)

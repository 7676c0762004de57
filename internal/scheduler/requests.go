package scheduler

import (
	"slices"
	"time"
)

// maxQueueScan limits how many queued requests are examined per event.
const maxQueueScan = 64

// standingLimit is the longest exchange of a standing request.
const standingLimit = 365 * 24 * time.Hour

// carriedPrefix keeps the ID of a carried request distinct from this entry's
// own record of the same request, which it may have forwarded.
const carriedPrefix = "carried/"

// RequestArrived reports that a request waits for a decision.
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

// ExchangeEnd is how an exchange with a server ended.
type ExchangeEnd int

// Ends of an exchange.
const (
	ExchangeBroken   ExchangeEnd = iota // bytes were sent, no complete response: the server may still work on it
	ExchangeComplete                    // the complete response was received, the slot is free
	ExchangeUnsent                      // no byte reached the server
	ExchangeUnused                      // as ExchangeUnsent, and the caller no longer waits
)

// RequestEnded reports that the exchange of a placed request ended.
type RequestEnded struct {
	Request string
	End     ExchangeEnd
}

func (e RequestEnded) apply(t *step) {
	r, ok := t.s.Requests.Get(e.Request)
	if !ok || r.Phase != PhaseRunning {
		return
	}
	switch e.End {
	case ExchangeComplete:
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

// ForwardEnded reports the result of a forwarded request. Refused means that
// there is proof that the other entry did not run the request.
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

// RequestAbandoned reports that the caller of a waiting request has disconnected.
type RequestAbandoned struct {
	Request string
}

func (e RequestAbandoned) apply(t *step) {
	r, ok := t.s.Requests.Get(e.Request)
	if ok && r.Phase == PhaseQueued {
		t.dequeue(r)
		t.refuse(r, ReasonCallerGone, 0)
	}
}

// decide places, forwards, queues or refuses a request.
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

// tryPlace places the request on the best held server if its plan may use
// another slot.
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

// tryForward forwards the request to another entry with free slots: the one
// with more of two candidates picked by a hash of the request's ID. The free
// slots of an entry are those in its last digest less the requests forwarded
// since that have not ended, so that no more is forwarded than was offered.
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

// forwardTargets returns the entries that may take the request, those of this
// zone apart from the others. A draining entry forwards within its zone even
// where no slot is free.
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

// enqueue adds the request to the queue, within the limits on its length and on
// the wait. A request forwarded from another entry is refused: it waits at that
// entry, which can still forward it elsewhere.
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

// dispatchQueue places or forwards queued requests in order of arrival. A plan
// that has used up its allowance does not block the requests of other plans.
func (t *step) dispatchQueue() {
	scanned := 0
	for _, id := range t.s.Queue.All() {
		if scanned == maxQueueScan {
			return
		}
		scanned++
		r, _ := t.s.Requests.Get(id)
		t.dequeue(r)
		if t.tryPlace(r) || t.tryForward(r) {
			continue
		}
		t.requeue(r)
	}
}

// requeue puts a request back that was queued before, with the end of its wait
// unchanged.
func (t *step) requeue(r Request) {
	if t.s.Draining {
		t.refuse(r, ReasonDraining, time.Second)
		return
	}
	t.s.Requests = t.s.Requests.With(r.ID, r)
	t.s.Queue = t.s.Queue.With(r.Arrived, r.ID)
	t.s.QueueTimeouts = t.s.QueueTimeouts.With(r.WaitUntil, r.ID)
}

// expireQueued refuses requests whose wait in the queue has ended.
func (t *step) expireQueued() {
	for _, id := range t.s.QueueTimeouts.Due(t.now) {
		r, _ := t.s.Requests.Get(id)
		t.dequeue(r)
		reason := ReasonQueueTimeout
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
	t.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: after})
}

var (
	_ Event = RequestArrived{}
	_ Event = RequestEnded{}
	_ Event = ForwardEnded{}
	_ Event = RequestAbandoned{}
)

package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxHandovers limits the unconfirmed handovers while rebalancing.
	maxHandovers = 8
	// handoverRetryDelay is the time after which an unconfirmed handover is
	// sent again.
	handoverRetryDelay = 300 * time.Millisecond
)

// HandoverReceived reports that the owner of a resource has handed it over to this
// entry.
type HandoverReceived struct {
	From     Entry
	Resource string
	Claim    Claim
	Running  []CarriedRequest
	Broken   bool // an earlier receiver died and may have left work behind
}

func (e HandoverReceived) apply(t *step) {
	known, ok := t.s.Claim(e.Resource)
	if ok && !e.Claim.Newer(known) {
		return
	}
	if e.Claim.Owner != t.s.Self.ID {
		return
	}
	t.setDirectClaim(e.Resource, e.Claim)
	if e.Broken {
		t.takeOver(e.Resource, e.Claim)
	} else {
		t.beginOwnership(e.Resource, Hold{Epoch: e.Claim.Epoch})
		t.addCarried(e.Resource, e.Running)
	}
	t.recordOwnership(e.Resource)
	t.dispatchQueue()
}

// HandoverConfirmed reports that the receiver has taken the resource.
type HandoverConfirmed struct {
	Resource string
	To       EntryID
}

func (e HandoverConfirmed) apply(t *step) {
	h, ok := t.s.Handovers.Get(e.Resource)
	if !ok || h.To != e.To {
		return
	}
	t.s.Handovers = t.s.Handovers.Without(e.Resource)
	for _, request := range h.Ended {
		t.emitFree(e.To, strings.TrimPrefix(e.Resource, serverPrefix), request)
	}
}

// setDirectClaim stores a claim that passed to its owner without the log.
func (t *step) setDirectClaim(resource string, c Claim) {
	t.s.DirectClaims = t.s.DirectClaims.With(resource, c)
	t.addClaimMembers(c)
}

// addCarried stores the requests that an earlier owner still has on a server, or
// the end of a tranche's quarantine.
func (t *step) addCarried(resource string, running []CarriedRequest) {
	if _, ok := trancheIndex(resource); ok && len(running) > 0 {
		t.s.Quarantined = t.s.Quarantined.With(resource, running[0].Until)
		return
	}
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return
	}
	for _, c := range running {
		own, mine := t.s.Requests.Get(c.Request)
		if mine && own.Phase == PhaseRunning && own.Server == name {
			continue
		}
		r := Request{ID: carriedPrefix + c.Request, Phase: PhaseCarried, Server: name, Until: c.Until, Origin: c.From, Arrived: t.now}
		t.holdSlot(r)
		t.changeServer(name, func(v Server) Server { return v.WithBusy(1) })
		if c.Lost {
			t.markLost(r)
		}
	}
}

// handOver hands a held resource over to an entry. From then on this entry has
// no right to it, whether or not the message arrives.
func (t *step) handOver(resource string, to EntryID) {
	c, _ := t.s.Claim(resource)
	running := t.carriedOn(resource)
	t.endOwnership(resource)
	c = c.WithOwner(to)
	t.setDirectClaim(resource, c)
	h := Handover{To: to, Claim: c, Running: running, Sent: t.now}
	t.s.Handovers = t.s.Handovers.With(resource, h)
	t.sendHandover(resource, h)
}

func (t *step) sendHandover(resource string, h Handover) {
	m, _ := t.s.Members.Get(h.To.String())
	t.emit(SendHandover{To: m.Digest.Entry, From: t.s.Self, Resource: resource, Claim: h.Claim, Running: h.Running, Broken: h.Unclean})
}

// carriedOn returns the requests on a server for its next owner, or the end of a
// tranche's quarantine. For a running request one request limit is added to
// Until, as its exchange may break just before it would end.
func (t *step) carriedOn(resource string) []CarriedRequest {
	if until, ok := t.s.Quarantined.Get(resource); ok && t.now.Before(until) {
		return []CarriedRequest{{Request: resource, Until: until}}
	}
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return nil
	}
	var running []CarriedRequest
	for _, r := range t.s.Requests.All() {
		if r.Server != name {
			continue
		}
		switch r.Phase {
		case PhaseRunning:
			running = append(running, CarriedRequest{Request: r.ID, Until: r.Until.Add(t.s.Policy.RequestLimit), From: t.s.Self.ID})
		case PhaseCarried, PhaseLost:
			id := strings.TrimPrefix(r.ID, carriedPrefix)
			running = append(running, CarriedRequest{Request: id, Until: r.Until, From: r.Origin, Lost: r.Phase == PhaseLost})
		}
	}
	return running
}

// resendHandovers repeats handovers that are not confirmed. If the receiver is
// dead, the resource goes to the next successor.
func (t *step) resendHandovers() {
	for resource, h := range t.s.Handovers.All() {
		if t.s.dead(h.To) {
			t.redirectHandover(resource, h)
			continue
		}
		if t.now.Sub(h.Sent) < handoverRetryDelay {
			continue
		}
		h.Sent = t.now
		t.s.Handovers = t.s.Handovers.With(resource, h)
		t.sendHandover(resource, h)
	}
}

// redirectHandover hands a resource whose receiver died over to the next
// successor. The receiver may have acted as the owner, so what it may have left
// behind counts as in use. Without a successor the resource is claimed anew
// through the log.
func (t *step) redirectHandover(resource string, h Handover) {
	t.s.Handovers = t.s.Handovers.Without(resource)
	to, ok := t.nextSuccessor(h.Claim)
	if !ok {
		return
	}
	h = Handover{To: to, Claim: h.Claim.WithOwner(to), Sent: t.now, Unclean: true}
	t.setDirectClaim(resource, h.Claim)
	t.s.Handovers = t.s.Handovers.With(resource, h)
	t.sendHandover(resource, h)
}

// handOverAll hands what a draining entry owns over to the next successors.
func (t *step) handOverAll() {
	if !t.s.Draining {
		return
	}
	for resource := range t.s.Holds.All() {
		c, _ := t.s.Claim(resource)
		to, ok := t.nextSuccessor(c)
		if !ok || !t.releasable(resource) {
			continue
		}
		t.handOver(resource, to)
	}
}

// nextSuccessor returns the first successor that is not dead, if it is reachable
// and the order of succession is in effect.
func (t *step) nextSuccessor(c Claim) (EntryID, bool) {
	if !t.s.displacedAcknowledged(c) {
		return EntryID{}, false
	}
	for _, id := range c.Successors {
		if t.s.dead(id) {
			continue
		}
		m, ok := t.s.Members.Get(id.String())
		return id, ok && t.now.Sub(m.Heard) <= t.s.Policy.Silence && m.Digest.Entry.Peer != ""
	}
	return EntryID{}, false
}

// releasable reports whether a resource may be handed over: a tranche only if
// the remaining ones cover the slots in use.
func (t *step) releasable(resource string) bool {
	if _, ok := trancheIndex(resource); !ok {
		return true
	}
	rest := t.s
	rest.Holds = rest.Holds.Without(resource)
	for plan, used := range t.s.SlotsUsed.All() {
		if used > rest.SlotLimit(plan, t.now) {
			return false
		}
	}
	return true
}

// rebalance moves held resources to the entries that rank first for them, a few
// at a time.
func (t *step) rebalance() {
	if t.s.Draining || t.now.Sub(t.s.BalanceChecked) < ownershipInterval {
		return
	}
	t.s.BalanceChecked = t.now
	candidates := t.candidates()
	for resource, hold := range t.s.Holds.All() {
		if t.s.Handovers.Len() >= maxHandovers {
			return
		}
		best := first(resource, candidates)
		if best != t.s.Self.ID && hold.Recorded && !t.claimPending(resource) {
			t.move(resource, best)
		}
	}
}

// move hands a resource over to an entry. If the entry is not the next successor
// yet, move records it as the first one; a later call hands the resource over.
func (t *step) move(resource string, to EntryID) {
	c, _ := t.s.Claim(resource)
	if next, ok := t.nextSuccessor(c); ok && next == to {
		if t.releasable(resource) {
			t.handOver(resource, to)
		}
		return
	}
	if len(c.Successors) > 0 && c.Successors[0] == to {
		return
	}
	rest := slices.DeleteFunc(t.successors(resource, c, t.candidates()), func(id EntryID) bool { return id == to })
	displaced := t.liveDisplaced(slices.Concat(c.Displaced, rest))
	slices.SortFunc(displaced, compareIDs)
	t.appendClaim(resource, ClaimRecord{
		Resource:   resource,
		Owner:      t.s.Self.ID,
		Basis:      c.Epoch,
		Successors: append([]EntryID{to}, rest...),
		Displaced:  slices.Compact(displaced),
		Held:       true,
	})
}

var (
	_ Event = HandoverReceived{}
	_ Event = HandoverConfirmed{}
)

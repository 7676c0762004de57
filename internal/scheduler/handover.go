package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxHandovers bounds how many resources are given away at once for balance.
	maxHandovers = 8
	// handoverRetryDelay is the time after which an unconfirmed gift is sent again.
	handoverRetryDelay = 300 * time.Millisecond
)

// GiftReceived tells that the owner of a resource has given it to this entry.
type GiftReceived struct {
	From     Entry
	Resource string
	Claim    Claim
	Running  []Carried
	Broken   bool // an earlier receiver died and may have left work behind
}

func (e GiftReceived) apply(t *step) {
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

// GiftConfirmed tells that the receiver has the resource.
type GiftConfirmed struct {
	Resource string
	To       EntryID
}

func (e GiftConfirmed) apply(t *step) {
	g, ok := t.s.Handovers.Get(e.Resource)
	if !ok || g.To != e.To {
		return
	}
	t.s.Handovers = t.s.Handovers.Without(e.Resource)
	for _, request := range g.Ended {
		t.emitFree(e.To, strings.TrimPrefix(e.Resource, serverPrefix), request)
	}
}

// setDirectClaim stores a claim that was passed on directly.
func (t *step) setDirectClaim(resource string, c Claim) {
	t.s.DirectClaims = t.s.DirectClaims.With(resource, c)
	t.addClaimMembers(c)
}

// addCarried books the requests that an earlier owner still has on a server, or how
// long a tranche still rests.
func (t *step) addCarried(resource string, running []Carried) {
	if _, ok := trancheIndex(resource); ok && len(running) > 0 {
		t.s.Rested = t.s.Rested.With(resource, running[0].Until)
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

// handOver hands a held resource to an entry. From here on this entry has no right
// to it, whether or not the message arrives.
func (t *step) handOver(resource string, to EntryID) {
	c, _ := t.s.Claim(resource)
	running := t.carriedOn(resource)
	t.endOwnership(resource)
	c = c.WithOwner(to)
	t.setDirectClaim(resource, c)
	g := Handover{To: to, Claim: c, Running: running, Sent: t.now}
	t.s.Handovers = t.s.Handovers.With(resource, g)
	t.sendHandover(resource, g)
}

func (t *step) sendHandover(resource string, g Handover) {
	m, _ := t.s.Members.Get(g.To.String())
	t.emit(Give{To: m.Digest.Entry, From: t.s.Self, Resource: resource, Claim: g.Claim, Running: g.Running, Broken: g.Unclean})
}

// carriedOn returns what runs on a server, for its next owner, or until when a
// tranche rests. Until allows for an exchange that breaks at its very end.
func (t *step) carriedOn(resource string) []Carried {
	if rest, ok := t.s.Rested.Get(resource); ok && t.now.Before(rest) {
		return []Carried{{Request: resource, Until: rest}}
	}
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return nil
	}
	var running []Carried
	for _, r := range t.s.Requests.All() {
		if r.Server != name {
			continue
		}
		switch r.Phase {
		case PhaseRunning:
			running = append(running, Carried{Request: r.ID, Until: r.Until.Add(t.s.Policy.RequestLimit), From: t.s.Self.ID})
		case PhaseCarried, PhaseLost:
			id := strings.TrimPrefix(r.ID, carriedPrefix)
			running = append(running, Carried{Request: id, Until: r.Until, From: r.Origin, Lost: r.Phase == PhaseLost})
		}
	}
	return running
}

// resendHandovers repeats gifts that are not confirmed. If the receiver died, the
// next in line gets the resource.
func (t *step) resendHandovers() {
	for resource, g := range t.s.Handovers.All() {
		if t.s.dead(g.To) {
			t.redirectHandover(resource, g)
			continue
		}
		if t.now.Sub(g.Sent) < handoverRetryDelay {
			continue
		}
		g.Sent = t.now
		t.s.Handovers = t.s.Handovers.With(resource, g)
		t.sendHandover(resource, g)
	}
}

// redirectHandover passes a gift whose receiver died to the next in line. The receiver
// may have acted as the owner, so what it may have left counts as in use. With
// nobody left in line the resource is founded anew through the log.
func (t *step) redirectHandover(resource string, g Handover) {
	t.s.Handovers = t.s.Handovers.Without(resource)
	to, ok := t.nextSuccessor(g.Claim)
	if !ok {
		return
	}
	g = Handover{To: to, Claim: g.Claim.WithOwner(to), Sent: t.now, Unclean: true}
	t.setDirectClaim(resource, g.Claim)
	t.s.Handovers = t.s.Handovers.With(resource, g)
	t.sendHandover(resource, g)
}

// handOverAll hands what a draining entry owns to the first living entry in line.
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

// nextSuccessor returns the first entry in line that is not dead, if it can be reached
// and the line has force.
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

// releasable reports whether the entry can do without a resource: a tranche
// is given away only when what is left covers what is in use.
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

// rebalance moves held resources to the entries that rank first for them.
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

// move gives a resource to an entry, first putting it at the head of the line.
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
	over := t.liveDisplaced(slices.Concat(c.Displaced, rest))
	slices.SortFunc(over, compareIDs)
	t.appendClaim(resource, ClaimRecord{
		Resource:  resource,
		Owner:     t.s.Self.ID,
		Basis:     c.Epoch,
		Line:      append([]EntryID{to}, rest...),
		Displaced: slices.Compact(over),
		Sure:      true,
	})
}

var (
	_ Event = GiftReceived{}
	_ Event = GiftConfirmed{}
)

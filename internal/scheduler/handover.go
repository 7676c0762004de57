package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxGifts bounds how many resources are given away at once for balance.
	maxGifts = 8
	// giftPause is the time after which an unconfirmed gift is sent again.
	giftPause = 300 * time.Millisecond
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
	t.hand(e.Resource, e.Claim)
	if e.Broken {
		t.inherit(e.Resource, e.Claim)
	} else {
		t.gain(e.Resource, Hold{Basis: e.Claim.Epoch})
		t.carry(e.Resource, e.Running)
	}
	t.record(e.Resource)
	t.pump()
}

// GiftConfirmed tells that the receiver has the resource.
type GiftConfirmed struct {
	Resource string
	To       EntryID
}

func (e GiftConfirmed) apply(t *step) {
	g, ok := t.s.Gifts.Get(e.Resource)
	if !ok || g.To != e.To {
		return
	}
	t.s.Gifts = t.s.Gifts.Without(e.Resource)
	for _, request := range g.Over {
		t.emitFree(e.To, strings.TrimPrefix(e.Resource, serverPrefix), request)
	}
}

// hand stores a claim that was passed on directly.
func (t *step) hand(resource string, c Claim) {
	t.s.Hands = t.s.Hands.With(resource, c)
	t.noteAll(c)
}

// carry books the requests that an earlier owner still has on a server, or how
// long a tranche still rests.
func (t *step) carry(resource string, running []Carried) {
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
		t.hold(r)
		t.changeServer(name, func(v Server) Server { return v.WithBusy(1) })
		if c.Lost {
			t.giveUp(r)
		}
	}
}

// give hands a held resource to an entry. From here on this entry has no right
// to it, whether or not the message arrives.
func (t *step) give(resource string, to EntryID) {
	c, _ := t.s.Claim(resource)
	running := t.carriedOn(resource)
	t.lose(resource)
	c = c.WithHeir(to)
	t.hand(resource, c)
	g := Gift{To: to, Claim: c, Running: running, Sent: t.now}
	t.s.Gifts = t.s.Gifts.With(resource, g)
	t.send(resource, g)
}

func (t *step) send(resource string, g Gift) {
	m, _ := t.s.Members.Get(g.To.String())
	t.emit(Give{To: m.Digest.Entry, From: t.s.Self, Resource: resource, Claim: g.Claim, Running: g.Running, Broken: g.Broken})
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

// resendGifts repeats gifts that are not confirmed. If the receiver died, the
// next in line gets the resource.
func (t *step) resendGifts() {
	for resource, g := range t.s.Gifts.All() {
		if t.s.dead(g.To) {
			t.regive(resource, g)
			continue
		}
		if t.now.Sub(g.Sent) < giftPause {
			continue
		}
		g.Sent = t.now
		t.s.Gifts = t.s.Gifts.With(resource, g)
		t.send(resource, g)
	}
}

// regive passes a gift whose receiver died to the next in line. The receiver
// may have acted as the owner, so what it may have left counts as in use. With
// nobody left in line the resource is founded anew through the log.
func (t *step) regive(resource string, g Gift) {
	t.s.Gifts = t.s.Gifts.Without(resource)
	to, ok := t.next(g.Claim)
	if !ok {
		return
	}
	g = Gift{To: to, Claim: g.Claim.WithHeir(to), Sent: t.now, Broken: true}
	t.hand(resource, g.Claim)
	t.s.Gifts = t.s.Gifts.With(resource, g)
	t.send(resource, g)
}

// giveAll hands what a draining entry owns to the first living entry in line.
func (t *step) giveAll() {
	if !t.s.Draining {
		return
	}
	for resource := range t.s.Holds.All() {
		c, _ := t.s.Claim(resource)
		to, ok := t.next(c)
		if !ok || !t.releasable(resource) {
			continue
		}
		t.give(resource, to)
	}
}

// next returns the first entry in line that is not dead, if it can be reached
// and the line has force.
func (t *step) next(c Claim) (EntryID, bool) {
	if !t.s.overtakenKnow(c) {
		return EntryID{}, false
	}
	for _, id := range c.Line {
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
	for plan, used := range t.s.Used.All() {
		if used > rest.SlotLimit(plan, t.now) {
			return false
		}
	}
	return true
}

// balance moves held resources to the entries that rank first for them.
func (t *step) balance() {
	if t.s.Draining || t.now.Sub(t.s.Balanced) < ownershipPause {
		return
	}
	t.s.Balanced = t.now
	candidates := t.candidates()
	for resource, hold := range t.s.Holds.All() {
		if t.s.Gifts.Len() >= maxGifts {
			return
		}
		best := first(resource, candidates)
		if best != t.s.Self.ID && hold.Recorded && !t.asking(resource) {
			t.move(resource, best)
		}
	}
}

// move gives a resource to an entry, first putting it at the head of the line.
func (t *step) move(resource string, to EntryID) {
	c, _ := t.s.Claim(resource)
	if next, ok := t.next(c); ok && next == to {
		if t.releasable(resource) {
			t.give(resource, to)
		}
		return
	}
	if len(c.Line) > 0 && c.Line[0] == to {
		return
	}
	rest := slices.DeleteFunc(t.line(resource, c, t.candidates()), func(id EntryID) bool { return id == to })
	over := t.overtaken(slices.Concat(c.Over, rest))
	slices.SortFunc(over, compareIDs)
	t.appendClaim(resource, ClaimRecord{
		Resource: resource,
		Owner:    t.s.Self.ID,
		Basis:    c.Epoch,
		Line:     append([]EntryID{to}, rest...),
		Over:     slices.Compact(over),
		Sure:     true,
	})
}

var (
	_ Event = GiftReceived{}
	_ Event = GiftConfirmed{}
)

package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// ownershipPause is the time between two looks at all resources.
	ownershipPause = 200 * time.Millisecond
	// askPause is the time after which an append that was not read back is
	// repeated.
	askPause = 2 * time.Second
	// foundingPause is how long the other entries leave an unowned resource
	// to the one that ranks first for it.
	foundingPause = 3 * time.Second
	// maxLine bounds the order of succession of one resource.
	maxLine = 4
)

// noteAll notes the entries that a claim names.
func (t *step) noteAll(c Claim) {
	t.note(c.Owner)
	for _, id := range c.Line {
		t.note(id)
	}
	for _, id := range c.Over {
		t.note(id)
	}
}

// gain makes this entry the acting owner of a resource.
func (t *step) gain(resource string, h Hold) {
	t.setHold(resource, h)
	t.s.Gifts = t.s.Gifts.Without(resource)
	t.s.Rested = t.s.Rested.Without(resource)
	if name, ok := strings.CutPrefix(resource, serverPrefix); ok {
		own := t.runningOn(name)
		t.changeServer(name, func(v Server) Server {
			v.Busy, v.Lost = len(own), 0
			return v
		})
	}
	if name, ok := strings.CutPrefix(resource, workerPrefix); ok {
		t.beginLeases(name)
	}
}

// runningOn returns this entry's own exchanges with a server.
func (t *step) runningOn(server string) []Request {
	var own []Request
	for _, r := range t.s.Requests.All() {
		if r.Phase == PhaseRunning && r.Server == server {
			own = append(own, r)
		}
	}
	return own
}

// inherit gains a resource whose owner died: what the dead owner may have left
// on it counts as in use until it is proven to have ended.
func (t *step) inherit(resource string, c Claim) {
	t.gain(resource, Hold{Basis: c.Epoch})
	if _, ok := trancheIndex(resource); ok {
		t.s.Rested = t.s.Rested.With(resource, t.now.Add(t.s.Policy.RequestLimit))
	}
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return
	}
	v, _ := t.s.Servers.Get(name)
	for i := v.Busy; i < v.Instance.Slots; i++ {
		id := taskName("lost/"+name, int(c.Epoch), i)
		r := Request{ID: id, Server: name, Until: t.now.Add(t.s.Policy.RequestLimit)}
		t.hold(r.WithLost(t.now))
		t.changeServer(name, func(v Server) Server { return v.WithBusy(1).WithLost(1) })
	}
}

// lose ends the right to act on a resource. Slots that it carried are of no
// account here any more.
func (t *step) lose(resource string) {
	t.dropHold(resource)
	if worker, ok := strings.CutPrefix(resource, workerPrefix); ok {
		t.endLeases(worker)
	}
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return
	}
	for _, r := range t.s.Requests.All() {
		if r.Server != name || (r.Phase != PhaseCarried && r.Phase != PhaseLost) {
			continue
		}
		if r.Plan != "" {
			t.s.Requests = t.s.Requests.With(r.ID, r.WithPhase(PhaseOwed))
			continue
		}
		t.s.Requests = t.s.Requests.Without(r.ID)
		t.s.Lapses = t.s.Lapses.Without(r.ID)
	}
	t.changeServer(name, func(v Server) Server {
		v.Busy, v.Lost = 0, 0
		return v
	})
}

// heir reports whether this entry alone may act on a resource whose owner is
// dead. Entries ahead of it in the line must be dead. Entries that the claim
// overtook must have read it or be dead, or else they might still act on an
// older order.
func (s State) heir(c Claim) bool {
	if !s.dead(c.Owner) {
		return false
	}
	place := slices.Index(c.Line, s.Self.ID)
	if place < 0 {
		return false
	}
	for _, id := range c.Line[:place] {
		if !s.dead(id) {
			return false
		}
	}
	return s.overtakenKnow(c)
}

func (s State) overtakenKnow(c Claim) bool {
	for _, id := range c.Over {
		if id == s.Self.ID || s.dead(id) {
			continue
		}
		m, _ := s.Members.Get(id.String())
		if m.Digest.Acked <= c.Epoch {
			return false
		}
	}
	return true
}

// exhausted reports whether nobody is left who could act without the log.
func (s State) exhausted(c Claim) bool {
	if !s.dead(c.Owner) {
		return false
	}
	for _, id := range slices.Concat(c.Line, c.Over) {
		if !s.dead(id) {
			return false
		}
	}
	return true
}

// resources returns every resource of this zone that takes an owner.
func (t *step) resources() []string {
	var names []string
	for name := range t.s.Servers.All() {
		names = append(names, ServerResource(name))
	}
	for name := range t.s.Workers.All() {
		names = append(names, WorkerResource(name))
	}
	for i := range t.s.Policy.Tranches {
		names = append(names, TrancheResource(i))
	}
	return names
}

// claimAll looks after the ownership of every resource of the zone.
func (t *step) claimAll() {
	if !t.s.ZoneRead || !t.s.Listed || t.s.Draining {
		return
	}
	t.s.Claimed = t.now
	candidates := t.candidates()
	for _, resource := range t.resources() {
		t.claim(resource, candidates)
	}
}

func (t *step) claim(resource string, candidates []EntryID) {
	c, known := t.s.Claim(resource)
	hold, holding := t.s.Holds.Get(resource)
	switch {
	case holding:
		if !hold.Recorded || t.lineShort(c, candidates) {
			t.record(resource)
		}
	case known && t.s.Gifts.Has(resource):
	case known && t.s.heir(c):
		c = c.WithHeir(t.s.Self.ID)
		t.hand(resource, c)
		t.inherit(resource, c)
		t.record(resource)
	case !known || t.s.exhausted(c):
		t.found(resource, c, candidates)
	}
}

// found claims a resource that nobody may act on. The right begins when the
// record is read back.
func (t *step) found(resource string, c Claim, candidates []EntryID) {
	age := t.now.Sub(t.s.Started)
	if age < t.s.Policy.Settle {
		return
	}
	mine := len(candidates) > 0 && first(resource, candidates) == t.s.Self.ID
	if !mine && age < foundingPause+t.s.Policy.Settle {
		return
	}
	t.appendClaim(resource, ClaimRecord{
		Resource: resource,
		Owner:    t.s.Self.ID,
		Basis:    c.Epoch,
		Line:     t.line(resource, Claim{}, candidates),
		Found:    true,
	})
}

// record writes the ownership of a held resource to the log.
func (t *step) record(resource string) {
	c, _ := t.s.Claim(resource)
	t.appendClaim(resource, ClaimRecord{
		Resource: resource,
		Owner:    t.s.Self.ID,
		Basis:    c.Epoch,
		Line:     t.line(resource, c, t.candidates()),
		Over:     t.overtaken(c.Over),
		Sure:     true,
	})
}

func (t *step) appendClaim(resource string, r ClaimRecord) {
	if t.asking(resource) {
		return
	}
	t.s.Asked = t.s.Asked.With(resource, t.now)
	t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: []Record{r}})
}

// asking reports whether a claim was appended lately and not yet read back.
func (t *step) asking(resource string) bool {
	asked, ok := t.s.Asked.Get(resource)
	return ok && t.now.Sub(asked) < askPause
}

// overtaken returns the overtaken entries that may still matter.
func (t *step) overtaken(over []EntryID) []EntryID {
	var still []EntryID
	for _, id := range over {
		if id != t.s.Self.ID && !t.s.dead(id) {
			still = append(still, id)
		}
	}
	return still
}

// line returns the order of succession after this entry: those still living of
// the old one in their order, then others by rank up to maxLine.
func (t *step) line(resource string, c Claim, candidates []EntryID) []EntryID {
	var line []EntryID
	for _, id := range c.Line {
		if id != t.s.Self.ID && !t.s.dead(id) {
			line = append(line, id)
		}
	}
	for _, id := range rank(resource, candidates) {
		if len(line) >= maxLine {
			break
		}
		if id != t.s.Self.ID && !slices.Contains(line, id) {
			line = append(line, id)
		}
	}
	return line
}

// lineShort reports whether the line lacks an entry that could be in it.
func (t *step) lineShort(c Claim, candidates []EntryID) bool {
	alive := 0
	for _, id := range c.Line {
		if !t.s.dead(id) {
			alive++
		}
	}
	return alive < min(maxLine, len(candidates)-1)
}

// applyClaim applies a claim in the order of the log.
func (t *step) applyClaim(offset int64, r ClaimRecord) {
	if r.Owner == t.s.Self.ID {
		t.s.Asked = t.s.Asked.Without(r.Resource)
	}
	c, known := t.s.Claims.Get(r.Resource)
	trimmed := r.Sure && r.Basis < t.s.First && c.Epoch < t.s.First
	if known && c.Epoch != r.Basis && !trimmed {
		return
	}
	if !known && r.Basis != 0 && !trimmed {
		return
	}
	accepted := Claim{Owner: r.Owner, Epoch: offset, Line: r.Line, Over: r.Over, Read: t.now}
	t.s.Claims = t.s.Claims.With(r.Resource, accepted)
	t.noteAll(accepted)
	if handed, ok := t.s.Hands.Get(r.Resource); ok && accepted.Newer(handed) {
		t.s.Hands = t.s.Hands.Without(r.Resource)
	}
	hold, holding := t.s.Holds.Get(r.Resource)
	switch {
	case r.Owner == t.s.Self.ID && holding:
		t.setHold(r.Resource, hold.WithRecorded(offset))
	case r.Owner == t.s.Self.ID && r.Found:
		t.foundBack(r.Resource, c, known, offset)
	case holding && hold.Recorded:
		t.lose(r.Resource)
	}
}

// foundBack acts on this entry's own founding record. An earlier owner, if
// there was one, may have left work behind.
func (t *step) foundBack(resource string, before Claim, existed bool, offset int64) {
	if existed {
		t.inherit(resource, before)
	} else {
		t.gain(resource, Hold{})
	}
	t.setHold(resource, Hold{}.WithRecorded(offset))
}

package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// ownershipInterval is the time between two checks of the ownership of all
	// resources.
	ownershipInterval = 200 * time.Millisecond
	// appendRetryDelay is the time after which an append that was not read back
	// is repeated.
	appendRetryDelay = 2 * time.Second
	// acquireDelay is how long the other entries leave an unowned resource to
	// the one that ranks first for it.
	acquireDelay = 3 * time.Second
	// maxSuccessors limits the length of the order of succession of a resource.
	maxSuccessors = 4
)

// addClaimMembers adds the entries that a claim names to the members.
func (t *step) addClaimMembers(c Claim) {
	t.addMember(c.Owner)
	for _, id := range c.Successors {
		t.addMember(id)
	}
	for _, id := range c.Displaced {
		t.addMember(id)
	}
}

// beginOwnership makes this entry the acting owner of a resource.
func (t *step) beginOwnership(resource string, h Hold) {
	t.setHold(resource, h)
	t.s.Handovers = t.s.Handovers.Without(resource)
	t.s.Quarantined = t.s.Quarantined.Without(resource)
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

// runningOn returns the requests that this entry has in progress on a server.
func (t *step) runningOn(server string) []Request {
	var own []Request
	for _, r := range t.s.Requests.All() {
		if r.Phase == PhaseRunning && r.Server == server {
			own = append(own, r)
		}
	}
	return own
}

// takeOver begins the ownership of a resource whose owner died: whatever the
// dead owner may have left on it counts as in use until it is proven to have
// ended.
func (t *step) takeOver(resource string, c Claim) {
	t.beginOwnership(resource, Hold{Epoch: c.Epoch})
	if _, ok := trancheIndex(resource); ok {
		t.s.Quarantined = t.s.Quarantined.With(resource, t.now.Add(t.s.Policy.RequestLimit))
	}
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return
	}
	v, _ := t.s.Servers.Get(name)
	for i := v.Busy; i < v.Instance.Slots; i++ {
		id := taskName("lost/"+name, int(c.Epoch), i)
		r := Request{ID: id, Server: name, Until: t.now.Add(t.s.Policy.RequestLimit)}
		t.holdSlot(r.WithLost(t.now))
		t.changeServer(name, func(v Server) Server { return v.WithBusy(1).WithLost(1) })
	}
}

// endOwnership ends this entry's right to act on a resource. Carried and lost
// requests on a server no longer hold slots here; those of this entry still
// count against their plan.
func (t *step) endOwnership(resource string) {
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
			t.s.Requests = t.s.Requests.With(r.ID, r.WithPhase(PhaseCharged))
			continue
		}
		t.s.Requests = t.s.Requests.Without(r.ID)
		t.s.SlotExpiries = t.s.SlotExpiries.Without(r.ID)
	}
	t.changeServer(name, func(v Server) Server {
		v.Busy, v.Lost = 0, 0
		return v
	})
}

// canTakeOver reports whether this entry alone may act on a resource whose owner
// is dead. The successors ahead of it must be dead. Displaced entries must have
// read the claim or be dead, or else they might still act on an older order.
func (s State) canTakeOver(c Claim) bool {
	if !s.dead(c.Owner) {
		return false
	}
	position := slices.Index(c.Successors, s.Self.ID)
	if position < 0 {
		return false
	}
	for _, id := range c.Successors[:position] {
		if !s.dead(id) {
			return false
		}
	}
	return s.displacedAcknowledged(c)
}

// displacedAcknowledged reports whether each displaced entry of a claim has
// read it or is dead.
func (s State) displacedAcknowledged(c Claim) bool {
	for _, id := range c.Displaced {
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

// orphaned reports whether no entry is left that could act on a resource without
// a new claim in the log.
func (s State) orphaned(c Claim) bool {
	if !s.dead(c.Owner) {
		return false
	}
	for _, id := range slices.Concat(c.Successors, c.Displaced) {
		if !s.dead(id) {
			return false
		}
	}
	return true
}

// resources returns every resource of this zone that has an owner or needs one.
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

// claimAll claims or records every resource of the zone where that is due.
func (t *step) claimAll() {
	if !t.s.ZoneRead || !t.s.Listed || t.s.Draining {
		return
	}
	t.s.OwnershipChecked = t.now
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
		if !hold.Recorded || t.lacksSuccessors(c, candidates) {
			t.recordOwnership(resource)
		}
	case known && t.s.Handovers.Has(resource):
	case known && t.s.canTakeOver(c):
		c = c.WithOwner(t.s.Self.ID)
		t.setDirectClaim(resource, c)
		t.takeOver(resource, c)
		t.recordOwnership(resource)
	case !known || t.s.orphaned(c):
		t.acquire(resource, c, candidates)
	}
}

// acquire claims a resource on which no entry may act. Ownership begins when the
// record is read back. For acquireDelay the claim is left to the entry that
// ranks first.
func (t *step) acquire(resource string, c Claim, candidates []EntryID) {
	age := t.now.Sub(t.s.Started)
	if age < t.s.Policy.DiscoveryPeriod {
		return
	}
	mine := len(candidates) > 0 && first(resource, candidates) == t.s.Self.ID
	if !mine && age < acquireDelay+t.s.Policy.DiscoveryPeriod {
		return
	}
	t.appendClaim(resource, ClaimRecord{
		Resource:   resource,
		Owner:      t.s.Self.ID,
		Basis:      c.Epoch,
		Successors: t.successors(resource, Claim{}, candidates),
		Acquire:    true,
	})
}

// recordOwnership appends the ownership of a held resource to the log.
func (t *step) recordOwnership(resource string) {
	c, _ := t.s.Claim(resource)
	t.appendClaim(resource, ClaimRecord{
		Resource:   resource,
		Owner:      t.s.Self.ID,
		Basis:      c.Epoch,
		Successors: t.successors(resource, c, t.candidates()),
		Displaced:  t.liveDisplaced(c.Displaced),
		Held:       true,
	})
}

func (t *step) appendClaim(resource string, r ClaimRecord) {
	if t.claimPending(resource) {
		return
	}
	t.s.PendingClaims = t.s.PendingClaims.With(resource, t.now)
	t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: []Record{r}})
}

// claimPending reports whether a claim was appended within appendRetryDelay and
// is not yet read back.
func (t *step) claimPending(resource string) bool {
	appended, ok := t.s.PendingClaims.Get(resource)
	return ok && t.now.Sub(appended) < appendRetryDelay
}

// liveDisplaced returns the displaced entries that are neither dead nor this
// entry.
func (t *step) liveDisplaced(displaced []EntryID) []EntryID {
	var live []EntryID
	for _, id := range displaced {
		if id != t.s.Self.ID && !t.s.dead(id) {
			live = append(live, id)
		}
	}
	return live
}

// successors returns the order of succession after this entry: the live entries
// of the old order, then others by rank up to maxSuccessors.
func (t *step) successors(resource string, c Claim, candidates []EntryID) []EntryID {
	var order []EntryID
	for _, id := range c.Successors {
		if id != t.s.Self.ID && !t.s.dead(id) {
			order = append(order, id)
		}
	}
	for _, id := range rank(resource, candidates) {
		if len(order) >= maxSuccessors {
			break
		}
		if id != t.s.Self.ID && !slices.Contains(order, id) {
			order = append(order, id)
		}
	}
	return order
}

// lacksSuccessors reports whether the order of succession could be longer.
func (t *step) lacksSuccessors(c Claim, candidates []EntryID) bool {
	alive := 0
	for _, id := range c.Successors {
		if !t.s.dead(id) {
			alive++
		}
	}
	return alive < min(maxSuccessors, len(candidates)-1)
}

// applyClaim applies a claim in the order of the log.
func (t *step) applyClaim(offset int64, r ClaimRecord) {
	if r.Owner == t.s.Self.ID {
		t.s.PendingClaims = t.s.PendingClaims.Without(r.Resource)
	}
	c, known := t.s.Claims.Get(r.Resource)
	trimmed := r.Held && r.Basis < t.s.First && c.Epoch < t.s.First
	if known && c.Epoch != r.Basis && !trimmed {
		return
	}
	if !known && r.Basis != 0 && !trimmed {
		return
	}
	accepted := Claim{Owner: r.Owner, Epoch: offset, Successors: r.Successors, Displaced: r.Displaced, ReadAt: t.now}
	t.s.Claims = t.s.Claims.With(r.Resource, accepted)
	t.addClaimMembers(accepted)
	if direct, ok := t.s.DirectClaims.Get(r.Resource); ok && accepted.Newer(direct) {
		t.s.DirectClaims = t.s.DirectClaims.Without(r.Resource)
	}
	hold, holding := t.s.Holds.Get(r.Resource)
	switch {
	case r.Owner == t.s.Self.ID && holding:
		t.setHold(r.Resource, hold.WithRecorded(offset))
	case r.Owner == t.s.Self.ID && r.Acquire:
		t.applyAcquisition(r.Resource, c, known, offset)
	case holding && hold.Recorded:
		t.endOwnership(r.Resource)
	}
}

// applyAcquisition begins the ownership of a resource that no entry owned and
// that this entry has claimed. An earlier owner, if there was one, may have left
// work behind.
func (t *step) applyAcquisition(resource string, previous Claim, existed bool, offset int64) {
	if existed {
		t.takeOver(resource, previous)
	} else {
		t.beginOwnership(resource, Hold{})
	}
	t.setHold(resource, Hold{}.WithRecorded(offset))
}

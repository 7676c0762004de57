package scheduler

import (
	"strings"
	"time"
)

// endQuarantines lets inherited tranches count again once nothing of the dead owner
// can be in progress any more: every server of the zone has a living owner, and
// each entry has said, after it took its servers over, that no request of an
// earlier owner holds a slot. Without such proof a tranche rests for the longest
// run time.
func (t *step) endQuarantines() {
	if t.s.Rested.Len() == 0 {
		return
	}
	epoch, owned := t.serverClaims()
	if !owned || t.s.foreign() > 0 {
		return
	}
	for resource, until := range t.s.Rested.All() {
		since := until.Add(-t.s.Policy.RequestLimit)
		if t.noForeignSlots(since, epoch) {
			t.s.Rested = t.s.Rested.Without(resource)
		}
	}
}

// serverClaims returns the largest epoch of the servers' claims and whether all
// their owners are taken to live.
func (t *step) serverClaims() (epoch int64, owned bool) {
	for resource := range t.s.Claims.All() {
		if !strings.HasPrefix(resource, serverPrefix) {
			continue
		}
		c, _ := t.s.Claim(resource)
		if t.s.dead(c.Owner) {
			return 0, false
		}
		epoch = max(epoch, c.Epoch)
	}
	return epoch, true
}

// noForeignSlots reports whether each living member of the zone has told, since a
// takeover and with the claims up to epoch in force, that it holds no slot for a
// request of an earlier owner.
func (t *step) noForeignSlots(since time.Time, epoch int64) bool {
	for _, m := range t.s.Members.All() {
		if m.Dead || m.Digest.Entry.Zone != t.s.Self.Zone {
			continue
		}
		if m.Digest.Foreign > 0 || m.Digest.Acked <= epoch || m.Heard.Before(since.Add(deliverySettleTime)) {
			return false
		}
	}
	return true
}

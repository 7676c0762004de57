package scheduler

import (
	"strings"
	"time"
)

// endQuarantines makes taken-over tranches usable again once no request of the
// dead owner can be in progress any more: every server of the zone has a live
// owner, and each entry has reported, after it took over its servers, that no
// request of an earlier owner holds a slot. Without that proof the quarantine of
// a tranche lasts for one request limit.
func (t *step) endQuarantines() {
	if t.s.Quarantined.Len() == 0 {
		return
	}
	epoch, owned := t.serverClaims()
	if !owned || t.s.foreign() > 0 {
		return
	}
	for resource, until := range t.s.Quarantined.All() {
		since := until.Add(-t.s.Policy.RequestLimit)
		if t.noForeignSlots(since, epoch) {
			t.s.Quarantined = t.s.Quarantined.Without(resource)
		}
	}
}

// serverClaims returns the largest epoch of the claims on servers and whether
// none of their owners is known to be dead.
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

// noForeignSlots reports whether each live member of the zone has reported, since
// a takeover and after reading the claims up to epoch, that it holds no slot for
// a request of an earlier owner.
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

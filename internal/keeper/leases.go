package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// LeaseRecord says which leases a leader does not renew, and until when they may be in
// force, by readings of the clock of leases. It stands for leader.Leases in the log.
type LeaseRecord struct {
	Epoch  int64            `json:"epoch"`
	Others int64            `json:"others,omitempty"` // bound of leases at workers that are not named; 0 if the leader renews them
	Until  map[string]int64 `json:"until,omitempty"`  // bounds of leases at the workers named, which are not renewed
	// Partial says that the leader doesn't renew the leases at others, either, which it has not named.
	Partial bool `json:"partial,omitempty"`
	// Renewal is for how long the leader renews leases after the log has last confirmed it, and
	// Grant for how long its deputies go on without it, in milliseconds; 0 for those of
	// earlier versions.
	Renewal int64 `json:"renewal,omitempty"`
	Grant   int64 `json:"grant,omitempty"`
}

const (
	// earlierRenewal and earlierGrant are those of versions whose records don't tell them.
	earlierRenewal = 5 * time.Second
	earlierGrant   = 2 * time.Second
)

// NewLeaseRecord returns the record of leases that the leader of an epoch doesn't renew.
func NewLeaseRecord(epoch int64, c Clock, l leader.Leases) LeaseRecord {
	r := LeaseRecord{Epoch: epoch, Partial: l.Partial}
	if !l.Others.IsZero() {
		r.Others = c.Deadline(l.Others)
	}
	if len(l.Until) > 0 {
		r.Until = make(map[string]int64, len(l.Until))
		for id, until := range l.Until {
			r.Until[id] = c.Deadline(until)
		}
	}
	return r
}

// WithRenewals returns the record with for how long the leader renews leases after the log has
// last confirmed it, and for how long its deputies go on without it.
func (r LeaseRecord) WithRenewals(renewal, grant time.Duration) LeaseRecord {
	r.Renewal, r.Grant = renewal.Milliseconds(), grant.Milliseconds()
	return r
}

// renewals returns for how long leases may be renewed after the last record of the leader,
// and after its deputies were on their own. Nothing is known of it without a record.
func (r *LeaseRecord) renewals(p Policy) (renewal, grant time.Duration) {
	if r == nil || r.Renewal == 0 {
		return max(p.Leader.MaxStaleRenewal, earlierRenewal), max(p.MaxGrant, earlierGrant)
	}
	return time.Duration(r.Renewal) * time.Millisecond, time.Duration(r.Grant) * time.Millisecond
}

// Validate returns an error unless all bounds can be told as times.
func (r LeaseRecord) Validate() error {
	for _, length := range []int64{r.Renewal, r.Grant} {
		if err := checkReading(length); err != nil {
			return err
		}
	}
	for _, reading := range r.Until {
		if err := checkReading(reading); err != nil {
			return err
		}
	}
	return checkReading(r.Others)
}

// leases is what the stream of runs says about leases at workers.
type leases struct {
	clock    Clock
	epoch    int64     // of the newest record that names the leader
	offset   int64     // of that record
	leader   string    // the leader of that epoch
	resigned bool      // it says that the leader has stopped
	written  time.Time // when the last record of a leader was read
	record   *LeaseRecord
	claims   claims // of entries that may renew leases before a record of theirs is in the log
}

// withChange returns what is known after a change was read at a time.
func (l leases) withChange(c RunChange, now time.Time) leases {
	switch {
	case c.Claim && !c.Awaits:
		l.claims = l.claims.with(c.Offset)
	case c.Claim:
	case c.Leases != nil:
		l.written = now
		if l.record == nil || c.Leases.Epoch >= l.record.Epoch {
			l.record = c.Leases
		}
	case c.Lead != nil:
		if c.Lead.Epoch < l.epoch {
			return l
		}
		l.epoch, l.offset, l.resigned, l.written = c.Lead.Epoch, c.Offset, c.Lead.Name == "", now
		if !l.resigned {
			l.leader = c.Lead.Name
		}
		l.clock = NewClock(c.Lead.Clock, now)
	default:
		l.written = now
	}
	return l
}

// trusted reports whether the record says all about the leases that the leaders before a
// claim may have renewed: it is that of the last leader, and nobody has claimed since who may
// have renewed leases without one.
func (l leases) trusted(claim int64) bool {
	return l.clock.reading != 0 && l.record != nil && l.record.Epoch == l.epoch && l.claims.before(claim) <= l.offset
}

// inherited returns the bounds for the leader with a claim at an offset. If the last leader
// is known to be inactive, its deputies may go on from now at the latest.
func (l leases) inherited(p Policy, now time.Time, claim int64, inactive bool) leader.Leases {
	if !l.trusted(claim) {
		renewal, _ := (*LeaseRecord)(nil).renewals(p)
		return leader.Leases{Others: p.Leader.LeaseEnd(now.Add(renewal))}
	}
	// The log has confirmed a leader with its last record at the latest.
	renewal, grant := l.record.renewals(p)
	latest := p.Leader.LeaseEnd(l.written.Add(renewal))
	inherited := leader.Leases{Others: latest, Until: make(map[string]time.Time, len(l.record.Until)), Partial: l.record.Partial}
	switch {
	case l.record.Others != 0:
		inherited.Others = earlier(latest, l.clock.Time(l.record.Others))
	case l.record.Partial: // some may be renewed by a leader before the last one
	case l.resigned:
		inherited.Others = earlier(latest, p.Leader.LeaseEnd(l.written.Add(grant)))
	case inactive:
		inherited.Others = earlier(latest, p.Leader.LeaseEnd(now.Add(grant)))
	}
	for id, until := range l.record.Until {
		inherited.Until[id] = earlier(latest, l.clock.Time(until))
	}
	return inherited
}

// renewer returns the leader whose renewals bound the leases that the record doesn't name, or
// "" if that isn't one alone.
func (l leases) renewer(claim int64) string {
	if !l.trusted(claim) || l.record.Others != 0 || l.record.Partial {
		return ""
	}
	return l.leader
}

func (e EntryFollows) apply(t *transition) {
	if t.role != Leading || e.Epoch != t.State.lead.Epoch || e.Name == "" || e.Name != t.renewer {
		return
	}
	t.renewer = ""
	_, grant := t.leases.record.renewals(t.policy)
	t.applyToLeader(leader.RenewalsEnded{Until: t.policy.Leader.LeaseEnd(t.now.Add(grant))})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// claims are the last two claims that were read. The zero value has none.
type claims struct {
	last, previous int64 // offsets, and 1 more
}

// with returns the claims with one at an offset.
func (c claims) with(offset int64) claims {
	if offset+1 > c.last {
		return claims{last: offset + 1, previous: c.last}
	}
	return c
}

// before returns the offset of the last claim before an offset, and 1 more, or 0.
func (c claims) before(offset int64) int64 {
	if c.last <= offset {
		return c.last
	}
	return c.previous
}

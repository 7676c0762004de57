package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// LeaseRecord says which leases a leader does not renew, by readings of the clock of leases.
// A leader renews no others than it permits. It has no effect on the record of a later
// leader, so that one that is replaced soon leaves the bounds as they were.
type LeaseRecord struct {
	Epoch  int64            `json:"epoch"`
	Others int64            `json:"others,omitempty"` // bound of leases at workers that are not named; 0 if they are renewed
	Until  map[string]int64 `json:"until,omitempty"`  // bounds of leases at the workers named, which are not renewed
}

// NewLeaseRecord returns the record of leases that the leader of an epoch doesn't renew.
func NewLeaseRecord(epoch int64, c Clock, l leader.Leases) LeaseRecord {
	r := LeaseRecord{Epoch: epoch}
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

// Validate returns an error unless all bounds can be told as times.
func (r LeaseRecord) Validate() error {
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
		if l.record == nil || c.Leases.Epoch >= l.record.Epoch {
			l.record = c.Leases
		}
	case c.Lead != nil:
		if c.Lead.Epoch < l.epoch {
			return l
		}
		l.epoch, l.offset, l.resigned, l.written = c.Lead.Epoch, c.Offset, c.Lead.Name == "", now
		l.clock = NewClock(c.Lead.Clock, now)
	default:
		l.written = now
	}
	return l
}

// inherited returns the bounds for the leader with a claim at an offset. Those of a leader
// that is known to be inactive were renewed until now at the latest, by its deputies.
func (l leases) inherited(p Policy, now time.Time, claim int64, inactive bool) leader.Leases {
	if l.clock.reading == 0 || l.record == nil || l.record.Epoch != l.epoch || l.claims.before(claim) > l.offset {
		// Somebody may have renewed leases without a record of it.
		return leader.Leases{Others: p.Leader.LeaseEnd(now.Add(p.Leader.MaxStaleRenewal))}
	}
	inherited := leader.Leases{Others: l.clock.Time(l.record.Others), Until: make(map[string]time.Time, len(l.record.Until))}
	if l.record.Others == 0 {
		inherited.Others = p.Leader.LeaseEnd(l.renewedUntil(p, now, inactive))
	}
	for id, until := range l.record.Until {
		inherited.Until[id] = l.clock.Time(until)
	}
	return inherited
}

// renewedUntil returns until when the last leader or its deputies may renew leases. The
// log has confirmed it with its last record at the latest.
func (l leases) renewedUntil(p Policy, now time.Time, inactive bool) time.Time {
	until := l.written.Add(p.Leader.MaxStaleRenewal)
	deputies := now.Add(p.MaxGrant)
	switch {
	case l.resigned:
		deputies = l.written.Add(p.MaxGrant)
	case !inactive:
		return until
	}
	if deputies.Before(until) {
		return deputies
	}
	return until
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

package keeper

import "time"

// handover is what a leader that has resigned said of the leases at workers that it could
// not reach.
type handover struct {
	offset int64                // of the resignation
	until  map[string]time.Time // until when leases may be in force, by worker
}

// newHandover returns what follows from a leader's record that is read at a time.
func newHandover(lead LeaderRecord, offset int64, now time.Time) handover {
	h := handover{offset: offset}
	if lead.Name == "" && len(lead.Leases) > 0 {
		h.until = make(map[string]time.Time, len(lead.Leases))
		for id, ms := range lead.Leases {
			h.until[id] = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	return h
}

// leasesFor returns the leases for the leader with a claim at an offset. There are none if
// another claim came between: whoever made it may have led and renewed leases, although no
// record of it was read.
func (h handover) leasesFor(claim int64, c claims) map[string]time.Time {
	if c.before(claim) > h.offset {
		return nil
	}
	return h.until
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

package scheduler

import (
	"slices"
	"time"
)

// Claim is the recorded ownership of one resource: a server, a worker or a
// tranche of the zone's allowances.
//
// Line is the order of succession after the owner. It is append-only in the
// sense that a later claim never puts an entry ahead of another one that may
// still act on the older order; where an owner does reorder, it names the
// entries that were overtaken in Over, and the new order has no force before
// each of them is known to have read the claim or is proven dead.
type Claim struct {
	Owner      EntryID   `json:"owner"`
	Epoch      int64     `json:"epoch"` // offset of the record, 0 for none
	Successors []EntryID `json:"line"`
	Displaced  []EntryID `json:"over,omitempty"`
	Hand       int       `json:"hand,omitempty"` // direct handovers since the record
	ReadAt     time.Time `json:"-"`              // when this entry read the record
}

// WithOwner returns the claim handed over directly to a new owner, who leaves
// the line.
func (c Claim) WithOwner(owner EntryID) Claim {
	c.Owner = owner
	c.Hand++
	c.Successors = slices.DeleteFunc(slices.Clone(c.Successors), func(e EntryID) bool { return e == owner })
	return c
}

// WithSuccessors returns the claim with another order of succession.
func (c Claim) WithSuccessors(line, over []EntryID) Claim {
	c.Successors = line
	c.Displaced = over
	return c
}

// Newer reports whether c follows o in the history of a resource.
func (c Claim) Newer(o Claim) bool {
	if c.Epoch != o.Epoch {
		return c.Epoch > o.Epoch
	}
	return c.Hand > o.Hand
}

// Hold is this entry's right to act as the owner of one resource.
type Hold struct {
	Recorded bool  // the log shows this entry as the owner
	Epoch    int64 // epoch of the claim that the right rests on
}

// WithRecorded returns the hold once the log shows it.
func (h Hold) WithRecorded(epoch int64) Hold {
	h.Recorded = true
	h.Epoch = epoch
	return h
}

// Handover is a resource that this entry has given away and whose receipt is not
// yet confirmed. The entry has no right to act on it any more.
type Handover struct {
	To      EntryID
	Claim   Claim
	Running []Carried
	Sent    time.Time
	Unclean bool     // an earlier receiver died
	Ended   []string // requests of Running that have ended since
}

// WithEnded returns the gift after one of the requests on it has ended.
func (g Handover) WithEnded(request string) Handover {
	g.Ended = append(g.Ended[:len(g.Ended):len(g.Ended)], request)
	return g
}

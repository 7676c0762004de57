package scheduler

import (
	"slices"
	"time"
)

// Claim is the recorded ownership of one resource: a server, a worker or a
// tranche of the zone's allowances.
//
// Successors is the order in which entries may take over when the owner is
// dead. A later claim never puts an entry ahead of one that may still act on the
// older order, unless it names the entries moved back in Displaced: the new
// order takes effect only once each of them is known to have read the claim or
// is proven dead.
type Claim struct {
	Owner      EntryID   `json:"owner"`
	Epoch      int64     `json:"epoch"` // offset of the record, 0 for none
	Successors []EntryID `json:"line"`
	Displaced  []EntryID `json:"over,omitempty"`
	Handovers  int       `json:"hand,omitempty"` // direct handovers since the record
	ReadAt     time.Time `json:"-"`              // when this entry read the record
}

// WithOwner returns the claim as passed directly to a new owner, which is no
// longer one of its successors.
func (c Claim) WithOwner(owner EntryID) Claim {
	c.Owner = owner
	c.Handovers++
	c.Successors = slices.DeleteFunc(slices.Clone(c.Successors), func(e EntryID) bool { return e == owner })
	return c
}

// WithSuccessors returns the claim with another order of succession.
func (c Claim) WithSuccessors(successors, displaced []EntryID) Claim {
	c.Successors = successors
	c.Displaced = displaced
	return c
}

// Newer reports whether c is later than o in the history of a resource.
func (c Claim) Newer(o Claim) bool {
	if c.Epoch != o.Epoch {
		return c.Epoch > o.Epoch
	}
	return c.Handovers > o.Handovers
}

// Hold is this entry's right to act as the owner of one resource.
type Hold struct {
	Recorded bool  // the log shows this entry as the owner
	Epoch    int64 // epoch of the claim that the hold is based on
}

// WithRecorded returns the hold as recorded in the log at an epoch.
func (h Hold) WithRecorded(epoch int64) Hold {
	h.Recorded = true
	h.Epoch = epoch
	return h
}

// Handover is a resource that this entry has handed over and whose receipt is
// not yet confirmed. This entry has no right to act on it any more.
type Handover struct {
	To      EntryID
	Claim   Claim
	Running []CarriedRequest
	Sent    time.Time
	Unclean bool     // an earlier receiver died and may have left work behind
	Ended   []string // requests of Running that have ended since
}

// WithEnded returns the handover after one of its requests has ended.
func (h Handover) WithEnded(request string) Handover {
	h.Ended = append(h.Ended[:len(h.Ended):len(h.Ended)], request)
	return h
}

// carries reports whether a request was handed over that is not known to have ended.
func (h Handover) carries(request string) bool {
	carried := slices.ContainsFunc(h.Running, func(c CarriedRequest) bool { return c.Request == request })
	return carried && !slices.Contains(h.Ended, request)
}

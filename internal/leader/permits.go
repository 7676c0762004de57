package leader

import (
	"maps"
	"time"
)

// ticket allows a worker to run tasks of a step.
type ticket struct {
	value  string
	expiry time.Time // not used from then on
}

// tickets holds the tickets of a step by worker. A stored value is never changed.
type tickets map[string]ticket

// permits holds what advice has returned for a step. Permissions of workers do not
// change, only the tickets expire.
type permits struct {
	tickets    tickets
	lastExpiry time.Time       // expiry of the last ticket
	known      map[string]bool // workers that were queried, and whether an answer permitted them; never changed
	calling    bool
	nextCall   time.Time // no other call before this time
}

// without returns the permits without the ticket of a worker.
func (p permits) without(worker string) permits {
	p.tickets = maps.Clone(p.tickets)
	delete(p.tickets, worker)
	return p
}

// with returns the permits with the answer to a call added, which holds tickets for
// the permitted ones among the queried workers. Unexpired tickets of earlier answers
// are kept.
func (p permits) with(queried []string, answer []Permit, now, until time.Time) permits {
	held := make(tickets, len(p.tickets)+len(answer))
	for id, t := range p.tickets {
		if now.Before(t.expiry) {
			held[id] = t
		}
	}
	known := make(map[string]bool, len(p.known)+len(queried))
	maps.Copy(known, p.known)
	for _, id := range queried {
		if !known[id] {
			known[id] = false
		}
	}
	for _, a := range answer {
		held[a.Worker] = ticket{a.Ticket, until}
		known[a.Worker] = true
	}
	p.tickets, p.lastExpiry, p.known = held, until, known
	return p
}

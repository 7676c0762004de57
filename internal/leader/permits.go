package leader

import (
	"maps"
	"slices"
	"time"
)

// ticket allows a worker to run tasks of a step.
type ticket struct {
	value  string
	expiry time.Time // it is not used after this
}

// tickets are the tickets of a step by worker. They are never changed once they
// are stored.
type tickets map[string]ticket

// permits are what advice has told of one step.
type permits struct {
	tickets    tickets
	lastExpiry time.Time // end of the last ticket
	permitted  []string  // workers that were permitted, which does not change
	denied     []string  // workers that were not, which does not change either
	calling    bool
	nextCall   time.Time // another call does not help before then
}

// without returns the permits less the ticket of a worker.
func (p permits) without(worker string) permits {
	p.tickets = maps.Clone(p.tickets)
	delete(p.tickets, worker)
	return p
}

// with returns the permits with an answer taken up that names those of the
// workers asked about that may run the step. Tickets of earlier answers hold on.
func (p permits) with(named []string, answer []Permit, now, until time.Time) permits {
	held := make(tickets, len(p.tickets)+len(answer))
	for id, t := range p.tickets {
		if now.Before(t.expiry) {
			held[id] = t
		}
	}
	permitted := make(map[string]bool, len(answer))
	for _, a := range answer {
		held[a.Worker] = ticket{a.Ticket, until}
		permitted[a.Worker] = true
	}
	p.tickets, p.lastExpiry = held, until
	for _, id := range named {
		switch {
		case permitted[id] && !slices.Contains(p.permitted, id):
			p.permitted = append(p.permitted[:len(p.permitted):len(p.permitted)], id)
		case !permitted[id]:
			p.denied = append(p.denied[:len(p.denied):len(p.denied)], id)
		}
	}
	return p
}

package delegator

import (
	"context"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// assignment is a worker and who calls it.
type assignment struct {
	watch  leader.StartPolling
	deputy *deputy // nil for the leader
}

// deputy is what the leader knows of a deputy.
type deputy struct {
	entry    Entry
	session  int64
	capacity int // workers that it is to call at most
	workers  int
	commands []Command
	wake     chan struct{}
	orders   map[orderKey]leader.Order // not answered yet
	began    time.Time                 // when its first commands were sent; its session began later
	reported time.Time                 // when it last reported, or when it was added
	cancel   context.CancelFunc
}

type orderKey struct {
	worker string
	kind   leader.OrderKind
	task   ledger.TaskID
	run    int
}

func keyOf(o leader.Order) orderKey { return orderKey{o.Worker, o.Kind, o.Task, o.Run} }

// outcomes returns the outcomes of the orders of a lost deputy: those that it was not
// given yet were not sent, that of the others is unknown.
func (p *deputy) outcomes() []leader.OrderAnswered {
	var all []leader.OrderAnswered
	add := func(o leader.Order, outcome leader.Outcome) {
		all = append(all, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: outcome})
	}
	for _, c := range p.commands {
		if c.Order != nil {
			delete(p.orders, keyOf(*c.Order))
			add(*c.Order, leader.NotSent)
		}
	}
	p.commands = nil // must not be sent any more
	for _, o := range p.orders {
		add(o, leader.OutcomeUnknown)
	}
	return all
}

func (p *deputy) preferable(other *deputy, zone string) bool {
	if p.capacity != other.capacity {
		return p.capacity > other.capacity
	}
	if near := p.entry.Zone == zone; near != (other.entry.Zone == zone) {
		return near
	}
	if p.workers != other.workers {
		return p.workers > other.workers
	}
	return p.entry.Name < other.entry.Name
}

// put queues a command. The caller holds the delegator's lock.
func (p *deputy) put(c Command) {
	p.commands = append(p.commands, c)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

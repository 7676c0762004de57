package commander

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// queuedOrder is an order that waits or is being sent.
type queuedOrder struct {
	leader.Order
	silence   int64        // the last silence of the worker before the order was given
	expires   time.Time    // when its ticket runs out, zero for never
	withdrawn bool         // the leader no longer wants it
	again     *queuedOrder // the same order, given again while this one was being sent
}

// orderKey identifies an order among those to one worker.
type orderKey struct {
	kind leader.OrderKind
	task ledger.TaskID
	run  int
}

func keyOf(o leader.Order) orderKey { return orderKey{o.Kind, o.Task, o.Run} }

// orderQueue has the orders to one worker, each once: those that wait, the starts behind all
// others, and those that are being sent. The zero value is empty.
type orderQueue struct {
	first   []orderKey // stops and speeds, in the order in which they were given
	starts  []orderKey
	waiting map[orderKey]*queuedOrder // keys above that are not in it were withdrawn
	sending map[orderKey]*queuedOrder
}

// add adds an order that waits, or replaces the same one. A stop withdraws the other orders
// about its run and returns them; if the start of the run was one that waits, no stop is
// needed and it returns the stop as well.
func (q *orderQueue) add(o queuedOrder) []leader.Order {
	var withdrawn []leader.Order
	if o.Kind == leader.OrderStop {
		withdrawn = q.withdraw(leader.OrderThrottle, o.Task, o.Run)
		if starts := q.withdraw(leader.OrderStart, o.Task, o.Run); len(starts) > 0 {
			withdrawn = append(withdrawn, starts...)
			return append(withdrawn, o.Order)
		}
	}
	if q.waiting == nil {
		q.waiting, q.sending = map[orderKey]*queuedOrder{}, map[orderKey]*queuedOrder{}
	}
	if sent, ok := q.sending[keyOf(o.Order)]; ok {
		sent.again = &o
		return withdrawn
	}
	q.wait(&o)
	return withdrawn
}

// wait has an order wait, in the place of the same one if there is one.
func (q *orderQueue) wait(o *queuedOrder) {
	key := keyOf(o.Order)
	if _, known := q.waiting[key]; !known {
		if o.Kind == leader.OrderStart {
			q.starts = append(q.starts, key)
		} else {
			q.first = append(q.first, key)
		}
	}
	q.waiting[key] = o
}

// done takes note that an order was sent. If it was given again meanwhile, it waits again,
// unless the same has been carried out.
func (q *orderQueue) done(o *queuedOrder, executed bool) {
	delete(q.sending, keyOf(o.Order))
	if o.again != nil && !(executed && o.SpeedPercent == o.again.SpeedPercent) {
		q.wait(o.again)
	}
}

// withdraw withdraws an order. It returns it if it waited; one that is being sent is given up
// if its call has not begun.
func (q *orderQueue) withdraw(kind leader.OrderKind, task ledger.TaskID, run int) []leader.Order {
	key := orderKey{kind, task, run}
	if o, ok := q.sending[key]; ok {
		o.withdrawn, o.again = true, nil
	}
	o, ok := q.waiting[key]
	if !ok {
		return nil
	}
	delete(q.waiting, key)
	return []leader.Order{o.Order}
}

// withdrawAll withdraws all orders that wait and returns them.
func (q *orderQueue) withdrawAll() []leader.Order {
	var withdrawn []leader.Order
	for _, o := range q.waiting {
		withdrawn = append(withdrawn, o.Order)
	}
	clear(q.waiting)
	q.first, q.starts = nil, nil
	return withdrawn
}

// next returns the order to be sent next, or nil if none waits.
func (q *orderQueue) next() *queuedOrder {
	for _, list := range []*[]orderKey{&q.first, &q.starts} {
		for len(*list) > 0 {
			key := (*list)[0]
			*list = (*list)[1:]
			if o, ok := q.waiting[key]; ok {
				delete(q.waiting, key)
				q.sending[key] = o
				return o
			}
		}
	}
	return nil
}

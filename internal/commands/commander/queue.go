package commander

import (
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// queuedOrder is an order that waits or is being sent.
type queuedOrder struct {
	leader.Order
	silence int64        // the last silence of the worker before the order was given
	again   *queuedOrder // the same order, given again while this one was being sent
}

// orderKey identifies an order among those to one worker.
type orderKey struct {
	kind leader.OrderKind
	task ledger.TaskID
	run  int
}

func keyOf(o leader.Order) orderKey { return orderKey{o.Kind, o.Task, o.Run} }

// orderQueue has the orders to one worker, each once: those that wait, and those that are
// being sent. The zero value is empty.
type orderQueue struct {
	order   []orderKey // of those that wait, as they were given
	waiting map[orderKey]*queuedOrder
	sending map[orderKey]*queuedOrder
}

// add adds an order that waits, or replaces the same one.
func (q *orderQueue) add(o queuedOrder) {
	if q.waiting == nil {
		q.waiting, q.sending = map[orderKey]*queuedOrder{}, map[orderKey]*queuedOrder{}
	}
	if sent, ok := q.sending[keyOf(o.Order)]; ok {
		sent.again = &o
		return
	}
	q.wait(&o)
}

// wait has an order wait, in the place of the same one if there is one.
func (q *orderQueue) wait(o *queuedOrder) {
	key := keyOf(o.Order)
	if _, known := q.waiting[key]; !known {
		q.order = append(q.order, key)
	}
	q.waiting[key] = o
}

// done takes note that an order was sent. If it was not carried out and was given again
// meanwhile, it waits again.
func (q *orderQueue) done(o *queuedOrder, executed bool) {
	delete(q.sending, keyOf(o.Order))
	if o.again != nil && !executed {
		q.wait(o.again)
	}
}

// withdrawAll withdraws all orders that wait and returns them.
func (q *orderQueue) withdrawAll() []leader.Order {
	var withdrawn []leader.Order
	for _, o := range q.waiting {
		withdrawn = append(withdrawn, o.Order)
	}
	clear(q.waiting)
	q.order = nil
	return withdrawn
}

// next returns the order to be sent next, or nil if none waits.
func (q *orderQueue) next() *queuedOrder {
	if len(q.order) == 0 {
		return nil
	}
	key := q.order[0]
	o := q.waiting[key]
	q.order = q.order[1:]
	delete(q.waiting, key)
	q.sending[key] = o
	return o
}

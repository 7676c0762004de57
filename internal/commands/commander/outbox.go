package commander

import (
	"context"
	"sync"

	"github.com/endivelock/endivelock/internal/leader"
)

// givenUp is an order that is not sent, and why.
type givenUp struct {
	order leader.Order
	err   error
}

// outbox has orders that were given up on the control thread. That thread must not answer them
// itself: it would wait for its own queue. The zero value is empty.
type outbox struct {
	mu     sync.Mutex
	orders []givenUp
	wake   chan struct{}
}

// put adds orders that were given up. It never waits.
func (b *outbox) put(err error, orders ...leader.Order) {
	if len(orders) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range orders {
		b.orders = append(b.orders, givenUp{o, err})
	}
	select {
	case b.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that is signaled when orders are added. The caller holds
// the lock.
func (b *outbox) wakeChannel() chan struct{} {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// take returns the orders and empties the outbox.
func (b *outbox) take() []givenUp {
	b.mu.Lock()
	defer b.mu.Unlock()
	orders := b.orders
	b.orders = nil
	return orders
}

// deliver calls answer with each order until the context ends.
func (b *outbox) deliver(ctx context.Context, answer func(o leader.Order, err error)) {
	b.mu.Lock()
	wake := b.wakeChannel()
	b.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for _, o := range b.take() {
			answer(o.order, o.err)
		}
	}
}

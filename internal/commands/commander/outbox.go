package commander

import (
	"context"
	"sync"

	"github.com/endivelock/endivelock/internal/leader"
)

// outbox has the answers to orders that were given up on the control thread. That thread must
// not submit them itself: it would wait for its own queue. The zero value is empty.
type outbox struct {
	mu      sync.Mutex
	answers []leader.OrderAnswered
	wake    chan struct{}
}

// put adds an answer. It never waits.
func (b *outbox) put(a leader.OrderAnswered) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers = append(b.answers, a)
	select {
	case b.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that is signaled when answers are added. The caller holds
// the lock.
func (b *outbox) wakeChannel() chan struct{} {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// take returns the answers and empties the outbox.
func (b *outbox) take() []leader.OrderAnswered {
	b.mu.Lock()
	defer b.mu.Unlock()
	answers := b.answers
	b.answers = nil
	return answers
}

// deliver calls submit with each answer until the context ends.
func (b *outbox) deliver(ctx context.Context, submit func(leader.OrderAnswered)) {
	b.mu.Lock()
	wake := b.wakeChannel()
	b.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for _, a := range b.take() {
			if ctx.Err() != nil {
				return
			}
			submit(a)
		}
	}
}

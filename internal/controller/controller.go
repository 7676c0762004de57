// Package controller runs the control thread: the one goroutine that owns the
// control state of a process. It accepts events from any goroutine, applies them
// to the state, publishes the new state to readers and passes the effects to a
// Performer. The decisions are made by the state's Apply.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength bounds the queued events; Submit blocks while the queue is full.
	queueLength = 4096
	// batchLength bounds the events that are applied, after the first one,
	// before the state is published.
	batchLength = 64
)

// Machine is an immutable state of a state machine with events of type E and
// effects of type F.
type Machine[S, E, F any] interface {
	// Apply returns the state after an event and the effects to carry out.
	Apply(event E, now time.Time) (S, []F)
}

// Performer carries out effects. It must not block, since it is called on the
// control thread.
type Performer[F any] interface {
	// Perform receives effects in the order in which they were decided.
	Perform(effects []F)
}

// Controller owns the control state. Create it with New.
type Controller[S Machine[S, E, F], E, F any] struct {
	performer Performer[F]
	now       func() time.Time
	events    chan E
	state     S
	published atomic.Pointer[S]
	busy      atomic.Int64 // nanoseconds spent in Apply
	applied   atomic.Int64

	mu      sync.Mutex
	waiters []chan struct{}
}

// New returns a controller with an initial state. The clock now gives the time
// at which an event is applied.
func New[S Machine[S, E, F], E, F any](initial S, p Performer[F], now func() time.Time) *Controller[S, E, F] {
	c := &Controller[S, E, F]{
		performer: p,
		now:       now,
		events:    make(chan E, queueLength),
		state:     initial,
	}
	c.published.Store(&initial)
	return c
}

// Submit queues an event for the control thread. It blocks while the queue is
// full.
func (c *Controller[S, E, F]) Submit(e E) {
	c.events <- e
}

// Snapshot returns the last published state.
func (c *Controller[S, E, F]) Snapshot() S {
	return *c.published.Load()
}

// Cost returns the number of events applied so far and the time spent in Apply.
func (c *Controller[S, E, F]) Cost() (events int64, spent time.Duration) {
	return c.applied.Load(), time.Duration(c.busy.Load())
}

// Await returns the first published state that satisfies a condition, or the
// last one that does not and the error of the context.
func (c *Controller[S, E, F]) Await(ctx context.Context, condition func(S) bool) (S, error) {
	for {
		changed := c.subscribe()
		s := c.Snapshot()
		if condition(s) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-changed:
		}
	}
}

func (c *Controller[S, E, F]) subscribe() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := make(chan struct{})
	c.waiters = append(c.waiters, changed)
	return changed
}

// Serve applies events until the context ends.
func (c *Controller[S, E, F]) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			c.applyBatch(e)
		}
	}
}

// applyBatch applies an event and those queued behind it, publishes the result
// and passes the effects on.
func (c *Controller[S, E, F]) applyBatch(first E) {
	effects := c.apply(first, nil)
	for range batchLength {
		select {
		case e := <-c.events:
			effects = c.apply(e, effects)
			continue
		default:
		}
		break
	}
	c.publish()
	c.performer.Perform(effects)
}

func (c *Controller[S, E, F]) apply(e E, effects []F) []F {
	now := c.now()
	s, added := c.state.Apply(e, now)
	c.state = s
	c.busy.Add(int64(c.now().Sub(now)))
	c.applied.Add(1)
	return append(effects, added...)
}

func (c *Controller[S, E, F]) publish() {
	s := c.state
	c.published.Store(&s)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, changed := range c.waiters {
		close(changed)
	}
	c.waiters = nil
}

// String returns the name that a supervisor logs instead of the fields.
func (c *Controller[S, E, F]) String() string { return "control thread" }

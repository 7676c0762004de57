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
	// queueLength bounds the queued events; Submit waits while the queue is full.
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

// Performer carries out effects. It is called on the control thread, so it must not wait
// for anything that needs this thread: not call Submit, nor wait for a goroutine, a lock or
// a limit of goroutines that may be held by one that calls it.
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
	performed atomic.Int64 // nanoseconds spent in Perform
	began     atomic.Int64 // when the batch in progress began, in nanoseconds since 1970, or 0
	ended     chan struct{}
	end       sync.Once // closes ended

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
		ended:     make(chan struct{}),
		state:     initial,
	}
	c.published.Store(&initial)
	return c
}

// Submit queues an event for the control thread. It waits while the queue is full, so it must
// not be called on that thread. Once Serve has returned, events are dropped.
func (c *Controller[S, E, F]) Submit(e E) {
	select {
	case c.events <- e:
	case <-c.ended:
	}
}

// Snapshot returns the last published state.
func (c *Controller[S, E, F]) Snapshot() S {
	return *c.published.Load()
}

// Cost returns the number of events applied so far and the time spent in Apply.
func (c *Controller[S, E, F]) Cost() (events int64, spent time.Duration) {
	return c.applied.Load(), time.Duration(c.busy.Load())
}

// Performing returns the time spent in Perform so far, and for how long the batch in progress
// has taken at time now, 0 if there is none.
func (c *Controller[S, E, F]) Performing(now time.Time) (total, current time.Duration) {
	if began := c.began.Load(); began != 0 {
		current = max(0, time.Duration(now.UnixNano()-began))
	}
	return time.Duration(c.performed.Load()), current
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
			c.end.Do(func() { close(c.ended) })
			return ctx.Err()
		case e := <-c.events:
			c.applyBatch(e)
		}
	}
}

// applyBatch applies an event and those queued behind it, publishes the result
// and passes the effects on.
func (c *Controller[S, E, F]) applyBatch(first E) {
	c.began.Store(time.Now().UnixNano())
	defer c.began.Store(0)
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
	began := time.Now()
	c.performer.Perform(effects)
	c.performed.Add(int64(time.Since(began)))
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

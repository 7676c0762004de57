// Package timer provides the periodic ticks of a process. Components subscribe
// with a period and receive ticks on a channel; a single goroutine sleeps until
// the next tick is due. The package is not a clock: a component that needs the
// current time reads the clock that was passed to it.
package timer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Subscription delivers periodic ticks. A tick that is due while the previous one
// has not been received is dropped, so a slow subscriber has no backlog.
type Subscription struct {
	C <-chan time.Time

	ticks  chan time.Time
	period time.Duration
	jitter float64
	next   time.Time
	index  int
	timer  *Timer
}

// Timer delivers the ticks of its subscriptions while Serve runs. The zero value
// is ready to use.
type Timer struct {
	mu   sync.Mutex
	due  subscriptions
	wake chan struct{}
}

// Subscribe returns a subscription with a period. Each interval varies at random
// by up to the fraction jitter of the period, so that processes do not
// synchronize.
func (t *Timer) Subscribe(period time.Duration, jitter float64) *Subscription {
	ticks := make(chan time.Time, 1)
	s := &Subscription{C: ticks, ticks: ticks, period: period, jitter: jitter, timer: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.next = time.Now().Add(s.interval())
	heap.Push(&t.due, s)
	t.notify()
	return s
}

// Stop ends the subscription.
func (s *Subscription) Stop() {
	s.timer.mu.Lock()
	defer s.timer.mu.Unlock()
	if s.index >= 0 {
		heap.Remove(&s.timer.due, s.index)
	}
}

func (s *Subscription) interval() time.Duration {
	factor := 1 + s.jitter*(2*rand.Float64()-1)
	return time.Duration(float64(s.period) * factor)
}

// Serve delivers ticks until the context ends.
func (t *Timer) Serve(ctx context.Context) error {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	wake := t.wakeChannel()
	for {
		sleep.Reset(t.deliver(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sleep.C:
		case <-wake:
		}
	}
}

// String returns the name that a supervisor logs instead of the fields.
func (t *Timer) String() string { return "timer" }

// Elapsed returns the time from one time to another, by the monotonic or by the
// wall clock, whichever shows more. The monotonic clock stands still while an
// instance is suspended, so a permission that expires needs both.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Sleep waits for d or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// idleWait is the sleep of Serve without subscriptions; a new one ends it.
const idleWait = time.Hour

// deliver sends the ticks that are due and returns the time to the next one.
func (t *Timer) deliver(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.due) > 0 && !t.due[0].next.After(now) {
		s := t.due[0]
		select {
		case s.ticks <- now:
		default:
		}
		s.next = now.Add(s.interval())
		heap.Fix(&t.due, 0)
	}
	if len(t.due) == 0 {
		return idleWait
	}
	return t.due[0].next.Sub(now)
}

func (t *Timer) wakeChannel() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	return t.wake
}

// notify wakes Serve. The caller holds the lock.
func (t *Timer) notify() {
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// subscriptions is a heap ordered by the time of the next tick.
type subscriptions []*Subscription

var _ heap.Interface = (*subscriptions)(nil)

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].next.Before(q[j].next) }

func (q subscriptions) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *subscriptions) Push(x any) {
	s := x.(*Subscription)
	s.index = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *subscriptions) Pop() any {
	old := *q
	s := old[len(old)-1]
	s.index = -1
	*q = old[:len(old)-1]
	return s
}

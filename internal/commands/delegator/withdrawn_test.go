package delegator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/leader"
)

// Guards against starts that a deputy sends long after the leader has given them up (review/14,
// with the queue at another entry): it hears of what the leader withdraws.
func TestADeputyGivesUpStartsThatTheLeaderWithdraws(t *testing.T) {
	const starts, sent = 40, 2
	for name, withdraw := range map[string]func(c *cell, o leader.Order){
		"stop": func(c *cell, o leader.Order) {
			o.Kind = leader.OrderStop
			c.delegator.Order(o)
		},
		"withdraw": func(c *cell, o leader.Order) {
			c.delegator.Withdraw(leader.Withdraw{Worker: o.Worker, Task: o.Task, Run: o.Run})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, -1, "a")
			w := c.workers["a"]
			w.held = make(chan struct{})
			c.delegator.Watch(watch("w"))
			c.sink.await(t, "the worker reports", reported("w"))
			var orders []leader.Order
			for i := range starts {
				o := start("w")
				o.Task.Index = i
				orders = append(orders, o)
				c.delegator.Order(o)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if w.orderCount() == sent {
					return poll.Success()
				}
				return poll.Continue("%d orders are sent", w.orderCount())
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
			for _, o := range orders {
				withdraw(c, o)
			}
			for _, o := range orders[sent:] {
				c.sink.await(t, fmt.Sprintf("%s is given up", o.Task), func(e leader.Event) bool {
					a, ok := e.(leader.OrderAnswered)
					return ok && a.Kind == leader.OrderStart && a.Task == o.Task && a.Outcome == leader.NotSent
				})
			}
			close(w.held)
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, o := range w.orders[sent:] {
				assert.Equal(t, o.Kind, leader.OrderStop)
			}
		})
	}
}

package delegator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against calls of a lost deputy that a worker executes late, at another incarnation:
// the next caller accepts what the worker reports only once it has seen a higher fence than
// the lost deputy can have sent.
func TestTheNextCallerOfAWorkerFencesOffTheLostOne(t *testing.T) {
	c := newCell(t, -1, "a", "b")
	c.delegator.Watch(watch("w"))
	c.sink.await(t, "report", reported("w"))
	lost, next := "a", "b"
	if c.workers["b"].lastFence() > 0 {
		lost, next = "b", "a"
	}
	c.still.Store(true)
	c.setCut(lost)
	c.sink.await(t, "leases of the lost deputy", callerLost("w"))
	c.sink.clear()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.workers[next].lastFence() > 0 {
			return poll.Success()
		}
		return poll.Continue("the next caller has not polled yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !c.sink.has(reported("w")))
	c.still.Store(false)
	c.sink.await(t, "report", reported("w"))
	assert.Assert(t, c.workers[next].lastFence() > c.workers[lost].lastFence())
}

// lastFence returns the fence of the last poll, 0 if there was none.
func (w *workers) lastFence() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

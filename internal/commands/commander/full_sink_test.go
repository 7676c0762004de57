package commander_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// fullSink is the queue of a control thread that takes nothing while it gives orders.
type fullSink struct {
	events
	room sync.RWMutex // held for writing while the queue is full
}

func (s *fullSink) Submit(epoch int64, e leader.Event) {
	s.room.RLock()
	defer s.room.RUnlock()
	s.events.Submit(epoch, e)
}

// batches are numbers of orders that one event leads to, up to those of a zone that is cut off.
var batches = [...]int{1, 4096, 8193, 50_000}

// orderBatch gives a number of orders, as one event of a control thread does, and returns how
// many are answered once it takes events again.
func orderBatch(t *testing.T, count int, worker func(i int) string, connect commander.Workers) int {
	t.Helper()
	logger, _ := test.NewNullLogger()
	sink := &fullSink{}
	c := &commander.Commander{
		Workers: connect, Sink: sink, Logger: logger, Epoch: 7, Lease: 6 * time.Second, Renewal: time.Second,
		LastConfirmed: time.Now, Polls: metrics.NilTimer{}, Orders: metrics.NilTimer{},
	}
	sink.renew = c.Renew
	ctx, cancel := context.WithCancel(context.Background())
	c.Start(ctx)
	defer c.Wait()
	defer cancel()
	c.Watch(leader.StartPolling{Worker: "known", Address: "a"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(sink.reports(1)) > 0 {
			return poll.Success()
		}
		return poll.Continue("the worker was not heard")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	sink.room.Lock()
	given := make(chan struct{})
	var thread errgroup.Group
	thread.Go(func() error {
		for i := range count {
			c.Order(leader.Order{Worker: worker(i), Kind: leader.OrderStop, Task: ledger.TaskID{Job: "j", Index: i}, Run: 1})
		}
		close(given)
		return nil
	})
	select {
	case <-given:
	case <-time.After(20 * time.Second):
		sink.room.Unlock()
		t.Fatalf("the control thread waits in one of %d orders", count)
	}
	sink.room.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(sink.answers()); n < count {
			return poll.Continue("%d of %d orders are answered", n, count)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	return len(sink.answers())
}

// Guards against a control thread that waits for itself (review/11): orders for workers that
// are not called submitted their answers on it, while its queue was full.
func TestOrdersForWorkersThatAreNotCalledDoNotWait(t *testing.T) {
	for _, count := range batches {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			known := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
			answered := orderBatch(t, count, func(int) string { return "unknown" }, known)
			assert.Equal(t, answered, count)
		})
	}
}

// Guards against the same with workers that are called (review/13): orders beyond a limit of
// goroutines waited on the control thread for the calls of others, whose answers waited for
// it. A worker may answer, or be silent.
func TestOrdersNeverWaitForCalls(t *testing.T) {
	for _, count := range batches {
		for name, fail := range map[string]error{"known": nil, "silent": &classifier.Error{Kind: classifier.Unanswered}} {
			t.Run(fmt.Sprintf("%d %s", count, name), func(t *testing.T) {
				w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
				silent := func(int) string {
					w.refuseOrders(fail)
					if fail != nil {
						w.set(leader.Report{}, fail)
					}
					return "known"
				}
				assert.Equal(t, orderBatch(t, count, silent, w), count)
			})
		}
	}
}

// Guards against a poll for each of thousands of runs that are stopped: those of one worker
// that are wanted while one is being sent lead to one more.
func TestExtraPollsOfAWorkerAreSentOneByOne(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}, hold: 2 * time.Second}
	c, _ := start(t, w, time.Now)
	awaitPolls(t, w, 2) // the second waits
	for range batches[1] {
		c.Poll(leader.PollNow{Worker: "w"})
	}
	awaitPolls(t, w, 3)
	time.Sleep(50 * time.Millisecond)
	polls, _ := w.seen()
	assert.Assert(t, len(polls) < batches[1]/2, "%d polls", len(polls))
}

package commander_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
)

// timedWorkers note when each poll was sent.
type timedWorkers struct {
	*workers
	sent []time.Time
}

func (w *timedWorkers) Connect(string) commander.Connection { return w }

func (w *timedWorkers) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	w.sent = append(w.sent, time.Now())
	return w.workers.Poll(ctx, to, wait)
}

// Guards against leases that outlast the bound that the leader counts on: its reading of a
// worker's clock is old by the time it renews them, and the clock may be slow.
func TestLeasesAreNoLongerOnASlowClock(t *testing.T) {
	const lease, clock, slowest = 6 * time.Second, 1000, 0.98
	polls, orders := metrics.NewTimer(), metrics.NewTimer()
	synctest.Test(t, func(t *testing.T) {
		ended := []leader.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1}} // the next poll waits for its acknowledgement
		w := &timedWorkers{workers: &workers{report: leader.Report{Incarnation: 1, Clock: clock, Ended: ended}}}
		logger, _ := test.NewNullLogger()
		sink := &events{}
		c := &commander.Commander{
			Workers: w, Sink: sink, Logger: logger, Epoch: 7, Lease: lease, Renewal: time.Minute, LastConfirmed: time.Now, Polls: polls, Orders: orders,
		}
		sink.renew = c.Renew
		ctx, cancel := context.WithCancel(t.Context())
		c.Start(ctx)
		c.Watch(leader.StartPolling{Worker: "w", Address: "a"})
		time.Sleep(2 * time.Second)
		cancel()
		c.Wait()
		targets, _ := w.seen()
		age := w.sent[1].Sub(w.sent[0])
		assert.Assert(t, age > time.Second, "the second poll comes %v after the reading", age)
		renewed := time.Duration(targets[1].Values.Deadline()-clock) * time.Millisecond
		assert.Assert(t, renewed > lease && renewed <= lease+time.Duration(slowest*float64(age)), "renewed for %v, with a reading %v old", renewed, age)
	})
}

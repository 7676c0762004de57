package commander_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
)

// longestWay is longer than a lease: no bound on the way of an order is taken for granted.
const longestWay = 9 * time.Second

// slots is how many orders to a worker are in progress at a time.
const slots = 2

// drawnStart is a start that the leader decides on after a pause. Its order takes some time to
// whoever calls the worker.
type drawnStart struct{ pause, way time.Duration }

// cutScript is a worker that is cut off while starts are sent to it.
type cutScript struct {
	fates  []fate        // of the calls from the cut on; what is sent in it arrives after it, or never
	starts []drawnStart  // the first right before the cut
	before time.Duration // from the worker's first report to the starts
	cut    time.Duration
	after  []drawnStart // after the cut
}

func drawCutScript(t *rapid.T) cutScript {
	starts := rapid.Custom(func(t *rapid.T) drawnStart {
		return drawnStart{
			pause: duration(t, "pause", 0, rapid.SampledFrom([]time.Duration{0, shortPause, longPause}).Draw(t, "most")),
			way:   duration(t, "way", 0, rapid.SampledFrom([]time.Duration{0, 0, 0, longestWay}).Draw(t, "longest")),
		}
	})
	return cutScript{
		fates:  rapid.SliceOfN(rapid.Custom(drawFate), 0, 100).Draw(t, "fates"),
		starts: rapid.SliceOfN(starts, rapid.SampledFrom([]int{1, 40}).Draw(t, "least"), 60).Draw(t, "starts"),
		before: duration(t, "before", 100*time.Millisecond, 3*time.Second),
		cut:    duration(t, "cut", rapid.SampledFrom([]time.Duration{500 * time.Millisecond, lease}).Draw(t, "shortest"), 10*time.Second),
		after:  rapid.SliceOfN(starts, 0, 10).Draw(t, "after"),
	}
}

// Guards against starts that a worker executes after the leader has given up their runs and may
// have started the tasks elsewhere (review/6: the start was on its way; review/7: it
// still waited for its turn).
func TestNoRunThatWasGivenUpIsStarted(t *testing.T) {
	checkPlays(t, drawCutScript, playCut)
}

// playCut plays a script, and then a calm time after which an order must be executed.
func playCut(s cutScript) *model {
	ctx, cancel := context.WithCancel(context.Background())
	m, f := newModel(ctx)
	m.mu.Lock()
	m.givenUp = map[int]bool{}
	m.mu.Unlock()
	defer f.commander.Wait()
	defer cancel()
	time.Sleep(s.before)
	for range slots { // leaves lines on which starts can be sent right before the cut
		f.order()
	}
	time.Sleep(2 * workTime)
	for i, start := range s.starts {
		time.Sleep(start.pause)
		f.orderAfter(start.way)
		if i == 0 {
			m.setFates(s.fates)
			m.cutOff(s.cut)
		}
	}
	time.Sleep(s.cut)
	for _, start := range s.after {
		time.Sleep(start.pause)
		f.orderAfter(start.way)
	}
	time.Sleep(calm)
	m.setFates(nil)
	time.Sleep(calm)
	before := f.executed()
	f.order()
	time.Sleep(time.Second)
	if f.executed() != before+1 {
		m.violate("an order in a calm cell is not executed")
	}
	return m
}

// silentWorker calls check with the orders that were answered as not sent, some time after they
// were given for a worker that is cut off, and something else was done.
func silentWorker(t *testing.T, orders int, then func(*commander.Commander), check func(notSent int)) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, f := newModel(ctx)
		defer f.commander.Wait()
		defer cancel()
		time.Sleep(time.Second)
		m.cutOff(time.Minute)
		for range orders {
			f.order()
		}
		then(f.commander)
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		check(f.notSent)
	})
}

// What can't be sent to a silent worker is answered at once: its tasks need not wait for the
// leases there to expire.
func TestOrdersThatWaitForASilentWorkerAreWithdrawn(t *testing.T) {
	silentWorker(t, 40, func(*commander.Commander) {}, func(notSent int) {
		assert.Assert(t, notSent >= 40-2*slots, "%d of 40 orders were answered as not sent", notSent)
	})
}

// Orders that wait for a worker that has another caller now are not sent.
func TestOrdersOfAnEarlierCallerAreWithdrawn(t *testing.T) {
	unwatch := func(c *commander.Commander) { c.Unwatch(leader.StopPolling{Worker: "w"}) }
	silentWorker(t, 10, unwatch, func(notSent int) {
		assert.Assert(t, notSent >= 10-slots, "%d of 10 orders were answered as not sent", notSent)
	})
}

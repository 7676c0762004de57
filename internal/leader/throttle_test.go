package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	latencyTarget = 200 * time.Millisecond
	// Above disturbingSpeed the task that fills takes the one that serves over its target.
	disturbingSpeed = 40
	serving         = "serve.0.0.0"
	filling         = "fill.0.0.0"
	// longestHarm is for how long the target may be missed without a disruption.
	longestHarm = 4 * time.Second
	// longestLateCall is how long a call without an answer may take to be executed. That
	// isn't bounded by the platform's page, which says seconds.
	longestLateCall = 8 * time.Second
)

// speedFate is what becomes of an order on the speed of a run.
type speedFate struct {
	outcome leader.Outcome
	answer  time.Duration // until the outcome is known
	late    time.Duration // until an order of unknown outcome is executed, 0 for never
}

func drawSpeedFate(t *rapid.T) speedFate {
	f := speedFate{
		outcome: rapid.SampledFrom([]leader.Outcome{leader.Executed, leader.Executed, leader.Refused, leader.NotSent, leader.OutcomeUnknown}).Draw(t, "outcome"),
		answer:  time.Duration(rapid.IntRange(0, 600).Draw(t, "answer, ms")) * time.Millisecond,
	}
	if f.outcome == leader.OutcomeUnknown {
		f.late = time.Duration(rapid.Int64Range(0, longestLateCall.Milliseconds()).Draw(t, "late, ms")) * time.Millisecond
	}
	return f
}

// scheduled is something that happens at a time.
type scheduled struct {
	at  time.Time
	act func()
}

// fillingCell is a worker with a task that serves and one that fills beside it.
type fillingCell struct {
	*harness
	speed   int         // of the task that fills, at the worker
	busy    bool        // the task that fills disturbs the other one
	fates   []speedFate // of the next orders; further ones are executed at once
	seen    int         // orders that were handled
	queue   []scheduled
	harmed  time.Duration // for how long the target has been missed
	ordered int           // orders on the speed
}

func newFillingCell(t *testing.T) *fillingCell {
	c := &fillingCell{harness: newHarness(t, 1, ledger.Resources{CPU: 2000, Memory: 8000}), speed: 100}
	c.submit("serve", ledger.Queue{}, ledger.Step{Count: 1, LongRunning: true, LatencyTarget: latencyTarget, Request: ledger.Resources{CPU: 1000}})
	c.submit("fill", ledger.Queue{Priority: 2}, ledger.Step{Count: 1, LongRunning: true, BestEffort: true, Request: ledger.Resources{CPU: 1000}})
	assert.Equal(t, len(c.running), 2)
	return c
}

// measurement is the response time of the task that serves, in milliseconds.
func (c *fillingCell) measurement() int {
	switch {
	case !c.busy:
		return 20
	case c.speed > disturbingSpeed:
		return 350
	}
	return 130
}

// pass lets time pass, with a report each second.
func (c *fillingCell) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		queue := c.queue
		c.queue = nil
		for _, s := range queue {
			if s.at.After(c.now) {
				c.queue = append(c.queue, s)
			} else {
				s.act()
			}
		}
		c.apply(leader.Ticked{})
		if c.now.UnixMilli()%1000 == 0 {
			c.applyReport("w00", leader.Report{Incarnation: 1, Clock: c.now.UnixMilli(), Running: []leader.RunStatus{
				{Task: serving, Number: 1, Percent: 100, Measurement: c.measurement()}, {Task: filling, Number: 1, Percent: 50},
			}}, c.now.Add(testLease).UnixMilli())
		}
		c.carryOut()
		if c.harmed += step; c.measurement() <= int(latencyTarget.Milliseconds()) {
			c.harmed = 0
		}
	}
}

// carryOut has the orders that were sent since it was called last carried out.
func (c *fillingCell) carryOut() {
	for ; c.seen < len(c.orders); c.seen++ {
		o := c.orders[c.seen]
		if o.Kind != leader.OrderThrottle {
			continue
		}
		c.ordered++
		f := speedFate{}
		if len(c.fates) > 0 {
			f, c.fates = c.fates[0], c.fates[1:]
		}
		execute := func() { c.speed = o.SpeedPercent }
		if f.outcome == leader.Executed {
			execute()
		} else if f.late > 0 {
			c.queue = append(c.queue, scheduled{c.now.Add(f.late), execute})
		}
		c.queue = append(c.queue, scheduled{c.now.Add(f.answer), func() {
			c.apply(leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: f.outcome})
		}})
	}
}

// takeOver has another leader go on from the log. Calls of the last one are refused from then
// on.
func (c *fillingCell) takeOver() {
	c.queue, c.renewed = nil, map[string]bool{}
	c.state = leader.New(leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second}, c.now)
	c.apply(leader.Listed{Listing: leader.Listing{ID: "w00", Address: "w00", Service: "s", Capacity: ledger.Resources{CPU: 2000, Memory: 8000}}})
	for _, id := range []ledger.ID{"serve", "fill"} {
		progress := c.records[id]
		step := ledger.Step{Count: 1, LongRunning: true, Request: ledger.Resources{CPU: 1000}, BestEffort: id == "fill"}
		if id == "serve" {
			step.LatencyTarget = latencyTarget
		}
		c.apply(leader.Accepted{Job: ledger.Job{ID: id, Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{step}}, Progress: &progress})
	}
}

// An order on the speed of a task counted as carried out when it was sent (review/9): a
// refusal, a lost answer, a late order or a new leader left the task at a speed that
// disturbed others, or slowed down for good.
func TestSpeedsAreOrderedUntilTheyAreConfirmed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newFillingCell(t)
		for range rapid.IntRange(1, 6).Draw(rt, "phases") {
			c.busy = rapid.Bool().Draw(rt, "busy")
			c.fates = rapid.SliceOfN(rapid.Custom(drawSpeedFate), 0, 20).Draw(rt, "fates")
			c.pass(time.Duration(rapid.IntRange(1, 15).Draw(rt, "seconds")) * time.Second)
			if rapid.IntRange(0, 3).Draw(rt, "new leader") == 0 {
				c.takeOver()
			}
		}
		c.fates = nil
		c.pass(longestLateCall)
		if c.busy {
			for range 20 {
				c.pass(time.Second)
				assert.Assert(rt, c.harmed < longestHarm, "the target has been missed for %v at %d%%", c.harmed, c.speed)
			}
		}
		c.busy = false
		c.pass(20 * time.Second)
		assert.Equal(rt, c.speed, 100, "the task stays slowed down")
		ordered := c.ordered
		c.pass(20 * time.Second)
		assert.Equal(rt, c.ordered, ordered, "confirmed orders are repeated")
	})
}

// A refused order is repeated at once, and no sooner than after a pause.
func TestARefusedSpeedIsOrderedAgain(t *testing.T) {
	c := newFillingCell(t)
	c.busy = true
	for range 6 {
		c.fates = append(c.fates, speedFate{outcome: leader.Refused})
	}
	c.pass(4 * time.Second)
	assert.Equal(t, c.speed, 0)
	assert.Equal(t, c.ordered, 7)
}

package leader_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// rackOf returns the rack of a simulated worker.
func rackOf(worker string) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(worker, "w"))
	return fmt.Sprintf("r%d", n/20)
}

// runTime returns the time of a task near its data, which is the same in each run.
func (j simulatedJob) runTime(id ledger.TaskID) time.Duration {
	index := id.Index
	if j.job.Steps[id.Step].Gang {
		index = 0
	}
	u := rand.New(rand.NewPCG(j.seed, uint64(id.Step<<16|index))).Float64()
	return time.Duration(float64(j.queue.run) * (0.5 + u))
}

// joinGang has a member of a gang begin. Once all have, they end together after a time, which
// is longer if they are in several racks.
func (c *simulatedCell) joinGang(o leader.Order, task dayTask, d time.Duration) {
	task.at = c.now.Add(time.Hour)
	c.running[o.Worker] = append(c.running[o.Worker], task)
	step := ledger.TaskID{Job: o.Task.Job, Round: o.Task.Round, Step: o.Task.Step, Index: 0}.String()
	step = strings.TrimSuffix(step, "0")
	members, racks := 0, map[string]bool{}
	each := func(do func(worker string, t *dayTask)) {
		for _, w := range c.names {
			for i := range c.running[w] {
				if t := &c.running[w][i]; strings.HasPrefix(t.Task, step) && t.Run == o.Run {
					do(w, t)
				}
			}
		}
	}
	each(func(w string, _ *dayTask) { members, racks[rackOf(w)] = members+1, true })
	if members < c.jobs[o.Task.Job].job.Steps[o.Task.Step].Count {
		return
	}
	if len(racks) > 1 {
		d = time.Duration(float64(d) * c.far)
		c.kinds["spread gang"]++
	}
	each(func(w string, t *dayTask) {
		t.at = c.now.Add(d)
		c.at(d+pollTime/2, func() { c.reportEnds(w) })
	})
}

// nearPolicy is a way to treat tasks whose rack has no room.
type nearPolicy string

const (
	alwaysNear nearPolicy = "always near" // they wait, however long it takes
	alwaysFar  nearPolicy = "always far"  // they start elsewhere at once
	asItPays   nearPolicy = "as it pays"
)

const farRun = 3 // times as long as a near one

// nearLoad is a load of jobs of which some want a rack.
type nearLoad struct {
	name    string
	perSec  float64
	wanting float64 // fraction of the jobs whose data is in one rack
	hot     float64 // fraction of these that want the same rack
	stretch float64
	slo     time.Duration
	gangs   float64 // fraction of the jobs that are gangs, which want one rack
	blind   bool    // workers report no progress
	mixed   bool    // both ways must be worse than waiting as it pays
}

// play returns the mean time to the end of a job. Jobs that have not ended count up to the end
// of the run.
func (n nearLoad) play(seed uint64, policy nearPolicy) (time.Duration, *simulatedCell) {
	shape := func(c *simulatedCell, j *ledger.Job) {
		j.Queue.Advice = nil
		off, wants, hot, rack := 0.1+1.8*c.drawn.Float64(), c.drawn.Float64() < n.wanting, c.drawn.Float64() < n.hot, c.drawn.IntN(3)
		gang := c.drawn.Float64() < n.gangs
		for i := range j.Steps {
			s := &j.Steps[i]
			s.Estimate = time.Duration(off * float64(s.Estimate))
			switch {
			case gang:
				s.Gang, s.SameRack = true, true
			case wants && hot:
				s.Rack = "r0"
			case wants:
				s.Rack = fmt.Sprintf("r%d", rack)
			}
			if policy == alwaysNear {
				s.RequiredLabel = s.Rack
			}
		}
	}
	queue := queueLoad{name: "near", priority: 1, perSecond: n.perSec, steps: 1, width: 8, size: ledger.Resources{CPU: 16_000, Memory: 1}, run: time.Second, stretch: n.stretch, objective: n.slo, shape: shape}
	c := newSimulatedCell(seed, cellLoad{workers: 60, far: farRun, waits: policy == asItPays, blind: n.blind, queues: []queueLoad{queue}})
	c.countFrom, c.countUntil = 2*time.Second, 14*time.Second
	c.run(20 * time.Second)
	r := c.results["near"]
	for _, j := range c.jobs {
		if j.counted {
			r.took += c.now.Sub(j.accepted)
			r.longest = max(r.longest, c.now.Sub(j.accepted))
		}
	}
	c.results["near"] = r
	return r.took / time.Duration(max(r.jobs, 1)), c
}

// mean returns the mean of play over some seeds.
func (n nearLoad) mean(t *testing.T, policy nearPolicy) time.Duration {
	t.Helper()
	const seeds = 3
	var sum time.Duration
	for seed := range uint64(seeds) {
		took, _ := n.play(seed+1, policy)
		sum += took
	}
	t.Logf("%s, %s: %v", n.name, policy, (sum / seeds).Round(time.Millisecond))
	return sum / seeds
}

// Load patterns: racks that are wanted evenly or by most, at light to heavy load, with
// estimates that are off by up to 90%. Guards against waits that cost more than they gain.
func TestWaitsForARackPay(t *testing.T) {
	for _, n := range []nearLoad{
		{name: "middling, even", perSec: 18, wanting: 0.5, stretch: 1.5},
		{name: "heavy, even", perSec: 25, wanting: 0.7, stretch: 1.5},
		{name: "one rack nearly full", perSec: 16, wanting: 0.7, hot: 0.9, stretch: 2.2},
		{name: "one rack in demand", perSec: 20, wanting: 0.7, hot: 0.9, stretch: 2.2, mixed: true},
		{name: "one rack in demand, with slack", perSec: 14, wanting: 0.7, hot: 0.9, stretch: 2.2, slo: 4 * time.Second},
		{name: "all want one rack", perSec: 12, wanting: 1, hot: 1, stretch: 2.2, mixed: true},
	} {
		t.Run(n.name, func(t *testing.T) {
			near, far, pays := n.mean(t, alwaysNear), n.mean(t, alwaysFar), n.mean(t, asItPays)
			most := 1.05
			if n.mixed {
				most = 1
			}
			assert.Assert(t, float64(pays) <= most*float64(min(near, far)), "%v, against %v near and %v far", pays, near, far)
		})
	}
}

// Load patterns: racks that are wanted evenly or by most, at workers that report no progress.
func TestWaitsForARackPayWithoutReports(t *testing.T) {
	for _, n := range []nearLoad{
		{name: "one rack nearly full, without progress", perSec: 16, wanting: 0.7, hot: 0.9, stretch: 2.2, blind: true},
		{name: "heavy, even, without progress", perSec: 25, wanting: 0.7, stretch: 1.5, blind: true},
	} {
		t.Run(n.name, func(t *testing.T) {
			near, far, pays := n.mean(t, alwaysNear), n.mean(t, alwaysFar), n.mean(t, asItPays)
			assert.Assert(t, float64(pays) <= 1.05*float64(min(near, far)), "%v, against %v near and %v far", pays, near, far)
		})
	}
}

// Load patterns: gangs that want one rack, beside jobs that fill the cell more or less, with
// estimates that are off by up to 90%. Guards against waits that gangs pay for.
func TestWaitsOfGangsPay(t *testing.T) {
	for _, n := range []nearLoad{
		{name: "gangs, middling", perSec: 18, gangs: 0.3, stretch: 2.2},
		{name: "gangs, heavy", perSec: 25, gangs: 0.3, stretch: 2.2},
		{name: "gangs and a rack in demand", perSec: 18, gangs: 0.3, wanting: 0.5, hot: 0.9, stretch: 2.2},
	} {
		t.Run(n.name, func(t *testing.T) {
			far, pays := n.mean(t, alwaysFar), n.mean(t, asItPays)
			assert.Assert(t, float64(pays) <= 1.05*float64(far), "%v, against %v if they are spread at once", pays, far)
		})
	}
}

// Guards against runs away from their data that count as stragglers, and their workers as slow.
func TestFarRunsAreNoStragglers(t *testing.T) {
	n := nearLoad{perSec: 12, wanting: 1, hot: 1, stretch: 2.2}
	_, c := n.play(1, asItPays)
	assert.Assert(t, c.kinds["far run"] > 20, "%d", c.kinds["far run"])
	for kind := range c.kinds {
		assert.Assert(t, !strings.HasPrefix(kind, "stop: straggles") && !strings.HasPrefix(kind, "exclude"), kind)
	}
}

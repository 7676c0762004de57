package leader_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// advised returns a queue whose steps need advice.
func advised(name string, priority int) ledger.Queue {
	return ledger.Queue{Name: name, Priority: priority, Advice: &ledger.Advice{PerCall: 20 * time.Millisecond, TTL: 2 * time.Second}}
}

// passTime is the time between two placement passes while events come in.
const passTime = 10 * time.Millisecond

// Guards against jobs that stand still with room free: lasting steps with more tasks than
// permitted workers used up the searches of every pass, so that no step behind them was
// ever asked about.
func TestStepsThatCannotBePlacedHoldUpNoOthers(t *testing.T) {
	h := newHarness(t, 24, ledger.Resources{CPU: 64000, Memory: 64000})
	for i := range 8 {
		h.permitted[fmt.Sprintf("w%02d", i)] = true
	}
	for i := range 20 {
		h.submit(ledger.ID(fmt.Sprintf("lasting%d", i)), advised("lasting", 1), ledger.Step{Count: 10, MaxPerWorker: 1, LongRunning: true, Request: ledger.Resources{CPU: 1000}})
	}
	h.advance(10 * time.Second)
	assert.Equal(t, len(h.running), 160)
	h.submit("j", advised("batch", 2), ledger.Step{Count: 2, Request: ledger.Resources{CPU: 1000}})
	h.advanceBy(passTime, 3*time.Second)
	assert.Equal(t, len(h.running), 162)
}

// Guards against the same for steps that have tickets: those without room at the workers
// that they may run on ended every pass.
func TestStepsWithoutRoomHoldUpNoOthers(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 64000, Memory: 64000})
	for i := range 200 {
		h.submit(ledger.ID(fmt.Sprintf("lasting%d", i)), ledger.Queue{Priority: 1}, ledger.Step{Count: 5, MaxPerWorker: 1, LongRunning: true, Request: ledger.Resources{CPU: 10}})
	}
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 800)
	h.submit("j", ledger.Queue{Priority: 2}, ledger.Step{Count: 2, Request: ledger.Resources{CPU: 1000}})
	h.advance(3 * time.Second) // passes that are further apart than the pauses of steps without room
	assert.Equal(t, len(h.running), 802)
}

// calmCell is a cell in which nothing fails. It counts free room by itself.
type calmCell struct {
	*harness
	room    ledger.Resources
	workers int
	share   int // percentage of the workers that may run a step
	jobs    map[ledger.ID]ledger.Job
	began   map[string]time.Time    // by task
	active  map[ledger.ID]time.Time // when a run of a job was last there
	done    map[string]bool
	past    []map[string]string // worker by task, at each look of the last turnTime
}

func (c *calmCell) permits(step, worker string) bool {
	f := fnv.New32a()
	_, _ = f.Write([]byte(step + worker))
	return int(f.Sum32()%100) < c.share
}

const (
	// shortRun is how long each task runs that is not meant to last.
	shortRun = 300 * time.Millisecond
	// lookTime is the time between two looks at the cell.
	lookTime = 50 * time.Millisecond
	// turnTime is how long a job may take to start once more urgent ones have left it room.
	turnTime = time.Second
)

// pass lets time pass. Gangs and short tasks end as done after shortRun.
func (c *calmCell) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(lookTime)
		c.apply(leader.Ticked{})
		ends := map[string][]leader.RunEnd{}
		for task, at := range c.running {
			if _, seen := c.began[task]; !seen {
				c.began[task] = c.now
			}
			id, _ := ledger.ParseTaskID(task)
			c.active[id.Job] = c.now
			if c.now.Sub(c.began[task]) >= shortRun && !c.jobs[id.Job].Steps[id.Step].LongRunning {
				c.ended[at]++
				ends[at] = append(ends[at], leader.RunEnd{Number: c.ended[at], Task: task, Run: 1, Kind: leader.EndDone})
			}
		}
		for at, list := range ends {
			for _, e := range list {
				delete(c.running, e.Task)
				c.done[e.Task] = true
			}
			c.report(at, list...)
		}
		c.past = append(c.past, maps.Clone(c.running))
		c.past = c.past[max(0, len(c.past)-int(turnTime/lookTime)):]
	}
}

// inUse returns the share of all room that is in use.
func (c *calmCell) inUse() float64 {
	used := ledger.Resources{}
	for task := range c.running {
		id, _ := ledger.ParseTaskID(task)
		used = used.Plus(c.jobs[id.Job].Steps[id.Step].Reservation())
	}
	return float64(used.CPU) / float64(c.room.CPU*int64(c.workers))
}

// stillTime is how long nothing of a job may run while a task fits.
const stillTime = 3 * time.Second

// startable returns a step that has idle tasks and fits, though nothing of its job runs.
func (c *calmCell) startable() string {
	for id := range c.jobs {
		if found := c.startableJob(id); found != "" {
			return found
		}
	}
	return ""
}

// startableJob returns the step of a job as startable does.
func (c *calmCell) startableJob(id ledger.ID) string {
	job := c.jobs[id]
	if c.now.Sub(c.active[id]) < stillTime {
		return ""
	}
	step := job.Steps[0]
	idle, places := c.idle(id), c.places(id, c.running, func(ledger.ID) bool { return true })
	if idle > 0 && places >= 2*needed(step) && !c.givesWay(id) {
		return fmt.Sprintf("%s: %d tasks wait with room for %d", id, idle, places)
	}
	return ""
}

// idle returns how many tasks of a job wait.
func (c *calmCell) idle(id ledger.ID) int {
	idle := 0
	for i := range c.jobs[id].Steps[0].Count {
		if task := fmt.Sprintf("%s.0.0.%d", id, i); !c.done[task] && c.running[task] == "" {
			idle++
		}
	}
	return idle
}

// places returns how many more tasks of a job fit beside some runs: its own and those of the other
// jobs that count.
func (c *calmCell) places(id ledger.ID, running map[string]string, counts func(other ledger.ID) bool) int {
	step := c.jobs[id].Steps[0]
	free := map[string]ledger.Resources{}
	here := map[string]int{}
	for i := range c.workers {
		free[fmt.Sprintf("w%02d", i)] = c.room
	}
	for task, at := range running {
		other, _ := ledger.ParseTaskID(task)
		if other.Job == id {
			here[at]++
		}
		if other.Job == id || counts(other.Job) {
			free[at] = free[at].Minus(c.jobs[other.Job].Steps[other.Step].Reservation())
		}
	}
	places := 0
	for worker, left := range free {
		if c.mayRun(id, worker) {
			places += max(fitting(step, left, here[worker]), 0)
		}
	}
	return places
}

// givesWay reports whether a job has just waited for more urgent ones that use the workers in turns,
// so that there is room between two of their tasks for a moment: these, and what lasts, left too
// little room.
func (c *calmCell) givesWay(id ledger.ID) bool {
	counts := func(other ledger.ID) bool {
		return c.jobs[other].Queue.Priority < c.jobs[id].Queue.Priority || c.jobs[other].Steps[0].LongRunning
	}
	return slices.ContainsFunc(c.past, func(running map[string]string) bool {
		return c.places(id, running, counts) < needed(c.jobs[id].Steps[0])
	})
}

// mayRun reports whether a worker may run tasks of a job.
func (c *calmCell) mayRun(id ledger.ID, worker string) bool {
	return c.jobs[id].Queue.Advice == nil || c.permits(string(id)+".0.0", worker)
}

// fitting returns how many more tasks of a step a worker may run that has so much room left and
// runs some of them.
func fitting(step ledger.Step, left ledger.Resources, here int) int {
	fits := int(left.CPU / step.Request.CPU)
	if step.MaxPerWorker > 0 {
		fits = min(fits, step.MaxPerWorker-here)
	}
	return fits
}

// needed returns how many tasks of a step have to start at once.
func needed(step ledger.Step) int {
	if step.Gang {
		return step.Count
	}
	return 1
}

// Guards against steps that wait though there is room for them, in a cell in which nothing
// fails: whatever waits beside them.
func TestStepsThatFitStartInACalmCell(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &calmCell{
			room: ledger.Resources{CPU: 8000, Memory: 1 << 40}, workers: rapid.IntRange(4, 24).Draw(rt, "workers"), share: rapid.IntRange(20, 90).Draw(rt, "share"),
			jobs: map[ledger.ID]ledger.Job{}, began: map[string]time.Time{}, active: map[ledger.ID]time.Time{}, done: map[string]bool{},
		}
		policy := leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: passTime, Far: rapid.SampledFrom([]float64{0, 3}).Draw(rt, "far")}
		c.harness = newRackedHarness(t, c.workers, c.room, policy, func(i int) string { return fmt.Sprintf("r%d", i%3) })
		c.harness.percent = rapid.IntRange(0, 99).Draw(rt, "percent")
		c.harness.permits = c.permits
		for n := range rapid.IntRange(1, 60).Draw(rt, "jobs") {
			q := ledger.Queue{Name: "plain", Priority: rapid.IntRange(0, 2).Draw(rt, "priority")}
			if rapid.Bool().Draw(rt, "advice") {
				q = advised("advised", q.Priority)
			}
			step := ledger.Step{Count: rapid.IntRange(1, 30).Draw(rt, "count"), Request: ledger.Resources{CPU: int64(rapid.IntRange(50, 4000).Draw(rt, "cpu"))}}
			switch rapid.SampledFrom([]string{"short", "gang", "lasting"}).Draw(rt, "kind") {
			case "gang":
				step.Gang, step.SameRack = true, rapid.Bool().Draw(rt, "one rack")
			case "lasting":
				step.LongRunning, step.MaxPerWorker, step.Request.CPU = true, 1, 50
			}
			step.Rack = rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(rt, "rack")
			step.Estimate = time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "estimate")) * time.Millisecond
			id := ledger.ID(fmt.Sprintf("j%02d", n))
			c.jobs[id] = ledger.Job{ID: id, Queue: q, Steps: []ledger.Step{step}}
			c.submit(id, q, step)
			c.pass(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * time.Millisecond)
		}
		for c.pass(time.Second); c.inUse() >= 0.5; c.pass(time.Second) {
		}
		c.pass(stillTime)
		if found := c.startable(); found != "" && c.inUse() < 0.5 {
			rt.Fatal(found)
		}
	})
}

// Guards against the same where calls for advice are slow: gangs too large for the workers
// that they may run on asked for tickets anew all the time and took all callers.
func TestGangsThatDoNotFitHoldUpNoOthers(t *testing.T) {
	h := newHarness(t, 24, ledger.Resources{CPU: 8000, Memory: 64000})
	for i := range 8 {
		h.permitted[fmt.Sprintf("w%02d", i)] = true
	}
	h.adviceDelayed = true
	slow := advised("batch", 2)
	slow.Advice.PerCall = 500 * time.Millisecond
	for i := range 30 {
		h.submit(ledger.ID(fmt.Sprintf("gang%d", i)), slow, ledger.Step{Count: 100, Gang: true, Request: ledger.Resources{CPU: 1000}})
	}
	h.answerAfter(slow.Advice.PerCall, 20*time.Second)
	h.submit("j", slow, ledger.Step{Count: 2, Request: ledger.Resources{CPU: 1000}})
	h.answerAfter(slow.Advice.PerCall, 5*time.Second)
	assert.Equal(t, len(h.running), 2)
}

// answerAfter lets time pass and answers each advice call after a delay.
func (h *harness) answerAfter(delay, d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.advanceBy(passTime, passTime)
		for len(h.unanswered) > 0 && h.now.Sub(h.unanswered[0].at) >= delay {
			call := h.unanswered[0].call
			h.unanswered = h.unanswered[1:]
			h.answerAdvice(call)
		}
	}
}

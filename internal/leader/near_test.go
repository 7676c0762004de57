package leader_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

var oneTask = ledger.Resources{CPU: 1000}

// newRackHarness returns a harness with two workers in each of two racks, each with room for
// two tasks. Those of the first rack, w00 and w01, run up to four tasks of a job "first" that
// are expected to end after a time.
func newRackHarness(t *testing.T, far float64, tasks int, left time.Duration) *harness {
	policy := leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, Far: far}
	h := newRackedHarness(t, 4, ledger.Resources{CPU: 2000, Memory: 1}, policy, func(i int) string { return fmt.Sprintf("r%d", i/2) })
	h.percent = 0
	h.submit("first", ledger.Queue{}, ledger.Step{Count: tasks, Request: oneTask, Estimate: left, RequiredLabel: "r0"})
	assert.Equal(t, len(h.running), tasks)
	return h
}

// end ends a task of the first job at w00 or w01.
func (h *harness) end(task string) {
	worker := h.running[task]
	delete(h.running, task)
	h.ended[worker]++
	h.report(worker, leader.RunEnd{Number: h.ended[worker], Task: task, Run: 1, Kind: leader.EndDone})
}

func inFirstRack(worker string) bool { return worker == "w00" || worker == "w01" }

func nearTask(estimate time.Duration) ledger.Step {
	return ledger.Step{Count: 1, Request: oneTask, Estimate: estimate, Rack: "r0"}
}

func TestAStepWaitsForItsRackWhileThatPays(t *testing.T) {
	h := newRackHarness(t, 3, 4, 500*time.Millisecond)
	h.submit("j", ledger.Queue{}, nearTask(time.Second))
	h.advance(400 * time.Millisecond)
	assert.Equal(t, h.running["j.0.0.0"], "")
	h.end("first.0.0.0")
	h.advance(100 * time.Millisecond)
	assert.Assert(t, inFirstRack(h.running["j.0.0.0"]))
}

// Guards against waits that don't pay, and against those of tasks that must not wait.
func TestStepsStartElsewhereAtOnce(t *testing.T) {
	service, noEstimate := nearTask(time.Second), nearTask(0)
	service.LongRunning = true
	for name, c := range map[string]struct {
		far  float64
		left time.Duration
		step ledger.Step
	}{
		"room is far ahead":    {3, 900 * time.Millisecond, nearTask(400 * time.Millisecond)},
		"places don't matter":  {1, 100 * time.Millisecond, nearTask(time.Second)},
		"a service":            {3, 100 * time.Millisecond, service},
		"an unknown run time":  {3, 100 * time.Millisecond, noEstimate},
		"longer than is borne": {3, 1100 * time.Millisecond, nearTask(time.Minute)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRackHarness(t, c.far, 4, c.left)
			h.submit("j", ledger.Queue{}, c.step)
			assert.Assert(t, h.running["j.0.0.0"] != "" && !inFirstRack(h.running["j.0.0.0"]))
		})
	}
}

// Guards against jobs that count as lost: nothing of the job runs and there is room, but the
// runs that it waits for don't end.
func TestAWaitInVainEndsWithinItsBound(t *testing.T) {
	h := newRackHarness(t, 3, 4, 800*time.Millisecond)
	h.submit("j", ledger.Queue{}, nearTask(time.Minute))
	h.advance(500 * time.Millisecond)
	assert.Equal(t, h.running["j.0.0.0"], "")
	h.advance(700 * time.Millisecond)
	assert.Assert(t, h.running["j.0.0.0"] != "" && !inFirstRack(h.running["j.0.0.0"]))
}

// Load pattern: all jobs want one rack, of which little becomes free. Guards against all of
// them waiting for the same place.
func TestARackThatAllWantHasAQueue(t *testing.T) {
	h := newRackHarness(t, 3, 3, 500*time.Millisecond)
	h.submit("full", ledger.Queue{}, ledger.Step{Count: 1, Request: oneTask, Estimate: time.Minute, RequiredLabel: "r0"})
	for i := range 6 {
		h.submit(ledger.ID(fmt.Sprintf("j%d", i)), ledger.Queue{}, nearTask(time.Second))
	}
	h.advance(100 * time.Millisecond)
	waiting := 0
	for i := range 6 {
		if h.running[fmt.Sprintf("j%d.0.0.0", i)] == "" {
			waiting++
		}
	}
	assert.Equal(t, waiting, 3, "places that are soon free")
}

// Guards against places at workers that the advice doesn't permit.
func TestOnlyPermittedWorkersCountAsNear(t *testing.T) {
	for _, permitted := range []bool{true, false} {
		h := newRackHarness(t, 3, 3, time.Second)
		h.permitted = map[string]bool{"w00": permitted, "w01": permitted, "w02": true}
		q := ledger.Queue{Advice: &ledger.Advice{PerCall: time.Millisecond, TTL: 5 * time.Second}}
		step := nearTask(10 * time.Second)
		step.Count = 2
		h.submit("j", q, step)
		h.advance(400 * time.Millisecond)
		near, far := 0, 0
		for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
			switch w := h.running[task]; {
			case inFirstRack(w):
				near++
			case w != "":
				far++
			}
		}
		if permitted {
			assert.Equal(t, near, 1)
			assert.Equal(t, far, 0, "the other one waits")
		} else {
			assert.Equal(t, far, 2, "w02 has room for two")
		}
	}
}

// Load pattern: gangs that want one rack. One that fits into a rack soon waits for it, one
// that doesn't is spread.
func TestAGangWaitsForOneRackWhileThatPays(t *testing.T) {
	for left, waits := range map[time.Duration]bool{500 * time.Millisecond: true, 5 * time.Second: false} {
		h := newRackHarness(t, 3, 2, left)
		gang := ledger.Step{Count: 4, Gang: true, SameRack: true, Request: oneTask, Estimate: time.Second}
		h.submit("other", ledger.Queue{}, ledger.Step{Count: 1, Request: oneTask, Estimate: time.Minute, RequiredLabel: "r1"})
		h.submit("j", ledger.Queue{}, gang)
		h.advance(100 * time.Millisecond)
		assert.Equal(t, h.running["j.0.0.0"] == "", waits)
		if !waits {
			continue
		}
		h.end("first.0.0.0")
		h.end("first.0.0.1")
		h.advance(100 * time.Millisecond)
		for i := range 4 {
			assert.Assert(t, inFirstRack(h.running[fmt.Sprintf("j.0.0.%d", i)]))
		}
	}
}

// Guards against lines of the log for each look at a wait.
func TestAWaitIsLoggedOnceAtEitherEnd(t *testing.T) {
	h := newRackHarness(t, 3, 4, 500*time.Millisecond)
	h.submit("j", ledger.Queue{}, nearTask(time.Second))
	h.advance(400 * time.Millisecond)
	h.end("first.0.0.0")
	h.advance(100 * time.Millisecond)
	var lines []string
	for _, d := range h.decisions {
		if strings.HasPrefix(d.What, "wait") {
			lines = append(lines, d.What+" "+d.Task+": "+d.Why)
		}
	}
	assert.DeepEqual(t, lines, []string{
		"wait j.0.0: 1 tasks for rack r0, expected in 500 ms, at most 1000 ms",
		"waited j.0.0: 500 ms for rack r0",
	})
}

// Guards against a step that starts away from its rack since a gang before it counts twice: by
// the room that it has just taken, and as if it still waited for that room.
func TestAGangThatHasStartedIsNotAheadOfOtherWaits(t *testing.T) {
	h := newRackHarness(t, 3, 4, 500*time.Millisecond)
	gang := gangStep(2)
	gang.Rack, gang.Estimate = "r0", 10*time.Second
	h.submit("gang", ledger.Queue{}, gang)
	h.submit("j", ledger.Queue{Priority: 1}, nearTask(time.Second))
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.running["gang.0.0.0"]+h.running["j.0.0.0"], "", "both wait")
	var ended []string
	for _, task := range h.runningTasks() {
		if h.running[task] == "w00" {
			ended = append(ended, task)
		}
	}
	h.completeRuns("w00", ended...)
	h.advance(100 * time.Millisecond)
	assert.Assert(t, inFirstRack(h.running["gang.0.0.0"]))
	assert.Equal(t, h.running["j.0.0.0"], "", "the rack has room for it in 100 ms")
}

// Guards against a step that starts away from its rack since a task before it that has just
// started there still counts as waiting, once a gang before both has looked for room.
func TestATaskThatHasStartedIsNotAheadOfOtherWaits(t *testing.T) {
	h := newRackHarness(t, 3, 4, 500*time.Millisecond)
	gang := gangStep(2)
	gang.Rack, gang.Estimate = "r0", 10*time.Second
	h.submit("gang", ledger.Queue{}, gang)
	h.submit("j", ledger.Queue{Priority: 1}, nearTask(time.Second))
	h.submit("k", ledger.Queue{Priority: 2}, nearTask(time.Second))
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.running["j.0.0.0"]+h.running["k.0.0.0"], "", "both wait")
	h.end("first.0.0.0")
	h.advance(100 * time.Millisecond)
	assert.Equal(t, h.running["gang.0.0.0"], "")
	assert.Assert(t, inFirstRack(h.running["j.0.0.0"]))
	assert.Equal(t, h.running["k.0.0.0"], "", "the rack has room for it in 100 ms")
}

package leader_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// gangOf submits a job of one gang, a member of which runs at each worker, and returns the harness.
func gangOf(t *testing.T, members, attempts int) *harness {
	t.Helper()
	h := newHarness(t, members, ledger.Resources{CPU: 1000, Memory: 8000})
	h.submit("j", ledger.Queue{Attempts: attempts}, gangStep(members))
	assert.Equal(t, len(h.running), members)
	return h
}

// endGang has the run of each member end at its worker, in order: those that fail first.
func (h *harness) endGang(run int, failing ...int) {
	h.t.Helper()
	for _, i := range failing {
		h.endMember(i, run, leader.EndFailed)
	}
	for i := range h.records["j"].Step(0, 0) {
		if !slices.Contains(failing, i) {
			h.endMember(i, run, leader.EndGangBroken)
		}
	}
}

// endMember has the run of a member end at its worker.
func (h *harness) endMember(i, run int, how leader.EndKind) {
	task := h.member(i)
	worker := h.running[task]
	delete(h.running, task)
	h.ended[worker]++
	h.report(worker, leader.RunEnd{Number: h.ended[worker], Task: task, Run: run, Kind: how})
}

func (h *harness) member(i int) string {
	return ledger.TaskID{Job: "j", Index: i}.String()
}

// lastFailures returns how many failed runs the leader has counted for the job's gang.
func (h *harness) lastFailures() int {
	failures := 0
	for _, d := range h.decisions {
		if d.What == "fail" {
			failures = d.Failures
		}
	}
	return failures
}

// Guards against an accepted job shown as failed with attempts left (LOST): several members
// of one run of its gang end as failed.
func TestARunOfAGangCountsAsOneFailureHoweverManyMembersFail(t *testing.T) {
	for members := 2; members <= 4; members++ {
		for failing := 1; failing <= members; failing++ {
			t.Run(fmt.Sprintf("%d of %d", failing, members), func(t *testing.T) {
				const attempts = 3
				h := gangOf(t, members, attempts)
				for run := 1; run < attempts; run++ {
					var failed []int
					for i := range failing {
						failed = append(failed, (run+i)%members)
					}
					h.endGang(run, failed...)
					assert.Equal(t, h.lastFailures(), run)
					assert.Assert(t, !h.records["j"].State.Final(), "the job is %s after %d failed runs", h.records["j"].State, run)
					assert.Equal(t, len(h.running), members, "the gang runs again")
				}
				h.endGang(attempts, 0)
				assert.Equal(t, h.records["j"].State, ledger.Failed)
			})
		}
	}
}

// Guards against the same over drawn orders of ends, reports that are lost or repeated, lost
// callers of workers, workers that restart, and leaders that follow each other between two ends
// of one run: the simulation checks each record and each start.
func TestRunsOfAGangCountOnceInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t, 4, 0)
		step := gangStep(rapid.IntRange(2, 4).Draw(t, "members"))
		step.MaxPerWorker = rapid.IntRange(0, 1).Draw(t, "most at a worker")
		j := ledger.Job{ID: "j", Accepted: sm.now, Queue: ledger.Queue{Service: "s", Attempts: rapid.IntRange(2, 4).Draw(t, "attempts")}, Steps: []ledger.Step{step}}
		sm.jobs["j"] = j
		sm.pollAll()
		sm.apply(leader.Accepted{Job: j})
		for range rapid.IntRange(1, 6).Draw(t, "runs") {
			if !sm.startGang() {
				break
			}
			sm.breakGang(t)
			sm.hearOfEnds(t)
		}
		settle(sm)
		assert.Assert(t, sm.log["j"].State.Final(), "the job is %s after %d failed runs of %d", sm.log["j"].State, len(sm.failedRuns["j.0.0.-1"]), j.Queue.Attempts)
	})
}

// startGang lets time pass until all members of the only job run. It reports false if the job has
// ended.
func (sm *simulation) startGang() bool {
	for range 300 {
		sm.commit(1000)
		for len(sm.orders) > 0 {
			sm.deliver(0, true)
		}
		if sm.log["j"].State.Final() {
			return false
		}
		running := 0
		for _, w := range sm.workers {
			running += len(w.running)
		}
		if running == sm.jobs["j"].Steps[0].Count {
			return true
		}
		sm.pollAll()
		sm.advance(100 * time.Millisecond)
	}
	sm.t.Fatalf("the gang does not run, the job is %s after failed runs %v", sm.log["j"].State, sm.failedRuns)
	return false
}

// breakGang ends the run of the gang: some of its members fail, or a worker restarts.
func (sm *simulation) breakGang(t *rapid.T) {
	var at []string
	for _, id := range sm.workerIDs() {
		if len(sm.workers[id].running) > 0 {
			at = append(at, id)
		}
	}
	first := rapid.SampledFrom(at).Draw(t, "first")
	target := sm.workers[first]
	key := rapid.SampledFrom(sortedKeys(target.running)).Draw(t, "member")
	sm.failTogether = func() bool { return rapid.Bool().Draw(t, "fails as well") }
	if rapid.IntRange(0, 3).Draw(t, "how") > 0 {
		sm.endRun(target, key, leader.EndFailed)
		return
	}
	sm.endRun(target, key, leader.EndGangBroken)
	sm.restart(first)
}

// hearOfEnds has the leader and those that follow it hear of the ends at all workers.
func (sm *simulation) hearOfEnds(t *rapid.T) {
	ids := rapid.Permutation(sm.workerIDs()).Draw(t, "order")
	for _, id := range append(ids, rapid.SliceOfN(rapid.SampledFrom(ids), 0, 4).Draw(t, "again")...) {
		sm.partial = rapid.Bool().Draw(t, "partial")
		sm.poll(id, rapid.IntRange(0, 5).Draw(t, "lost") > 0)
		sm.partial = false
		if rapid.Bool().Draw(t, "commit") {
			sm.commit(rapid.IntRange(1, 3).Draw(t, "batches"))
		}
		switch rapid.IntRange(0, 7).Draw(t, "event") {
		case 0:
			sm.takeover()
		case 1:
			sm.handover()
		case 2:
			sm.losePoller(id)
		}
	}
}

// inherit has a leader take over a job of one gang of which an earlier version has recorded
// the tasks.
func inherit(t *testing.T, attempts int, tasks ...ledger.Task) *harness {
	t.Helper()
	h := newHarness(t, len(tasks), ledger.Resources{CPU: 1000, Memory: 8000})
	for i, task := range tasks {
		if task.Phase == ledger.Started {
			h.running[h.member(i)] = task.Worker
			h.report(task.Worker)
		}
	}
	j := ledger.Job{ID: "j", Accepted: h.now, Queue: ledger.Queue{Service: "s", Attempts: attempts}, Steps: []ledger.Step{gangStep(len(tasks))}}
	h.apply(leader.Accepted{Job: j, Progress: &ledger.Progress{State: ledger.Running, Began: true, Rounds: []ledger.Round{{Tasks: [][]ledger.Task{tasks}}}}})
	return h
}

// Guards against the same after an update: earlier versions counted a run once for each member
// that failed, and did not record which members failed last.
func TestFailuresOfAGangRecordedByAnEarlierVersion(t *testing.T) {
	t.Run("one run", func(t *testing.T) {
		h := inherit(t, 3, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Run: 1})
		h.endGang(2, 0, 2)
		assert.Equal(t, h.lastFailures(), 2)
		h.endGang(3, 1)
		assert.Equal(t, h.records["j"].State, ledger.Failed)
	})
	t.Run("amid a run", func(t *testing.T) {
		h := inherit(t, 2, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Phase: ledger.Started, Run: 1, Worker: "w01"}, ledger.Task{Phase: ledger.Started, Run: 1, Worker: "w02"})
		h.endMember(1, 1, leader.EndFailed)
		h.endMember(2, 1, leader.EndFailed)
		assert.Equal(t, h.lastFailures(), 1)
		assert.Equal(t, len(h.running), 3, "the gang runs again")
		h.endGang(2, 2)
		assert.Equal(t, h.records["j"].State, ledger.Failed)
	})
}

// Guards against the same if a leader of an earlier version takes over: it sums up what is
// recorded for the members.
func TestRecordedFailuresOfAGangAddUpToItsFailedRuns(t *testing.T) {
	h := gangOf(t, 3, 4)
	for run := 1; run <= 3; run++ {
		h.endGang(run, run%3, (run+1)%3)
		sum := 0
		for _, task := range h.records["j"].Step(0, 0) {
			sum += task.Failures
		}
		assert.Equal(t, sum, run)
	}
}

// Guards against a member that runs again at a worker where it has failed, although another
// member of its gang was counted for both.
func TestEachMemberThatFailedAvoidsItsLastWorker(t *testing.T) {
	policy := leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second}
	h := newRackedHarness(t, 4, ledger.Resources{CPU: 1000, Memory: 8000}, policy, func(i int) string { return fmt.Sprintf("r%d", i/2) })
	step := gangStep(2)
	step.Rack = "r0"
	h.submit("j", ledger.Queue{Attempts: 3}, step)
	assert.DeepEqual(t, slices.Sorted(maps.Values(h.running)), []string{"w00", "w01"})
	h.endGang(1, 0, 1)
	assert.DeepEqual(t, slices.Sorted(maps.Values(h.running)), []string{"w02", "w03"})
}

// Guards against the end of a run that is reported once more, by its worker or another one,
// before and after the gang runs again.
func TestAFailureOfAGangThatIsReportedAgainCountsOnce(t *testing.T) {
	h := gangOf(t, 3, 2)
	again := func(worker string) {
		h.ended[worker]++
		h.report(worker, leader.RunEnd{Number: h.ended[worker], Task: h.member(0), Run: 1, Kind: leader.EndFailed})
		assert.Equal(t, h.lastFailures(), 1)
	}
	first, second := h.running[h.member(0)], h.running[h.member(1)]
	h.endMember(0, 1, leader.EndFailed)
	again(first)
	again(second)
	h.endMember(1, 1, leader.EndFailed)
	h.endMember(2, 1, leader.EndFailed)
	assert.Equal(t, len(h.running), 3, "the gang runs again")
	again(first)
	assert.Assert(t, !h.records["j"].State.Final(), "the job is %s after 1 failed run of 2", h.records["j"].State)
	h.endGang(2, 2)
	assert.Equal(t, h.records["j"].State, ledger.Failed)
}

// Guards against a run that counts for each member again once earlier runs have broken up
// without a failure, so that there are fewer failures than runs.
func TestARunCountsOnceAfterRunsThatDidNotFail(t *testing.T) {
	h := gangOf(t, 3, 3)
	for run := 1; run <= 4; run++ {
		h.endGang(run)
	}
	assert.Equal(t, h.lastFailures(), 0)
	h.endGang(5, 2, 0, 1)
	assert.Equal(t, h.lastFailures(), 1)
	h.endGang(6)
	h.endGang(7, 1, 2)
	assert.Equal(t, h.lastFailures(), 2)
	assert.Equal(t, len(h.running), 3, "the gang runs again")
	h.endGang(8, 0)
	assert.Equal(t, h.records["j"].State, ledger.Failed)
}

// Guards against what an earlier version counted too much being kept when further runs fail.
func TestRunsAfterAnEarlierVersionMakeUpForItsFailures(t *testing.T) {
	h := inherit(t, 4, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Run: 1})
	h.endGang(2, 0, 2)
	h.endGang(3)
	h.endGang(4, 1)
	assert.Equal(t, h.lastFailures(), 3)
	assert.Equal(t, len(h.running), 3, "the gang runs again")
}

// Guards against an earlier version's surplus that becomes true by runs which do not fail.
func TestAnEarlierCountIsNotMadeTrueByRunsThatDidNotFail(t *testing.T) {
	h := inherit(t, 3, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Run: 1, Failures: 1}, ledger.Task{Run: 1})
	h.endGang(2)
	h.endGang(3, 0)
	assert.Equal(t, h.lastFailures(), 2)
	assert.Assert(t, !h.records["j"].State.Final(), "the job is %s after 2 failed runs of 3", h.records["j"].State)
}

// The same for a task without a gang, near whose data only the worker has room where it failed.
func TestATaskThatFailedAvoidsItsLastWorker(t *testing.T) {
	policy := leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second}
	h := newRackedHarness(t, 2, ledger.Resources{CPU: 1000, Memory: 8000}, policy, func(i int) string { return fmt.Sprintf("r%d", i) })
	h.submit("j", ledger.Queue{Attempts: 3}, ledger.Step{Count: 1, Rack: "r0", Request: ledger.Resources{CPU: 1000}})
	assert.Equal(t, h.running[h.member(0)], "w00")
	h.endMember(0, 1, leader.EndFailed)
	assert.Equal(t, h.running[h.member(0)], "w01")
}

// Guards against a job being counted as one that waits for its first start after a run of it
// has failed.
func TestAJobHasBegunOnceARunHasFailed(t *testing.T) {
	h := gangOf(t, 2, 3)
	assert.Assert(t, !h.records["j"].Began)
	h.endMember(0, 1, leader.EndFailed)
	assert.Assert(t, h.records["j"].Began)
}

// Guards against a failure that is counted again by the next leader, which has it from the log and
// hears of the same end since its worker could not be told to forget it.
func TestAFailureInTheLogIsNotCountedAgain(t *testing.T) {
	h := newHarness(t, 0, ledger.Resources{})
	j := ledger.Job{ID: "j", Accepted: h.now, Queue: ledger.Queue{Service: "s", Attempts: 2}, Steps: []ledger.Step{{Count: 1}}}
	h.apply(leader.Accepted{Job: j, Progress: &ledger.Progress{State: ledger.Running, Began: true, Rounds: []ledger.Round{{Tasks: [][]ledger.Task{{{Run: 1, Failures: 1, Worker: "w00"}}}}}}})
	h.apply(leader.Listed{Listing: leader.Listing{ID: "w00", Address: "w00", Service: "s", Capacity: ledger.Resources{CPU: 1000, Memory: 8000}}})
	h.report("w00", leader.RunEnd{Number: 1, Task: h.member(0), Run: 1, Kind: leader.EndFailed})
	h.report("w00")
	h.advance(time.Second)
	assert.Equal(t, h.records["j"].State, ledger.Running)
	assert.Equal(t, h.records["j"].Task(0, 0, 0).Failures, 1)
	assert.Equal(t, h.running[h.member(0)], "w00", "the task runs again")
}

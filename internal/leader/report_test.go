package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// reportEnds applies a partial report, which leaves out the executing runs.
func (h *harness) reportEnds(id string, ended ...leader.RunEnd) {
	r := leader.Report{Partial: true, Incarnation: 1, Clock: h.now.UnixMilli(), Ended: ended}
	h.applyReport(id, r, h.now.Add(testLease).UnixMilli())
}

// startedRun returns a harness whose single worker executes one task.
func startedRun(t *testing.T) *harness {
	h := newHarness(t, 1, ledger.Resources{CPU: 2000, Memory: 8000})
	h.submit("j", ledger.Queue{Priority: 1}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, Estimate: time.Minute})
	assert.Equal(t, len(h.running), 1)
	return h
}

// Regression test (further-grown quiet-1): progress is reported less often than ends.
// A run of which nothing was reported for a while counted as hung and was stopped,
// and with it its whole gang.
func TestARunIsNotHungWhileItsProgressIsNotReported(t *testing.T) {
	h := startedRun(t)
	h.advance(100 * time.Millisecond)
	h.report("w00")
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.reportEnds("w00")
	}
	assert.Equal(t, h.countOrders(leader.OrderStop), 0)
	h.report("w00") // the same progress as 5 s ago
	assert.Equal(t, h.countOrders(leader.OrderStop), 1)
}

// A partial report says nothing about the runs that it leaves out.
func TestPartialReportsLoseNoRuns(t *testing.T) {
	h := startedRun(t)
	h.advance(time.Second)
	h.reportEnds("w00")
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStart), 1)
}

// An entry that polls for the leader renews leases up to the moment that it is lost,
// and may go on for as long as a deposed leader. A worker that is silent from then on
// keeps its task until these leases have expired, too.
func TestTheLeasesOfALostPollerStayInForce(t *testing.T) {
	h := startedRun(t)
	h.report("w00")
	h.advance(time.Second)
	h.apply(leader.PollerLost{Worker: "w00"})
	lost := h.now
	h.submit("other", ledger.Queue{Priority: 1}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 2000}})
	h.apply(leader.PollFailed{Worker: "w00"})
	for h.lostRuns() == 0 && h.now.Sub(lost) < time.Minute {
		h.advance(100 * time.Millisecond)
	}
	const staleRenewal = 5 * time.Second
	assert.Assert(t, h.now.Sub(lost) >= staleRenewal+testLease, "given up after %v", h.now.Sub(lost))
	assert.Assert(t, h.now.Sub(lost) < staleRenewal+testLease+time.Second, "given up after %v", h.now.Sub(lost))
}

// Guards against runs that are never given up while callers of their worker are lost in
// series: one that has not been told to renew leases leaves none in force.
func TestALostCallerThatRenewedNothingLeavesNoLeases(t *testing.T) {
	h := startedRun(t)
	h.report("w00")
	lost := h.now
	h.apply(leader.PollerLost{Worker: "w00"})
	for watch := int64(1); h.lostRuns() == 0 && h.now.Sub(lost) < time.Minute; watch++ {
		h.apply(leader.PollFailed{Worker: "w00", Silence: leader.FirstSilence(watch) + 1})
		h.advance(time.Second)
		h.apply(leader.PollerLost{Worker: "w00", Watch: watch})
	}
	const staleRenewal = 5 * time.Second
	assert.Assert(t, h.now.Sub(lost) >= staleRenewal+testLease, "given up after %v", h.now.Sub(lost))
	assert.Assert(t, h.now.Sub(lost) < staleRenewal+testLease+2*time.Second, "given up after %v", h.now.Sub(lost))
}

// Guards against leases that are given up too early: the loss of a caller may be told after
// the next one has heard the worker, or has polled it in vain.
func TestTheLossOfACallerMayBeToldLate(t *testing.T) {
	const next = 1
	for name, polls := range map[string]func(h *harness){
		"polled in vain": func(*harness) {},
		"heard": func(h *harness) {
			r := leader.Report{Incarnation: 1, Clock: h.now.UnixMilli(), Partial: true}
			h.apply(leader.Reported{Worker: "w00", Report: r, Sent: h.now, Silence: leader.FirstSilence(next)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := startedRun(t)
			h.report("w00")
			h.advance(time.Second)
			lost := h.now
			polls(h)
			h.apply(leader.PollFailed{Worker: "w00", Silence: leader.FirstSilence(next) + 1})
			h.apply(leader.PollerLost{Worker: "w00"})
			for h.lostRuns() == 0 && h.now.Sub(lost) < time.Minute {
				h.advance(100 * time.Millisecond)
			}
			assert.Assert(t, h.now.Sub(lost) >= 5*time.Second+testLease, "given up after %v", h.now.Sub(lost))
		})
	}
}

// Guards against leases that are renewed although the log says that they are not: a poll that
// failed before a report, or one of an earlier caller, may be told after it.
func TestAFailedPollThatIsToldLateWithholdsNothing(t *testing.T) {
	for name, failed := range map[string]int64{
		"before the report":   leader.FirstSilence(1) + 1,
		"an earlier caller's": leader.FirstSilence(0) + 7,
	} {
		t.Run(name, func(t *testing.T) {
			h := startedRun(t)
			r := leader.Report{Incarnation: 1, Clock: h.now.UnixMilli(), Running: []leader.RunStatus{{Task: "j.0.0.0", Number: 1, Percent: h.percent}}}
			h.apply(leader.Reported{Worker: "w00", Report: r, Sent: h.now, Silence: leader.FirstSilence(1) + 1})
			h.apply(leader.PollFailed{Worker: "w00", Silence: failed})
			for range 20 {
				h.advance(time.Second)
				h.report("w00")
			}
			assert.Equal(t, h.lostRuns(), 0)
			assert.Equal(t, len(h.state.Leases().Until), 0, "%v", h.state.Leases())
			h.submit("other", ledger.Queue{Priority: 1}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}})
			assert.Equal(t, h.countOrders(leader.OrderStart), 2, "the worker is given work")
		})
	}
}

// An order is void once its worker has been silent (review/7), which its caller can tell only by
// the last silence that the leader knew of.
func TestOrdersNameTheLastSilenceOfTheirWorker(t *testing.T) {
	h := startedRun(t)
	assert.Equal(t, h.orders[0].Silence, leader.FirstSilence(0))
	h.apply(leader.PollFailed{Worker: "w00", Incarnation: 1})
	h.report("w00")
	h.submit("other", ledger.Queue{Priority: 1}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}})
	h.apply(leader.CancelAccepted{Job: "j"})
	assert.Equal(t, len(h.orders), 3)
	for _, o := range h.orders[1:] {
		assert.Equal(t, o.Silence, leader.FirstSilence(0)+1, "%s", o.Kind)
	}
	assert.Assert(t, leader.SilentSince(h.orders[0].Silence, h.orders[1].Silence))
	assert.Assert(t, !leader.SilentSince(h.orders[1].Silence, leader.FirstSilence(1)), "an earlier caller's silence")
}

// Guards against runs that are given up an hour late: a poll of an earlier incarnation that
// failed after the later one had reported left a deadline on the clock of the earlier one.
func TestAFailedPollOfAnEarlierIncarnationSaysNothing(t *testing.T) {
	h := startedRun(t)
	r := leader.Report{Incarnation: 2, Clock: 100, Running: []leader.RunStatus{{Task: "j.0.0.0", Number: 1, Percent: 10}}}
	h.applyReport("w00", r, 100+testLease.Milliseconds())
	h.apply(leader.PollFailed{Worker: "w00", Incarnation: 1, Deadline: time.Hour.Milliseconds()})
	assert.Equal(t, h.state.Counts(h.now).Reachable, 1)
	h.submit("other", ledger.Queue{Priority: 1}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 2000}})
	h.apply(leader.PollFailed{Worker: "w00", Incarnation: 2})
	silent := h.now
	for h.lostRuns() == 0 && h.now.Sub(silent) < time.Minute {
		h.advance(100 * time.Millisecond)
	}
	assert.Assert(t, h.now.Sub(silent) >= testLease && h.now.Sub(silent) < testLease+time.Second, "given up after %v", h.now.Sub(silent))
}

// Guards against a task that runs in two places: a call to an earlier incarnation, executed
// late by the next one, had brought it the longest lease that a worker grants.
func TestARestartedWorkerMayHaveTheLongestLease(t *testing.T) {
	const longest = testLease + 4*time.Second
	h := newHarness(t, 0, ledger.Resources{})
	h.state = leader.New(leader.Policy{Lease: testLease, LongestLease: longest, MaxStaleRenewal: 5 * time.Second}, h.now)
	h.apply(leader.Listed{Listing: leader.Listing{ID: "w00", Address: "w00", Service: "s", Capacity: ledger.Resources{CPU: 2000}}})
	h.report("w00")
	h.submit("j", ledger.Queue{}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, Estimate: time.Minute})
	assert.Equal(t, len(h.running), 1)
	r := leader.Report{Incarnation: 2, Clock: 100, Running: []leader.RunStatus{{Task: "j.0.0.0", Number: 1, Percent: 10}}}
	h.applyReport("w00", r, 0)
	silent := h.now
	h.apply(leader.PollFailed{Worker: "w00", Incarnation: 2})
	for h.lostRuns() == 0 && h.now.Sub(silent) < time.Minute {
		h.advance(100 * time.Millisecond)
	}
	assert.Assert(t, h.now.Sub(silent) >= longest && h.now.Sub(silent) < longest+time.Second, "given up after %v", h.now.Sub(silent))
}

// Guards against a task on a worker of another kind: a worker that had restarted under its
// id was given work by the labels and the room of its earlier incarnation.
func TestNothingStartsAtARestartedWorkerBeforeItIsListedAgain(t *testing.T) {
	h := newHarness(t, 0, ledger.Resources{})
	listing := leader.Listing{ID: "w", Address: "w", Service: "s", Incarnation: 1, Capacity: ledger.Resources{CPU: 8000}, Labels: []string{"b"}}
	h.apply(leader.Listed{Listing: listing})
	h.report("w")
	h.applyReport("w", leader.Report{Incarnation: 2, Clock: 100}, 100+testLease.Milliseconds())
	h.submit("j", ledger.Queue{}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, RequiredLabel: "b"})
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStart), 0)
	listing.Incarnation = 2
	h.apply(leader.Listed{Listing: listing})
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStart), 1)
}

// Guards against the same for a run that was placed before the restart and waits for its
// record.
func TestNoRecordedRunStartsAtARestartedWorkerBeforeItIsListedAgain(t *testing.T) {
	h := newHarness(t, 0, ledger.Resources{})
	h.apply(leader.Listed{Listing: leader.Listing{ID: "w", Address: "w", Service: "s", Incarnation: 1, Capacity: ledger.Resources{CPU: 8000}, Labels: []string{"b"}}})
	h.report("w")
	h.commitsDelayed = true
	h.submit("j", ledger.Queue{}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, RequiredLabel: "b"})
	h.applyReport("w", leader.Report{Incarnation: 2, Clock: 100}, 100+testLease.Milliseconds())
	h.commitsDelayed = false
	for _, batch := range h.delayedBatches {
		h.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, h.countOrders(leader.OrderStart), 0)
}

// Guards against a run that starts at another incarnation than the one it was placed on, whose
// room and kind it was placed by: the worker had restarted and was listed again before the
// record of the run was in the log.
func TestARecordedRunStartsOnlyAtTheIncarnationItWasPlacedOn(t *testing.T) {
	h := newHarness(t, 0, ledger.Resources{})
	listing := leader.Listing{ID: "w", Address: "w", Service: "s", Incarnation: 1, Capacity: ledger.Resources{CPU: 8000}, Labels: []string{"b"}}
	h.apply(leader.Listed{Listing: listing})
	h.report("w")
	h.commitsDelayed = true
	h.submit("j", ledger.Queue{}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, RequiredLabel: "b"})
	listing.Incarnation, listing.Labels = 2, []string{"a"}
	h.apply(leader.Listed{Listing: listing})
	h.applyReport("w", leader.Report{Incarnation: 2, Clock: 100}, 100+testLease.Milliseconds())
	h.commitsDelayed = false
	for _, batch := range h.delayedBatches {
		h.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, h.countOrders(leader.OrderStart), 0)
}

// Guards against jobs that aren't counted as waiting though nothing of them has begun: a
// run that the worker refused counted as a start.
func TestARefusedStartHasNotBegun(t *testing.T) {
	h := newPacedHarness(t, 1, ledger.Resources{CPU: 2000, Memory: 8000}, passTime)
	h.refusingWorker = "w00"
	h.submit("j", ledger.Queue{}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}})
	h.advance(time.Second)
	assert.Assert(t, h.countOrders(leader.OrderStart) > 0)
	assert.Assert(t, !h.records["j"].Begun())
	h.refusingWorker = ""
	h.advance(time.Second)
	assert.Assert(t, h.records["j"].Begun())
	h.refusingWorker = "w00"
	h.report("w00", leader.RunEnd{Number: 1, Task: "j.0.0.0", Run: h.records["j"].Task(0, 0, 0).Run, Kind: leader.EndStopped})
	h.advance(time.Second)
	assert.Assert(t, h.records["j"].Begun(), "a run that has ended had begun")
}

// Guards against lasting tasks that stay down through a rolling stop: each leader waited
// anew for leases that nobody had renewed since the first one lost the worker.
func TestALeaderThatResignsHandsOnHowLongLeasesLast(t *testing.T) {
	first := startedRun(t)
	first.report("w00")
	first.apply(leader.PollFailed{Worker: "w00"})
	silent := first.now
	first.advance(2 * time.Second)
	leases := first.state.Leases()
	left := leases.Until["w00"].Sub(first.now)
	assert.Assert(t, left > 4*time.Second && left < 4500*time.Millisecond, "%v", left)

	next := newHarness(t, 0, ledger.Resources{})
	next.now = first.now
	next.state = leader.New(leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second}, next.now).
		WithInheritedLeases(leader.Leases{Others: next.now.Add(time.Minute), Until: leases.Until})
	progress := first.records["j"]
	job := ledger.Job{ID: "j", Queue: ledger.Queue{Service: "s", Priority: 1}, Steps: []ledger.Step{{Count: 1, Request: ledger.Resources{CPU: 1000}}}}
	next.apply(leader.Accepted{Job: job, Progress: &progress})
	for next.lostRuns() == 0 && next.now.Sub(silent) < time.Minute {
		next.advance(100 * time.Millisecond)
	}
	assert.Assert(t, next.now.Sub(silent) >= testLease && next.now.Sub(silent) < testLease+time.Second, "given up after %v", next.now.Sub(silent))
}

// Guards against runs that are given up late by the next leader: this one may resign before
// the log shows that it has given them up itself.
func TestALeaderThatResignsNamesWorkersWhoseRunsItHasJustGivenUp(t *testing.T) {
	for name, unlisted := range map[string]bool{"listed": false, "not listed": true} {
		t.Run(name, func(t *testing.T) {
			h := startedRun(t)
			h.report("w00")
			h.apply(leader.PollFailed{Worker: "w00"})
			if unlisted {
				h.apply(leader.Unlisted{ID: "w00"})
			}
			h.commitsDelayed = true
			h.advance(testLease + time.Second)
			assert.Equal(t, h.lostRuns(), 1)
			until, named := h.state.Leases().Until["w00"]
			assert.Assert(t, named && until.Before(h.now), "named: %v, until %v", named, until.Sub(h.now))
		})
	}
}

// Guards against leases that are renewed while the log says that they are not: the record
// that permits it has to be in the log, and no later one may have named the worker since.
func TestLeasesAreRenewedOnceTheLogSaysSo(t *testing.T) {
	h := startedRun(t)
	h.apply(leader.PollFailed{Worker: "w00"})
	h.commitsDelayed = true
	h.report("w00")
	first := h.delayedBatches[len(h.delayedBatches)-1]
	h.advance(100 * time.Millisecond)
	assert.Assert(t, !h.renewed["w00"], "no record is in the log yet")
	h.apply(leader.PollFailed{Worker: "w00"})
	h.advance(100 * time.Millisecond)
	h.report("w00")
	last := h.delayedBatches[len(h.delayedBatches)-1]
	assert.Assert(t, last > first+1)
	h.apply(leader.Committed{Batch: first})
	assert.Assert(t, !h.renewed["w00"], "a record that names the worker may be in the log")
	h.apply(leader.Committed{Batch: last})
	assert.Assert(t, h.renewed["w00"])
}

// lostRuns returns the number of runs that were given up: their tasks wait again.
func (h *harness) lostRuns() int {
	n := 0
	for _, p := range h.records {
		for _, task := range p.Step(0, 0) {
			if task.Run > 0 && task.Phase == ledger.Idle {
				n++
			}
		}
	}
	return n
}

// Guards against a run that counts against its job at its end only: it is reported to a leader
// that reads the job later. The job then counted as without runs, so that its cancellation
// left them executing and was recorded as if all were over.
func TestARunReportedBeforeItsJobCounts(t *testing.T) {
	h := newHarness(t, 2, ledger.Resources{CPU: 2000, Memory: 8000})
	h.running["j.0.0.0"] = "w00"
	h.report("w00")
	job := ledger.Job{ID: "j", Accepted: h.now, Queue: ledger.Queue{Service: "s"}, Workspace: "a", Steps: []ledger.Step{{Count: 2, Request: ledger.Resources{CPU: 1000}}}}
	begun := ledger.NewProgress(job).WithRoundsBegun(job, 0).WithState(ledger.Running)
	begun = begun.WithTask(ledger.TaskID{Job: "j"}, ledger.Task{}.WithRun(1, "w00"))
	h.capCPU(1, 8000)
	h.apply(leader.Accepted{Job: job, Progress: &begun})
	h.report("w00")
	assert.Equal(t, h.state.Standings(1)[0].Use.Runs, 2, "the one that was reported and the one that was placed")
	h.apply(leader.CancelAccepted{Job: "j"})
	assert.Assert(t, !h.records["j"].Terminated(), "both runs may be executing")
	delete(h.running, "j.0.0.0")
	h.report("w00", leader.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, Kind: leader.EndStopped})
	assert.Equal(t, h.state.Standings(1)[0].Use.Runs, 1)
	assert.Assert(t, !h.records["j"].Terminated(), "the run at the other worker may be executing")
}

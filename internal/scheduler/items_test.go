package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

func work(id string, kind scheduler.ItemKind, members int, cpu int64) scheduler.Work {
	return scheduler.Work{ID: id, Kind: kind, Plan: "p", Members: members, Size: scheduler.Size{CPU: cpu}, Run: time.Second}
}

// startItem returns the state after an item was submitted and its start was read
// back, with the launches that follow.
func startItem(t *testing.T, s scheduler.State, w scheduler.Work) (scheduler.State, []scheduler.Launch) {
	t.Helper()
	s, appends := effectsOf[scheduler.Append](s, 0, ledger(2, scheduler.SubmitRecord{Work: w}))
	if len(appends) == 0 {
		return s, nil
	}
	return effectsOf[scheduler.Launch](s, 0, ledger(3, appends[0].Records...))
}

func TestGangStartsAllAtOnceOrNotAtAll(t *testing.T) {
	_, launches := startItem(t, ownerState(1), work("fits", scheduler.ItemGang, 4, 1))
	assert.Equal(t, len(launches), 1)
	assert.Equal(t, len(launches[0].Tasks), 4)
	_, launches = startItem(t, ownerState(1), work("large", scheduler.ItemGang, 3, 2))
	assert.Equal(t, len(launches), 0)
}

// Guards against work that waits with room free: items that could not be placed, of any
// plan, were the only ones that each event examined.
func TestItemsThatCannotBePlacedHoldUpNoOthers(t *testing.T) {
	s := ownerState(1)
	offset := int64(2)
	for n := range 200 {
		s = after(s, 0, ledger(offset, scheduler.SubmitRecord{Work: work(fmt.Sprintf("large%d", n), scheduler.ItemGang, 3, 2)}))
		offset++
	}
	s = after(s, time.Millisecond, ledger(offset, scheduler.SubmitRecord{Work: work("small", scheduler.ItemDeferred, 1, 1)}))
	for range 10 {
		next, appends := effectsOf[scheduler.Append](s, 10*time.Millisecond, scheduler.Ticked{})
		s = next
		if len(appends) > 0 {
			return
		}
	}
	item, _ := s.Items.Get("small")
	assert.Assert(t, item.Reserved, "not placed after ten events")
}

func TestFeasible(t *testing.T) {
	cases := []struct {
		name string
		work scheduler.Work
		want string
	}{
		{"fits", work("x", scheduler.ItemGang, 4, 1), ""},
		{"beyond the allowance", work("x", scheduler.ItemDeferred, 1, 5), "plan p is not allowed that much in zone z"},
		{"no room for all members", work("x", scheduler.ItemGang, 2, 2), ""},
		{"unknown plan", scheduler.Work{Plan: "q"}, "plan q is not in the list of plans"},
	}
	for _, c := range cases {
		assert.Equal(t, ownerState(1).Feasible(c.work), c.want, c.name)
	}
	small := after(ownerState(1), 0, scheduler.InstancesListed{Instances: []scheduler.Instance{
		{Kind: scheduler.KindWorker, Name: "w", Zone: "z", Size: scheduler.Size{CPU: 1}},
	}})
	assert.Equal(t, small.Feasible(work("x", scheduler.ItemDeferred, 1, 2)), "the workers of zone z can never hold all members at once")
}

// Regression test (stateful fuzz test, seed 17): an item without a deadline stayed
// in the queue after its start and was started again.
func TestStartedItemLeavesTheQueue(t *testing.T) {
	s, appends := effectsOf[scheduler.Append](ownerState(1), 0, ledger(2, scheduler.SubmitRecord{Work: work("x", scheduler.ItemDeferred, 1, 1)}))
	s = after(s, 300*time.Millisecond, ledger(3, appends[0].Records...))
	assert.Equal(t, s.Pending.Len(), 0)
	_, again := effectsOf[scheduler.Append](s, time.Second, scheduler.Ticked{})
	for _, a := range again {
		_, isStart := a.Records[0].(scheduler.StartRecord)
		assert.Assert(t, !isStart)
	}
}

// Regression test (stateful fuzz test, seed 1147): a task that its worker had
// reported as ended was declared lost while the log did not accept the record.
func TestReportedEndIsNotDeclaredLost(t *testing.T) {
	s, launches := startItem(t, ownerState(1), work("x", scheduler.ItemDeferred, 1, 1))
	task := launches[0].Tasks[0].ID
	s = after(s, 2*time.Second, scheduler.WorkerReported{Worker: "w", Ended: []scheduler.TaskEnd{{Task: task, End: scheduler.EndSucceeded}}})
	_, appends := effectsOf[scheduler.Append](s, time.Minute, scheduler.Ticked{})
	for _, a := range appends {
		finish, ok := a.Records[0].(scheduler.FinishRecord)
		assert.Assert(t, !ok || finish.End != scheduler.EndLost)
	}
}

// A task of a silent worker starts again only after its lease, and, if it may have
// ended well before that, only after its worker had time to tell.
func TestLostTaskStartsAgainOnlyAfterItsLease(t *testing.T) {
	const day = 24 * time.Hour
	for name, c := range map[string]struct {
		kind   scheduler.ItemKind
		run    time.Duration
		leases time.Duration
	}{
		"cannot have ended": {scheduler.ItemDeferred, day, 1},
		"runs on":           {scheduler.ItemService, time.Second, 1},
		"may have ended":    {scheduler.ItemDeferred, time.Second, 4},
	} {
		t.Run(name, func(t *testing.T) {
			w := work("x", c.kind, 1, 1)
			w.Run = c.run
			s, _ := startItem(t, ownerState(1), w)
			lost := c.leases*s.Policy.Lease + s.Policy.Drift
			_, early := effectsOf[scheduler.Append](s, lost-time.Millisecond, scheduler.Ticked{})
			assert.Equal(t, len(early), 0)
			s, late := effectsOf[scheduler.Append](s, lost, scheduler.Ticked{})
			assert.Equal(t, len(late), 1)
			s = after(s, lost, ledger(4, late[0].Records...))
			i, _ := s.Items.Get("x")
			assert.Equal(t, i.Phase, scheduler.ItemPending)
		})
	}
}

// Regression test (TestWholeSystemKeepsItsCounts under load): a task ended well at a
// worker that was slow to report, was declared lost, ran again and ended well again.
func TestATaskOfASlowWorkerRunsOnce(t *testing.T) {
	s, launches := startItem(t, ownerState(1), work("x", scheduler.ItemDeferred, 1, 1))
	silence := 2 * (s.Policy.Lease + s.Policy.Drift)
	s = after(s, silence, scheduler.Ticked{})
	ended := []scheduler.TaskEnd{{Task: launches[0].Tasks[0].ID, End: scheduler.EndSucceeded}}
	s, appends := effectsOf[scheduler.Append](s, silence, scheduler.WorkerReported{Worker: "w", Ended: ended})
	assert.Equal(t, len(appends), 1)
	s = after(s, silence, ledger(4, appends[0].Records...))
	i, _ := s.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemDone)
	assert.Equal(t, i.Attempt, 1)
}

// Regression test (TestWholeSystemKeepsItsCounts under load): a report from before a task
// was launched arrived after it, and the worker was slow to answer again. The task was
// declared lost for not being listed, ran again and ended well twice.
func TestAReportFromBeforeALaunchIsNoEvidence(t *testing.T) {
	s, launches := startItem(t, ownerState(1), work("x", scheduler.ItemDeferred, 1, 1))
	task := launches[0].Tasks[0].ID
	asked := startTime()
	s = after(s, time.Second, scheduler.WorkerReported{Worker: "w", Sent: asked})
	slow := s.Policy.Lease + s.Policy.Drift + time.Second
	s, early := effectsOf[scheduler.Append](s, slow, scheduler.Ticked{})
	assert.Equal(t, len(early), 0, "lost by a report from before the launch")
	s, stale := effectsOf[scheduler.Append](s, slow, scheduler.WorkerReported{Worker: "w", Sent: asked.Add(time.Second)})
	assert.Equal(t, len(stale), 0, "lost by a report from when it could still start")
	s, appends := effectsOf[scheduler.Append](s, slow+time.Second, scheduler.WorkerReported{
		Worker: "w", Ended: []scheduler.TaskEnd{{Task: task, End: scheduler.EndSucceeded}},
	})
	assert.Equal(t, len(appends), 1)
	s = after(s, slow+time.Second, ledger(4, appends[0].Records...))
	i, _ := s.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemDone)
	assert.Equal(t, i.Attempt, 1)
}

// A task whose launch never arrived is lost once its worker, asked when it could no longer
// start there, does not list it.
func TestATaskThatNeverStartedIsLost(t *testing.T) {
	s, _ := startItem(t, ownerState(1), work("x", scheduler.ItemDeferred, 1, 1))
	s = after(s, time.Second, scheduler.WorkerReported{Worker: "w"})
	s, appends := effectsOf[scheduler.Append](s, s.Policy.Lease+s.Policy.Drift+time.Second, scheduler.WorkerReported{Worker: "w"})
	assert.Equal(t, len(appends), 1)
	s = after(s, 0, ledger(4, appends[0].Records...))
	i, _ := s.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemPending)
}

func TestLostWorkThatMustNotBeRepeatedEndsAsUnknown(t *testing.T) {
	w := work("x", scheduler.ItemDeferred, 1, 1)
	w.AtMostOnce = true
	s, launches := startItem(t, ownerState(1), w)
	s = after(s, time.Minute, ledger(4, scheduler.FinishRecord{Item: "x", Task: launches[0].Tasks[0].ID, End: scheduler.EndLost}))
	i, _ := s.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemUnknown)
}

func TestCancelledItemIsHalted(t *testing.T) {
	s, _ := startItem(t, ownerState(1), work("x", scheduler.ItemService, 1, 1))
	s, halts := effectsOf[scheduler.Halt](s, 0, ledger(4, scheduler.CancelRecord{Item: "x"}))
	assert.Equal(t, len(halts), 1)
	s = after(s, 0, ledger(5, scheduler.FinishRecord{Item: "x", Task: halts[0].Task, End: scheduler.EndHalted}))
	i, _ := s.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemCancelled)
}

// Regression test (stateful fuzz test, seed 14): a direct handover, which only two
// entries know of, must not change whether a start in the log is accepted.
func TestHandoverDoesNotAffectDecisionsFromTheLog(t *testing.T) {
	s := after(ownerState(1), 0, ledger(2, scheduler.SubmitRecord{Work: work("x", scheduler.ItemDeferred, 1, 1)}))
	other := scheduler.EntryID{Name: "b", Incarnation: 1}
	s = after(s, 0, scheduler.DigestReceived{Digest: scheduler.Digest{Entry: scheduler.Entry{ID: other, Zone: "z", Peer: "b:1"}, Ready: true}})
	s = after(s, time.Second, ledger(3, scheduler.ClaimRecord{Resource: "worker/w", Owner: s.Self.ID, Basis: 1, Successors: []scheduler.EntryID{other}, Held: true}))
	start := scheduler.StartRecord{Item: "x", By: s.Self.ID, Limit: scheduler.Size{CPU: 4}, Placed: []scheduler.Placement{{Worker: "w", Task: "x.0.0"}}}
	handedOver, handovers := effectsOf[scheduler.SendHandover](s, time.Second, scheduler.DrainStarted{})
	assert.Assert(t, len(handovers) > 0)
	for name, state := range map[string]scheduler.State{"kept": s, "handed over": handedOver} {
		i, _ := after(state, time.Second, ledger(4, start)).Items.Get("x")
		assert.Equal(t, i.Phase, scheduler.ItemRunning, name)
	}
}

// Ended items are removed by the log's time, so that all readers remove an item
// at the same offset.
func TestEndedItemIsRemoved(t *testing.T) {
	s, launches := startItem(t, ownerState(1), work("x", scheduler.ItemDeferred, 1, 1))
	at := func(offset int64, at time.Duration, r scheduler.Record) scheduler.RecordsRead {
		e := ledger(offset, r)
		e.Records[0].At = startTime().Add(at)
		return e
	}
	s = after(s, 0, at(4, 0, scheduler.FinishRecord{Item: "x", Task: launches[0].Tasks[0].ID, End: scheduler.EndSucceeded}))
	i, _ := s.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemDone)
	s = after(s, time.Hour, at(5, time.Minute, scheduler.CancelRecord{Item: "y"}))
	assert.Assert(t, s.Items.Has("x"), "this entry's own clock must not count")
	s = after(s, time.Hour, at(6, 6*time.Minute, scheduler.CancelRecord{Item: "y"}))
	assert.Assert(t, !s.Items.Has("x"))
}

package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// newSharedHarness returns a harness of one cell that workspaces of weight 1 share.
func newSharedHarness(t *testing.T, workers int, cpu int64, names ...string) *harness {
	h := newHarness(t, workers, ledger.Resources{CPU: cpu})
	h.share(names...)
	return h
}

func (h *harness) share(names ...string) {
	e := leader.WorkspacesChanged{Version: 7}
	for _, name := range names {
		e.Workspaces = append(e.Workspaces, ledger.Workspace{Name: name, Weight: 1})
	}
	h.apply(e)
}

// jobOf returns a job of a workspace that is accepted now.
func (h *harness) jobOf(id, workspace string, priority int, s ledger.Step) ledger.Job {
	q := ledger.Queue{Service: "s", Priority: priority, Objective: time.Second}
	return ledger.Job{ID: ledger.ID(id), Workspace: workspace, Accepted: h.now, Queue: q, Steps: []ledger.Step{s}}
}

// flood submits jobs of a workspace until some are beyond its share.
func (h *harness) flood(workspace string, priority, jobs int, s ledger.Step) {
	for i := range jobs {
		h.apply(leader.Accepted{Job: h.jobOf(fmt.Sprintf("%s%d-%d", workspace, priority, i), workspace, priority, s)})
	}
}

// A job is refused only while its workspace sends beyond its share, nothing has room for what
// it sent before, and it would be done too late to be of use.
func TestAJobIsRefusedOnlyIfItWouldBeOfNoUse(t *testing.T) {
	step := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second}
	for name, c := range map[string]struct {
		cpu       int64 // of the worker
		flood     int   // jobs of the workspace before
		workspace string
		priority  int
		lasting   bool
		wait      time.Duration
		refused   bool
	}{
		"the queue is full":         {10, 20, "hot", 0, false, 100 * time.Millisecond, true},
		"there is room":             {1000, 20, "hot", 0, false, 100 * time.Millisecond, false},
		"within its share":          {10, 20, "hot", 0, false, 10 * time.Second, false},
		"others than the flood's":   {10, 20, "other", 0, false, 100 * time.Millisecond, false},
		"an unknown workspace":      {10, 20, "gone", 0, false, 100 * time.Millisecond, false},
		"nothing beyond waits":      {10, 4, "hot", 0, false, 100 * time.Millisecond, false},
		"nothing of its queue does": {10, 20, "hot", 2, false, 100 * time.Millisecond, false},
		"a service":                 {10, 20, "hot", 0, true, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSharedHarness(t, 1, c.cpu, "hot", "other")
			h.flood("hot", 0, c.flood, step)
			h.advance(c.wait)
			s := step
			s.LongRunning = c.lasting
			r, refused := h.state.Refuses(h.jobOf("j", c.workspace, c.priority, s).Claim(), h.now)
			assert.Equal(t, refused, c.refused, "%+v", r)
			if refused {
				assert.Equal(t, r.RetryAfter, 4*time.Second)
				assert.Equal(t, r.Backlog, c.flood-4)
				assert.Equal(t, r.Version, int64(7))
			}
		})
	}
}

// Guards against room that is left idle for steps that can't use it.
func TestJobsBeyondRunWhileOthersWaitForAnotherKindOfWorker(t *testing.T) {
	h := newSharedHarness(t, 4, 100, "hot")
	h.submit("stuck", ledger.Queue{Objective: time.Minute}, ledger.Step{Count: 3000, Request: ledger.Resources{CPU: 50}, RequiredLabel: "rare", Estimate: time.Second})
	h.flood("hot", 0, 12, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second})
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStart), 12)
}

// A service of a workspace starts beside a full cell's waiting steps, within its share or not.
func TestServicesLeaveNoRoomToOthers(t *testing.T) {
	h := newSharedHarness(t, 1, 100, "hot")
	h.submit("wide", ledger.Queue{Priority: 2}, ledger.Step{Count: 9, Request: ledger.Resources{CPU: 30}, Estimate: time.Minute})
	h.flood("hot", 1, 9, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1}, LongRunning: true})
	h.advance(time.Second)
	assert.Equal(t, h.countOrders(leader.OrderStart), 3+9)
}

// Load pattern: a flood waits beside a step of another workspace that is accepted after it, in
// a full cell. What frees goes to the other workspace, though the flood is more urgent.
func TestRoomThatFreesGoesToJobsWithinTheirShare(t *testing.T) {
	h := newSharedHarness(t, 1, 100, "hot", "other")
	step := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 50}, Estimate: time.Second}
	h.flood("hot", 0, 12, step)
	step.Count = 2
	h.apply(leader.Accepted{Job: h.jobOf("late", "other", 2, step)})
	h.advance(time.Second)
	for i := range 6 {
		first := h.orders[2*i : 2*i+2]
		h.completeRuns("w00", first[0].Task.String(), first[1].Task.String())
		h.advance(time.Second)
	}
	assert.Equal(t, h.orders[4].Task.Job, ledger.ID("late"), "the four jobs within the share of the flood's workspace are more urgent")
	assert.Equal(t, h.orders[5].Task.Job, ledger.ID("late"))
}

// Guards against work that is thrown away in vain: an urgent step stops what is beyond a share
// first, then what has saved its work last. One beyond its share stops nothing.
func TestPreemptionStopsWhatIsBeyondItsShareFirst(t *testing.T) {
	long := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Minute, Checkpoint: true}
	for name, c := range map[string]struct {
		beyond bool // the urgent step is
		flood  int  // less urgent runs: four are within the share
		saved  int  // the one that has saved its work, if any has
		stop   string
	}{
		"beyond first":          {false, 5, 0, "hot2-4.0.0.0"},
		"beyond before a saved": {false, 5, 3, "hot2-4.0.0.0"},
		"the one that is saved": {false, 4, 3, "hot2-3.0.0.0"},
		"another that is saved": {false, 4, 1, "hot2-1.0.0.0"},
		"beyond stops nothing":  {true, 5, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSharedHarness(t, 1, int64(10*c.flood), "hot", "other")
			h.flood("hot", 2, c.flood, long)
			h.advance(2 * time.Second)
			assert.Equal(t, h.countOrders(leader.OrderStart), c.flood)
			report := leader.Report{Incarnation: 1, Clock: h.now.UnixMilli()}
			for i := range c.flood {
				run := leader.RunStatus{Task: fmt.Sprintf("hot2-%d.0.0.0", i), Number: 1, Percent: 50}
				if i == c.saved && i > 0 {
					run.Checkpoint = "saved"
				}
				report.Running = append(report.Running, run)
			}
			h.applyReport("w00", report, h.now.Add(testLease).UnixMilli())
			urgent := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second}
			workspace := "other"
			if c.beyond {
				workspace = "hot"
				h.flood("hot", 1, 4, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 1000}, Estimate: time.Second})
			}
			h.apply(leader.Accepted{Job: h.jobOf("urgent", workspace, 0, urgent)})
			h.advance(500 * time.Millisecond)
			stopped := ""
			for _, o := range h.orders {
				if o.Kind == leader.OrderStop {
					stopped += o.Task.String()
				}
			}
			assert.Equal(t, stopped, c.stop)
		})
	}
}

// Each leader counts the same jobs against the shares: the jobs beyond are the same after a
// takeover, whatever has ended meanwhile.
func TestTheNextLeaderFindsTheSameJobsBeyond(t *testing.T) {
	h := newSharedHarness(t, 1, 10, "hot")
	step := ledger.Step{Count: 1, Request: ledger.Resources{CPU: 10}, Estimate: time.Second}
	var jobs []ledger.Job
	for i := range 30 {
		jobs = append(jobs, h.jobOf(fmt.Sprintf("j%02d", i), "hot", 0, step))
		h.apply(leader.Accepted{Job: jobs[i]})
		h.advance(300 * time.Millisecond)
		if i < 3 {
			h.completeRuns("w00", fmt.Sprintf("j%02d.0.0.0", i))
		}
	}
	next := newSharedHarness(t, 0, 10, "hot")
	next.now = h.now.Add(time.Second)
	ended := 0
	for _, job := range jobs {
		p, recorded := h.records[job.ID]
		switch {
		case recorded && p.State.Final():
			ended++
			next.apply(leader.Settled{Job: job})
		case recorded:
			next.apply(leader.Accepted{Job: job, Progress: &p})
		default:
			next.apply(leader.Accepted{Job: job})
		}
	}
	before, after := map[ledger.ID]bool{}, map[ledger.ID]bool{}
	beyond := 0
	for _, w := range h.state.Waits(h.now, 0, 100) {
		before[w.Job] = w.Beyond
		if w.Beyond {
			beyond++
		}
	}
	for _, w := range next.state.Waits(next.now, 0, 100) {
		after[w.Job] = w.Beyond
	}
	assert.Equal(t, ended, 3)
	assert.Assert(t, beyond > 5 && beyond < 29, "%d", beyond)
	assert.DeepEqual(t, after, before)
}

package leader_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// cappedCell is a calm cell with workspaces.
type cappedCell struct {
	*calmCell
	caps map[string]int64 // by workspace
	full time.Time        // when half of the cell or more was last in use
	busy map[string]time.Time
}

// used returns the processor time that a workspace uses at the workers.
func (c *cappedCell) used(workspace string) int64 {
	used := int64(0)
	for task := range c.running {
		id, _ := ledger.ParseTaskID(task)
		if job := c.jobs[id.Job]; job.Workspace == workspace {
			used += job.Steps[id.Step].Request.CPU
		}
	}
	return used
}

// watch lets time pass and notes which workspaces use half of their cap or more. It reports a
// workspace that uses more than its cap, or a job that waits though it could start.
func (c *cappedCell) watch(d time.Duration) string {
	for end := c.now.Add(d); c.now.Before(end); {
		c.pass(lookTime)
		if c.inUse() >= 0.5 {
			c.full = c.now
		}
		for name, most := range c.caps {
			used := c.used(name)
			if used > most {
				return fmt.Sprintf("workspace %s uses %d of %d", name, used, most)
			}
			if 2*used >= most {
				c.busy[name] = c.now
			}
		}
		if found := c.heldForNothing(); found != "" {
			return found
		}
	}
	return ""
}

// heldForNothing returns a job of which nothing has run for stillTime, though in all that time
// its workspace has used less than half of its cap, and so has the cell, and it fits now.
func (c *cappedCell) heldForNothing() string {
	if c.now.Sub(c.full) < stillTime {
		return ""
	}
	for id, job := range c.jobs {
		need := job.Steps[0].Request.CPU
		if job.Steps[0].Gang {
			need *= int64(job.Steps[0].Count)
		}
		if c.now.Sub(c.busy[job.Workspace]) < stillTime || job.Workspace != "" && c.used(job.Workspace)+need > c.caps[job.Workspace] {
			continue
		}
		if found := c.startableJob(id); found != "" {
			return found
		}
	}
	return ""
}

// Guards against jobs that wait though there is room under the cap of their workspace and at
// the workers, in a cell in which nothing fails, and against caps that are passed there.
func TestJobsBelowTheirCapStartInACalmCell(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calm := &calmCell{
			room: ledger.Resources{CPU: 8000, Memory: 1 << 40}, workers: rapid.IntRange(4, 24).Draw(rt, "workers"), share: rapid.IntRange(20, 90).Draw(rt, "share"),
			jobs: map[ledger.ID]ledger.Job{}, began: map[string]time.Time{}, active: map[ledger.ID]time.Time{}, done: map[string]bool{},
		}
		calm.harness = newPacedHarness(t, calm.workers, calm.room, passTime)
		calm.harness.permits = calm.permits
		c := &cappedCell{calmCell: calm, caps: map[string]int64{}, busy: map[string]time.Time{}, full: calm.now}
		e := leader.WorkspacesChanged{Version: 1}
		for _, name := range []string{"a", "b"} {
			c.caps[name] = int64(rapid.IntRange(4000, 30_000).Draw(rt, "cap"))
			e.Workspaces = append(e.Workspaces, ledger.Workspace{Name: name, Cap: ledger.Resources{CPU: c.caps[name]}})
		}
		c.apply(e)
		for n := range rapid.IntRange(1, 60).Draw(rt, "jobs") {
			q := ledger.Queue{Name: "plain", Service: "s", Priority: rapid.IntRange(0, 2).Draw(rt, "priority")}
			if rapid.IntRange(0, 3).Draw(rt, "advice") == 0 {
				q = advised("advised", q.Priority)
				q.Service = "s"
			}
			job := ledger.Job{ID: ledger.ID(fmt.Sprintf("j%02d", n)), Queue: q, Workspace: rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(rt, "workspace"), Accepted: c.now}
			step := plainStep(rapid.IntRange(1, 30).Draw(rt, "count"), int64(rapid.IntRange(50, 4000).Draw(rt, "cpu")))
			switch rapid.SampledFrom([]string{"short", "short", "gang", "lasting"}).Draw(rt, "kind") {
			case "gang":
				step.Gang = true
				if most := c.caps[job.Workspace]; most > 0 {
					step.Count = min(step.Count, int(most/step.Request.CPU))
				}
			case "lasting":
				step.LongRunning, step.MaxPerWorker, step.Request.CPU = true, 1, 50
			}
			job.Steps = []ledger.Step{step}
			c.jobs[job.ID], c.active[job.ID] = job, c.now
			c.apply(leader.Accepted{Job: job})
			if found := c.watch(time.Duration(rapid.IntRange(0, 2).Draw(rt, "pause")) * 50 * time.Millisecond); found != "" {
				rt.Fatal(found)
			}
		}
		if found := c.watch(12 * time.Second); found != "" {
			rt.Fatal(found)
		}
	})
}

package leader_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// simCaps are the workspaces of a simulation. The zero value has none.
type simCaps struct {
	versions []map[string]ledger.Resources // caps by workspace, by version of the configuration
	known    int                           // number of versions that the leader knows
	stale    int                           // how many versions a new leader lags behind
}

// drawWorkspace has a job count against a workspace, if there are any. Its tasks fit under
// the cap as a whole where they must, as a client is told otherwise at once.
func (c simCaps) drawWorkspace(t *rapid.T, j ledger.Job) ledger.Job {
	if len(c.versions) == 0 || rapid.IntRange(0, 3).Draw(t, "free") == 0 {
		return j
	}
	return c.inWorkspace(j, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"))
}

// inWorkspace has a job count against a workspace.
func (c simCaps) inWorkspace(j ledger.Job, workspace string) ledger.Job {
	j.Workspace = workspace
	most := c.versions[len(c.versions)-1][j.Workspace]
	for i := range j.Steps {
		s := &j.Steps[i]
		s.LongRunning = false // it would hold the cap for good
		s.Request.CPU = min(s.Request.CPU, most.CPU)
		if s.Gang {
			s.Count = min(s.Count, int(most.CPU/s.Request.CPU))
		}
	}
	return j
}

// drawCaps draws a version of the configuration.
func drawCaps(t *rapid.T) map[string]ledger.Resources {
	caps := map[string]ledger.Resources{}
	for _, name := range []string{"a", "b"} {
		caps[name] = ledger.Resources{CPU: int64(rapid.IntRange(1000, 6000).Draw(t, "cap"))}
	}
	return caps
}

// changeCaps brings a version of the configuration into force, which the leader may not know
// yet, or has it know the newest one.
func (sm *simulation) changeCaps(t *rapid.T) {
	if len(sm.caps.versions) == 0 {
		return
	}
	sm.caps.versions = append(sm.caps.versions, drawCaps(t))
	sm.caps.stale = rapid.IntRange(0, 1).Draw(t, "stale")
	sm.tellCaps(sm.caps.stale)
}

// tellCaps has the leader know all versions of the configuration but the last few.
func (sm *simulation) tellCaps(but int) {
	c := &sm.caps
	if c.known = max(0, len(c.versions)-but); c.known == 0 {
		return
	}
	e := leader.WorkspacesChanged{Version: int64(c.known)}
	for name, most := range c.versions[c.known-1] {
		e.Workspaces = append(e.Workspaces, ledger.Workspace{Name: name, Cap: most, Weight: simWeight})
	}
	sm.apply(e)
}

const (
	// simWeight has workspaces send beyond their shares soon.
	simWeight = 0.1
	// maxFlooded bounds the jobs of a simulation.
	maxFlooded = 20
)

// flood accepts jobs of one workspace at once, some of them beyond its share.
func (sm *simulation) flood(t *rapid.T) {
	if len(sm.caps.versions) == 0 || len(sm.jobs) > maxFlooded {
		return
	}
	workspace := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "flooding")
	for range rapid.IntRange(4, 8).Draw(t, "jobs") {
		id := ledger.ID(fmt.Sprintf("j%d", len(sm.jobs)))
		sm.jobs[id] = sm.caps.inWorkspace(drawJob(t, id, sm.now), workspace)
		sm.apply(leader.Accepted{Job: sm.jobs[id]})
	}
	sm.checkBacklogs()
}

// checkBacklogs fails the test if the leader counts other jobs as waiting beyond a share than
// there may be.
func (sm *simulation) checkBacklogs() {
	most := map[ledger.Claim]int{}
	for id, j := range sm.jobs {
		if !sm.log[id].State.Final() {
			most[ledger.Claim{Workspace: j.Workspace, Priority: j.Queue.Priority}]++
		}
	}
	for _, workspace := range []string{"a", "b"} {
		for priority := range 3 {
			c := ledger.Claim{Workspace: workspace, Priority: priority}
			if r, _ := sm.state.Refuses(c, sm.now); r.Backlog < 0 || r.Backlog > most[c] {
				sm.t.Fatalf("backlog of %+v is %d of %d jobs", c, r.Backlog, most[c])
			}
		}
	}
}

// checkEmpty fails the test if the leader counts runs or waiting steps though all has ended.
func (sm *simulation) checkEmpty() {
	sm.checkBacklogs()
	for _, id := range sm.jobIDs() {
		if !sm.log[id].Terminated() {
			return
		}
	}
	if left := sm.state.Standings(9); len(left) > 0 {
		sm.t.Fatalf("use is left after all jobs: %+v", left)
	}
	if left := sm.state.Counts(sm.now).WaitingSteps; left != 0 {
		sm.t.Fatalf("%d steps are left after all jobs", left)
	}
}

// checkCap fails the test if a start brings what runs at the workers of a workspace above the
// highest of the caps that may be in force for it, except for one task if it, or its gang, is
// larger than the cap alone. It counts only what the workers execute.
func (sm *simulation) checkCap(s sentOrder) {
	job := sm.jobs[s.order.Task.Job]
	if job.Workspace == "" {
		return
	}
	size, step := sm.size(s.order.Task), job.Steps[s.order.Task.Step]
	used := size
	for _, w := range sm.workers {
		for _, r := range w.running {
			if sm.jobs[r.task.Job].Workspace == job.Workspace {
				used = used.Plus(r.size)
			}
		}
	}
	tasks := 1
	if step.Gang {
		tasks = step.Count
	}
	most := int64(0)
	for _, caps := range sm.caps.versions[max(0, s.version-1):] {
		most = max(most, caps[job.Workspace].CPU)
	}
	if size.CPU*int64(tasks) > most {
		most += size.CPU
	}
	if used.CPU > most {
		sm.t.Fatalf("start of %s run %d brings workspace %s to %d above its cap of %d", s.order.Task, s.order.Run, job.Workspace, used.CPU, most)
	}
}

// Guards the caps and shares of workspaces, beside waits for racks, under random loss, delay, partitions, restarts, takeovers and
// changes of the configuration, beside the rules of TestNoStartBreaksARule; and guards against
// jobs that wait for ever for their cap: each ends once the faults have ended, unless a gang
// is too large for the last cap.
func TestNoStartPassesACap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t, 4, rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond}).Draw(t, "pause"))
		sm.caps.versions = []map[string]ledger.Resources{drawCaps(t)}
		sm.tellCaps(0)
		injectFaults(t, sm)
		sm.caps.stale = 0
		sm.tellCaps(0)
		var left ledger.ID
		for range maxSettlings {
			settle(sm)
			if left = sm.unfinished(); left == "" {
				sm.checkEmpty()
				return
			}
		}
		t.Fatalf("job %s of workspace %q is %q after all faults have ended", left, sm.jobs[left].Workspace, sm.log[left].State)
	})
}

// maxSettlings bounds how often settle may be needed until all jobs have ended: a low cap lets
// their tasks run one by one.
const maxSettlings = 6

// unfinished returns a job that has not ended though it can, or "".
func (sm *simulation) unfinished() ledger.ID {
	for _, id := range sm.jobIDs() {
		if sm.jobs[id].Steps[0].LongRunning && !sm.cancels[id] || sm.tooLarge(sm.jobs[id]) {
			continue
		}
		if p, ok := sm.log[id]; !ok || !p.State.Final() {
			return id
		}
	}
	return ""
}

// tooLarge reports whether all but one of the members of a gang don't fit under the newest cap.
func (sm *simulation) tooLarge(j ledger.Job) bool {
	most := sm.caps.versions[len(sm.caps.versions)-1][j.Workspace].CPU
	for _, s := range j.Steps {
		if j.Workspace != "" && s.Gang && s.Request.CPU*int64(s.Count-1) > most {
			return true
		}
	}
	return false
}

package leader

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/bookkeeper"
	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// capacities is what the leader knows of the caps of workspaces, and the steps that wait for
// them. It stays empty where jobs have no workspace.
//
// A step that doesn't fit under its workspace's cap is parked: it leaves the waiting steps
// until the workspace uses less or may use more, so that passes don't visit it. Parked steps
// of one need are kept together, as either all of them fit or none.
type capacities struct {
	account     bookkeeper.Account
	held        container.Table[heldStep]    // waiting steps that have been held back by a cap
	parked      container.Table[parkedNeeds] // those that are parked, by workspace
	parkedSteps int
	released    container.Table[int] // workspaces whose parked steps may fit, and for how many passes they have
}

// heldStep is a waiting step that the cap of its workspace has held back.
type heldStep struct {
	workspace string
	need      string    // under which it is parked, empty while it is not
	released  time.Time // when it was last taken back
}

// need is what a step needs to start: a number of tasks at once.
type need struct {
	size  ledger.Resources
	tasks int
}

// parkedNeed holds the parked steps of one need.
type parkedNeed struct {
	need
	steps container.Ranking // by urgency
}

// parkedNeeds holds the parked steps of a workspace, by need.
type parkedNeeds = container.Table[parkedNeed]

// name returns a name that no other need has.
func (n need) name() string {
	b := make([]byte, 0, 40)
	for _, v := range [...]int64{n.size.CPU, n.size.Memory, n.size.GPU, int64(n.tasks)} {
		b = append(strconv.AppendInt(b, v, 36), '.')
	}
	return string(b)
}

// needOf returns what a step needs to start: room for one task, or for all of a gang.
func needOf(r stepRef) need {
	n := need{size: r.spec().Reservation(), tasks: 1}
	if r.spec().Gang {
		n.tasks = r.spec().Count
	}
	return n
}

// accountJob adds n to the jobs of the workspace of a job.
func (t *transition) accountJob(j ledger.Job, n int) {
	if j.Workspace != "" {
		t.account = t.account.WithJobs(j.Workspace, n)
	}
}

// accountRun adds a run that may be executing to what its workspace has running, or takes it
// off with n = -1.
func (t *transition) accountRun(p Placement, n int) {
	if p.Workspace == "" {
		return
	}
	t.account = t.account.WithRuns(p.Workspace, p.Size, n)
	if n < 0 {
		t.release(p.Workspace)
	}
}

// changeCaps takes the caps of a configuration as those in force.
func (t *transition) changeCaps(e WorkspacesChanged) {
	t.account = t.account.WithCaps(e.Version, e.Workspaces)
	for name := range t.parked.All() {
		t.release(name)
	}
}

// release has the next pass look at the parked steps of a workspace.
func (t *transition) release(workspace string) {
	if t.parked.Has(workspace) && !t.released.Has(workspace) {
		t.released = t.released.With(workspace, 0)
	}
}

// capObstacle returns why a recorded run can't be started under the cap of its workspace as it
// is now, or "" if it can. It counts already, with the members of its gang.
func (t *transition) capObstacle(job ActiveJob, p Placement) string {
	if p.Workspace == "" {
		return ""
	}
	tasks := 1
	if s := job.Job.Steps[p.Task.Step]; s.Gang {
		tasks = s.Count
	}
	if t.account.WithRuns(p.Workspace, p.Size, -tasks).Fits(p.Workspace, p.Size, tasks) {
		return ""
	}
	return t.capReason(p.Workspace)
}

// capReason says that a cap is used up.
func (t *transition) capReason(workspace string) string {
	s := t.account.Standing(workspace)
	if !s.Known {
		return fmt.Sprintf("workspace %s has %d runs and no known cap (configuration %d)", s.Name, s.Use.Runs, t.account.Version())
	}
	return fmt.Sprintf("workspace %s uses cpu=%d memory=%d gpu=%d of cap cpu=%d memory=%d gpu=%d (configuration %d)",
		s.Name, s.Use.Size.CPU, s.Use.Size.Memory, s.Use.Size.GPU, s.Cap.CPU, s.Cap.Memory, s.Cap.GPU, t.account.Version())
}

// fitsCap reports whether the next task of a step, or a gang as a whole, fits under the cap
// of its workspace.
func (t *transition) fitsCap(r stepRef) bool {
	workspace := r.job.Job.Workspace
	if workspace == "" {
		return true
	}
	n := needOf(r)
	return t.account.Fits(workspace, n.size, n.tasks)
}

// underCap returns how many of a number of tasks of a step fit under the cap of its workspace.
func (t *transition) underCap(r stepRef, tasks int) int {
	if r.job.Job.Workspace == "" {
		return tasks
	}
	return t.account.Room(r.job.Job.Workspace, r.spec().Reservation(), tasks)
}

// worthAsking returns for how many of the idle tasks of a step advice is of use. Advice that
// is requested ahead of time is for when the steps before have left their room.
func (t *transition) worthAsking(r stepRef, idle int) int {
	if r.job.Job.Workspace == "" {
		return idle
	}
	if room := t.underCap(r, idle); room > 0 {
		return room
	}
	return t.account.Most(r.job.Job.Workspace, r.spec().Reservation(), idle)
}

// park takes a step that the cap of its workspace holds back off the waiting steps.
func (p *placementPass) park(r stepRef) {
	workspace, n := r.job.Job.Workspace, needOf(r)
	if h, ok := p.held.Get(r.key); h.need != "" {
		return
	} else if !ok {
		p.emit(Decision{What: "hold", Job: r.job.Job.ID, Task: r.key, Why: p.capReason(workspace)})
	}
	p.pauseNearWait(r.key)
	score, _ := p.waiting.Score(r.key)
	p.waiting, p.services, p.retryAt = p.waiting.Without(r.key), p.services.Without(r.key), p.retryAt.Without(r.key)
	p.fullTurns, p.searchTurns = p.fullTurns.Without(r.key), p.searchTurns.Without(r.key)
	p.held = p.held.With(r.key, heldStep{workspace: workspace, need: n.name()})
	needs, _ := p.parked.Get(workspace)
	same, _ := needs.Get(n.name())
	p.parked = p.parked.With(workspace, needs.With(n.name(), parkedNeed{n, same.steps.With(r.key, score)}))
	p.parkedSteps++
}

// rankParked ranks a step anew that is parked. It reports whether it is.
func (t *transition) rankParked(key string, score int64) bool {
	if t.parkedSteps == 0 {
		return false
	}
	h, _ := t.held.Get(key)
	if h.need == "" {
		return false
	}
	needs, _ := t.parked.Get(h.workspace)
	same, _ := needs.Get(h.need)
	same.steps = same.steps.With(key, score)
	t.parked = t.parked.With(h.workspace, needs.With(h.need, same))
	return true
}

// isParked reports whether the cap of its workspace holds a step back.
func (c capacities) isParked(key string) bool {
	h, _ := c.held.Get(key)
	return h.need != ""
}

// mayStartSince returns since when a step could start that has been ready since a time.
func (c capacities) mayStartSince(key string, ready time.Time) time.Time {
	if h, _ := c.held.Get(key); h.released.After(ready) {
		return h.released
	}
	return ready
}

// capFull reports whether the cap of a workspace holds back tasks of jobs of a priority that
// are beyond its share.
func (c capacities) capFull(workspace string, priority int) bool {
	needs, _ := c.parked.Get(workspace)
	from := int64(maxPriority+1+priority) * priorityWeight
	for _, n := range needs.All() {
		if n.tasks > 1 || c.account.Fits(workspace, n.size, n.tasks) {
			continue // a gang may wait while others start
		}
		for _, score := range n.steps.From(from) {
			if score < from+priorityWeight {
				return true
			}
			break
		}
	}
	return false
}

// Standings returns what the workspaces that use most of their cap may have running, at most
// limit.
func (s State) Standings(limit int) []bookkeeper.Standing { return s.account.Largest(limit) }

// forgetHeld removes a step that no longer waits from those that a cap has held back.
func (t *transition) forgetHeld(key string) {
	if t.held.Len() == 0 {
		return
	}
	if h, ok := t.held.Get(key); ok {
		t.unpark(key, h)
		t.held = t.held.Without(key)
	}
}

// unpark removes a step from the parked ones, if it is one.
func (t *transition) unpark(key string, h heldStep) {
	if h.need == "" {
		return
	}
	t.held = t.held.With(key, heldStep{workspace: h.workspace, released: t.now})
	t.parkedSteps--
	needs, _ := t.parked.Get(h.workspace)
	same, _ := needs.Get(h.need)
	if same.steps = same.steps.Without(key); same.steps.Len() > 0 {
		t.parked = t.parked.With(h.workspace, needs.With(h.need, same))
		return
	}
	if needs = needs.Without(h.need); needs.Len() > 0 {
		t.parked = t.parked.With(h.workspace, needs)
		return
	}
	t.parked, t.released = t.parked.Without(h.workspace), t.released.Without(h.workspace)
}

const (
	// releaseInterval is the least time between two passes that release parked steps of the
	// same workspace without an event.
	releaseInterval = 10 * time.Millisecond
	// firstSurplus is how many steps of a workspace are released beyond what fits once those
	// released before have left room, as the workers may have none for them. It doubles with
	// each pass, up to a limit.
	firstSurplus       = 8
	maxSurplusDoubling = 8
)

// releaseSteps has the pass visit parked steps that fit under the cap of their workspace:
// about as many as can start, the most urgent first, and more if those released before have
// left room.
func (t *transition) releaseSteps() {
	for workspace, passes := range t.released.All() {
		surplus := 0
		if passes > 0 {
			surplus = firstSurplus << min(passes-1, maxSurplusDoubling)
		}
		claimed := t.account
		for _, c := range t.releasable(workspace, surplus) {
			if !claimed.Fits(workspace, c.size, c.tasks) {
				if surplus--; surplus < 0 {
					continue
				}
			}
			if idle := t.takeBack(c.key); idle > 0 {
				claimed = claimed.WithRuns(workspace, c.size, max(c.tasks, claimed.Room(workspace, c.size, idle)))
			}
		}
	}
}

// releasable is a parked step that fits under the cap of its workspace.
type releasable struct {
	need
	key   string
	score int64
}

// releasable returns the parked steps of a workspace that may be released, the most urgent
// first: of each need as many as fit, and a surplus.
func (t *transition) releasable(workspace string, surplus int) []releasable {
	var found []releasable
	paced := !t.pace.room(t.starting, true)
	needs, _ := t.parked.Get(workspace)
	for _, n := range needs.All() {
		if !t.account.Fits(workspace, n.size, n.tasks) {
			continue
		}
		n = t.demoteParked(workspace, n)
		left := surplus + 1
		if n.tasks == 1 {
			left = surplus + t.account.Room(workspace, n.size, n.steps.Len())
		}
		for key, score := range n.steps.From(minScore) {
			if left--; left < 0 || paced && deferrable(score) {
				break
			}
			if r, ok := t.resolveStep(key); ok {
				score = t.urgency(r.job, r.round, r.step) // it may have become late since it was parked
			}
			found = append(found, releasable{n.need, key, score})
		}
	}
	slices.SortFunc(found, func(a, b releasable) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.key, b.key))
	})
	return found
}

// demoteParked ranks the parked steps of a need anew that can no longer meet their objective, as
// demoteLate does, and returns the need.
func (t *transition) demoteParked(workspace string, n parkedNeed) parkedNeed {
	before, margin := n.steps, t.now.Add(t.lateMargin()).UnixMilli()
	for priority := range int64(maxPriority + 1) {
		for key, score := range before.From(priority * priorityWeight) {
			if score >= priority*priorityWeight+margin {
				break
			}
			if r, ok := t.resolveStep(key); ok {
				n.steps = n.steps.With(key, t.urgency(r.job, r.round, r.step))
			}
		}
	}
	if n.steps != before {
		needs, _ := t.parked.Get(workspace)
		t.parked = t.parked.With(workspace, needs.With(n.name(), n))
	}
	return n
}

// takeBack makes a parked step wait again, and returns its number of idle tasks.
func (t *transition) takeBack(key string) int {
	h, _ := t.held.Get(key)
	t.unpark(key, h)
	r, ok := t.resolveStep(key)
	if !ok {
		t.forgetHeld(key)
		return 0
	}
	score := t.urgency(r.job, r.round, r.step)
	t.waiting = t.waiting.With(key, score)
	if r.spec().LongRunning {
		t.services = t.services.With(key, score)
	}
	return t.countIdle(r)
}

// settleReleased keeps the workspaces of which parked steps still fit for the next pass.
func (t *transition) settleReleased() {
	for workspace, passes := range t.released.All() {
		fits := false
		needs, _ := t.parked.Get(workspace)
		for _, n := range needs.All() {
			fits = fits || t.account.Fits(workspace, n.size, n.tasks)
		}
		switch {
		case !fits:
			t.released = t.released.Without(workspace)
		case t.pace.room(t.starting, true):
			t.released = t.released.With(workspace, passes+1)
		}
	}
}

package leader

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/waiter"
)

// nearWait is the wait of a step for places in a rack, while it could start elsewhere.
type nearWait struct {
	step   string
	rack   string
	score  int64            // in the order of the waiting steps
	waited time.Duration    // as in waiter.Choice
	seen   time.Time        // when it was last decided to wait; zero if there was then no room at all
	need   ledger.Resources // of the tasks that wait
}

// WithVisit returns the wait after a decision at time now that tasks wait on.
func (w nearWait) WithVisit(now time.Time, rack string, need ledger.Resources) nearWait {
	w.waited = w.waitedUntil(now)
	w.rack, w.seen, w.need = rack, now, need
	return w
}

// WithPause returns the wait while nothing of the step waits for its rack alone.
func (w nearWait) WithPause(now time.Time) nearWait {
	w.waited = w.waitedUntil(now)
	w.seen, w.need = time.Time{}, ledger.Resources{}
	return w
}

func (w nearWait) waitedUntil(now time.Time) time.Duration {
	if w.seen.IsZero() {
		return w.waited
	}
	return w.waited + now.Sub(w.seen)
}

// before reports whether a wait is served before another one for the same rack.
func (w nearWait) before(o nearWait) bool {
	return cmp.Or(cmp.Compare(w.score, o.score), cmp.Compare(w.step, o.step)) < 0
}

// rackView is what a pass knows of the racks. It is filled in as far as steps need it.
type rackView struct {
	ends  map[int][]waiter.End // by slot
	waits map[string][]nearWait
}

// far returns how many times as long the tasks of a step take in a rack.
func (t *transition) far(step ledger.Step, rack string) float64 {
	if step.Rack == "" || step.Rack == rack {
		return 1
	}
	return max(t.policy.Far, 1)
}

// wantsRack reports whether it matters in which rack a step runs and whether it may wait.
func (p *placementPass) wantsRack(s *ledger.Step) bool {
	return p.policy.Far > 1 && !s.LongRunning && (s.Rack != "" || s.Gang && s.SameRack)
}

// choice returns what the decision of a step to wait rests on, and its wait so far.
func (p *placementPass) choice(r stepRef) (waiter.Choice, nearWait) {
	w, _ := p.nearWaits.Get(r.key)
	w.step = r.key
	w.score, _ = p.waiting.Score(r.key)
	end := r.job.ObjectiveEnd
	if at := r.job.Job.Due(r.round); !at.IsZero() {
		end = objectiveEnd(r.job.Job, at)
	}
	job, _ := p.active.get(string(r.job.Job.ID))
	return waiter.Choice{
		Near: p.runTime(r.key, r.spec(), r.job.Job.Queue.Name), Far: p.policy.Far, Waited: w.waitedUntil(p.now),
		Slack: end.Add(-r.job.Job.CriticalPathFrom(r.step)).Sub(p.now), Idle: job.Runs == 0,
	}, w
}

// openings returns when places for tasks of a step become free at the eligible workers of a
// rack, up to a number of places.
func (p *placementPass) openings(r stepRef, eligible []int, held tickets, counts map[string]int, rack string, most int) []time.Duration {
	var workers []waiter.Worker
	for _, i := range eligible {
		c := &p.slots[i]
		if c.Rack != rack {
			continue
		}
		w := waiter.Worker{Free: c.Free, Ends: p.endsAt(i), Limit: -1, Until: -1}
		if limit := r.spec().MaxPerWorker; limit > 0 {
			w.Limit = max(limit-counts[c.ID], 0)
		}
		if t, ok := held[c.ID]; ok {
			w.Until = max(t.expiry.Sub(p.ticketsUsableAt(r.job.Job.Queue)), 0)
		}
		workers = append(workers, w)
	}
	return waiter.Openings(workers, r.spec().Reservation(), most)
}

// endsAt returns the expected ends of the runs at a slot's worker, in order.
func (p *placementPass) endsAt(i int) []waiter.End {
	ends, ok := p.racks.ends[i]
	if ok {
		return ends
	}
	w, _ := p.fleet.get(p.slots[i].ID)
	for _, placed := range w.Placements.All() {
		if after, ok := p.expectedEnd(w, placed); ok {
			ends = append(ends, waiter.End{After: after, Size: placed.Size})
		}
	}
	slices.SortFunc(ends, func(a, b waiter.End) int { return cmp.Compare(a.After, b.After) })
	if p.racks.ends == nil {
		p.racks.ends = map[int][]waiter.End{}
	}
	p.racks.ends[i] = ends
	return ends
}

// expectedEnd returns the time after which a run is expected to end, or false if it is not
// known to end at all.
func (p *placementPass) expectedEnd(w Worker, placed Placement) (time.Duration, bool) {
	if placed.Stage == Stopping || placed.Stage == Withdrawn {
		return restartTime, true
	}
	job, ok := p.active.get(string(placed.Task.Job))
	if !ok || placed.Task.Step >= len(job.Job.Steps) || job.Job.Steps[placed.Task.Step].LongRunning {
		return 0, false
	}
	step := &job.Job.Steps[placed.Task.Step]
	estimate := p.runTime(stepKey(placed.Task.Job, placed.Task.Round, placed.Task.Step), step, job.Job.Queue.Name)
	estimate = time.Duration(float64(estimate) * p.far(*step, w.Rack) * p.relativeSlowness(w))
	left := p.remainingTime(placed.Task, ledger.Task{Worker: w.ID, Run: placed.Run}, estimate)
	if left == 0 && !placed.StartedAt.IsZero() {
		// The estimate was too low; a run that has taken long may take longer.
		left = time.Duration(overdueShare * float64(p.now.Sub(placed.StartedAt)))
	}
	return left, true
}

// overdueShare is the time that a run is expected to go on once it has exceeded its estimate,
// as a fraction of the time that it has taken.
const overdueShare = 0.25

// ahead returns how many places for tasks of a size the waits for a rack take that are served
// before another wait.
func (p *placementPass) ahead(w nearWait, rack string, size ledger.Resources) int {
	if p.racks.waits == nil {
		p.racks.waits = map[string][]nearWait{}
		for _, other := range p.nearWaits.All() {
			p.racks.waits[other.rack] = append(p.racks.waits[other.rack], other)
		}
	}
	var need ledger.Resources
	for _, other := range p.racks.waits[rack] {
		if other.step != w.step && other.before(w) {
			need = need.Plus(other.need)
		}
	}
	places := int64(0)
	for _, n := range [...]struct{ need, size int64 }{{need.CPU, size.CPU}, {need.Memory, size.Memory}, {need.GPU, size.GPU}} {
		if n.size > 0 {
			places = max(places, (n.need+n.size-1)/n.size)
		}
	}
	return int(min(places, maxFits))
}

// nearStep decides which tasks of a step wait for places in its rack. The zero value lets
// none wait.
type nearStep struct {
	pass     *placementPass
	ref      stepRef
	decided  bool
	idle     bool // nothing of its job ran at the decision
	most     int  // tasks that wait, once decided
	held     int  // of these, those that have been visited
	expected time.Duration
	left     time.Duration
	wait     nearWait
}

// nearStep returns the decision on the tasks of a step.
func (p *placementPass) nearStep(r stepRef) nearStep {
	if !p.wantsRack(r.spec()) {
		return nearStep{}
	}
	return nearStep{pass: p, ref: r}
}

// holds reports whether a task waits, once it is known that its rack has no room left.
func (n *nearStep) holds(task ledger.Task) bool {
	if !n.decided || n.held >= n.most || task.HasFailed() {
		return false
	}
	n.held++
	return true
}

// refuses reports whether a task waits instead of taking a place in a rack.
func (n *nearStep) refuses(task ledger.Task, rack string, eligible []int, held tickets, counts map[string]int) bool {
	if n.pass == nil || rack == n.ref.spec().Rack {
		return false
	}
	if !n.decided {
		n.decide(eligible, held, counts)
	}
	if n.holds(task) {
		return true
	}
	// Once one runs, the others may wait for longer.
	n.decided = !n.idle
	return false
}

// decide finds for how many tasks of the step a wait pays.
func (n *nearStep) decide(eligible []int, held tickets, counts map[string]int) {
	p, spec := n.pass, n.ref.spec()
	var c waiter.Choice
	c, n.wait = p.choice(n.ref)
	n.decided, n.idle, n.most = true, c.Idle, 0
	if n.left = c.Budget(); n.left == 0 {
		return
	}
	ahead := p.ahead(n.wait, spec.Rack, spec.Reservation())
	opens := p.openings(n.ref, eligible, held, counts, spec.Rack, ahead+p.countIdle(n.ref))
	for _, at := range opens[min(ahead, len(opens)):] {
		if !c.Pays(at) {
			break
		}
		// What is free now was refused for another reason, for which no wait helps.
		if at > 0 {
			n.expected = at
			n.most++
		}
	}
}

// end records the wait of a step that was visited.
func (n *nearStep) end() {
	if n.pass == nil {
		return
	}
	p, r := n.pass, n.ref
	if n.held == 0 || p.isParked(r.key) {
		p.pauseNearWait(r.key)
		return
	}
	p.holdStep(r, n.wait, r.spec().Rack, n.held, n.expected, n.left)
}

// holdStep has a step wait for a rack: the tasks that wait are counted ahead of later ones, and
// the next passes look again.
func (p *placementPass) holdStep(r stepRef, w nearWait, rack string, tasks int, expected, left time.Duration) {
	if !p.nearWaits.Has(r.key) {
		p.emit(Decision{What: "wait", Job: r.job.Job.ID, Task: r.key, Why: fmt.Sprintf(
			"%d tasks for rack %s, expected in %d ms, at most %d ms", tasks, rack, expected.Milliseconds(), left.Milliseconds())})
	}
	p.setNearWait(w, w.WithVisit(p.now, rack, r.spec().Reservation().Times(tasks)))
	p.fullSteps.Spend(r.key)
	p.deferStep(r)
}

// pauseNearWait stops the clock of a step's wait: it has no room anywhere, or starts.
func (p *placementPass) pauseNearWait(key string) {
	if w, ok := p.nearWaits.Get(key); ok && !w.seen.IsZero() {
		p.setNearWait(w, w.WithPause(p.now))
	}
}

// setNearWait replaces a step's wait, also among those that the pass counts as ahead of others.
func (p *placementPass) setNearWait(before, w nearWait) {
	p.nearWaits = p.nearWaits.With(w.step, w)
	if p.racks.waits == nil {
		return
	}
	p.racks.waits[before.rack] = slices.DeleteFunc(p.racks.waits[before.rack], func(o nearWait) bool { return o.step == w.step })
	p.racks.waits[w.rack] = append(p.racks.waits[w.rack], w)
}

// endNearWait removes the wait of a step that waits no more.
func (t *transition) endNearWait(key string) {
	w, ok := t.nearWaits.Get(key)
	if !ok {
		return
	}
	t.nearWaits = t.nearWaits.Without(key)
	d := Decision{What: "waited", Task: key, Why: fmt.Sprintf("%d ms for rack %s", w.waitedUntil(t.now).Milliseconds(), w.rack)}
	if id, err := ledger.ParseTaskID(key + ".0"); err == nil {
		d.Job = id.Job
	}
	t.emit(d)
}

// holdGang reports whether a gang that could start waits for room in one rack instead, and has
// it wait.
func (p *placementPass) holdGang(r stepRef, tasks int, eligible []int, held tickets) bool {
	c, w := p.choice(r)
	left := c.Budget()
	if left == 0 {
		return false
	}
	racks := []string{r.spec().Rack}
	if racks[0] == "" {
		racks = p.racksByPreference("")
	}
	size, counts := r.spec().Reservation(), p.runsByWorker(r)
	best, soonest := "", left
	for _, rack := range racks {
		last := p.ahead(w, rack, size) + tasks - 1
		if opens := p.openings(r, eligible, held, counts, rack, last+1); last < len(opens) && opens[last] > 0 && opens[last] < soonest {
			best, soonest = rack, opens[last]
		}
	}
	if best == "" {
		return false
	}
	p.holdStep(r, w, best, tasks, soonest, left)
	return true
}

// rackToAsk returns the rack whose workers an advice call queries first, or "": that of the
// data, or for a gang the one with room for most of its members.
func (p *placementPass) rackToAsk(r stepRef, have permits, counts map[string]int) string {
	spec := r.spec()
	if !p.wantsRack(spec) || spec.Rack != "" {
		if p.policy.Far > 1 {
			return spec.Rack
		}
		return ""
	}
	best, fits := "", map[string]int{}
	for _, i := range p.matching(r) {
		c := &p.slots[i]
		if permitted, known := have.known[c.ID]; c.Rack == "" || known && !permitted {
			continue
		}
		fits[c.Rack] += p.fitsAt(r, c.Free, spec.Reservation(), counts[c.ID], spec.Count)
		if best == "" || fits[c.Rack] > fits[best] {
			best = c.Rack
		}
	}
	return best
}

package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

var seriesRoom = ledger.Resources{CPU: 8000, Memory: 8000}

const (
	// longestLeases is how long leases last at most after the log has last taken a record of
	// a leader that may have renewed them.
	longestLeases = seriesRenewal + seriesLease*100/slowestPercent
	// giveUpSlack is from the end of the leases to the leader's next tick.
	giveUpSlack = tickPeriod + 10*time.Millisecond
	// roundingPerTakeover is for readings in milliseconds, down at one leader and up at the next.
	roundingPerTakeover = 3 * time.Millisecond
	// warmLag is how late a warm successor reads a record that the log takes at once: it is
	// not in the answer to one read, but in that to the next.
	warmLag = 2*maxRead + readPause + maxAppend
	// checkPeriod is the time between two looks at the books.
	checkPeriod = 50 * time.Millisecond
	// calmTime is enough for a new leader, the end of all leases and new runs.
	calmTime     = 30 * time.Second
	settlePeriod = time.Second
)

// takeover is a change of leader: for how long nobody counted the time, at most.
type takeover struct {
	at  time.Time
	lag time.Duration
}

// givenUp is a run that the leader of an epoch has given up.
type givenUp struct {
	run   string
	epoch int64
}

// heardBy is a worker that the leader of an epoch has heard, whether it reached the log or not.
type heardBy struct {
	worker string
	epoch  int64
}

// books are what the test knows by itself.
type books struct {
	renewedAt map[string]time.Time // when the log last took a record of a leader that may renew leases at a worker
	heard     map[string]time.Time // when a leader that reached the log last heard a worker
	heardBy   map[heardBy]time.Time
	givenUp   map[givenUp]bool
	takeovers []takeover
	lost      int // runs given up
	lastLost  time.Time
	trace     []string
}

func (c *cell) tracef(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%8.3f ", float64(c.now.UnixMilli()-1_700_000_000_000)/1000)+fmt.Sprintf(format, args...))
}

// fatalf fails the test with the trace.
func (c *cell) fatalf(format string, args ...any) {
	c.t.Helper()
	for _, line := range c.trace {
		c.t.Logf("%s", line)
	}
	c.t.Fatalf("at %.3f: %s", float64(c.now.UnixMilli()-1_700_000_000_000)/1000, fmt.Sprintf(format, args...))
}

// noteRenewers takes note of the workers whose leases the leader of an epoch may renew when
// the log takes a record of it.
func (c *cell) noteRenewers(epoch int64) {
	r := c.log.leases()
	if r == nil || r.Epoch != epoch {
		return
	}
	for id := range c.machines {
		if renews(r, id) {
			c.renewedAt[id] = c.now
		}
	}
}

// noteTakeover takes note of a new leader, and of how late it has read the last records.
func (c *cell) noteTakeover(m *member) {
	var lag time.Duration
	var epoch int64
	for _, r := range c.log.records {
		epoch = max(epoch, r.epoch)
	}
	var record, lead time.Duration
	for _, r := range c.log.records {
		if at, read := m.read[r.Offset]; read && r.epoch == epoch && epoch != 0 {
			record = at.Sub(r.taken)
			if r.Lead != nil {
				lead = at.Sub(r.encoded)
			}
		}
	}
	lag = max(record, lead)
	c.takeovers = append(c.takeovers, takeover{c.now, lag})
	c.tracef("%s leads (%d) after %d, late by %v; the log is fenced at %d and ends at %d", m.name, m.state.Lead().Epoch, epoch, lag, c.log.fence, c.log.end())
}

// noteHeard takes note that the leader of an epoch has heard a worker. What it hears while it
// doesn't reach the log matters only if it goes on to lead.
func (c *cell) noteHeard(w *machine, epoch int64, reaches bool) {
	c.heardBy[heardBy{w.id, epoch}] = c.now
	if reaches {
		c.heard[w.id] = c.now
	}
}

// noteDecision takes note of a decision and checks that no run is given up that goes on. A
// leader that has been fenced off can't have a run started again, whatever it believes.
func (c *cell) noteDecision(d *desk, n leader.Decision) {
	key := runKey(n.Task, n.Run)
	switch n.What {
	case "withhold", "end": // the run is over, whether or not its record is in the log yet
		c.givenUp[givenUp{key, d.epoch}] = true
	case "lost":
		c.givenUp[givenUp{key, d.epoch}] = true
		c.lost, c.lastLost = c.lost+1, c.now
		c.tracef("%s (%d) gives up %s at %s: %s", d.name, d.epoch, key, n.Worker, n.Why)
		for _, id := range c.ids() {
			w := c.machines[id]
			w.lapse()
			if _, runs := w.running[key]; runs && d.epoch >= c.log.fence {
				c.fatalf("%s gives up %s, which goes on at %s for %d ms on its clock", d.name, key, id, w.lease-w.clock())
			}
		}
	}
}

// checkStart checks that no other run of a task goes on when one starts.
func (c *cell) checkStart(o leader.Order) {
	c.tracef("%s starts %s#%d", o.Worker, o.Task, o.Run)
	for _, id := range c.ids() {
		w := c.machines[id]
		w.lapse()
		for key, r := range w.running {
			if r.Task == o.Task.String() {
				c.fatalf("run %d of %s starts at %s while %s goes on at %s", o.Run, o.Task, o.Worker, key, id)
			}
		}
	}
}

// bound returns the time by which the runs at a worker that nobody hears are given up. A
// leader that hears a worker without renewing its leases knows less well when they lapse.
func (c *cell) bound(id string, epoch int64) time.Time {
	bound, heardAt := c.renewedAt[id].Add(longestLeases), c.heard[id]
	if at := c.heardBy[heardBy{id, epoch}]; at.After(heardAt) {
		heardAt = at
	}
	heard := heardAt.Add(longestLeases - seriesRenewal)
	for _, t := range c.takeovers {
		if t.at.After(c.renewedAt[id]) {
			bound = bound.Add(t.lag + roundingPerTakeover)
		}
		if t.at.After(heardAt) {
			heard = heard.Add(t.lag + roundingPerTakeover)
		}
	}
	if heard.After(bound) {
		return heard
	}
	return bound
}

// leading returns the services of the entry that leads, if the log takes its records.
func (c *cell) leading() *desk {
	for _, m := range c.members {
		if m.desk != nil && m.desk.epoch == c.log.fence {
			return m.desk
		}
	}
	return nil
}

// checkGivenUp checks that the leader has given up in time all runs at lost workers.
func (c *cell) checkGivenUp() {
	d := c.leading()
	if d == nil {
		return
	}
	for _, j := range c.jobs {
		p := c.log.progress(j.ID)
		if p == nil {
			continue
		}
		for index := range j.Job.Steps[0].Count {
			id := ledger.TaskID{Job: j.ID, Index: index}
			task := p.Task(0, 0, index)
			key := runKey(id.String(), task.Run)
			w, ok := c.machines[task.Worker]
			if !ok || task.Phase != ledger.Started || !w.hidden(d.member) || c.givenUp[givenUp{key, d.epoch}] {
				continue
			}
			due := c.bound(w.id, d.epoch)
			if d.since.After(due) {
				due = d.since
			}
			if late := c.now.Sub(due); late > giveUpSlack {
				c.fatalf("%s at %s is not given up %v after %v: the log has last renewed its leases %v ago", key, w.id, late, due.Sub(c.renewedAt[w.id]), c.now.Sub(c.renewedAt[w.id]))
			}
		}
	}
}

// pass lets time pass and looks at the books.
func (c *cell) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance(min(checkPeriod, end.Sub(c.now)))
		c.checkGivenUp()
	}
}

// idle returns the tasks that run nowhere.
func (c *cell) idle() []string {
	var idle []string
	for _, j := range c.jobs {
		for index := range j.Job.Steps[0].Count {
			task, runs := ledger.TaskID{Job: j.ID, Index: index}.String(), false
			for _, w := range c.machines {
				w.lapse()
				for _, r := range w.running {
					runs = runs || r.Task == task
				}
			}
			if !runs {
				idle = append(idle, task)
			}
		}
	}
	return idle
}

// lose cuts a worker off from everybody, or from all but the leader.
func (c *cell) lose(id string, near bool) {
	w := c.machines[id]
	if w.lost {
		return
	}
	w.lost, w.lostAt = true, c.now
	if d := c.leading(); d != nil && near {
		w.near = d.member
	}
	c.tracef("%s is lost, but for the leader: %v", id, near)
}

// restart replaces a worker by a new incarnation, which the leader learns some time later.
func (c *cell) restart(id string) {
	c.machines[id].begin()
	c.tracef("%s restarts", id)
	c.after(c.between(0, pollWait), func() {
		if d := c.leading(); d != nil {
			d.list(id)
		}
	})
}

// heal ends a partition.
func (c *cell) heal(id string) {
	c.machines[id].lost, c.machines[id].near = false, nil
	c.tracef("%s is back", id)
}

// ending is the way in which a leader ends.
type ending int

const (
	killed ending = iota
	handedOver
	cutOff
)

// endLeader ends the leader in some way.
func (c *cell) endLeader(how ending) {
	d := c.leading()
	if d == nil {
		return
	}
	c.tracef("%s (%d) ends: %d", d.name, d.epoch, how)
	switch how {
	case killed:
		d.kill()
	case handedOver:
		d.stop()
	case cutOff:
		d.cut = c.now.Add(c.between(time.Second, 2*seriesRenewal))
	}
}

// killAllButOne kills all entries but one.
func (c *cell) killAllButOne() {
	kept := c.members[int(c.between(0, time.Duration(len(c.members)-1)))]
	c.tracef("all but %s end", kept.name)
	for _, m := range c.members {
		if m != kept {
			m.kill()
		}
	}
}

// unsettled reports whether the log has runs at workers that the leader doesn't reach.
func (c *cell) unsettled() bool {
	d := c.leading()
	if d == nil {
		return true
	}
	for _, j := range c.jobs {
		for _, task := range c.log.progress(j.ID).Step(0, 0) {
			if w, ok := c.machines[task.Worker]; ok && task.Phase == ledger.Started && w.hidden(d.member) {
				return true
			}
		}
	}
	return false
}

// calm ends all faults but the loss of workers, and checks that each task runs again.
func (c *cell) calm() {
	c.tracef("calm begins")
	c.faults = false
	for _, m := range c.members {
		m.cut = c.now
	}
	c.log.away, c.log.slow = c.now, c.now
	for end := c.now.Add(calmTime); len(c.idle()) > 0 || c.unsettled(); {
		if !c.now.Before(end) {
			c.fatalf("%v run nowhere, or the log has runs at lost workers", c.idle())
		}
		c.pass(settlePeriod)
	}
}

// drawSeries draws a series of leaders that end soon after each other, and a worker that is
// lost before it, in it or after it.
func (c *cell) drawSeries(t *rapid.T) {
	worker := rapid.SampledFrom(c.ids()).Draw(t, "lost in the series")
	loss := c.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "loss, ms")) * time.Millisecond)
	near := rapid.Bool().Draw(t, "but for the leader")
	c.after(loss.Sub(c.now), func() { c.loseOne(worker, near) })
	for range rapid.IntRange(2, 5).Draw(t, "leaders") {
		c.pass(time.Duration(rapid.IntRange(3000, 5000).Draw(t, "time to the end, ms")) * time.Millisecond)
		c.endLeader(rapid.SampledFrom([]ending{killed, killed, handedOver, cutOff}).Draw(t, "ending"))
	}
}

// drawReturn draws a worker that is back for a moment, in which a leader ends.
func (c *cell) drawReturn(t *rapid.T, id string) {
	c.loseOne(id, false)
	c.pass(time.Duration(rapid.IntRange(2000, 6000).Draw(t, "away, ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "slow log") {
		c.log.slow = c.now.Add(pollWait)
	}
	c.heal(id)
	c.pass(time.Duration(rapid.IntRange(100, 3000).Draw(t, "back, ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "lost first") {
		c.loseOne(id, false)
	}
	c.endLeader(rapid.SampledFrom([]ending{killed, cutOff}).Draw(t, "ending"))
	c.pass(time.Duration(rapid.IntRange(1, 1000).Draw(t, "until the loss, ms")) * time.Millisecond)
	c.loseOne(id, false)
}

// loseOne loses a worker unless it is the last one.
func (c *cell) loseOne(id string, near bool) {
	others := 0
	for _, w := range c.machines {
		if !w.lost && w.id != id {
			others++
		}
	}
	if others > 0 {
		c.lose(id, near)
	}
}

// act draws something that happens.
func (c *cell) act(t *rapid.T) {
	id := rapid.SampledFrom(c.ids()).Draw(t, "worker")
	some := time.Duration(rapid.IntRange(100, 5000).Draw(t, "for, ms")) * time.Millisecond
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0, 1:
		c.loseOne(id, rapid.Bool().Draw(t, "but for the leader"))
	case 2:
		c.heal(id)
	case 3:
		c.restart(id)
	case 4:
		c.endLeader(killed)
	case 5:
		c.endLeader(handedOver)
	case 6:
		c.endLeader(cutOff)
	case 7:
		c.tracef("the log is slow for %v", some)
		c.log.slow = c.now.Add(some)
	case 8:
		c.tracef("the log is away for %v", some)
		c.log.away = c.now.Add(some)
	case 9:
		c.killAllButOne()
	case 10:
		c.loseOne(id, true)
		c.endLeader(cutOff)
	case 11:
		c.drawReturn(t, id)
	default:
		c.drawSeries(t)
	}
	c.pass(some)
}

// settleTime is enough for a first leader and the runs that it starts.
const settleTime = 8 * time.Second

func (c *cell) settle() {
	c.pass(settleTime)
	if idle := c.idle(); len(idle) > 0 {
		c.fatalf("%v don't begin", idle)
	}
}

// Guards against runs at lost workers that are given up late, or while they go on, since the
// leaders change faster than the leases of these workers lapse.
func TestRunsAtLostWorkersAreGivenUpInTimeWhileLeadersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed of delays")
		c := newCell(t, rapid.IntRange(3, 4).Draw(t, "entries"), rapid.IntRange(2, 4).Draw(t, "workers"), rand.New(rand.NewPCG(seed, 0)))
		for range rapid.IntRange(1, 2).Draw(t, "jobs") {
			c.accept(rapid.IntRange(1, 3).Draw(t, "tasks"))
		}
		c.settle()
		c.faults = true
		for range rapid.IntRange(1, 6).Draw(t, "actions") {
			c.act(t)
		}
		c.calm()
	})
}

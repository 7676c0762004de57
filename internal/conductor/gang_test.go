package conductor_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// gangSize is the number of members of each gang.
	gangSize = 3
	// oneLabel is the label of the worker of the gangs that run at one, and severalLabel that
	// of the workers of the others.
	oneLabel     = "one"
	severalLabel = "several"
	// patience bounds each wait. Nothing depends on how long one takes.
	patience = 30 * time.Second
	// manyWorkers are more than a leader calls itself.
	manyWorkers = 70
)

// gang is a job that consists of a gang. In each of its first runs some members fail and the
// others break; later runs are done.
type gang struct {
	id       ledger.ID
	attempts int
	apart    bool    // no worker runs all members
	fails    [][]int // members that fail in a run, in turn

	mu     sync.Mutex
	runs   []int // numbers of the runs that fail, in the order of fails
	failed []int // members that have failed in each of them
	held   bool  // only one member fails in a run for now
	starts []int // of each member, when the job had ended
}

// end returns how a run ends, or "" if it is not its turn.
func (g *gang) end(task ledger.TaskID, run int) leader.EndKind {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := slices.Index(g.runs, run)
	switch {
	case n < 0 && len(g.runs) == len(g.fails):
		return leader.EndDone
	case n < 0:
		n = len(g.runs)
		g.runs, g.failed = append(g.runs, run), append(g.failed, 0)
	}
	switch turn := slices.Index(g.fails[n], task.Index); {
	case turn < 0 && g.failed[n] > 0:
		return leader.EndDone
	case turn == g.failed[n] && (turn == 0 || !g.held):
		g.failed[n]++
		return leader.EndFailed
	}
	return ""
}

// hold sets whether only one member fails in a run for now.
func (g *gang) hold(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = held
}

// failures returns how many members have failed in each run.
func (g *gang) failures() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.failed)
}

// job returns the job of the gang.
func (g *gang) job() ledger.Job {
	step := ledger.Step{Count: gangSize, Gang: true, RequiredLabel: oneLabel, Request: ledger.Resources{CPU: 100}, Estimate: 50 * time.Millisecond}
	if g.apart {
		step.RequiredLabel, step.MaxPerWorker = severalLabel, gangSize-1
	}
	return ledger.Job{ID: g.id, Accepted: time.Now(), Queue: ledger.Queue{Service: "s", Attempts: g.attempts}, Steps: []ledger.Step{step}}
}

// outcome returns the state with which the job has to end.
func (g *gang) outcome() ledger.State {
	if len(g.fails) >= g.attempts {
		return ledger.Failed
	}
	return ledger.Complete
}

// network connects the entries to the workers. It loses what a test wants.
type network struct {
	cell *emulator.Cell

	mu        sync.Mutex
	dropsAcks bool              // calls arrive without the number up to which ends may be forgotten
	dropEnds  int               // answers with ends that are still to be lost
	acked     map[string]int64  // the highest such number by worker, whether it has arrived or not
	callers   map[string]string // the entry that called last, by worker
}

// path is the way of one entry to the workers.
type path struct {
	*network
	entry string
}

// Connect returns a connection to one of the workers.
func (p path) Connect(address string) commander.Connection {
	return hop{p.cell.Connect(address), p}
}

// hop is one of an entry's connections.
type hop struct {
	commander.Connection
	path path
}

// Poll polls a worker, unless the network loses what it asks or its answer.
func (h hop) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	report, err := h.Connection.Poll(ctx, h.path.send(to), wait)
	if err == nil && len(report.Ended) > 0 && h.path.loses() {
		return leader.Report{}, &classifier.Error{Kind: classifier.Unanswered}
	}
	return report, err
}

// send returns what arrives of a call.
func (p path) send(to commander.Target) commander.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers[to.Worker] = p.entry
	p.acked[to.Worker] = max(p.acked[to.Worker], to.Values.Acked())
	if p.dropsAcks {
		to.Values = commander.ValuesFor(to.Values.Incarnation()).WithDeadline(to.Values.Deadline())
	}
	return to
}

// loses reports whether an answer with ends is lost.
func (n *network) loses() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dropEnds == 0 {
		return false
	}
	n.dropEnds--
	return true
}

// lose sets how many answers with ends are lost, and whether acknowledgements are.
func (n *network) lose(ends int, acks bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropEnds, n.dropsAcks = ends, acks
}

// acknowledged reports whether all ends at a worker so far are acknowledged.
func (n *network) acknowledged(worker string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acked[worker] == n.cell.LastEnd(worker)
}

// calledBy returns the workers that an entry has called last, in order.
func (n *network) calledBy(entry string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for worker, caller := range n.callers {
		if caller == entry {
			names = append(names, worker)
		}
	}
	slices.Sort(names)
	return names
}

// gangCell is a cell that runs gangs.
type gangCell struct {
	*series
	gangs   []*gang
	network *network
	names   map[*member]string
	workers []string // that run gangs
}

// newGangCell returns a cell without entries and workers.
func newGangCell(t *testing.T, gangs ...*gang) *gangCell {
	t.Helper()
	byID := map[ledger.ID]*gang{}
	for _, g := range gangs {
		byID[g.id] = g
	}
	cell := &emulator.Cell{
		RunTime: 50 * time.Millisecond, GangWait: 2 * time.Second,
		Members: func(task ledger.TaskID) int {
			if byID[task.Job] == nil {
				return 0
			}
			return gangSize
		},
		End: func(task ledger.TaskID, run int) leader.EndKind {
			if g := byID[task.Job]; g != nil {
				return g.end(task, run)
			}
			return leader.EndDone
		},
	}
	t.Cleanup(func() { assert.Equal(t, len(cell.Violations()), 0, "%v", cell.Violations()) })
	return &gangCell{
		series: &series{t: t, log: &emulator.Log{}, cell: cell, lines: map[*member]*lines{}},
		gangs:  gangs, names: map[*member]string{},
		network: &network{cell: cell, acked: map[string]int64{}, callers: map[string]string{}},
	}
}

// startEntries starts entries and returns the one that leads.
func (c *gangCell) startEntries(n int) *member {
	c.t.Helper()
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		l := &lines{Workers: path{c.network, name}}
		m := start(c.t, name, c.log, l)
		c.lines[m], c.names[m] = l, name
		c.members = append(c.members, m)
	}
	return leads(c.t, c.members, patience)
}

// listWorkers lists the workers of the gangs, the first of them as the one of those that run
// at one. Of fewer than three workers none is excluded as its runs fail.
func (c *gangCell) listWorkers(names ...string) {
	c.t.Helper()
	for i, name := range names {
		labels := []string{severalLabel}
		if i == 0 {
			labels = append(labels, oneLabel)
		}
		listWorker(c.t, c.log, name, labels...)
	}
	c.workers = names
}

// submit submits the gangs.
func (c *gangCell) submit() {
	c.t.Helper()
	for _, g := range c.gangs {
		accept(c.t, c.members[0], g.job())
	}
}

// hold sets whether only one member of a gang fails in a run for now.
func (c *gangCell) hold(held bool) {
	for _, g := range c.gangs {
		g.hold(held)
	}
}

// until waits until a condition holds.
func (c *gangCell) until(holds func() bool, otherwise string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", otherwise)
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
}

// awaitFirstFailures waits until one member of each gang has failed, the others have broken
// unless they are held, and all these ends are handled.
func (c *gangCell) awaitFirstFailures() {
	c.t.Helper()
	held := 0
	for _, g := range c.gangs {
		held += len(g.fails[0]) - 1
	}
	c.until(func() bool {
		for _, g := range c.gangs {
			if !slices.Equal(g.failures(), []int{1}) {
				return false
			}
		}
		running := 0
		for _, name := range c.workers {
			running += len(c.cell.Running(name))
		}
		return running == held && !slices.ContainsFunc(c.workers, func(name string) bool { return !c.network.acknowledged(name) })
	}, "the first failures are not handled")
}

// check checks that each failed run of a gang has counted once, and that none starts after the
// last one that is allowed.
func (c *gangCell) check() {
	c.t.Helper()
	for _, g := range c.gangs {
		c.checkEnd(g)
	}
	later := job("later")
	accept(c.t, c.members[0], later)
	c.members[0].completes(c.t, later.ID, patience)
	for _, g := range c.gangs {
		if g.starts != nil {
			assert.DeepEqual(c.t, c.starts(g), g.starts)
		}
	}
}

// checkEnd waits for the end of a gang's job and checks it.
func (c *gangCell) checkEnd(g *gang) {
	c.t.Helper()
	var ended ledger.State
	c.until(func() bool {
		state, _, err := c.members[0].Inspector.JobState(context.Background(), g.id)
		ended = state
		return err == nil && state.Final()
	}, "job "+string(g.id)+" goes on")
	failures := g.failures()
	if err := g.judge(ended, failures); err != nil {
		c.t.Errorf("%s: %v", g.id, err)
		return
	}
	g.starts = c.starts(g)
}

// judge returns what is wrong with the end of the job.
func (g *gang) judge(ended ledger.State, failures []int) error {
	want := g.fails[:min(len(g.fails), g.attempts)]
	counts := make([]int, 0, len(want))
	for _, f := range want {
		counts = append(counts, len(f))
	}
	switch {
	case ended != g.outcome():
		return errors.Newf("job is %s after %d failed runs of %d attempts; members that failed by run: %v", ended, len(failures), g.attempts, failures)
	case len(failures) != len(want):
		return errors.Newf("job is %s after %d failed runs, not %d; members that failed by run: %v", ended, len(failures), len(want), failures)
	case ended == ledger.Complete && !slices.Equal(failures, counts):
		return errors.Newf("members that failed by run: %v, not %v", failures, counts)
	}
	return nil
}

// starts returns how often each member of a gang has started.
func (c *gangCell) starts(g *gang) []int {
	var starts []int
	for i := range gangSize {
		starts = append(starts, c.cell.Starts(ledger.TaskID{Job: g.id, Index: i}))
	}
	return starts
}

// atBothPlaces returns gangs at one worker and at several ones, each with the same failures.
func atBothPlaces(attempts int, cases ...[][]int) []*gang {
	var gangs []*gang
	for _, fails := range cases {
		for _, apart := range []bool{false, true} {
			id := fmt.Sprintf("gang-%d", len(gangs))
			gangs = append(gangs, &gang{id: ledger.ID(id), attempts: attempts, apart: apart, fails: fails})
		}
	}
	return gangs
}

// Guards against a gang's run that counts once for each member that fails: the job was shown as
// failed although it had attempts left.
func TestARunOfAGangFailsOnceHoweverManyMembersFail(t *testing.T) {
	for attempts, cases := range map[int][][][]int{
		1: {{}, {{1}}, {{1, 2}}, {{0, 1, 2}}},
		2: {{{1}}, {{0, 1}}, {{2, 0}}, {{0, 1, 2}}, {{2, 1, 0}}, {{0, 2}, {2, 1}}, {{1, 2, 0}, {1}}},
		3: {{{0, 1}, {1, 0, 2}}, {{0, 1, 2}, {2}}, {{1}, {2, 1, 0}, {0, 1}}},
	} {
		t.Run(fmt.Sprintf("%d attempts", attempts), func(t *testing.T) {
			t.Parallel()
			c := newGangCell(t, atBothPlaces(attempts, cases...)...)
			c.listWorkers("w0", "w1")
			c.startEntries(2)
			c.submit()
			c.check()
		})
	}
}

// Guards against ends that count again when they are reported again: a worker repeats them
// until it hears that it may forget them.
func TestRepeatedEndsOfAGangCountOnce(t *testing.T) {
	for name, lost := range map[string]struct {
		ends int
		acks bool
	}{
		"answers":          {ends: 6},
		"acknowledgements": {acks: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newGangCell(t, atBothPlaces(3, [][]int{{0, 1}, {1, 2, 0}}, [][]int{{0, 1}, {1, 2, 0}, {2, 0}})...)
			c.listWorkers("w0", "w1")
			c.network.lose(lost.ends, lost.acks)
			c.startEntries(2)
			c.submit()
			c.check()
			assert.Assert(t, !c.network.loses(), "too few answers had ends")
		})
	}
}

// Guards against a run of a gang that counts again under another leader, which knows of the
// failed members only what the last one has recorded.
func TestARunOfAGangFailsOnceAcrossATakeover(t *testing.T) {
	for name, v := range map[string]struct {
		how       ending
		dropsAcks bool // of the ends that the last leader has handled
		during    bool // the other members may fail before another entry leads
	}{
		"killed":                          {how: cutOff},
		"killed, nothing acknowledged":    {how: cutOff, dropsAcks: true},
		"killed, ends without a leader":   {how: cutOff, dropsAcks: true, during: true},
		"stopped":                         {how: stopped},
		"stopped, nothing acknowledged":   {how: stopped, dropsAcks: true},
		"stopped, ends during a handover": {how: stopped, during: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newGangCell(t, atBothPlaces(2, [][]int{{0, 1}}, [][]int{{1, 2, 0}}, [][]int{{2, 0}, {1, 0}})...)
			c.listWorkers("w0", "w1")
			c.network.lose(0, v.dropsAcks)
			c.hold(true)
			first := c.startEntries(3)
			c.submit()
			c.awaitFirstFailures()
			v.how(c.series, first)
			c.members, c.ended = without(c.members, first), first
			if v.during {
				c.hold(false)
			}
			leads(t, c.members, patience)
			c.bury()
			c.network.lose(0, false)
			c.hold(false)
			c.check()
		})
	}
}

// Guards against a run of a gang that counts again when another entry calls its workers in the
// name of the leader.
func TestARunOfAGangFailsOnceAcrossTheLossOfADeputy(t *testing.T) {
	for name, dropsAcks := range map[string]bool{"acknowledged": false, "nothing acknowledged": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newGangCell(t, atBothPlaces(2, [][]int{{1, 0, 2}})...)
			for i := range manyWorkers {
				listWorker(t, c.log, fmt.Sprintf("w%d", i))
			}
			c.network.lose(0, dropsAcks)
			c.hold(true)
			first := c.startEntries(3)
			var deputy *member
			calls := func() []string { return c.network.calledBy(c.names[deputy]) }
			c.until(func() bool {
				return slices.ContainsFunc(without(c.members, first), func(m *member) bool {
					deputy = m
					return len(calls()) >= gangSize
				})
			}, "no entry calls workers for the leader")
			c.listWorkers(calls()[:gangSize]...)
			c.submit()
			c.awaitFirstFailures()
			for _, name := range c.workers {
				assert.Assert(t, slices.Contains(calls(), name), "the deputy does not call worker %s", name)
			}
			c.lines[deputy].cut.Store(true)
			deputy.stop()
			c.members = without(c.members, deputy)
			c.until(func() bool {
				return !slices.ContainsFunc(c.workers, func(name string) bool { return slices.Contains(calls(), name) })
			}, "no other entry calls the workers")
			c.network.lose(0, false)
			c.hold(false)
			c.check()
		})
	}
}

package scheduler_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// long is the number of events of the long run; 0 leaves it out.
var long = flag.Int("long", 0, "events of the long run of the stateful fuzz test")

// seed is the first seed of the long run.
var seed = flag.Uint64("seed", 1, "first seed of the long run")

// steps prints each step of the first history.
var steps = flag.Bool("steps", false, "print each step of the first history of the long run")

// runEvents is the number of events in one history.
const runEvents = 1000

// action is one kind of step in a history. Weight is how often it is drawn.
type action struct {
	name   string
	weight int
	do     func(cl *cluster)
}

func actions() []action {
	return []action{
		{"settle", 6, settle},
		{"advance", 10, func(cl *cluster) { cl.advance(time.Duration(20+cl.choose(400)) * time.Millisecond) }},
		{"tick", 16, func(cl *cluster) { withNode(cl, (*node).active, func(n *node) { cl.apply(n, scheduler.Ticked{}) }) }},
		{"perform", 20, func(cl *cluster) { withNode(cl, (*node).active, func(n *node) { cl.perform(n, 1+cl.choose(8)) }) }},
		{"deliver", 24, deliver},
		{"lose", 2, func(cl *cluster) { dropMessage(cl) }},
		{"append", 12, appendBatch},
		{"read", 14, readSome},
		{"gossip", 8, gossip},
		{"arrive", 10, func(cl *cluster) { withNode(cl, (*node).active, cl.arrive) }},
		{"finish", 8, func(cl *cluster) { withExchange(cl, cl.finishExchange) }},
		{"break", 1, func(cl *cluster) { withExchange(cl, cl.breakExchange) }},
		{"submit", 2, (*cluster).submit},
		{"cancel", 1, (*cluster).cancel},
		{"kill", 1, func(cl *cluster) { withNode(cl, func(n *node) bool { return n.alive }, kill) }},
		{"start", 2, restart},
		{"pause", 1, func(cl *cluster) { withNode(cl, (*node).active, func(n *node) { n.paused = true }) }},
		{"resume", 2, func(cl *cluster) {
			withNode(cl, func(n *node) bool { return n.paused }, func(n *node) { n.paused = false })
		}},
		{"drain", 1, func(cl *cluster) {
			withNode(cl, (*node).active, func(n *node) { cl.apply(n, scheduler.DrainStarted{}) })
		}},
		{"outage", 1, func(cl *cluster) { cl.logDown = !cl.logDown }},
		{"mark", 1, mark},
		{"edit", 1, edit},
	}
}

// settle delivers everything that is in transit, as happens most of the time.
func settle(cl *cluster) {
	for range 2 {
		for range len(cl.batches) {
			appendBatch(cl)
		}
		for range len(cl.messages) {
			deliver(cl)
		}
		for _, name := range cl.names((*node).active) {
			n := cl.nodes[name]
			if !cl.logDown {
				cl.read(n, scheduler.ConfigStream, 1000)
				cl.read(n, scheduler.ZoneStream("z"), 1000)
			}
			cl.apply(n, scheduler.Ticked{})
			cl.perform(n, 1000)
			cl.probe(n, scheduler.Entry{Peer: cl.pick((*node).active).state.Self.ID.Name})
		}
		cl.advance(200 * time.Millisecond)
	}
}

func withNode(cl *cluster, holds func(*node) bool, do func(*node)) {
	if n := cl.pick(holds); n != nil {
		do(n)
	}
}

func withExchange(cl *cluster, do func(int)) {
	if len(cl.exchanges) > 0 {
		do(cl.choose(len(cl.exchanges)))
	}
}

func takeMessage(cl *cluster) (message, bool) {
	if len(cl.messages) == 0 {
		return message{}, false
	}
	i := cl.choose(min(6, len(cl.messages)))
	p := cl.messages[i]
	cl.messages = slices.Delete(cl.messages, i, i+1)
	return p, true
}

// deliver delivers a message, possibly out of order. A paused entry gets it after
// it has resumed.
func deliver(cl *cluster) {
	p, ok := takeMessage(cl)
	if !ok || !cl.isAlive(p.to) {
		return
	}
	n := cl.nodes[p.to.Name]
	if n.paused {
		cl.messages = append(cl.messages, p)
		return
	}
	cl.apply(n, p.event)
}

// dropMessage loses a message between entries. The end of an entry's own
// exchange is a local event and cannot be lost.
func dropMessage(cl *cluster) {
	p, ok := takeMessage(cl)
	if !ok {
		return
	}
	switch e := p.event.(type) {
	case scheduler.RequestEnded, scheduler.ForwardEnded:
		cl.messages = append(cl.messages, p)
	case scheduler.RequestArrived:
		cl.answerForwards(e.Request.ID, false)
	}
}

func appendBatch(cl *cluster) {
	if len(cl.batches) == 0 {
		return
	}
	i := cl.choose(min(4, len(cl.batches)))
	b := cl.batches[i]
	cl.batches = slices.Delete(cl.batches, i, i+1)
	if !cl.logDown {
		cl.write(b.stream, b.records...)
	}
}

func readSome(cl *cluster) {
	if cl.logDown {
		return
	}
	withNode(cl, (*node).active, func(n *node) {
		stream := scheduler.ZoneStream("z")
		if cl.choose(4) == 0 {
			stream = scheduler.ConfigStream
		}
		cl.read(n, stream, 1+cl.choose(20))
	})
}

func gossip(cl *cluster) {
	withNode(cl, (*node).active, func(n *node) {
		other := cl.pick((*node).active)
		cl.probe(n, scheduler.Entry{Peer: other.state.Self.ID.Name})
		if cl.choose(4) == 0 {
			cl.send(n.state.Self.ID, scheduler.ConfigReceived{Config: other.state.Config})
		}
	})
}

func kill(n *node) {
	n.alive, n.paused, n.outbox = false, false, nil
}

func restart(cl *cluster) {
	withNode(cl, func(n *node) bool { return !n.alive }, func(n *node) { cl.start(n.state.Self.ID.Name) })
}

// stopDrained stops draining entries that have nothing left to do.
func stopDrained(cl *cluster) {
	for _, name := range cl.names(func(n *node) bool { return n.active() && n.state.Drained() && len(n.outbox) == 0 }) {
		kill(cl.nodes[name])
	}
}

func mark(cl *cluster) {
	marks := []scheduler.Mark{scheduler.MarkNone, scheduler.MarkLeave}
	cl.batches = append(cl.batches, batch{scheduler.ConfigStream, []scheduler.Record{
		scheduler.MarkRecord{Instance: "s0", Mark: marks[cl.choose(2)]},
	}})
}

// edit appends an edit that races with others: its base version may be stale.
func edit(cl *cluster) {
	withNode(cl, (*node).active, func(n *node) {
		cl.serial++
		cl.batches = append(cl.batches, batch{scheduler.ConfigStream, []scheduler.Record{scheduler.ListRecord{
			List: scheduler.ListAllowances, Basis: n.state.Config.AllowanceVersion, Nonce: time.Duration(cl.serial).String(),
			Allowances: []scheduler.Allowance{{Plan: "p", Slots: largestAllowance - cl.choose(3), Size: scheduler.Size{CPU: int64(2 + cl.choose(3))}}},
		}}})
	})
}

// runHistory runs events until the oracle finds a fault, and returns the faults.
func runHistory(cl *cluster, events int) []string {
	var bag []action
	for _, a := range actions() {
		for range a.weight {
			bag = append(bag, a)
		}
	}
	for range events {
		a := bag[cl.choose(len(bag))]
		cl.trace("act %s at %v", a.name, cl.now.Unix())
		a.do(cl)
		stopDrained(cl)
		cl.oracle.checkOwners(cl.nodes)
		cl.oracle.checkLedgers(cl.nodes)
		cl.oracle.checkLists(cl.log[scheduler.ConfigStream], cl.nodes)
		if len(cl.oracle.faults) > 0 {
			return cl.oracle.faults
		}
	}
	return nil
}

// fixedSeed makes rapid draw the same histories each time, unless the command
// line names a seed.
func fixedSeed(t *testing.T) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		assert.NilError(t, flag.Set("rapid.seed", "1"))
	}
}

func TestCoresKeepInvariants(t *testing.T) {
	fixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		assert.Assert(t, len(runHistory(cl, runEvents)) == 0, "%v", cl.oracle.faults)
	})
}

func TestCoresKeepInvariantsSeeded(t *testing.T) {
	events := max(*long, 60_000)
	seen := coverage{}
	for s := *seed; events > 0; s++ {
		source := rand.New(rand.NewPCG(s, 0))
		cl := newCluster(source.IntN)
		if *steps && s == *seed {
			cl.tracer = t.Logf
		}
		faults := runHistory(cl, runEvents*(1+int(s%4)))
		assert.Assert(t, len(faults) == 0, "seed %d: %v", s, faults)
		events -= runEvents * (1 + int(s%4))
		seen.add(cl)
	}
	t.Logf("%+v", seen)
	assert.Assert(t, seen.ran > 0 && seen.refused > 0 && seen.tasks > 0 && seen.ended > 0 && seen.claims > 0, "histories reach too little: %+v", seen)
}

// coverage counts what histories reached, so that a run that reaches nothing does
// not pass.
type coverage struct {
	ran     int // requests at servers
	refused int
	tasks   int // tasks started
	ended   int // tasks that succeeded
	claims  int // claims after the first one of a resource
	records int
}

func (c *coverage) add(cl *cluster) {
	c.ran += len(cl.oracle.runs)
	c.refused += len(cl.oracle.notRun)
	c.tasks += len(cl.tasks)
	c.ended += len(cl.oracle.endedWell)
	for _, r := range cl.log[scheduler.ZoneStream("z")] {
		c.records++
		if claim, ok := r.Record.(scheduler.ClaimRecord); ok && claim.Basis > 0 {
			c.claims++
		}
	}
}

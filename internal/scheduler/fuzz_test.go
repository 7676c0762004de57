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

// steps prints each step of the history of the seed.
var steps = flag.Bool("steps", false, "print each step of the first history of the long run")

// runEvents is the number of events in one history.
const runEvents = 1000

// act is one kind of step in a history. Weight is how often it is drawn.
type act struct {
	name   string
	weight int
	do     func(w *world)
}

func acts() []act {
	return []act{
		{"settle", 6, settle},
		{"advance", 10, func(w *world) { w.advance(time.Duration(20+w.choose(400)) * time.Millisecond) }},
		{"tick", 16, func(w *world) { withNode(w, (*node).acts, func(n *node) { w.apply(n, scheduler.Ticked{}) }) }},
		{"perform", 20, func(w *world) { withNode(w, (*node).acts, func(n *node) { w.perform(n, 1+w.choose(8)) }) }},
		{"deliver", 24, deliver},
		{"lose", 2, func(w *world) { dropParcel(w) }},
		{"append", 12, appendBatch},
		{"read", 14, readSome},
		{"gossip", 8, gossip},
		{"arrive", 10, func(w *world) { withNode(w, (*node).acts, w.arrive) }},
		{"finish", 8, func(w *world) { withExchange(w, w.finish) }},
		{"break", 1, func(w *world) { withExchange(w, w.breakOff) }},
		{"submit", 2, (*world).submit},
		{"cancel", 1, (*world).cancel},
		{"kill", 1, func(w *world) { withNode(w, func(n *node) bool { return n.alive }, kill) }},
		{"start", 2, restart},
		{"pause", 1, func(w *world) { withNode(w, (*node).acts, func(n *node) { n.paused = true }) }},
		{"resume", 2, func(w *world) {
			withNode(w, func(n *node) bool { return n.paused }, func(n *node) { n.paused = false })
		}},
		{"drain", 1, func(w *world) {
			withNode(w, (*node).acts, func(n *node) { w.apply(n, scheduler.DrainStarted{}) })
		}},
		{"outage", 1, func(w *world) { w.logDown = !w.logDown }},
		{"mark", 1, mark},
		{"edit", 1, edit},
	}
}

// settle lets everything that is under way arrive, as it does most of the time.
func settle(w *world) {
	for range 2 {
		for range len(w.batches) {
			appendBatch(w)
		}
		for range len(w.parcels) {
			deliver(w)
		}
		for _, name := range w.names((*node).acts) {
			n := w.nodes[name]
			if !w.logDown {
				w.read(n, scheduler.ConfigStream, 1000)
				w.read(n, scheduler.ZoneStream("z"), 1000)
			}
			w.apply(n, scheduler.Ticked{})
			w.perform(n, 1000)
			w.probe(n, scheduler.Entry{Peer: w.pick((*node).acts).state.Self.ID.Name})
		}
		w.advance(200 * time.Millisecond)
	}
}

func withNode(w *world, holds func(*node) bool, do func(*node)) {
	if n := w.pick(holds); n != nil {
		do(n)
	}
}

func withExchange(w *world, do func(int)) {
	if len(w.exchanges) > 0 {
		do(w.choose(len(w.exchanges)))
	}
}

func takeParcel(w *world) (parcel, bool) {
	if len(w.parcels) == 0 {
		return parcel{}, false
	}
	i := w.choose(min(6, len(w.parcels)))
	p := w.parcels[i]
	w.parcels = slices.Delete(w.parcels, i, i+1)
	return p, true
}

// deliver hands over a parcel, out of order at times. A paused entry gets it
// when it goes on.
func deliver(w *world) {
	p, ok := takeParcel(w)
	if !ok || !w.living(p.to) {
		return
	}
	n := w.nodes[p.to.Name]
	if n.paused {
		w.parcels = append(w.parcels, p)
		return
	}
	w.apply(n, p.event)
}

// dropParcel loses a message between entries. The end of an entry's own
// exchange is no message and cannot be lost.
func dropParcel(w *world) {
	p, ok := takeParcel(w)
	if !ok {
		return
	}
	switch e := p.event.(type) {
	case scheduler.RequestEnded, scheduler.ForwardEnded:
		w.parcels = append(w.parcels, p)
	case scheduler.RequestArrived:
		w.answerForwards(e.Request.ID, false)
	}
}

func appendBatch(w *world) {
	if len(w.batches) == 0 {
		return
	}
	i := w.choose(min(4, len(w.batches)))
	b := w.batches[i]
	w.batches = slices.Delete(w.batches, i, i+1)
	if !w.logDown {
		w.write(b.stream, b.records...)
	}
}

func readSome(w *world) {
	if w.logDown {
		return
	}
	withNode(w, (*node).acts, func(n *node) {
		stream := scheduler.ZoneStream("z")
		if w.choose(4) == 0 {
			stream = scheduler.ConfigStream
		}
		w.read(n, stream, 1+w.choose(20))
	})
}

func gossip(w *world) {
	withNode(w, (*node).acts, func(n *node) {
		other := w.pick((*node).acts)
		w.probe(n, scheduler.Entry{Peer: other.state.Self.ID.Name})
		if w.choose(4) == 0 {
			w.send(n.state.Self.ID, scheduler.ConfigHeard{Config: other.state.Config})
		}
	})
}

func kill(n *node) {
	n.alive, n.paused, n.outbox = false, false, nil
}

func restart(w *world) {
	withNode(w, func(n *node) bool { return !n.alive }, func(n *node) { w.start(n.state.Self.ID.Name) })
}

// stopDrained ends entries that have handed over everything.
func stopDrained(w *world) {
	for _, name := range w.names(func(n *node) bool { return n.acts() && n.state.Drained() && len(n.outbox) == 0 }) {
		kill(w.nodes[name])
	}
}

func mark(w *world) {
	marks := []scheduler.Mark{scheduler.MarkNone, scheduler.MarkLeave}
	w.batches = append(w.batches, batch{scheduler.ConfigStream, []scheduler.Record{
		scheduler.MarkRecord{Instance: "s0", Mark: marks[w.choose(2)]},
	}})
}

// edit races with other edits: its basis may be old.
func edit(w *world) {
	withNode(w, (*node).acts, func(n *node) {
		w.serial++
		w.batches = append(w.batches, batch{scheduler.ConfigStream, []scheduler.Record{scheduler.ListRecord{
			List: scheduler.ListAllowances, Basis: n.state.Config.AllowanceVersion, Nonce: time.Duration(w.serial).String(),
			Allowances: []scheduler.Allowance{{Plan: "p", Slots: worldAllowance - w.choose(3), Size: scheduler.Size{CPU: int64(2 + w.choose(3))}}},
		}}})
	})
}

// history runs events until the oracle finds a fault.
func history(w *world, events int) []string {
	var bag []act
	for _, a := range acts() {
		for range a.weight {
			bag = append(bag, a)
		}
	}
	for range events {
		a := bag[w.choose(len(bag))]
		w.note("act %s at %v", a.name, w.now.Unix())
		a.do(w)
		stopDrained(w)
		w.oracle.owners(w.nodes)
		w.oracle.ledgers(w.nodes)
		w.oracle.lists(w.log[scheduler.ConfigStream], w.nodes)
		if len(w.oracle.faults) > 0 {
			return w.oracle.faults
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
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		assert.Assert(t, len(history(w, runEvents)) == 0, "%v", w.oracle.faults)
	})
}

func TestCoresKeepInvariantsSeeded(t *testing.T) {
	events := max(*long, 60_000)
	seen := coverage{}
	for s := *seed; events > 0; s++ {
		source := rand.New(rand.NewPCG(s, 0))
		w := newWorld(source.IntN)
		if *steps && s == *seed {
			w.tracer = t.Logf
		}
		faults := history(w, runEvents*(1+int(s%4)))
		assert.Assert(t, len(faults) == 0, "seed %d: %v", s, faults)
		events -= runEvents * (1 + int(s%4))
		seen.add(w)
	}
	t.Logf("%+v", seen)
	assert.Assert(t, seen.ran > 0 && seen.refused > 0 && seen.tasks > 0 && seen.ended > 0 && seen.moved > 0, "histories reach too little: %+v", seen)
}

// coverage counts what histories reached, so that a check that sees nothing
// does not pass.
type coverage struct {
	ran     int // requests at servers
	refused int
	tasks   int // tasks started
	ended   int // tasks that ended well
	moved   int // claims after the founding ones
	records int
}

func (c *coverage) add(w *world) {
	c.ran += len(w.oracle.runs)
	c.refused += len(w.oracle.told)
	c.tasks += len(w.jobs)
	c.ended += len(w.oracle.endedWell)
	for _, r := range w.log[scheduler.ZoneStream("z")] {
		c.records++
		if claim, ok := r.Record.(scheduler.ClaimRecord); ok && claim.Basis > 0 {
			c.moved++
		}
	}
}

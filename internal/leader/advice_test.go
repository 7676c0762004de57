package leader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// bench drives a leader by hand: every record is in the log at once, every start
// is obeyed, and advice permits the workers of a set.
type bench struct {
	t       *testing.T
	state   leader.State
	now     time.Time
	permit  map[string]bool
	asked   [][]string        // workers named in each call
	running map[string]string // worker by task
	ended   map[string]int64  // ends by worker
	orders  []leader.Order
	records map[ledger.ID]ledger.Progress
	away    bool    // records wait for the log
	held    []int64 // batches that wait
	refuse  string  // a worker that refuses starts
	percent int     // what workers tell of runs
	slow    bool    // calls for advice are not answered
}

func newBench(t *testing.T, workers int, room ledger.Size) *bench {
	b := &bench{t: t, now: time.Unix(1_700_000_000, 0), permit: map[string]bool{}, percent: 50, running: map[string]string{}, ended: map[string]int64{}, records: map[ledger.ID]ledger.Progress{}}
	b.state = leader.New(leader.Policy{Lease: worldLease, Inherited: 5 * time.Second}, b.now)
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		b.apply(leader.Listed{Listing: leader.Listing{ID: id, Address: id, Service: "s", Room: room}})
		b.report(id)
	}
	b.apply(leader.CallersChanged{Callers: []string{"a", "b", "c", "d"}})
	return b
}

func (b *bench) report(id string, ended ...leader.End) {
	r := leader.Report{Life: 1, Clock: b.now.UnixMilli(), Ended: ended}
	for task, at := range b.running {
		if at == id {
			r.Running = append(r.Running, leader.Run{Task: task, Number: 1, Percent: b.percent})
		}
	}
	b.apply(leader.Reported{Worker: id, Report: r, Sent: b.now, Deadline: b.now.Add(worldLease).UnixMilli()})
}

func (b *bench) apply(e leader.Event) {
	next, effects := b.state.Apply(e, b.now)
	b.state = next
	for _, effect := range effects {
		switch f := effect.(type) {
		case leader.Record:
			b.records[f.Job] = f.Progress
			if b.away {
				b.held = append(b.held, f.Batch)
				continue
			}
			b.apply(leader.Committed{Batch: f.Batch})
		case leader.Order:
			b.orders = append(b.orders, f)
			if f.Kind == leader.OrderStart && f.Worker == b.refuse {
				b.apply(leader.Answered{Worker: f.Worker, Kind: f.Kind, Task: f.Task, Run: f.Run, Outcome: leader.Refused})
				continue
			}
			if f.Kind == leader.OrderStart {
				b.running[f.Task.String()] = f.Worker
				b.apply(leader.Answered{Worker: f.Worker, Kind: f.Kind, Task: f.Task, Run: f.Run})
			}
		case leader.Consult:
			b.asked = append(b.asked, f.Workers)
			if !b.slow {
				b.answer(f)
			}
		}
	}
}

func (b *bench) answer(c leader.Consult) {
	var permits []leader.Permit
	for _, id := range c.Workers {
		if b.permit[id] {
			permits = append(permits, leader.Permit{Worker: id, Ticket: "t"})
		}
	}
	b.apply(leader.Advised{Ask: c.Ask, Permits: permits})
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		b.apply(leader.Ticked{})
	}
}

func (b *bench) submit(id ledger.ID, q ledger.Queue, steps ...ledger.Step) {
	q.Service = "s"
	b.apply(leader.Accepted{Job: ledger.Job{ID: id, Accepted: b.now, Queue: q, Steps: steps}})
}

// Workers that the policy bars stay barred: a step whose permitted workers are
// at their limit asks about the others and is placed, and asks about none twice.
func TestAdviceGoesOnToWorkersNotAskedAbout(t *testing.T) {
	b := newBench(t, 24, ledger.Size{CPU: 8000, Memory: 8000})
	for _, id := range []string{"w03", "w11", "w19", "w22"} {
		b.permit[id] = true
	}
	q := ledger.Queue{Advice: &ledger.Advice{Decide: 20 * time.Millisecond, Valid: 2 * time.Second}}
	b.submit("j", q, ledger.Step{Count: 4, Most: 1, Lasting: true, Size: ledger.Size{CPU: 1000}})
	b.pass(5 * time.Second)
	assert.Equal(t, len(b.running), 4)
	var barred []string
	for _, named := range b.asked {
		for _, id := range named {
			if !b.permit[id] {
				assert.Assert(t, !slices.Contains(barred, id), "%s is known to be barred", id)
				barred = append(barred, id)
			}
		}
	}
}

// Without room anywhere no call for advice helps, and none is made.
func TestNoAdviceWithoutRoom(t *testing.T) {
	b := newBench(t, 2, ledger.Size{CPU: 1000, Memory: 1000})
	b.submit("full", ledger.Queue{}, ledger.Step{Count: 2, Size: ledger.Size{CPU: 1000}})
	assert.Equal(t, len(b.running), 2)
	b.submit("j", ledger.Queue{Advice: &ledger.Advice{Decide: time.Millisecond, Valid: time.Second}}, ledger.Step{Count: 1, Size: ledger.Size{CPU: 500}})
	b.pass(3 * time.Second)
	assert.Equal(t, len(b.asked), 0)
}

// A log that was away holds up the records of many starts. Those whose tickets
// have run out meanwhile are not ordered: their workers would refuse them.
func TestStartsAreWithheldOnceTheirTicketsHaveRunOut(t *testing.T) {
	b := newBench(t, 4, ledger.Size{CPU: 8000, Memory: 8000})
	for i := range 4 {
		b.permit[fmt.Sprintf("w%02d", i)] = true
	}
	b.away = true
	q := ledger.Queue{Advice: &ledger.Advice{Decide: 20 * time.Millisecond, Valid: 2 * time.Second}}
	b.submit("j", q, ledger.Step{Count: 4, Size: ledger.Size{CPU: 1000}})
	b.pass(5 * time.Second)
	assert.Equal(t, len(b.orders), 0)
	b.away = false
	for len(b.held) > 0 {
		batch := b.held[0]
		b.held = b.held[1:]
		b.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, len(b.orders), 4)
	for _, o := range b.orders {
		assert.Equal(t, o.Run, 2, "the first run was withheld")
	}
}

// A cut heals after leases have lapsed and tasks run elsewhere: the end of an
// earlier run stops the later one, which counts at its worker until it is gone.
func TestEarlierRunEndsWhileALaterOneGoesOn(t *testing.T) {
	b := newBench(t, 3, ledger.Size{CPU: 8000, Memory: 8000})
	step := ledger.Step{Count: 2, Most: 1, Size: ledger.Size{CPU: 1000}}
	b.submit("j", ledger.Queue{}, step)
	first, second := b.running["j.0.0.0"], b.running["j.0.0.1"]
	assert.Assert(t, first != second)
	for _, id := range []string{first, second} {
		b.apply(leader.Missed{Worker: id})
	}
	b.pass(8 * time.Second)
	again := b.running["j.0.0.0"]
	assert.Assert(t, again != first && again != second)
	assert.Equal(t, b.running["j.0.0.1"], second, "no other worker may run it")
	b.orders = nil
	delete(b.running, "j.0.0.0")
	// The worker that was cut off takes nothing new, so only the other is left.
	b.apply(leader.Listed{Listing: leader.Listing{ID: first, Address: first, Service: "s", Room: ledger.Size{CPU: 8000, Memory: 8000}, Draining: true}})
	b.report(first, leader.End{Number: 1, Task: "j.0.0.0", Run: 1, How: leader.EndDone})
	assert.Equal(t, b.orders[0].Kind, leader.OrderStop)
	assert.Equal(t, b.orders[0].Worker, again)
	for _, o := range b.orders {
		assert.Assert(t, o.Kind != leader.OrderStart || o.Worker != again, "two of the step at one worker")
	}
}

// A gang needs room for all of its tasks at once. The tickets of one call are
// kept while another call asks about more workers.
func TestAGangGathersTheTicketsOfSeveralCalls(t *testing.T) {
	b := newBench(t, 24, ledger.Size{CPU: 1000, Memory: 8000})
	for _, id := range []string{"w03", "w11", "w19", "w22"} {
		b.permit[id] = true
	}
	q := ledger.Queue{Advice: &ledger.Advice{Decide: 20 * time.Millisecond, Valid: 2 * time.Second}}
	b.submit("j", q, ledger.Step{Count: 4, Gang: true, Size: ledger.Size{CPU: 1000}})
	b.pass(time.Second)
	assert.Equal(t, len(b.running), 4)
	assert.Assert(t, len(b.asked) > 1, "the first call named all workers")
}

// Many steps wait behind slow advice. Calls that are under way at the same time
// name different workers as far as there are any, so that fewer come back to
// find the room taken.
func TestCallsUnderWayNameDifferentWorkers(t *testing.T) {
	b := newBench(t, 24, ledger.Size{CPU: 1000, Memory: 8000})
	b.slow = true
	q := ledger.Queue{Priority: 2, Advice: &ledger.Advice{Decide: 500 * time.Millisecond, Valid: 2 * time.Second}}
	for _, id := range []ledger.ID{"a", "b", "c"} {
		b.submit(id, q, ledger.Step{Count: 2, Size: ledger.Size{CPU: 1000}})
	}
	assert.Equal(t, len(b.asked), 3)
	seen := map[string]bool{}
	for _, named := range b.asked {
		for _, id := range named {
			assert.Assert(t, !seen[id], "%s is named by two calls", id)
			seen[id] = true
		}
	}
}

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

// harness drives a leader step by step: by default every record is committed at
// once, every start succeeds, and advice permits a fixed set of workers.
type harness struct {
	t              *testing.T
	state          leader.State
	now            time.Time
	permitted      map[string]bool
	permits        func(step, worker string) bool // replaces permitted if it is set
	queried        [][]string                     // workers queried in each advice call
	running        map[string]string              // worker by task
	renewed        map[string]bool                // workers whose leases each poll renews
	silences       map[string]int64               // failed polls by worker
	ended          map[string]int64               // number of ends by worker
	orders         []leader.Order
	decisions      []leader.Decision
	records        map[ledger.ID]ledger.Progress
	commitsDelayed bool    // records are not committed
	delayedBatches []int64 // batches not committed
	refusingWorker string  // a worker that refuses starts
	percent        int     // progress reported for each run
	adviceDelayed  bool    // advice calls are not answered
	unanswered     []unanswered
	holds          int // decisions that a step waits for its cap
}

// unanswered is an advice call that has not been answered.
type unanswered struct {
	at   time.Time
	call leader.RequestAdvice
}

func newHarness(t *testing.T, workers int, room ledger.Resources) *harness {
	return newPacedHarness(t, workers, room, 0)
}

// newPacedHarness returns a harness with a pause between placement passes.
func newPacedHarness(t *testing.T, workers int, room ledger.Resources, pause time.Duration) *harness {
	return newRackedHarness(t, workers, room, leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: pause}, nil)
}

// newRackedHarness returns a harness whose workers are in racks, as far as rackOf is set.
func newRackedHarness(t *testing.T, workers int, room ledger.Resources, policy leader.Policy, rackOf func(i int) string) *harness {
	h := &harness{t: t, now: time.Unix(1_700_000_000, 0), permitted: map[string]bool{}, percent: 50, running: map[string]string{}, renewed: map[string]bool{}, silences: map[string]int64{}, ended: map[string]int64{}, records: map[ledger.ID]ledger.Progress{}}
	h.state = leader.New(policy, h.now)
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		l := leader.Listing{ID: id, Address: id, Service: "s", Capacity: room}
		if rackOf != nil {
			l.Rack = rackOf(i)
			l.Labels = []string{l.Rack}
		}
		h.apply(leader.Listed{Listing: l})
		h.report(id)
	}
	h.apply(leader.CallersChanged{Callers: []string{"a", "b", "c", "d"}})
	return h
}

func (h *harness) report(id string, ended ...leader.RunEnd) {
	r := leader.Report{Incarnation: 1, Clock: h.now.UnixMilli(), Ended: ended}
	for task, at := range h.running {
		if at == id {
			r.Running = append(r.Running, leader.RunStatus{Task: task, Number: 1, Percent: h.percent})
		}
	}
	h.applyReport(id, r, h.now.Add(testLease).UnixMilli())
}

// applyReport applies a report. Whoever polls a worker renews leases only once it was told to.
func (h *harness) applyReport(id string, r leader.Report, deadline int64) {
	e := leader.Reported{Worker: id, Report: r, Sent: h.now, Deadline: deadline}
	if !h.renewed[id] {
		e.Silence = leader.FirstSilence(0) + h.silences[id]
	}
	h.apply(e)
}

func (h *harness) apply(e leader.Event) {
	if failed, ok := e.(leader.PollFailed); ok && failed.Silence == 0 {
		delete(h.renewed, failed.Worker)
		h.silences[failed.Worker]++
		failed.Silence = leader.FirstSilence(0) + h.silences[failed.Worker]
		e = failed
	}
	next, effects := h.state.Apply(e, h.now)
	h.state = next
	for _, effect := range effects {
		switch f := effect.(type) {
		case leader.Record:
			h.records[f.Job] = f.Progress
			if h.commitsDelayed {
				h.delayedBatches = append(h.delayedBatches, f.Batch)
				continue
			}
			h.apply(leader.Committed{Batch: f.Batch})
		case leader.Decision:
			h.decisions = append(h.decisions, f)
			if f.What == "hold" {
				h.holds++
			}
		case leader.Renew:
			h.renewed[f.Worker] = true
		case leader.Order:
			h.orders = append(h.orders, f)
			if f.Kind == leader.OrderStart && f.Worker == h.refusingWorker {
				h.apply(leader.OrderAnswered{Worker: f.Worker, Kind: f.Kind, Task: f.Task, Run: f.Run, Outcome: leader.Refused})
				continue
			}
			if f.Kind == leader.OrderStart {
				h.running[f.Task.String()] = f.Worker
				h.apply(leader.OrderAnswered{Worker: f.Worker, Kind: f.Kind, Task: f.Task, Run: f.Run})
			}
		case leader.RequestAdvice:
			h.queried = append(h.queried, f.Workers)
			if h.adviceDelayed {
				h.unanswered = append(h.unanswered, unanswered{h.now, f})
				continue
			}
			h.answerAdvice(f)
		}
	}
}

func (h *harness) answerAdvice(c leader.RequestAdvice) {
	var permits []leader.Permit
	for _, id := range c.Workers {
		if h.permits != nil && h.permits(c.Step, id) || h.permits == nil && h.permitted[id] {
			permits = append(permits, leader.Permit{Worker: id, Ticket: "t"})
		}
	}
	h.apply(leader.AdviceAnswered{Call: c.Call, Permits: permits})
}

func (h *harness) advance(d time.Duration) { h.advanceBy(100*time.Millisecond, d) }

// advanceBy lets time pass in steps, each of which brings a placement pass.
func (h *harness) advanceBy(step, d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		h.apply(leader.Ticked{})
	}
}

func (h *harness) submit(id ledger.ID, q ledger.Queue, steps ...ledger.Step) {
	q.Service = "s"
	h.apply(leader.Accepted{Job: ledger.Job{ID: id, Accepted: h.now, Queue: q, Steps: steps}})
}

// Guards against queries that are repeated for workers already known to be denied:
// a step whose permitted workers are at their limit queries the others, each denied
// one only once, and is placed.
func TestAdviceGoesOnToWorkersNotAskedAbout(t *testing.T) {
	h := newHarness(t, 24, ledger.Resources{CPU: 8000, Memory: 8000})
	for _, id := range []string{"w03", "w11", "w19", "w22"} {
		h.permitted[id] = true
	}
	q := ledger.Queue{Advice: &ledger.Advice{PerCall: 20 * time.Millisecond, TTL: 2 * time.Second}}
	h.submit("j", q, ledger.Step{Count: 4, MaxPerWorker: 1, LongRunning: true, Request: ledger.Resources{CPU: 1000}})
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.running), 4)
	var denied []string
	for _, workers := range h.queried {
		for _, id := range workers {
			if !h.permitted[id] {
				assert.Assert(t, !slices.Contains(denied, id), "%s is known to be denied", id)
				denied = append(denied, id)
			}
		}
	}
}

// Guards against advice calls while no worker has room, which are useless.
func TestNoAdviceWithoutRoom(t *testing.T) {
	h := newHarness(t, 2, ledger.Resources{CPU: 1000, Memory: 1000})
	h.submit("full", ledger.Queue{}, ledger.Step{Count: 2, Request: ledger.Resources{CPU: 1000}})
	assert.Equal(t, len(h.running), 2)
	h.submit("j", ledger.Queue{Advice: &ledger.Advice{PerCall: time.Millisecond, TTL: time.Second}}, ledger.Step{Count: 1, Request: ledger.Resources{CPU: 500}})
	h.advance(3 * time.Second)
	assert.Equal(t, len(h.queried), 0)
}

// Guards against starts with expired tickets, which the workers would refuse. An
// unavailable log delays the records of the starts beyond the validity of the
// tickets.
func TestStartsAreWithheldOnceTheirTicketsHaveRunOut(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	for i := range 4 {
		h.permitted[fmt.Sprintf("w%02d", i)] = true
	}
	h.commitsDelayed = true
	q := ledger.Queue{Advice: &ledger.Advice{PerCall: 20 * time.Millisecond, TTL: 2 * time.Second}}
	h.submit("j", q, ledger.Step{Count: 4, Request: ledger.Resources{CPU: 1000}})
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.orders), 0)
	h.commitsDelayed = false
	for len(h.delayedBatches) > 0 {
		batch := h.delayedBatches[0]
		h.delayedBatches = h.delayedBatches[1:]
		h.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, len(h.orders), 4)
	for _, o := range h.orders {
		assert.Equal(t, o.Run, 2, "the first run was withheld")
	}
}

// Guards against exceeding a step's limit per worker when a partition heals after
// its leases have expired and its tasks have been started elsewhere: the end of the
// earlier run stops the later one, which counts at its worker until it has ended.
func TestEarlierRunEndsWhileALaterOneGoesOn(t *testing.T) {
	h := newHarness(t, 3, ledger.Resources{CPU: 8000, Memory: 8000})
	step := ledger.Step{Count: 2, MaxPerWorker: 1, Request: ledger.Resources{CPU: 1000}}
	h.submit("j", ledger.Queue{}, step)
	first, second := h.running["j.0.0.0"], h.running["j.0.0.1"]
	assert.Assert(t, first != second)
	for _, id := range []string{first, second} {
		h.apply(leader.PollFailed{Worker: id})
	}
	h.advance(8 * time.Second)
	again := h.running["j.0.0.0"]
	assert.Assert(t, again != first && again != second)
	assert.Equal(t, h.running["j.0.0.1"], second, "no other worker may run it")
	h.orders = nil
	delete(h.running, "j.0.0.0")
	// The partitioned worker drains, so only the other one may run the task.
	h.apply(leader.Listed{Listing: leader.Listing{ID: first, Address: first, Service: "s", Capacity: ledger.Resources{CPU: 8000, Memory: 8000}, Draining: true}})
	h.report(first, leader.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, Kind: leader.EndDone})
	assert.Equal(t, h.orders[0].Kind, leader.OrderStop)
	assert.Equal(t, h.orders[0].Worker, again)
	for _, o := range h.orders {
		assert.Assert(t, o.Kind != leader.OrderStart || o.Worker != again, "a second run of the step at one worker")
	}
}

// Guards against a gang that is never placed because each answer replaces the
// tickets of the one before: it needs tickets for all of its tasks at once, which
// take several calls.
func TestAGangGathersTheTicketsOfSeveralCalls(t *testing.T) {
	h := newHarness(t, 24, ledger.Resources{CPU: 1000, Memory: 8000})
	for _, id := range []string{"w03", "w11", "w19", "w22"} {
		h.permitted[id] = true
	}
	q := ledger.Queue{Advice: &ledger.Advice{PerCall: 20 * time.Millisecond, TTL: 2 * time.Second}}
	h.submit("j", q, ledger.Step{Count: 4, Gang: true, Request: ledger.Resources{CPU: 1000}})
	h.advance(time.Second)
	assert.Equal(t, len(h.running), 4)
	assert.Assert(t, len(h.queried) > 1, "the first call queried all workers")
}

// Guards against concurrent advice calls that query the same workers, of which all
// but the first would find the capacity taken. It needs slow advice and several
// waiting steps.
func TestCallsUnderWayNameDifferentWorkers(t *testing.T) {
	h := newHarness(t, 24, ledger.Resources{CPU: 1000, Memory: 8000})
	h.adviceDelayed = true
	q := ledger.Queue{Priority: 2, Advice: &ledger.Advice{PerCall: 500 * time.Millisecond, TTL: 2 * time.Second}}
	for _, id := range []ledger.ID{"a", "b", "c"} {
		h.submit(id, q, ledger.Step{Count: 2, Request: ledger.Resources{CPU: 1000}})
	}
	assert.Equal(t, len(h.queried), 3)
	seen := map[string]bool{}
	for _, workers := range h.queried {
		for _, id := range workers {
			assert.Assert(t, !seen[id], "%s is queried by two calls", id)
			seen[id] = true
		}
	}
}

package leader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// drawJob draws a random job of one to three steps.
func drawJob(t *rapid.T, id ledger.ID, now time.Time) ledger.Job {
	j := ledger.Job{ID: id, Accepted: now, Queue: ledger.Queue{
		Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	}}
	if rapid.Bool().Draw(t, "advice") {
		j.Queue.Advice = &ledger.Advice{PerCall: 20 * time.Millisecond, TTL: 2 * time.Second}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := ledger.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), Estimate: time.Second,
			Request:    ledger.Resources{CPU: int64(rapid.IntRange(500, 2500).Draw(t, "cpu")), Memory: 500},
			Checkpoint: rapid.Bool().Draw(t, "checkpoint"), LongRunning: i == 0 && rapid.IntRange(0, 7).Draw(t, "lasting") == 0,
			Gang: rapid.IntRange(0, 5).Draw(t, "gang") == 0,
		}
		if s.LongRunning {
			s.Gang = false
			s.Request.CPU = 200 // lasting tasks never end, so all of them must fit
		}
		if s.Gang {
			// Long-running tasks are not moved to make room for a large gang.
			s.Request.CPU = min(s.Request.CPU, 1000)
		}
		s.Rack = rapid.SampledFrom([]string{"", "", "r0", "r1"}).Draw(t, "rack")
		s.SameRack = s.Gang && rapid.Bool().Draw(t, "one rack")
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
		if s.LongRunning {
			break
		}
	}
	return j
}

// drawLargeJob draws a job of many small tasks, most of which may run at a time.
func drawLargeJob(t *rapid.T, id ledger.ID, now time.Time) ledger.Job {
	return ledger.Job{ID: id, Accepted: now, Queue: ledger.Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.5}, Steps: []ledger.Step{
		{Count: rapid.IntRange(50, 200).Draw(t, "tasks"), Request: ledger.Resources{CPU: 20}, Estimate: time.Second},
	}}
}

// drain has a worker listed as draining, or as staying.
func (sm *simulation) drain(id string, draining bool) {
	target := sm.workers[id]
	target.listing.Draining, target.listing.LeavesIn = draining, time.Minute
	l := target.listing
	l.Incarnation = target.incarnation
	sm.apply(leader.Listed{Listing: l})
}

// Guards the rules that simulation.check states under random loss, delay,
// partitions, restarts and takeovers, and checks that every job ends once the faults
// have ended.
func TestNoStartBreaksARule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t, 4, rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond}).Draw(t, "pause"))
		injectFaults(t, sm)
		settle(sm)
		for _, id := range sm.jobIDs() {
			if sm.jobs[id].Steps[0].LongRunning && !sm.cancels[id] {
				continue
			}
			if p, ok := sm.log[id]; !ok || !p.State.Final() {
				t.Fatalf("job %s is %q after all faults have ended", id, p.State)
			}
		}
	})
}

func injectFaults(t *rapid.T, sm *simulation) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
	worker := func() string { return sm.workerIDs()[pick(len(sm.workerIDs()))] }
	sm.failTogether = func() bool { return pick(2) == 0 }
	t.Repeat(map[string]func(*rapid.T){
		"accept": func(t *rapid.T) {
			if len(sm.jobs) < 12 {
				id := ledger.ID(fmt.Sprintf("j%d", len(sm.jobs)))
				sm.jobs[id] = sm.caps.drawWorkspace(t, drawJob(t, id, sm.now))
				sm.apply(leader.Accepted{Job: sm.jobs[id]})
			}
		},
		"flood": func(t *rapid.T) { sm.flood(t) },
		"large": func(t *rapid.T) {
			if len(sm.jobs) < 12 && pick(8) == 0 {
				id := ledger.ID(fmt.Sprintf("j%d", len(sm.jobs)))
				sm.jobs[id] = drawLargeJob(t, id, sm.now)
				sm.apply(leader.Accepted{Job: sm.jobs[id]})
			}
		},
		"drain": func(*rapid.T) {
			if pick(4) == 0 {
				id := worker()
				sm.drain(id, !sm.workers[id].listing.Draining)
			}
		},
		"cancel": func(*rapid.T) {
			if len(sm.jobs) > 0 && pick(4) == 0 {
				id := sm.jobIDs()[pick(len(sm.jobs))]
				sm.cancels[id] = true
				sm.apply(leader.CancelAccepted{Job: id})
			}
		},
		"commit":  func(*rapid.T) { sm.commit(1 + pick(3)) },
		"commit2": func(*rapid.T) { sm.commit(4) },
		"order": func(*rapid.T) {
			if len(sm.orders) > 0 {
				sm.deliver(pick(len(sm.orders)), pick(5) > 0)
			}
		},
		"orders": func(*rapid.T) {
			for len(sm.orders) > 0 {
				sm.deliver(0, true)
			}
		},
		"unanswered": func(*rapid.T) { // the order may still be carried out later
			if len(sm.orders) > 0 {
				i := pick(len(sm.orders))
				sm.orders[i].sent = true
				sm.answer(sm.orders[i], leader.OutcomeUnknown)
			}
		},
		"look":  func(*rapid.T) { sm.poll(worker(), pick(6) > 0) },
		"looks": func(*rapid.T) { sm.pollAll() },
		"ends": func(*rapid.T) {
			sm.partial = true
			sm.poll(worker(), true)
			sm.partial = false
		},
		"batch": func(*rapid.T) {
			sm.holding = !sm.holding
			sm.release()
		},
		"deputy": func(*rapid.T) {
			if pick(4) == 0 {
				sm.losePoller(worker())
			}
		},
		"end": func(*rapid.T) {
			target := sm.workers[worker()]
			if keys := sortedKeys(target.running); len(keys) > 0 {
				how := leader.EndDone
				if pick(6) == 0 {
					how = leader.EndFailed
				}
				sm.endRun(target, keys[pick(len(keys))], how)
			}
		},
		"crash": func(*rapid.T) {
			if pick(4) == 0 {
				sm.restart(worker())
			}
		},
		"cut": func(*rapid.T) {
			target := sm.workers[worker()]
			target.partitioned = !target.partitioned && pick(3) == 0
		},
		"takeover": func(*rapid.T) {
			if pick(3) == 0 {
				sm.takeover()
			}
		},
		"handover": func(*rapid.T) {
			if pick(3) == 0 {
				sm.handover()
			}
		},
		"time": func(*rapid.T) { sm.advance(time.Duration(1+pick(20)) * 100 * time.Millisecond) },
		"caps": func(t *rapid.T) {
			if pick(4) == 0 {
				sm.changeCaps(t)
			}
		},
		"advise": func(*rapid.T) {
			if len(sm.adviceCalls) > 0 {
				sm.answerAdvice()
			}
		},
	})
}

func (sm *simulation) pollAll() {
	for _, id := range sm.workerIDs() {
		sm.poll(id, true)
	}
}

// settle runs the simulation without faults.
func settle(sm *simulation) {
	sm.holding = false
	sm.release()
	for _, id := range sm.workerIDs() {
		sm.workers[id].partitioned = false
		sm.drain(id, false)
	}
	for range 400 {
		sm.commit(1000)
		for len(sm.orders) > 0 {
			sm.deliver(0, true)
		}
		for len(sm.adviceCalls) > 0 {
			sm.answerAdvice()
		}
		sm.pollAll()
		sm.advance(100 * time.Millisecond)
		for _, id := range sm.workerIDs() {
			target := sm.workers[id]
			for _, key := range sortedKeys(target.running) {
				if r, ok := target.running[key]; ok && !sm.jobs[r.task.Job].Steps[r.task.Step].LongRunning && sm.now.Sub(r.began) > time.Second {
					sm.endRun(target, key, leader.EndDone)
				}
			}
		}
	}
}

// Guards against the loss of an end: an end that changes no job must not let the
// worker forget earlier ends whose records are not yet in the log, as a leader that
// cannot write would lose them.
func TestEndsAreAcknowledgedInTheOrderOfTheirRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t, 1, 0)
		j := ledger.Job{ID: "j", Accepted: sm.now, Queue: ledger.Queue{Service: "s", Attempts: 2}, Steps: []ledger.Step{{Count: 1, Request: ledger.Resources{CPU: 100}}}}
		sm.jobs["j"] = j
		sm.pollAll()
		sm.apply(leader.Accepted{Job: j})
		sm.commit(10)
		sm.deliver(0, true)
		target := sm.workers["w0"]
		target.end("j.0.0.0#1", leader.EndDone)
		sm.pollAll() // processed, its record is not yet committed
		target.lastEnd++
		target.ends = append(target.ends, leader.RunEnd{Number: target.lastEnd, Task: "other.0.0.0", Run: 1, Kind: leader.EndStopped})
		sm.pollAll()
		_, early := sm.acked["w0"]
		assert.Assert(t, !early, "acknowledged before the record is in the log")
		sm.commit(10)
		assert.Equal(t, sm.acked["w0"].Number, int64(2))
	})
}

// restart replaces a worker by a new incarnation without state. Orders in transit
// are lost with the connections of the old one.
func (sm *simulation) restart(id string) {
	for i := len(sm.orders) - 1; i >= 0; i-- {
		if s := sm.orders[i]; s.order.Worker == id {
			sm.orders = slices.Delete(sm.orders, i, i+1)
			sm.answer(s, leader.OutcomeUnknown)
		}
	}
	target := sm.workers[id]
	target.incarnation++
	target.fence, target.lastEnd = 0, 0
	target.running, target.highestRun, target.ends = map[string]simRun{}, map[string]int{}, nil
	l := target.listing
	l.Incarnation = target.incarnation
	sm.apply(leader.Listed{Listing: l})
}

func (sm *simulation) answerAdvice() {
	a := sm.adviceCalls[0]
	sm.adviceCalls = sm.adviceCalls[1:]
	var permits []leader.Permit
	for _, id := range a.Workers {
		permits = append(permits, leader.Permit{Worker: id, Ticket: "t"})
	}
	sm.apply(leader.AdviceAnswered{Call: a.Call, Permits: permits})
}

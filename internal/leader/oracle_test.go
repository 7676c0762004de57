package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// drawJob draws a job of one to three steps.
func drawJob(t *rapid.T, id ledger.ID, now time.Time) ledger.Job {
	j := ledger.Job{ID: id, Accepted: now, Queue: ledger.Queue{
		Name: "q", Service: "s", Attempts: 2, Stretch: 1.5, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	}}
	if rapid.Bool().Draw(t, "advice") {
		j.Queue.Advice = &ledger.Advice{Decide: 20 * time.Millisecond, Valid: 2 * time.Second}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := ledger.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), Estimate: time.Second,
			Size:       ledger.Size{CPU: int64(rapid.IntRange(500, 2500).Draw(t, "cpu")), Memory: 500},
			Checkpoint: rapid.Bool().Draw(t, "checkpoint"), Lasting: i == 0 && rapid.IntRange(0, 7).Draw(t, "lasting") == 0,
			Gang: rapid.IntRange(0, 5).Draw(t, "gang") == 0,
		}
		if s.Lasting {
			s.Gang = false
			s.Size.CPU = 200 // nothing makes them leave, so all of them have to fit
		}
		if s.Gang {
			// Lasting tasks are not moved to make room for a large gang.
			s.Size.CPU = min(s.Size.CPU, 1000)
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
		if s.Lasting {
			break
		}
	}
	return j
}

// Whatever is lost, late, cut off or replaced, no start breaks a rule, and
// once the troubles end every job does.
func TestNoStartBreaksARule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4, rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond}).Draw(t, "pause"))
		trouble(t, w)
		settle(w)
		for _, id := range w.ids() {
			if w.jobs[id].Steps[0].Lasting && !w.cancels[id] {
				continue
			}
			if p, ok := w.log[id]; !ok || !p.State.Final() {
				t.Fatalf("job %s is %q after all troubles have ended", id, p.State)
			}
		}
	})
}

func trouble(t *rapid.T, w *world) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
	worker := func() string { return w.names()[pick(len(w.names()))] }
	t.Repeat(map[string]func(*rapid.T){
		"accept": func(t *rapid.T) {
			if len(w.jobs) < 12 {
				id := ledger.ID(fmt.Sprintf("j%d", len(w.jobs)))
				w.jobs[id] = drawJob(t, id, w.now)
				w.apply(leader.Accepted{Job: w.jobs[id]})
			}
		},
		"cancel": func(*rapid.T) {
			if len(w.jobs) > 0 && pick(4) == 0 {
				id := w.ids()[pick(len(w.jobs))]
				w.cancels[id] = true
				w.apply(leader.CancelAccepted{Job: id})
			}
		},
		"commit":  func(*rapid.T) { w.commit(1 + pick(3)) },
		"commit2": func(*rapid.T) { w.commit(4) },
		"order": func(*rapid.T) {
			if len(w.orders) > 0 {
				w.carryOut(pick(len(w.orders)), pick(5) > 0)
			}
		},
		"orders": func(*rapid.T) {
			for len(w.orders) > 0 {
				w.carryOut(0, true)
			}
		},
		"unanswered": func(*rapid.T) { // it may still be carried out later
			if len(w.orders) > 0 {
				w.answer(w.orders[pick(len(w.orders))], leader.Unknown)
			}
		},
		"look":  func(*rapid.T) { w.look(worker(), pick(6) > 0) },
		"looks": func(*rapid.T) { w.lookAll() },
		"end": func(*rapid.T) {
			target := w.workers[worker()]
			if keys := sortedKeys(target.running); len(keys) > 0 {
				how := leader.EndDone
				if pick(6) == 0 {
					how = leader.EndFailed
				}
				w.finish(target, keys[pick(len(keys))], how)
			}
		},
		"crash": func(*rapid.T) {
			if pick(4) == 0 {
				w.crash(worker())
			}
		},
		"cut": func(*rapid.T) {
			target := w.workers[worker()]
			target.cut = !target.cut && pick(3) == 0
		},
		"takeover": func(*rapid.T) {
			if pick(3) == 0 {
				w.takeover()
			}
		},
		"time": func(*rapid.T) { w.pass(time.Duration(1+pick(20)) * 100 * time.Millisecond) },
		"advise": func(*rapid.T) {
			if len(w.asks) > 0 {
				w.advise()
			}
		},
	})
}

func (w *world) lookAll() {
	for _, id := range w.names() {
		w.look(id, true)
	}
}

// settle runs the world without troubles.
func settle(w *world) {
	for _, target := range w.workers {
		target.cut = false
	}
	for range 400 {
		w.commit(1000)
		for len(w.orders) > 0 {
			w.carryOut(0, true)
		}
		for len(w.asks) > 0 {
			w.advise()
		}
		w.lookAll()
		w.pass(100 * time.Millisecond)
		for _, id := range w.names() {
			target := w.workers[id]
			for _, key := range sortedKeys(target.running) {
				if r, ok := target.running[key]; ok && !w.jobs[r.task.Job].Steps[r.task.Step].Lasting && w.now.Sub(r.began) > time.Second {
					w.finish(target, key, leader.EndDone)
				}
			}
		}
	}
}

// An end that changes no job must not let the worker forget ends before it
// whose records are not in the log: a leader that could not write would lose
// them.
func TestEndsAreAcknowledgedInTheOrderOfTheirRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1, 0)
		j := ledger.Job{ID: "j", Accepted: w.now, Queue: ledger.Queue{Service: "s", Attempts: 2}, Steps: []ledger.Step{{Count: 1, Size: ledger.Size{CPU: 100}}}}
		w.jobs["j"] = j
		w.lookAll()
		w.apply(leader.Accepted{Job: j})
		w.commit(10)
		w.carryOut(0, true)
		target := w.workers["w0"]
		target.end("j.0.0.0#1", leader.EndDone)
		w.lookAll() // taken up, its record is on the way
		target.count++
		target.ends = append(target.ends, leader.End{Number: target.count, Task: "other.0.0.0", Run: 1, How: leader.EndStopped})
		w.lookAll()
		_, early := w.acked["w0"]
		assert.Assert(t, !early, "acknowledged before the record is in the log")
		w.commit(10)
		assert.Equal(t, w.acked["w0"].Number, int64(2))
	})
}

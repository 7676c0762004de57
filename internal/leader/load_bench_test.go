package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// BenchmarkDay measures the time of the control thread for one started task under
// the load of a day: urgent jobs with advice, workers that report ends as they occur
// and all running tasks once a second, and lasting tasks on most of the capacity.
func BenchmarkDay(b *testing.B) {
	for _, workers := range []int{48, 350, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { measureDay(b, workers) })
	}
}

// dayTask is a running task of the benchmark.
type dayTask struct {
	leader.RunEnd
	at    time.Time // when it ends; zero for a lasting task
	began time.Time // zero if its progress is not known
}

// dayDriver drives a leader through a day.
type dayDriver struct {
	state   leader.State
	now     time.Time
	running map[string][]dayTask
	ends    map[string]int64
	pending []timed
	starts  int
}

// timed is an event that is due at a time.
type timed struct {
	at    time.Time
	event leader.Event
}

func (r *dayDriver) after(d time.Duration, e leader.Event) {
	r.pending = append(r.pending, timed{r.now.Add(d), e})
}

func (r *dayDriver) apply(e leader.Event) {
	next, effects := r.state.Apply(e, r.now)
	r.state = next
	for _, effect := range effects {
		switch f := effect.(type) {
		case leader.Record:
			r.after(5*time.Millisecond, leader.Committed{Batch: f.Batch})
		case leader.Wake:
			r.after(f.After, leader.Woken{})
		case leader.RequestAdvice:
			answer := leader.AdviceAnswered{Call: f.Call, Valid: 2 * time.Second}
			for i, w := range f.Workers {
				if i%3 != 0 {
					answer.Permits = append(answer.Permits, leader.Permit{Worker: w, Ticket: "t"})
				}
			}
			r.after(15*time.Millisecond, answer)
		case leader.Order:
			if f.Kind == leader.OrderStart {
				r.start(f)
			}
		}
	}
}

func (r *dayDriver) start(o leader.Order) {
	r.starts++
	r.ends[o.Worker]++
	task := dayTask{RunEnd: leader.RunEnd{Task: o.Task.String(), Run: o.Run, Kind: leader.EndDone}}
	if o.Task.Job[0] != 'l' {
		task.at = r.now.Add(540 * time.Millisecond)
	}
	r.running[o.Worker] = append(r.running[o.Worker], task)
	r.after(2*time.Millisecond, leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run})
}

// report applies a report of a worker.
func (r *dayDriver) report(id string, full bool) {
	report := leader.Report{Incarnation: 1, Clock: r.now.UnixMilli(), Partial: !full}
	left := r.running[id][:0]
	for _, t := range r.running[id] {
		if t.at.IsZero() || t.at.After(r.now) {
			left = append(left, t)
			if full {
				report.Running = append(report.Running, leader.RunStatus{Task: t.Task, Number: t.Run, Percent: 50})
			}
			continue
		}
		r.ends[id]++
		t.Number = r.ends[id]
		report.Ended = append(report.Ended, t.RunEnd)
	}
	r.running[id] = left
	if full || len(report.Ended) > 0 {
		r.apply(leader.Reported{Worker: id, Report: report, Sent: r.now})
	}
}

// advance advances the clock by a millisecond and applies what is due.
func (r *dayDriver) advance() {
	r.now = r.now.Add(time.Millisecond)
	due := r.pending
	r.pending = nil
	for _, t := range due {
		if t.at.After(r.now) {
			r.pending = append(r.pending, t)
			continue
		}
		r.apply(t.event)
	}
}

func measureDay(b *testing.B, workers int) {
	const tasksPerQuote = 4
	r := &dayDriver{now: time.Unix(1_700_000_000, 0), running: map[string][]dayTask{}, ends: map[string]int64{}}
	r.state = leader.New(leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: 10 * time.Millisecond}, r.now)
	names := make([]string, workers)
	for i := range workers {
		names[i] = fmt.Sprintf("w%04d", i)
		r.apply(leader.Listed{Listing: leader.Listing{ID: names[i], Address: names[i], Service: "s", Capacity: ledger.Resources{CPU: 64_000, Memory: 256_000}}})
		r.apply(leader.Reported{Worker: names[i], Report: leader.Report{Incarnation: 1}, Sent: r.now, Silence: 1})
	}
	var callers []string
	for i := range 36 {
		callers = append(callers, fmt.Sprintf("e%d", i))
	}
	r.apply(leader.CallersChanged{Callers: callers})
	for i := range workers / 4 {
		lasting := ledger.Step{Count: 8, Request: ledger.Resources{CPU: 15_000, Memory: 20_000}, LongRunning: true}
		r.apply(leader.Accepted{Job: ledger.Job{ID: ledger.ID(fmt.Sprintf("l%d", i)), Accepted: r.now, Queue: ledger.Queue{Service: "s", Priority: 1}, Steps: []ledger.Step{lasting}}})
	}
	for range 200 {
		r.advance()
	}
	step := ledger.Step{Count: tasksPerQuote, Request: ledger.Resources{CPU: 9900, Memory: 14_000}, Estimate: 540 * time.Millisecond}
	perMillisecond := float64(workers) / 1000 / tasksPerQuote // one start a second at each worker
	credit, jobs := 0.0, 0
	r.starts = 0
	b.ResetTimer()
	for ms := 0; r.starts < b.N; ms++ {
		for credit += perMillisecond; credit >= 1; credit-- {
			jobs++
			r.apply(leader.Accepted{Job: ledger.Job{
				ID: ledger.ID(fmt.Sprintf("q%d", jobs)), Accepted: r.now, Steps: []ledger.Step{step},
				Queue: ledger.Queue{Name: "q", Service: "s", Advice: &ledger.Advice{PerCall: 10 * time.Millisecond, TTL: 2 * time.Second}},
			}})
		}
		for i := ms % 20; i < workers; i += 20 {
			r.report(names[i], (ms/20+i)%50 == 0)
		}
		if ms%100 == 0 {
			r.apply(leader.Ticked{})
		}
		r.advance()
	}
}

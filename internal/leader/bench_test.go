package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// BenchmarkStart measures the time of the control thread for one task from its
// acceptance to its end, while lasting tasks occupy a fifth of the capacity.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{48, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { measureStart(b, workers) })
	}
}

// BenchmarkBacklog measures the time of the control thread for one end of a task
// while the cell is full and hundreds of steps wait, as after a burst of jobs.
func BenchmarkBacklog(b *testing.B) {
	for _, workers := range []int{48, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { measureBacklog(b, workers) })
	}
}

// benchDriver drives a leader whose workers complete their oldest task at each
// report.
type benchDriver struct {
	state     leader.State
	now       time.Time
	running   map[string][]leader.RunEnd
	endCounts map[string]int64
	wakeTimes []time.Time
}

func (r *benchDriver) apply(e leader.Event) {
	next, effects := r.state.Apply(e, r.now)
	r.state = next
	for _, effect := range effects {
		switch f := effect.(type) {
		case leader.Record:
			r.apply(leader.Committed{Batch: f.Batch})
		case leader.Wake:
			r.wakeTimes = append(r.wakeTimes, r.now.Add(f.After))
		case leader.Order:
			r.apply(leader.OrderAnswered{Worker: f.Worker, Kind: f.Kind, Task: f.Task, Run: f.Run})
			r.endCounts[f.Worker]++
			r.running[f.Worker] = append(r.running[f.Worker], leader.RunEnd{Number: r.endCounts[f.Worker], Task: f.Task.String(), Run: f.Run, Kind: leader.EndDone})
		}
	}
}

func (r *benchDriver) advance(d time.Duration) {
	r.now = r.now.Add(d)
	for len(r.wakeTimes) > 0 && !r.wakeTimes[0].After(r.now) {
		r.wakeTimes = r.wakeTimes[1:]
		r.apply(leader.Woken{})
	}
}

func (r *benchDriver) addWorkers(workers int) {
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		r.apply(leader.Listed{Listing: leader.Listing{ID: id, Address: id, Service: "s", Capacity: ledger.Resources{CPU: 64_000, Memory: 256_000}}})
		r.apply(leader.Reported{Worker: id, Report: leader.Report{Incarnation: 1}, Sent: r.now, Silence: 1})
	}
}

const (
	backlogTasks  = 4000
	endsPerSecond = 1000
)

func measureBacklog(b *testing.B, workers int) {
	r := &benchDriver{now: time.Unix(1_700_000_000, 0), running: map[string][]leader.RunEnd{}, endCounts: map[string]int64{}}
	r.state = leader.New(leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: 10 * time.Millisecond}, r.now)
	r.addWorkers(workers)
	step := ledger.Step{Count: tasksPerJob, Request: ledger.Resources{CPU: 5000, Memory: 19_000}, Estimate: time.Second}
	submit := func(i int) {
		r.apply(leader.Accepted{Job: ledger.Job{ID: ledger.ID(fmt.Sprintf("j%d", i)), Accepted: r.now, Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{step}}})
	}
	jobs := (workers*12 + backlogTasks) / tasksPerJob
	for i := range jobs {
		submit(i)
	}
	r.advance(time.Second)
	b.ResetTimer()
	for i := range b.N {
		r.advance(time.Second / endsPerSecond)
		if i%tasksPerJob == 0 {
			submit(jobs + i)
		}
		id := fmt.Sprintf("w%04d", i%workers)
		var ended []leader.RunEnd
		if list := r.running[id]; len(list) > 0 {
			ended, r.running[id] = list[:1], list[1:]
		}
		report := leader.Report{Incarnation: 1, Clock: r.now.UnixMilli(), Ended: ended}
		for _, e := range r.running[id] {
			report.Running = append(report.Running, leader.RunStatus{Task: e.Task, Number: e.Run, Percent: 50})
		}
		r.apply(leader.Reported{Worker: id, Report: report, Sent: r.now})
	}
}

const tasksPerJob = 8

func measureStart(b *testing.B, workers int) {
	now := time.Unix(1_700_000_000, 0)
	s := leader.New(leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second}, now)
	ends := map[string][]leader.RunEnd{}
	var counts = map[string]int64{}
	var apply func(e leader.Event)
	apply = func(e leader.Event) {
		next, effects := s.Apply(e, now)
		s = next
		for _, effect := range effects {
			switch f := effect.(type) {
			case leader.Record:
				apply(leader.Committed{Batch: f.Batch})
			case leader.Order:
				apply(leader.OrderAnswered{Worker: f.Worker, Kind: f.Kind, Task: f.Task, Run: f.Run})
				if f.Task.Job[0] == 'j' {
					counts[f.Worker]++
					ends[f.Worker] = append(ends[f.Worker], leader.RunEnd{Number: counts[f.Worker], Task: f.Task.String(), Run: f.Run, Kind: leader.EndDone})
				}
			}
		}
	}
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		apply(leader.Listed{Listing: leader.Listing{ID: id, Address: id, Service: "s", Capacity: ledger.Resources{CPU: 64_000, Memory: 256_000}}})
		apply(leader.Reported{Worker: id, Report: leader.Report{Incarnation: 1}, Sent: now, Silence: 1})
	}
	lasting := ledger.Step{Count: workers, Request: ledger.Resources{CPU: 12_000, Memory: 40_000}, LongRunning: true}
	apply(leader.Accepted{Job: ledger.Job{ID: "lasting", Accepted: now, Queue: ledger.Queue{Service: "s", Priority: 1}, Steps: []ledger.Step{lasting}}})
	step := ledger.Step{Count: tasksPerJob, Request: ledger.Resources{CPU: 5000, Memory: 19_000}, Estimate: time.Second}
	b.ResetTimer()
	for i := 0; i < b.N; i += tasksPerJob {
		now = now.Add(time.Millisecond)
		id := ledger.ID(fmt.Sprintf("j%d", i))
		apply(leader.Accepted{Job: ledger.Job{ID: id, Accepted: now, Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{step}}})
		for worker, list := range ends {
			delete(ends, worker)
			apply(leader.Reported{Worker: worker, Report: leader.Report{Incarnation: 1, Clock: now.UnixMilli(), Ended: list}, Sent: now})
		}
	}
}

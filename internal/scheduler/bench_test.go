package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// largeState returns the state of one entry that owns all servers, workers and
// tranches of a zone, with items running and plans granted.
func largeState(servers, workers, items, plans int) scheduler.State {
	self := scheduler.Entry{ID: scheduler.EntryID{Name: "a", Incarnation: 1}, Zone: "z"}
	s := scheduler.New(self, scheduler.Policy{}, startTime())
	var instances []scheduler.Instance
	var records []scheduler.Record
	claim := func(resource string) {
		records = append(records, scheduler.ClaimRecord{Resource: resource, Owner: self.ID, Acquire: true})
	}
	for i := range servers {
		name := fmt.Sprint("s", i)
		instances = append(instances, scheduler.Instance{Kind: scheduler.KindServer, Name: name, Zone: "z", Address: name, Slots: 8})
		claim(scheduler.ServerResource(name))
	}
	for i := range workers {
		name := fmt.Sprint("w", i)
		instances = append(instances, scheduler.Instance{Kind: scheduler.KindWorker, Name: name, Zone: "z", Address: name, Size: scheduler.Size{CPU: 64000, Memory: 1 << 18}})
		claim(scheduler.WorkerResource(name))
	}
	for i := range s.Policy.Tranches {
		claim(scheduler.TrancheResource(i))
	}
	var lists []scheduler.Plan
	var allowances []scheduler.Allowance
	for i := range plans {
		name := fmt.Sprint("p", i)
		lists = append(lists, scheduler.Plan{Name: name})
		allowances = append(allowances, scheduler.Allowance{Plan: name, Slots: 1 << 20, Size: scheduler.Size{CPU: 1 << 40, Memory: 1 << 40}})
	}
	s = after(s, 0, scheduler.InstancesListed{Instances: instances})
	s = after(s, 0, config(1, scheduler.ListRecord{List: scheduler.ListPlans, Nonce: "1", Plans: lists}))
	s = after(s, 0, config(2, scheduler.ListRecord{List: scheduler.ListAllowances, Nonce: "2", Allowances: allowances}))
	s = after(s, 0, ledger(1, records...))
	for i := range workers {
		s = after(s, 0, scheduler.WorkerReported{Worker: fmt.Sprint("w", i)})
	}
	for i := range items {
		s = withItem(s, int64(2*i+2), fmt.Sprint("i", i), fmt.Sprint("p", i%plans))
	}
	return s
}

// withItem returns the state after an item was submitted and started.
func withItem(s scheduler.State, offset int64, name, plan string) scheduler.State {
	w := scheduler.Work{ID: name, Kind: scheduler.ItemService, Plan: plan, Members: 1, Size: scheduler.Size{CPU: 1000, Memory: 1024}}
	s, appends := effectsOf[scheduler.Append](s, 0, ledger(offset, scheduler.SubmitRecord{Work: w}))
	if len(appends) == 0 {
		return s
	}
	return after(s, 0, ledger(offset+1, appends[0].Records...))
}

func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{6, 50, 200} {
		for _, plans := range []int{10, 77, 500} {
			s := largeState(servers, 1, 0, plans)
			b.Run(fmt.Sprintf("servers=%d/plans=%d", servers, plans), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					id := fmt.Sprint(i)
					e := scheduler.RequestArrived{Request: scheduler.Request{ID: id, Plan: fmt.Sprint("p", i%plans), Deadline: startTime().Add(time.Minute)}}
					s = after(s, 0, e)
					s = after(s, 0, scheduler.RequestEnded{Request: id, End: scheduler.ExchangeComplete})
				}
			})
		}
	}
}

func BenchmarkItem(b *testing.B) {
	for _, workers := range []int{50, 200, 1000} {
		for _, items := range []int{100, 2000, 20000} {
			if items > workers*50 {
				continue
			}
			s := largeState(1, workers, items, 77)
			b.Run(fmt.Sprintf("workers=%d/items=%d", workers, items), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					state := withItem(s, 1<<30, fmt.Sprint("new", i), "p0")
					assert.Assert(b, state.Items.Len() == items+1)
				}
			})
		}
	}
}

// BenchmarkTick applies a tick that checks the ownership of every resource, as
// every second one does.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 200, 1000} {
		items := workers * 20
		s := largeState(50, workers, items, 77)
		b.Run(fmt.Sprintf("workers=%d/items=%d", workers, items), func(b *testing.B) {
			b.ReportAllocs()
			s = after(s, 0, scheduler.Ticked{})
			b.ResetTimer()
			for range b.N {
				_ = after(s, 300*time.Millisecond, scheduler.Ticked{})
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	s := largeState(1, 100, 2000, 77)
	tasks, _ := s.Tasks.Get("w0")
	var running []string
	for task := range tasks.All() {
		running = append(running, task)
	}
	b.Run(fmt.Sprintf("tasks=%d", len(running)), func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			s = after(s, time.Second, scheduler.WorkerReported{Worker: "w0", Running: running})
		}
	})
}

// BenchmarkMemory reports the live bytes per worker with 20 items each.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var bytes float64
			for range b.N {
				before := heapBytes()
				s := largeState(1, workers, workers*20, 77)
				bytes = float64(heapBytes()-before) / float64(workers)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(bytes, "B/worker")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// withForeignItem applies the three records of an item that another entry places.
func withForeignItem(s scheduler.State, offset int64, name string) scheduler.State {
	w := scheduler.Work{ID: name, Kind: scheduler.ItemDeferred, Plan: "p0", Members: 1, Size: scheduler.Size{CPU: 1000, Memory: 1024}, Run: time.Second}
	task := name + ".0.0"
	s = after(s, 0, ledger(offset, scheduler.SubmitRecord{Work: w}))
	start := scheduler.StartRecord{Item: name, By: id("other"), Limit: scheduler.Size{CPU: 1 << 40, Memory: 1 << 40}, Placed: []scheduler.Placement{{Worker: "far", Task: task}}}
	s = after(s, 0, ledger(offset+1, start))
	return after(s, 0, ledger(offset+2, scheduler.FinishRecord{Item: name, Task: task, End: scheduler.EndSucceeded}))
}

// readerState returns the state of a draining entry, which only reads the records
// of the owner of worker far.
func readerState() scheduler.State {
	s := largeState(1, 50, 1000, 77)
	s = after(s, 0, ledger(1<<20, scheduler.ClaimRecord{Resource: "worker/far", Owner: id("other"), Acquire: true}))
	return after(s, 0, scheduler.DrainStarted{})
}

// BenchmarkForeignItem measures an item that another entry places.
func BenchmarkForeignItem(b *testing.B) {
	s := readerState()
	b.ReportAllocs()
	for i := range b.N {
		next := withForeignItem(s, 1<<30, fmt.Sprint("x", i))
		item, _ := next.Items.Get(fmt.Sprint("x", i))
		assert.Assert(b, item.Phase == scheduler.ItemDone)
	}
}

// BenchmarkEndedMemory reports the live bytes per ended item.
func BenchmarkEndedMemory(b *testing.B) {
	const items = 20000
	for range b.N {
		s := readerState()
		before := heapBytes()
		for i := range items {
			s = withForeignItem(s, int64(1<<30+3*i), fmt.Sprint("x", i))
		}
		b.ReportMetric(float64(heapBytes()-before)/items, "B/item")
		runtime.KeepAlive(s)
	}
}

package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// BenchmarkCaps measures the time of the control thread for one task from its acceptance to
// its end, with workspaces of which each has steps that wait for its cap.
func BenchmarkCaps(b *testing.B) {
	for _, held := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("workspaces=77/held=%d", held), func(b *testing.B) { measureCaps(b, 77, held) })
	}
}

func measureCaps(b *testing.B, workspaces, held int) {
	r := &benchDriver{now: time.Unix(1_700_000_000, 0), running: map[string][]leader.RunEnd{}, endCounts: map[string]int64{}}
	r.state = leader.New(leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: 10 * time.Millisecond}, r.now)
	r.addWorkers(350)
	caps := leader.WorkspacesChanged{Version: 1}
	for i := range workspaces {
		caps.Workspaces = append(caps.Workspaces, ledger.Workspace{Name: fmt.Sprintf("t%02d", i), Cap: ledger.Resources{CPU: 8 * 5000}})
	}
	r.apply(caps)
	step := ledger.Step{Count: tasksPerJob, Request: ledger.Resources{CPU: 5000, Memory: 19_000}, Estimate: time.Second}
	jobs := 0
	submit := func() {
		step.Request.Memory = 19_000 - int64(jobs/workspaces) // sizes differ, as those of jobs do
		r.apply(leader.Accepted{Job: ledger.Job{
			ID: ledger.ID(fmt.Sprintf("j%d", jobs)), Workspace: caps.Workspaces[jobs%workspaces].Name, Accepted: r.now, Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{step},
		}})
		jobs++
	}
	for range workspaces * (held + 1) {
		submit()
	}
	r.advance(time.Second)
	b.ResetTimer()
	for i := range b.N {
		r.advance(time.Second / endsPerSecond)
		if i%tasksPerJob == 0 {
			submit()
		}
		id := fmt.Sprintf("w%04d", i%350)
		var ended []leader.RunEnd
		if list := r.running[id]; len(list) > 0 {
			ended, r.running[id] = list[:1], list[1:]
		}
		r.apply(leader.Reported{Worker: id, Report: leader.Report{Incarnation: 1, Clock: r.now.UnixMilli(), Ended: ended, Partial: true}, Sent: r.now})
	}
}

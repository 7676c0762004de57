package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// mixedLoad is the load of a cell with quotes, recalculations and lasting feeds. A
// load of 1 nearly fills the capacity.
func mixedLoad(workers int, load float64) cellLoad {
	scale := load * float64(workers) / 1100
	return cellLoad{
		workers: workers, callers: max(7, workers/8), lasting: 0.25,
		queues: []queueLoad{
			{
				name: "quote", perSecond: 68 * scale, steps: 2, width: 10, size: ledger.Resources{CPU: 14_000, Memory: 40_000}, run: 640 * time.Millisecond,
				stretch: 1.5, objective: 250 * time.Millisecond, permitted: 0.7,
				advice: ledger.Advice{PerCall: 30 * time.Millisecond, PerWorker: 430 * time.Microsecond, TTL: 2500 * time.Millisecond},
			},
			{
				name: "recalc", priority: 2, perSecond: 7.3 * scale, steps: 2, width: 41, size: ledger.Resources{CPU: 18_000, Memory: 51_000}, run: 3800 * time.Millisecond,
				stretch: 2.2, objective: 1200 * time.Millisecond, permitted: 0.35,
				advice: ledger.Advice{PerCall: 546 * time.Millisecond, PerWorker: 7800 * time.Microsecond, TTL: 2500 * time.Millisecond},
			},
		},
	}
}

// BenchmarkCell measures the time that the control thread takes for a second of a
// cell's load, below its capacity and above it.
func BenchmarkCell(b *testing.B) {
	for _, workers := range []int{48, 350, 1100} {
		for _, load := range []float64{0.7, 1, 1.5} {
			b.Run(fmt.Sprintf("workers=%d/load=%.1f", workers, load), func(b *testing.B) {
				var control time.Duration
				seconds, starts := 0.0, 0
				for range b.N {
					c := newSimulatedCell(1, mixedLoad(workers, load))
					c.run(5 * time.Second)
					began, started := c.control, c.starts
					c.run(15 * time.Second)
					control, seconds, starts = control+c.control-began, seconds+10, starts+c.starts-started
					if testing.Verbose() {
						b.Logf("waiting %d, calls %d, %+v, used %+v", c.peak, c.calls, c.results, c.state.Counts(c.now))
					}
				}
				b.ReportMetric(control.Seconds()*1000/seconds, "control-ms/s")
				b.ReportMetric(float64(starts)/seconds, "starts/s")
			})
		}
	}
}

// BenchmarkFlood measures the time that the control thread takes for a start while the largest
// of ten workspaces sends 7.5 times its usual, with and without shares.
func BenchmarkFlood(b *testing.B) {
	for _, workers := range []int{88, 350, 1000} {
		for _, shared := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/shared=%t", workers, shared), func(b *testing.B) {
				var control time.Duration
				starts, peak := 0, 0
				for range b.N {
					load := sharedLoad(1, workers, 0.7, 7.5, burst{from: 4 * time.Second, until: 10500 * time.Millisecond})
					if !shared {
						load.workspaces = nil
					}
					c := newSimulatedCell(1, load)
					c.run(4 * time.Second)
					began, started := c.control, c.starts
					c.run(12 * time.Second)
					control, starts, peak = control+c.control-began, starts+c.starts-started, max(peak, c.peak)
				}
				b.ReportMetric(float64(control.Microseconds())/float64(starts), "control-us/start")
				b.ReportMetric(float64(peak), "steps-waiting")
			})
		}
	}
}

package leader_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
)

// sharedLoad is the load of a cell that workspaces of weights 1 to 30 share. Each sends about
// half of what its weight covers, but the hot one, which sends that times a factor for a time.
// The names of the hot one's queues end in "-hot".
func sharedLoad(seed uint64, workers int, load, factor float64, flood burst) cellLoad {
	const count, headroom, hot = 10, 1.9, 0
	advice := ledger.Advice{PerCall: 10 * time.Millisecond, PerWorker: 100 * time.Microsecond, TTL: 2500 * time.Millisecond}
	scale := load * float64(workers) / 175
	kinds := []queueLoad{
		{
			name: "quote", perSecond: 14 * scale, steps: 2, width: 10, size: ledger.Resources{CPU: 9_000, Memory: 30_000}, run: 800 * time.Millisecond,
			stretch: 1.5, objective: 250 * time.Millisecond, permitted: 0.9, advice: advice,
		},
		{
			name: "recalc", priority: 2, perSecond: 3 * scale, steps: 2, width: 21, size: ledger.Resources{CPU: 18_000, Memory: 50_000}, run: 3800 * time.Millisecond,
			stretch: 2, objective: 1200 * time.Millisecond, permitted: 0.9, advice: advice,
		},
	}
	l, rate, total := cellLoad{workers: workers, callers: workers / 4}, kinds[0].perSecond+kinds[1].perSecond, 0.0
	weights := make([]float64, count)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -1.2)
		total += weights[i]
	}
	for i, weight := range weights {
		name := fmt.Sprintf("w%d", i)
		l.workspaces = append(l.workspaces, ledger.Workspace{Name: name, Weight: headroom * rate * weight / total})
		for k, q := range kinds {
			q.perSecond *= weight / total
			q.workspace = name
			q.rng = rand.New(rand.NewPCG(seed, uint64(i*len(kinds)+k)))
			if i == hot {
				flood.factor = factor
				q.name, q.burst = q.name+"-hot", flood
			}
			l.queues = append(l.queues, q)
		}
	}
	return l
}

// sharedResults sums the results of cells over seeds.
func sharedResults(t *testing.T, load, factor float64) map[string]cellResult {
	t.Helper()
	cells := make([]*simulatedCell, 6)
	var group errgroup.Group
	for i := range cells {
		seed := uint64(i + 1)
		cells[i] = newSimulatedCell(seed, sharedLoad(seed, 88, load, factor, burst{from: 4 * time.Second, until: 10500 * time.Millisecond}))
		group.Go(func() error {
			cells[i].countFrom, cells[i].countUntil = 4*time.Second, 16*time.Second
			cells[i].run(36 * time.Second)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	sum := map[string]cellResult{}
	for _, c := range cells {
		for name, r := range c.results {
			sum[name] = sum[name].plus(r)
		}
	}
	return sum
}

// goodput is what the jobs in time are worth to the others than the hot workspace, those late
// at a fifth.
func goodput(results map[string]cellResult) float64 {
	worth := func(r cellResult) float64 { return float64(r.inAim) + float64(r.late)/5 }
	return 0.645*worth(results["quote"]) + 3.06*worth(results["recalc"])
}

// Load pattern: the largest of ten workspaces sends 1.5, 2 and 7.5 times its usual for 6.5 s,
// in a cell that its usual load fills by two thirds. The others lose at most a twentieth of
// what they get without the flood, and nothing of theirs is refused.
func TestAFloodDelaysItsOwnWorkspaceOnly(t *testing.T) {
	const load, kept = 0.7, 0.95
	calm := sharedResults(t, load, 1)
	assert.Assert(t, calm["quote"].jobs > 150 && calm["recalc"].jobs > 40, "%+v", calm)
	for _, factor := range []float64{1.5, 2, 7.5} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			flood := sharedResults(t, load, factor)
			t.Logf("calm %+v, flood %+v", calm, flood)
			assert.Assert(t, goodput(flood) >= kept*goodput(calm), "%.3f of %.3f", goodput(flood), goodput(calm))
			assert.Equal(t, flood["quote"].refused+flood["recalc"].refused, 0)
		})
	}
}

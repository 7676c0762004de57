package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Guards against a log that can't tell a step that isn't asked about from one without
// room: both only wait.
func TestWaitsTellWhatAStepLacks(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.permitted["w00"] = true
	q := ledger.Queue{Name: "q", Advice: &ledger.Advice{PerCall: 20 * time.Millisecond, TTL: 2 * time.Second}}
	h.submit("limited", q, ledger.Step{Count: 3, MaxPerWorker: 1, LongRunning: true, Request: ledger.Resources{CPU: 1000}})
	h.submit("full", ledger.Queue{Name: "r"}, ledger.Step{Count: 40, Request: ledger.Resources{CPU: 1000}})
	h.advance(5 * time.Second)
	waits := h.state.Waits(h.now, 3*time.Second, 8)
	for i := range waits {
		assert.Equal(t, h.now.Sub(waits[i].Since), 5*time.Second)
		waits[i].Since = time.Time{}
	}
	assert.DeepEqual(t, waits, []leader.Wait{
		{Job: "full", Step: "full.0.0", Queue: "r", Idle: 9, Ahead: 1},
		{Job: "limited", Step: "limited.0.0", Queue: "q", Idle: 2, Permitted: 1, Denied: 3},
	})
	assert.Equal(t, len(h.state.Waits(h.now, 3*time.Second, 1)), 1)
	assert.Equal(t, len(h.state.Waits(h.now, 6*time.Second, 8)), 0)
	assert.Equal(t, h.state.Counts(h.now).Callers, 4)
	assert.Equal(t, h.state.Counts(h.now).IdleCallers, 4)
}

// Guards against a step that waits for its cap and is taken for one without room.
func TestWaitsTellWhichCapAStepWaitsFor(t *testing.T) {
	h := newHarness(t, 4, ledger.Resources{CPU: 8000, Memory: 8000})
	h.capCPU(7, 2000)
	h.submitIn("a", "j", ledger.Queue{Name: "q"}, plainStep(3, 1000))
	h.advance(5 * time.Second)
	waits := h.state.Waits(h.now, 3*time.Second, 8)
	assert.Equal(t, len(waits), 1)
	assert.Equal(t, waits[0].Cap, "workspace a uses cpu=2000 memory=0 gpu=0 of cap cpu=2000 memory=0 gpu=0 (configuration 7)")
	assert.Equal(t, h.holds, 1, "one line a step")
	assert.Equal(t, h.state.Standings(20)[0].Use.Runs, 2)
}

package leader_test

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// maxAllocated bounds what an event of the largest job may allocate. What it leaves takes 2 MB.
const maxAllocated = 64 << 20

// allocated applies an event and returns the state and how many bytes that has allocated.
func allocated(s leader.State, e leader.Event, now time.Time) (leader.State, uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s, _ = s.Apply(e, now)
	runtime.ReadMemStats(&after)
	return s, after.TotalAlloc - before.TotalAlloc
}

// Guards against a copy of all occurrences for each one that begins, and against a look at all steps of a job for each
// pair of its late ones: a small body stopped the control thread for seconds.
func TestTheLargestJobsTakeLinearWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	step := ledger.Step{Count: 1, Estimate: time.Second}
	steps := make([]ledger.Step, ledger.MaxSteps)
	for i := range steps {
		steps[i] = step
	}
	for name, job := range map[string]ledger.Job{
		"many occurrences": {ID: "j", Accepted: now, Steps: []ledger.Step{step}, Schedule: &ledger.Schedule{Times: ledger.MaxRounds, First: now}},
		"many steps":       {ID: "j", Accepted: now, Steps: steps},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, job.Validate())
			s, n := allocated(leader.New(leader.Policy{}, now), leader.Accepted{Job: job}, now)
			assert.Check(t, n < maxAllocated, "accepting allocates %d MB", n>>20)
			_, n = allocated(s, leader.Ticked{}, now.Add(time.Hour))
			assert.Check(t, n < maxAllocated, "a tick allocates %d MB", n>>20)
		})
	}
}

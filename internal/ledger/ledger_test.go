package ledger_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
)

func TestTaskIDRoundTrip(t *testing.T) {
	id := ledger.TaskID{Job: "5c0e7a21d94b36f8", Round: 2, Step: 1, Index: 17}
	assert.Equal(t, id.String(), "5c0e7a21d94b36f8.2.1.17")
	got, err := ledger.ParseTaskID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, got, id)
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", ".1.2.3", "a.1.2.3.4"} {
		_, err := ledger.ParseTaskID(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func job() ledger.Job {
	return ledger.Job{ID: "j", Steps: []ledger.Step{
		{Count: 2, Estimate: 3 * time.Second}, {Count: 1, Estimate: time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0, 1}},
	}}
}

func TestCriticalPath(t *testing.T) {
	assert.Equal(t, job().CriticalPathFrom(1), 3*time.Second)
	assert.Equal(t, job().CriticalPath(), 5*time.Second)
}

// Progress must survive encoding, and With methods must not change the value that
// they are called on.
func TestProgress(t *testing.T) {
	j := job()
	before := ledger.NewProgress(j).WithRoundsBegun(j, 0)
	after := before.WithTask(ledger.TaskID{Job: "j", Index: 1}, ledger.Task{}.WithRun(3, "w").WithCheckpoint("c"))
	assert.Equal(t, before.Task(0, 0, 1), ledger.Task{})
	assert.Assert(t, after.Begun() && !before.Begun())
	data, err := json.Marshal(after)
	assert.NilError(t, err)
	var read ledger.Progress
	assert.NilError(t, json.Unmarshal(data, &read))
	assert.DeepEqual(t, read, after)
	assert.Assert(t, !after.Ready(j, 0, 2))
	for _, id := range []ledger.TaskID{{Job: "j"}, {Job: "j", Index: 1}, {Job: "j", Step: 1}} {
		after = after.WithTask(id, ledger.Task{Phase: ledger.Done})
	}
	assert.Assert(t, after.Ready(j, 0, 2))
	assert.Assert(t, !after.WithState(ledger.Complete).Terminated(), "some of its runs may be left")
	assert.Assert(t, after.WithState(ledger.Complete).WithoutTasks().Terminated())
}

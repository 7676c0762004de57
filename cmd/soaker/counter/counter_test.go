package counter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/cmd/soaker/counter"
)

// A judge that counts each failed member takes a gang for beyond hope whose first run failed.
func TestARunInWhichSeveralMembersFailCountsOnce(t *testing.T) {
	var f counter.Failures
	assert.Equal(t, f.Most(), 0)
	for range 3 {
		f.Add("gang", 1)
	}
	assert.Equal(t, f.Most(), 1)
	f.Add("task", 1)
	assert.Equal(t, f.Most(), 1, "failures of two units add up")
	f.Add("gang", 2)
	assert.Equal(t, f.Most(), 2)
	all, several := f.Runs("gang")
	assert.Equal(t, all, 2)
	assert.Equal(t, several, 1)
}

// Guards against a judge that takes a job for rightly failed that has attempts left: several members of
// its gang failed in one run.
func TestAJobWithAttemptsLeftIsNotFailed(t *testing.T) {
	var f counter.Failures
	members := []string{"j.0.0.0", "j.0.0.1", "j.0.0.2"}
	for _, name := range members {
		f.Add(counter.Unit(name, true), 1)
	}
	assert.Equal(t, f.Contradicts("failed", false, 2), "LOST: shown as failed after 1 failed runs of 2 attempts")
	assert.Equal(t, f.Contradicts("running", false, 2), "")
	f.Add(counter.Unit(members[1], true), 2)
	assert.Equal(t, f.Contradicts("failed", false, 2), "")
	var alone counter.Failures
	for _, name := range members {
		alone.Add(counter.Unit(name, false), 1)
	}
	assert.Equal(t, alone.Contradicts("failed", false, 2), "LOST: shown as failed after 1 failed runs of 2 attempts", "tasks that are no gang add up")
}

func TestACompleteJobIsDone(t *testing.T) {
	var f counter.Failures
	assert.Equal(t, f.Contradicts("complete", true, 2), "")
	assert.Equal(t, f.Contradicts("complete", false, 2), "MIXED: shown as complete (all done false)")
	assert.Equal(t, f.Contradicts("cancelled", true, 2), "MIXED: shown as cancelled (all done true)")
}

package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
)

// A gang of a scheduled job must not use up its attempts by failures of another occurrence, or of
// another gang of the job.
func TestFailuresOfOccurrencesAndStepsAreCountedApart(t *testing.T) {
	const members = 2
	gang := ledger.Step{Count: members, Gang: true}
	j := ledger.Job{ID: "j", Steps: []ledger.Step{gang, gang}, Schedule: &ledger.Schedule{Times: 2}}
	p := ledger.NewProgress(j).WithRoundsBegun(j, 0, 1)
	var ids []ledger.TaskID
	for round := range p.Rounds {
		for step := range j.Steps {
			for index := range members {
				id := ledger.TaskID{Job: j.ID, Round: round, Step: step, Index: index}
				ids, p = append(ids, id), p.WithTask(id, ledger.Task{}.WithRun(1, "w"))
			}
		}
	}
	for i, id := range ids {
		assert.Equal(t, p.Failures(j, id), i%members, "before %v fails", id)
		p = p.WithFailure(j, id, "")
		assert.Equal(t, p.Failures(j, id), 1, "after %v has failed", id)
	}
}

package ledger_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
)

func TestJobsThatCannotBeScheduledAreInvalid(t *testing.T) {
	one := []ledger.Step{{Count: 1}}
	for want, job := range map[string]ledger.Job{
		"at least one":              {},
		"1001, at most 1000":        {Steps: make([]ledger.Step, ledger.MaxSteps+1)},
		"has to be 1 or more":       {Steps: []ledger.Step{{}}},
		"7000 tasks":                {Steps: []ledger.Step{{Count: ledger.MaxTasks}, {Count: ledger.MaxTasks}}},
		"9223372036854775807 tasks": {Steps: []ledger.Step{{Count: 1}, {Count: math.MaxInt}}},
		"must not be negative":      {Steps: []ledger.Step{{Count: 1, Estimate: -1}}},
		"not an earlier one":        {Steps: []ledger.Step{{Count: 1, After: []int{0}}}},
		"not 0 times":               {Steps: one, Schedule: &ledger.Schedule{}},
		"not 10001 times":           {Steps: one, Schedule: &ledger.Schedule{Times: ledger.MaxRounds + 1}},
		"2 times at -1ns":           {Steps: one, Schedule: &ledger.Schedule{Times: 2, Interval: -1}},
	} {
		assert.ErrorContains(t, job.Validate(), want)
	}
	most := []ledger.Step{{Count: ledger.MaxTasks - 1}, {Count: 1, After: []int{0}}}
	valid := ledger.Job{Steps: most, Schedule: &ledger.Schedule{Times: 2}}
	assert.NilError(t, valid.Validate())
	valid = ledger.Job{Steps: []ledger.Step{{Count: 1000}}, Schedule: &ledger.Schedule{Times: ledger.MaxRounds}}
	assert.NilError(t, valid.Validate())
}

// Guards against an accepted job that stops the cell: the progress of all its occurrences
// is one record, which must not outgrow what the store takes.
func TestJobsWhoseProgressOutgrowsARecordAreInvalid(t *testing.T) {
	for name, job := range map[string]ledger.Job{
		"lasting":  {Steps: []ledger.Step{{Count: 1000, LongRunning: true}}, Schedule: &ledger.Schedule{Times: 9}},
		"many":     {Steps: []ledger.Step{{Count: ledger.MaxTasks}}, Schedule: &ledger.Schedule{Times: ledger.MaxRounds}},
		"lasting2": {Steps: []ledger.Step{{Count: ledger.MaxTasks, LongRunning: true}}, Schedule: &ledger.Schedule{Times: 2}},
	} {
		assert.ErrorContains(t, job.Validate(), "outgrows a record", name)
	}
	lasting := ledger.Job{Steps: []ledger.Step{{Count: 300, LongRunning: true}}, Schedule: &ledger.Schedule{Times: 9}}
	assert.NilError(t, lasting.Validate())
}

func TestProgressOfAnotherJobIsInvalid(t *testing.T) {
	job := ledger.Job{Steps: []ledger.Step{{Count: 2}, {Count: 1}}}
	begun := ledger.NewProgress(job).WithRoundsBegun(job, 0)
	assert.NilError(t, begun.Validate(job))
	assert.NilError(t, begun.WithState(ledger.Complete).WithoutTasks().Validate(job))
	assert.ErrorContains(t, begun.Validate(ledger.Job{Steps: job.Steps[:1]}), "has 2 steps")
	assert.ErrorContains(t, begun.Validate(ledger.Job{Steps: []ledger.Step{{Count: 3}, {Count: 1}}}), "2 tasks of step 0")
	assert.ErrorContains(t, ledger.Progress{Rounds: make([]ledger.Round, 2)}.Validate(job), "2 rounds")
}

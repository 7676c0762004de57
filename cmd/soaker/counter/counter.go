// Package counter counts the failed runs of what runs again as a whole, a task or all members of a
// gang, and judges what is shown of a job by them.
package counter

import (
	"fmt"
	"strings"
)

// Unit returns the name of what runs again as a whole: a task, or the step of a gang.
func Unit(task string, gang bool) string {
	if gang {
		return task[:strings.LastIndexByte(task, '.')]
	}
	return task
}

// Failures holds the failed runs of several units by their numbers. The zero value has none.
type Failures struct {
	runs map[string]map[int]int // number of parts that failed, by unit and run
}

// Add notes that a run of a unit has failed, or a part of that run.
func (f *Failures) Add(unit string, run int) {
	if f.runs == nil {
		f.runs = map[string]map[int]int{}
	}
	if f.runs[unit] == nil {
		f.runs[unit] = map[int]int{}
	}
	f.runs[unit][run]++
}

// Most returns the number of failed runs of the unit that has the most.
func (f *Failures) Most() int {
	most := 0
	for _, numbers := range f.runs {
		most = max(most, len(numbers))
	}
	return most
}

// Contradicts returns what is broken if a job that was not cancelled is shown in a state, or "". It
// has attempts for each unit. Done says whether all of its tasks are.
func (f *Failures) Contradicts(state string, done bool, attempts int) string {
	switch {
	case state == "complete" && !done, state == "cancelled":
		return fmt.Sprintf("MIXED: shown as %s (all done %v)", state, done)
	case state == "failed" && f.Most() < attempts:
		return fmt.Sprintf("LOST: shown as failed after %d failed runs of %d attempts", f.Most(), attempts)
	}
	return ""
}

// Runs returns how many runs of a unit failed, and how many of them in several parts.
func (f *Failures) Runs(unit string) (all, several int) {
	for _, parts := range f.runs[unit] {
		if parts > 1 {
			several++
		}
	}
	return len(f.runs[unit]), several
}

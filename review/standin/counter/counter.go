// Package counter counts the failed runs of what runs again as a whole: a task, or all members
// of a gang.
package counter

// Failures holds the failed runs of several units by their numbers. The zero value has none.
type Failures struct {
	runs map[string]map[int]bool
}

// Add notes that a run of a unit has failed, or a part of that run.
func (f *Failures) Add(unit string, run int) {
	if f.runs == nil {
		f.runs = map[string]map[int]bool{}
	}
	if f.runs[unit] == nil {
		f.runs[unit] = map[int]bool{}
	}
	f.runs[unit][run] = true
}

// Most returns the number of failed runs of the unit that has the most.
func (f *Failures) Most() int {
	most := 0
	for _, numbers := range f.runs {
		most = max(most, len(numbers))
	}
	return most
}

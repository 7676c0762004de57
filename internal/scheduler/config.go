package scheduler

import "slices"

// ListName names one of the two lists that operators edit.
type ListName string

// The two lists.
const (
	ListPlans      ListName = "plans"
	ListAllowances ListName = "allowances"
)

// maxEditsKept limits how many decided edits are kept for editors that lost the
// response to their append.
const maxEditsKept = 256

// Edit is a decided edit: the editor's nonce, the offset of its record and
// whether it was accepted.
type Edit struct {
	Nonce    string `json:"nonce"`
	Offset   int64  `json:"offset"`
	Accepted bool   `json:"accepted"`
}

// Config is the operators' configuration at one offset of the configuration
// stream. The version of a list is the offset of the record that set it, so
// every reader of the log computes the same value and no version ever goes back.
type Config struct {
	Offset           int64           `json:"offset"`
	Plans            []Plan          `json:"plans"`
	PlansVersion     int64           `json:"plansversion"`
	Allowances       []Allowance     `json:"allowances"`
	AllowanceVersion int64           `json:"allowanceversion"`
	Marks            map[string]Mark `json:"marks"` // never changed in place
	Edits            []Edit          `json:"edits"` // most recent last
}

// Version returns the version of a list, 0 if it was never set.
func (c Config) Version(list ListName) int64 {
	if list == ListPlans {
		return c.PlansVersion
	}
	return c.AllowanceVersion
}

// Plan returns the plan with a name.
func (c Config) Plan(name string) (Plan, bool) {
	i := slices.IndexFunc(c.Plans, func(p Plan) bool { return p.Name == name })
	if i < 0 {
		return Plan{}, false
	}
	return c.Plans[i], true
}

// Allowance returns what a plan may use.
func (c Config) Allowance(plan string) (Allowance, bool) {
	i := slices.IndexFunc(c.Allowances, func(a Allowance) bool { return a.Plan == plan })
	if i < 0 {
		return Allowance{}, false
	}
	return c.Allowances[i], true
}

// Edit returns the decided edit with a nonce.
func (c Config) Edit(nonce string) (Edit, bool) {
	i := slices.IndexFunc(c.Edits, func(e Edit) bool { return e.Nonce == nonce })
	if i < 0 {
		return Edit{}, false
	}
	return c.Edits[i], true
}

// WithPlans returns the configuration with another list of plans.
func (c Config) WithPlans(plans []Plan, version int64) Config {
	c.Plans = plans
	c.PlansVersion = version
	return c
}

// WithAllowances returns the configuration with another list of allowances.
func (c Config) WithAllowances(allowances []Allowance, version int64) Config {
	c.Allowances = allowances
	c.AllowanceVersion = version
	return c
}

// WithMark returns the configuration with another mark for an instance.
func (c Config) WithMark(instance string, m Mark) Config {
	marks := make(map[string]Mark, len(c.Marks)+1)
	for name, old := range c.Marks {
		marks[name] = old
	}
	marks[instance] = m
	if m == MarkNone {
		delete(marks, instance)
	}
	c.Marks = marks
	return c
}

// WithEdit returns the configuration with one more decided edit.
func (c Config) WithEdit(e Edit) Config {
	edits := append(slices.Clone(c.Edits), e)
	if len(edits) > maxEditsKept {
		edits = edits[len(edits)-maxEditsKept:]
	}
	c.Edits = edits
	return c
}

// WithOffset returns the configuration as of a later offset.
func (c Config) WithOffset(offset int64) Config {
	c.Offset = offset
	return c
}

package scheduler

// Plan is one row of the operators' list of customers' plans.
type Plan struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Weight   int    `json:"weight,omitempty"` // share under contention, 0 means 1
}

// WithWeight returns the plan with another share under contention.
func (p Plan) WithWeight(weight int) Plan {
	p.Weight = weight
	return p
}

// Allowance is one row of the operators' list of what each plan may use. A
// dimension that is 0 is not granted at all; the row itself is optional, and a
// plan without a row may use nothing.
type Allowance struct {
	Plan  string `json:"plan"`
	Slots int    `json:"slots"` // requests in progress at once, over all zones
	Size  Size   `json:"size"`  // held by tasks at once, over all zones
}

// WithSlots returns the allowance with another number of slots.
func (a Allowance) WithSlots(slots int) Allowance {
	a.Slots = slots
	return a
}

// WithSize returns the allowance with another size for tasks.
func (a Allowance) WithSize(size Size) Allowance {
	a.Size = size
	return a
}

// share splits total over parts so that the shares of all indexes add up to
// total exactly. Index starts at 0.
func share(total int64, index, parts int) int64 {
	if parts <= 0 {
		return 0
	}
	return total*int64(index+1)/int64(parts) - total*int64(index)/int64(parts)
}

package messenger

// Plan is a row of the list of customers' plans.
type Plan struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Weight   int    `json:"weight,omitempty"`
}

// Plans is a version of the list of customers' plans.
type Plans struct {
	Version int64  `json:"version"`
	Plans   []Plan `json:"plans"`
}

// Size is an amount of a worker's resources.
type Size struct {
	CPU          int64 `json:"cpu"`    // thousandths of a core
	Memory       int64 `json:"memory"` // MiB
	Accelerators int64 `json:"accelerators"`
}

// Allowance is a row of the list of allowances: the slots and resources that a
// plan may use.
type Allowance struct {
	Plan  string `json:"plan"`
	Slots int    `json:"slots"`
	Size  Size   `json:"size"`
}

// Allowances is a version of the list of allowances.
type Allowances struct {
	Version    int64       `json:"version"`
	Allowances []Allowance `json:"allowances"`
}

// Window is the burn rate of the error budget over a time window. A burn of 1
// spends exactly the budget.
type Window struct {
	Window string  `json:"window"` // its length, a duration
	All    int64   `json:"all"`    // requests
	Bad    int64   `json:"bad"`    // requests that missed the objective
	Burn   float64 `json:"burn"`
}

// Report is the state of the service-level objective at one entry: a share of the
// requests is placed within the goal.
type Report struct {
	Entry   string   `json:"entry"`
	Zone    string   `json:"zone"`
	Goal    string   `json:"goal"`
	Share   float64  `json:"share"`
	Uptime  string   `json:"lived"` // uptime, a duration
	Windows []Window `json:"windows"`
}

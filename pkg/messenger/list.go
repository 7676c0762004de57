package messenger

// Plan is one row of the list of customers' plans.
type Plan struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Weight   int    `json:"weight,omitempty"`
}

// Plans is the list of customers' plans at a version.
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

// Allowance is one row of the list of what each plan may use.
type Allowance struct {
	Plan  string `json:"plan"`
	Slots int    `json:"slots"`
	Size  Size   `json:"size"`
}

// Allowances is the list of what each plan may use at a version.
type Allowances struct {
	Version    int64       `json:"version"`
	Allowances []Allowance `json:"allowances"`
}

// Window is the burn of an error budget over one stretch of time. A burn of 1
// uses up the budget exactly.
type Window struct {
	Window string  `json:"window"`
	All    int64   `json:"all"`
	Bad    int64   `json:"bad"`
	Burn   float64 `json:"burn"`
}

// Report is the state of the service-level objective at one entry.
type Report struct {
	Entry   string   `json:"entry"`
	Zone    string   `json:"zone"`
	Goal    string   `json:"goal"`
	Share   float64  `json:"share"`
	Lived   string   `json:"lived"`
	Windows []Window `json:"windows"`
}

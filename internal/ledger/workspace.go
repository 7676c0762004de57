package ledger

// Workspace is an account that jobs count against. Jobs without one are not limited.
type Workspace struct {
	Name   string
	Weight float64   // share of a full cell, and the jobs a second that its objectives cover; 0 for 1
	Cap    Resources // most that its tasks may use at a time; 0 for no limit of that resource
}

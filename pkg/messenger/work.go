package messenger

import "time"

// Work is a work item as it is submitted.
type Work struct {
	Kind         string    `json:"kind"` // service, deferred or gang
	Plan         string    `json:"plan"`
	Name         string    `json:"name"`
	Members      int       `json:"members,omitempty"`
	CPU          int64     `json:"cpu"`    // thousandths of a core per member
	Memory       int64     `json:"memory"` // MiB per member
	Accelerators int64     `json:"accelerators,omitempty"`
	Run          string    `json:"run,omitempty"` // run time, a duration; not for a service
	Deadline     time.Time `json:"deadline,omitzero"`
	Once         bool      `json:"once,omitempty"` // must not be restarted once it may have run
}

// WorkStatus is the state of a work item.
type WorkStatus struct {
	ID       string   `json:"id"`
	Kind     string   `json:"kind"`
	Plan     string   `json:"plan"`
	Name     string   `json:"name"`
	Phase    string   `json:"phase"`
	Why      string   `json:"why,omitempty"`
	Attempt  int      `json:"attempt"`
	Workers  []string `json:"workers,omitempty"`
	Deadline string   `json:"deadline,omitempty"`
}

// Ended reports whether the phase is final.
func (s WorkStatus) Ended() bool {
	switch s.Phase {
	case "done", "failed", "cancelled", "unknown":
		return true
	}
	return false
}

// ServerStatus is the status of a backend server or worker, as one entry sees it.
type ServerStatus struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	State string `json:"state"`
	Slots int    `json:"slots,omitempty"`
	Busy  int    `json:"busy"` // known only to the owner
	Lost  int    `json:"lost"`
	CPU   int64  `json:"cpu,omitempty"`
	Used  int64  `json:"used,omitempty"`
}

// EntryStatus is the status of another entry, as one entry sees it.
type EntryStatus struct {
	ID     string  `json:"id"`
	Zone   string  `json:"zone"`
	State  string  `json:"state"`
	Config int64   `json:"config"`
	Free   int     `json:"free"`
	Queue  int     `json:"queue"`
	Age    float64 `json:"age"` // seconds since its last heartbeat, -1 if there was none
}

// Status is the status of the entry that is asked.
type Status struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Config   int64  `json:"config"`
	Ledger   int64  `json:"ledger"` // offset in the zone's stream
	Held     int    `json:"held"`   // resources that the entry owns
	Free     int    `json:"free"`
	Queue    int    `json:"queue"`
}

package main

// job is the body of a submission.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	failShare float64 // share of the runs that fail
	poisoned  bool    // all of them do
}

type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	Memory       int   `json:"mem_mb"`
	Estimate     int   `json:"est_ms,omitempty"`
	MaxPerServer int   `json:"max_per_server,omitempty"`
	LongRunning  bool  `json:"long_running,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
	After        []int `json:"after,omitempty"`
}
